package host

import (
	"bytes"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"
)

// A replica waits for room on its disk for as long as the process runs, and says
// so once at each end.
func TestAReplicaWaitsForRoom(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	written := &bytes.Buffer{}
	se := &seat{host: &Host{Logger: &log.Logger{Writer: &log.IOWriter{Writer: written}}}, ending: make(chan struct{})}
	expect(se.awaitRoom(syscall.ENOSPC)).To(gomega.BeTrue())
	expect(se.awaitRoom(syscall.ENOSPC)).To(gomega.BeTrue())
	se.hasRoom()
	close(se.ending)
	expect(se.awaitRoom(syscall.ENOSPC)).To(gomega.BeFalse(), "a stop waits for no room")
	expect(strings.Count(written.String(), "the disk is full")).To(gomega.Equal(2), "once for each time without room")
	expect(strings.Count(written.String(), "has room again")).To(gomega.Equal(1))
}
