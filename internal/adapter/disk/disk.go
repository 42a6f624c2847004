// Package disk keeps files in one data folder, which it locks against a second
// process.
//
// # Usage
//
//	folder := &disk.Folder{Directory: settings.DataFolder}
//	if err := folder.Open(); err != nil {
//		return err
//	}
//	defer folder.Close()
//
// A [Folder] is used by one goroutine. While the disk has no room, that goroutine
// waits in Append for as long as Full allows.
package disk

import (
	"errors"
	"os"
	"path/filepath"
	"sort"
	"syscall"

	"github.com/gofrs/flock"
	"github.com/samber/oops"
)

const (
	lockName   = "lock"
	folderMode = 0o700
	fileMode   = 0o600
)

// Folder is a [port.Disk] of real files. Directory is set before Open.
type Folder struct {
	// Directory is the path of the data folder; it is made if it is missing.
	Directory string
	// Full is called each time that the disk has no room for a write. It waits
	// until the write may be tried again, or tells that it is given up. Nil gives
	// up at once.
	Full func(err error) bool
	// Room is called when a write that had to wait was done; it may be nil.
	Room func()

	lock *flock.Flock
	open map[string]*os.File
	// write replaces the write to a file in tests.
	write func(file *os.File, data []byte) (int, error)
}

// Open makes and locks the folder.
func (folder *Folder) Open() error {
	if err := os.MkdirAll(folder.Directory, folderMode); err != nil {
		return oops.In("disk").Wrapf(err, "make the data folder %s", folder.Directory)
	}
	folder.lock = flock.New(folder.Path(lockName))
	locked, err := folder.lock.TryLock()
	if err != nil {
		return oops.In("disk").Wrapf(err, "lock the data folder %s", folder.Directory)
	}
	if !locked {
		return oops.In("disk").Errorf("the data folder %s is in use: stop the other process or name another folder", folder.Directory)
	}
	folder.open = make(map[string]*os.File)
	return nil
}

// Close closes all files and frees the lock.
func (folder *Folder) Close() error {
	var failed error
	for name := range folder.open {
		failed = errors.Join(failed, folder.closeFile(name))
	}
	return errors.Join(failed, folder.lock.Unlock())
}

// Path gives the path of a file.
func (folder *Folder) Path(name string) string {
	return filepath.Join(folder.Directory, name)
}

// List gives the names of the files, in order.
func (folder *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(folder.Directory)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Name() != lockName && !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Read gives the content of a file.
func (folder *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(folder.Path(name))
}

// Append adds data at the end of a file. What a disk without room took of it is
// cut off again before another try, so that the file never holds a part twice.
func (folder *Folder) Append(name string, data []byte) error {
	err := folder.appendOnce(name, data)
	waited := false
	for isFull(err) && folder.Full != nil && folder.Full(err) {
		waited = true
		err = folder.appendOnce(name, data)
	}
	if waited && err == nil && folder.Room != nil {
		folder.Room()
	}
	return err
}

func (folder *Folder) appendOnce(name string, data []byte) error {
	file, err := folder.file(name)
	if err != nil {
		return err
	}
	before, err := file.Stat()
	if err != nil {
		return err
	}
	written, err := folder.writeTo(file, data)
	if isFull(err) && written > 0 {
		if failed := file.Truncate(before.Size()); failed != nil {
			// Only a start can repair the file now, so this is never tried again,
			// whatever the cause.
			return oops.In("disk").Errorf("%s holds a part of a record that could not be cut off: %v (after: %v)", name, failed, err)
		}
	}
	return err
}

func (folder *Folder) writeTo(file *os.File, data []byte) (int, error) {
	if folder.write != nil {
		return folder.write(file, data)
	}
	return file.Write(data)
}

// isFull tells whether a write failed only for want of room. A failed sync is
// never that: what it lost cannot be written again.
func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Truncate cuts a file to a size.
func (folder *Folder) Truncate(name string, size int64) error {
	file, err := folder.file(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync makes the bytes of a file last.
func (folder *Folder) Sync(name string) error {
	file, err := folder.file(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// Rename gives a file another name.
func (folder *Folder) Rename(from, to string) error {
	if err := errors.Join(folder.closeFile(from), folder.closeFile(to)); err != nil {
		return err
	}
	return os.Rename(folder.Path(from), folder.Path(to))
}

// Remove removes a file.
func (folder *Folder) Remove(name string) error {
	if err := folder.closeFile(name); err != nil {
		return err
	}
	return os.Remove(folder.Path(name))
}

// SyncFolder makes the names in the folder last.
func (folder *Folder) SyncFolder() error {
	directory, err := os.Open(folder.Directory)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

func (folder *Folder) file(name string) (*os.File, error) {
	if file, ok := folder.open[name]; ok {
		return file, nil
	}
	file, err := os.OpenFile(folder.Path(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	folder.open[name] = file
	return file, nil
}

func (folder *Folder) closeFile(name string) error {
	file, ok := folder.open[name]
	if !ok {
		return nil
	}
	delete(folder.open, name)
	return file.Close()
}
