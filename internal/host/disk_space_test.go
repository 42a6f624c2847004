package host

import (
	"bytes"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"
)

// A replica waits for disk space for as long as the process runs. It logs once
// when the disk becomes full and once when there is space again.
func TestReplicaWaitsForDiskSpace(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	written := &bytes.Buffer{}
	plane := &controlPlane{host: &Host{Logger: &log.Logger{Writer: &log.IOWriter{Writer: written}}}, stopping: make(chan struct{})}
	expect(plane.awaitDiskSpace(syscall.ENOSPC)).To(gomega.BeTrue())
	expect(plane.awaitDiskSpace(syscall.ENOSPC)).To(gomega.BeTrue())
	plane.noteDiskSpace()
	close(plane.stopping)
	expect(plane.awaitDiskSpace(syscall.ENOSPC)).To(gomega.BeFalse(), "a stop does not wait for disk space")
	expect(strings.Count(written.String(), "the disk is full")).To(gomega.Equal(2), "logged once each time the disk is full")
	expect(strings.Count(written.String(), "has room again")).To(gomega.Equal(1))
}
