package store_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

var errCrash = errors.New("crash")

// progress is how much of a disk operation was done.
type progress int

const (
	notDone progress = iota
	halfDone
	fullyDone
	progressCount
)

// survival is how much unsynced data a crash leaves.
type survival int

const (
	keepNothing survival = iota
	keepEverything
	keepHalf
	keepZeros
	survivalCount
)

// fakeFile is the content of a file; its first synced bytes survive a crash.
type fakeFile struct {
	data   []byte
	synced int
}

// folderChange is an unsynced change of file names.
type folderChange struct {
	from, to string
	file     *fakeFile
}

// fakeDisk is a fake of [port.Disk]. It fails at one operation and refuses all later
// ones.
type fakeDisk struct {
	files           map[string]*fakeFile
	durable         map[string]*fakeFile
	unsyncedChanges []folderChange
	steps           int
	failAt          int
	failProgress    progress
}

func newDisk() *fakeDisk {
	return &fakeDisk{files: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, failAt: -1}
}

// countStep counts an operation and returns how much of it is done.
func (disk *fakeDisk) countStep() (progress, error) {
	disk.steps++
	switch {
	case disk.failAt < 0 || disk.steps < disk.failAt:
		return fullyDone, nil
	case disk.steps == disk.failAt:
		return disk.failProgress, errCrash
	}
	return notDone, errCrash
}

// crash drops unsynced data and makes the disk work again.
func (disk *fakeDisk) crash(surviving survival) {
	kept := 0
	switch surviving {
	case keepEverything:
		kept = len(disk.unsyncedChanges)
	case keepHalf, keepZeros:
		kept = len(disk.unsyncedChanges) / 2
	}
	disk.syncChanges(kept)
	disk.files = maps.Clone(disk.durable)
	disk.unsyncedChanges = nil
	for name, old := range disk.files {
		disk.files[name] = old.afterCrash(surviving)
	}
	disk.durable = maps.Clone(disk.files)
	disk.failAt = -1
	disk.steps = 0
}

func (file *fakeFile) afterCrash(surviving survival) *fakeFile {
	data := slices.Clone(file.data)
	switch surviving {
	case keepNothing:
		data = data[:file.synced]
	case keepHalf:
		data = data[:file.synced+(len(data)-file.synced)/2]
	case keepZeros:
		for at := file.synced + (len(data)-file.synced)/3; at < len(data); at++ {
			data[at] = 0
		}
	}
	return &fakeFile{data, len(data)}
}

func (disk *fakeDisk) syncChanges(count int) {
	for _, change := range disk.unsyncedChanges[:count] {
		delete(disk.durable, change.from)
		if change.to != "" {
			disk.durable[change.to] = change.file
		}
	}
	disk.unsyncedChanges = disk.unsyncedChanges[count:]
}

func (disk *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(disk.files)), nil }

func (disk *fakeDisk) Path(name string) string { return "folder/" + name }

func (disk *fakeDisk) Read(name string) ([]byte, error) {
	if disk.files[name] == nil {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return slices.Clone(disk.files[name].data), nil
}

func (disk *fakeDisk) Append(name string, data []byte) error {
	done, err := disk.countStep()
	if done == notDone {
		return err
	}
	if disk.files[name] == nil {
		disk.files[name] = &fakeFile{}
		disk.unsyncedChanges = append(disk.unsyncedChanges, folderChange{to: name, file: disk.files[name]})
	}
	if done == halfDone {
		data = data[:len(data)/2]
	}
	disk.files[name].data = append(disk.files[name].data, data...)
	return err
}

func (disk *fakeDisk) Truncate(name string, size int64) error {
	done, err := disk.countStep()
	if done == fullyDone {
		disk.files[name].data = disk.files[name].data[:size]
		disk.files[name].synced = min(disk.files[name].synced, int(size))
	}
	return err
}

func (disk *fakeDisk) Sync(name string) error {
	done, err := disk.countStep()
	switch done {
	case halfDone:
		disk.files[name].synced += (len(disk.files[name].data) - disk.files[name].synced) / 2
	case fullyDone:
		disk.files[name].synced = len(disk.files[name].data)
	}
	return err
}

func (disk *fakeDisk) Rename(from, to string) error {
	done, err := disk.countStep()
	if done == fullyDone {
		disk.unsyncedChanges = append(disk.unsyncedChanges, folderChange{from, to, disk.files[from]})
		disk.files[to] = disk.files[from]
		delete(disk.files, from)
	}
	return err
}

func (disk *fakeDisk) Remove(name string) error {
	done, err := disk.countStep()
	if done == fullyDone {
		disk.unsyncedChanges = append(disk.unsyncedChanges, folderChange{from: name})
		delete(disk.files, name)
	}
	return err
}

func (disk *fakeDisk) SyncFolder() error {
	done, err := disk.countStep()
	switch done {
	case halfDone:
		disk.syncChanges(len(disk.unsyncedChanges) / 2)
	case fullyDone:
		disk.syncChanges(len(disk.unsyncedChanges))
	}
	return err
}
