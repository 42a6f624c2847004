package disk_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"

	"github.com/magnoliawall/magnoliawall/internal/adapter/disk"
	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
	"github.com/magnoliawall/magnoliawall/internal/store"
)

var _ port.Disk = (*disk.Folder)(nil)

func openStore(expect *gomega.WithT, directory string) (*disk.Folder, *store.Store, store.Recovered) {
	folder := &disk.Folder{Directory: directory}
	expect.Expect(folder.Open()).To(gomega.Succeed())
	logStore := &store.Store{Disk: folder, SegmentBytes: 300}
	found, err := logStore.Open()
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	return folder, logStore, found
}

func TestStoreOnRealFiles(t *testing.T) {
	expect := gomega.NewWithT(t)
	directory := filepath.Join(t.TempDir(), "data")
	folder, logStore, found := openStore(expect, directory)
	expect.Expect(found.ID).To(gomega.Equal(quorum.None))
	expect.Expect(logStore.Create(5)).To(gomega.Succeed())
	state := quorum.HardState{Term: 2, Vote: 5}
	for index := quorum.Index(1); index <= 40; index++ {
		entry := quorum.Entry{Index: index, Term: 2, Data: []byte("a command")}
		expect.Expect(logStore.Save(&state, []quorum.Entry{entry})).To(gomega.Succeed())
	}
	expect.Expect(logStore.SaveSnapshot(quorum.Snapshot{Index: 30, Term: 2, Data: []byte("state")}, false)).To(gomega.Succeed())
	expect.Expect(folder.Close()).To(gomega.Succeed())

	folder, _, found = openStore(expect, directory)
	defer folder.Close()
	expect.Expect(found.ID).To(gomega.Equal(quorum.ReplicaID(5)))
	expect.Expect(found.HardState).To(gomega.Equal(state))
	expect.Expect(found.Snapshot.Index).To(gomega.Equal(quorum.Index(30)))
	expect.Expect(found.Entries).To(gomega.HaveLen(10))
}

func TestFolderIsLockedAgainstSecondProcess(t *testing.T) {
	expect := gomega.NewWithT(t)
	directory := t.TempDir()
	first := &disk.Folder{Directory: directory}
	expect.Expect(first.Open()).To(gomega.Succeed())
	second := &disk.Folder{Directory: directory}
	expect.Expect(second.Open()).To(gomega.MatchError(gomega.ContainSubstring("is in use")))
	expect.Expect(first.Close()).To(gomega.Succeed())
	expect.Expect(second.Open()).To(gomega.Succeed())
	expect.Expect(second.Close()).To(gomega.Succeed())
}

func TestIncompleteRecordIsTruncatedOnRealFiles(t *testing.T) {
	expect := gomega.NewWithT(t)
	directory := t.TempDir()
	folder, logStore, _ := openStore(expect, directory)
	expect.Expect(logStore.Create(5)).To(gomega.Succeed())
	expect.Expect(logStore.Save(&quorum.HardState{Term: 4}, nil)).To(gomega.Succeed())
	expect.Expect(folder.Append("log-00000000000000000001", []byte{9, 0, 0, 0, 1})).To(gomega.Succeed())
	expect.Expect(folder.Close()).To(gomega.Succeed())

	path := filepath.Join(directory, "log-00000000000000000001")
	before, err := os.Stat(path)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	folder, _, found := openStore(expect, directory)
	defer folder.Close()
	expect.Expect(found.HardState).To(gomega.Equal(quorum.HardState{Term: 4}))
	after, err := os.Stat(path)
	expect.Expect(err).NotTo(gomega.HaveOccurred())
	expect.Expect(after.Size()).To(gomega.Equal(before.Size() - 5))
}
