package disk

import (
	"errors"
	"os"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// tight is a disk that takes half of each write while it is full.
func tight(full *bool) func(*os.File, []byte) (int, error) {
	return func(file *os.File, data []byte) (int, error) {
		if !*full {
			return file.Write(data)
		}
		written, _ := file.Write(data[:len(data)/2])
		return written, &os.PathError{Op: "write", Path: file.Name(), Err: syscall.ENOSPC}
	}
}

// A write to a full disk is done once there is room, whole and once.
func TestAWriteWaitsForRoom(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full, tries, noted := true, 0, 0
	folder := &Folder{Directory: t.TempDir(), write: tight(&full)}
	folder.Full = func(err error) bool {
		expect(err).To(gomega.MatchError(syscall.ENOSPC))
		tries++
		full = tries < 3
		return true
	}
	folder.Room = func() { noted++ }
	expect(folder.Open()).To(gomega.Succeed())
	defer folder.Close()
	full = false
	expect(folder.Append("log", []byte("first "))).To(gomega.Succeed())
	full = true
	expect(folder.Append("log", []byte("second"))).To(gomega.Succeed())
	expect(tries).To(gomega.Equal(3))
	expect(noted).To(gomega.Equal(1), "the return of room is noted once")
	content, err := folder.Read("log")
	expect(err).NotTo(gomega.HaveOccurred())
	expect(string(content)).To(gomega.Equal("first second"))
}

// A write that is given up leaves nothing of itself, and other failures are not
// tried again.
func TestAWriteThatIsGivenUp(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	full := true
	folder := &Folder{Directory: t.TempDir(), write: tight(&full), Full: func(error) bool { return false }}
	expect(folder.Open()).To(gomega.Succeed())
	defer folder.Close()
	expect(folder.Append("log", []byte("second"))).To(gomega.MatchError(syscall.ENOSPC))
	content, err := folder.Read("log")
	expect(err).NotTo(gomega.HaveOccurred())
	expect(content).To(gomega.BeEmpty())
	broken := errors.New("input/output error")
	folder.write = func(*os.File, []byte) (int, error) { return 0, broken }
	folder.Full = func(error) bool {
		t.Error("a broken disk is no full one")
		return false
	}
	expect(folder.Append("log", []byte("third"))).To(gomega.MatchError(broken))
}

// A part of a record that cannot be cut off is not tried again, although the disk
// is full: the next try would follow on it.
func TestATornRecordIsNotTriedAgain(t *testing.T) {
	expect := gomega.NewWithT(t).Expect
	folder := &Folder{Directory: t.TempDir()}
	folder.write = func(file *os.File, data []byte) (int, error) {
		_ = file.Close() // so that it cannot be cut
		return len(data) / 2, syscall.ENOSPC
	}
	folder.Full = func(error) bool {
		t.Error("a torn file is no full disk")
		return false
	}
	expect(folder.Open()).To(gomega.Succeed())
	expect(folder.Append("log", []byte("record"))).To(gomega.MatchError(gomega.ContainSubstring("could not be cut off")))
}
