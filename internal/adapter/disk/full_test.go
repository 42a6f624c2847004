package disk

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// halfWritingWhileFull returns a write function that stores only half of the data
// and fails with ENOSPC while full is true.
func halfWritingWhileFull(full *bool) func(*os.File, []byte) (int, error) {
	return func(file *os.File, data []byte) (int, error) {
		if !*full {
			return file.Write(data)
		}
		written, _ := file.Write(data[:len(data)/2])
		return written, &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
	}
}

// An append to a full disk succeeds once there is space, and its data is in the
// file once and complete.
func TestAppendWaitsForSpace(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full, retries, recovered := true, 0, 0
	folder := &Folder{Directory: t.TempDir(), writeFile: halfWritingWhileFull(&full)}
	folder.OnFull = func(err error) bool {
		expect(err).To(gomega.MatchError(syscall.ENOSPC))
		retries++
		full = retries < 3
		return true
	}
	folder.OnRecovered = func() { recovered++ }
	expect(folder.Open()).To(gomega.Succeed())
	defer folder.Close()
	full = false
	expect(folder.Append("log", []byte("first "))).To(gomega.Succeed())
	full = true
	expect(folder.Append("log", []byte("second"))).To(gomega.Succeed())
	expect(retries).To(gomega.Equal(3))
	expect(recovered).To(gomega.Equal(1), "Room is called once")
	content, err := folder.Read("log")
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(content)).To(gomega.Equal("first second"))
}

// An append that is given up leaves none of its data in the file, and an error
// other than a full disk is not retried.
func TestAppendGivenUpLeavesNoPartialData(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full := true
	folder := &Folder{Directory: t.TempDir(), writeFile: halfWritingWhileFull(&full), OnFull: func(error) bool { return false }}
	expect(folder.Open()).To(gomega.Succeed())
	defer folder.Close()
	expect(folder.Append("log", []byte("second"))).To(gomega.MatchError(syscall.ENOSPC))
	content, err := folder.Read("log")
	expect(err).NotTo(gomega.HaveOccurred())
	expect(content).To(gomega.BeEmpty())
	ioErr := errors.New("input/output error")
	folder.writeFile = func(*os.File, []byte) (int, error) { return 0, ioErr }
	folder.OnFull = func(error) bool {
		t.Error("Full was called for an error other than a full disk")
		return false
	}
	expect(folder.Append("log", []byte("third"))).To(gomega.MatchError(ioErr))
}

// If a part of a record cannot be truncated, the append is not retried although
// the disk is full: the retry would append after that part.
func TestAppendIsNotRetriedWhenTruncateFails(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	folder := &Folder{Directory: t.TempDir()}
	folder.writeFile = func(file *os.File, data []byte) (int, error) {
		_ = file.Close() // makes Truncate fail
		return len(data) / 2, syscall.ENOSPC
	}
	folder.OnFull = func(error) bool {
		t.Error("Full was called after a failed truncation")
		return false
	}
	expect(folder.Open()).To(gomega.Succeed())
	expect(folder.Append("log", []byte("record"))).To(gomega.MatchError(gomega.ContainSubstring("could not be truncated")))
}
