// Package disk stores files in one data folder, which it locks so that no second
// process can use it.
//
// # Usage
//
//	folder := &disk.Folder{Directory: settings.DataFolder}
//	if err := folder.Open(); err != nil {
//		return err
//	}
//	defer folder.Close()
//
// A [Folder] is used by one goroutine. While the disk is full, Append blocks that
// goroutine for as long as Full allows.
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

// Folder implements [port.Disk] with files in a directory. The exported fields are
// set before Open.
type Folder struct {
	// Directory is the path of the data folder; Open creates it if it is missing.
	Directory string
	// OnFull is called each time a write fails because the disk is full. It blocks
	// until the write is to be retried and returns true, or returns false to give
	// up. Nil gives up at once.
	OnFull func(err error) bool
	// OnRecovered is called when a write succeeded after such a retry; it may be nil.
	OnRecovered func()

	lock  *flock.Flock
	files map[string]*os.File
	// writeFile replaces [os.File.Write] in tests.
	writeFile func(file *os.File, data []byte) (int, error)
}

// Open creates the folder if it is missing and locks it.
func (folder *Folder) Open() error {
	if err := os.MkdirAll(folder.Directory, folderMode); err != nil {
		return oops.In("disk").Wrapf(err, "create the data folder %s", folder.Directory)
	}
	folder.lock = flock.New(folder.Path(lockName))
	locked, err := folder.lock.TryLock()
	if err != nil {
		return oops.In("disk").Wrapf(err, "lock the data folder %s", folder.Directory)
	}
	if !locked {
		return oops.In("disk").Errorf("the data folder %s is in use by another process: stop that process or configure another folder", folder.Directory)
	}
	folder.files = make(map[string]*os.File)
	return nil
}

// Close closes all files and releases the lock.
func (folder *Folder) Close() error {
	var failed error
	for name := range folder.files {
		failed = errors.Join(failed, folder.closeFile(name))
	}
	return errors.Join(failed, folder.lock.Unlock())
}

// Path returns the path of a file.
func (folder *Folder) Path(name string) string {
	return filepath.Join(folder.Directory, name)
}

// List returns the names of the files, sorted, without the lock file.
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

// Read returns the content of a file.
func (folder *Folder) Read(name string) ([]byte, error) {
	return os.ReadFile(folder.Path(name))
}

// Append adds data at the end of a file. What a full disk stored of it is removed
// again before a retry, so that no part of the data is in the file twice.
func (folder *Folder) Append(name string, data []byte) error {
	err := folder.appendOnce(name, data)
	retried := false
	for isNoSpace(err) && folder.OnFull != nil && folder.OnFull(err) {
		retried = true
		err = folder.appendOnce(name, data)
	}
	if retried && err == nil && folder.OnRecovered != nil {
		folder.OnRecovered()
	}
	return err
}

func (folder *Folder) appendOnce(name string, data []byte) error {
	file, err := folder.openFile(name)
	if err != nil {
		return err
	}
	before, err := file.Stat()
	if err != nil {
		return err
	}
	written, err := folder.writeTo(file, data)
	if isNoSpace(err) && written > 0 {
		if failed := file.Truncate(before.Size()); failed != nil {
			// Only a restart can repair the file now. The causes are not wrapped, so
			// that the write is never retried.
			return oops.In("disk").Errorf("%s ends in a part of a record that could not be truncated: %v (after: %v)", name, failed, err)
		}
	}
	return err
}

func (folder *Folder) writeTo(file *os.File, data []byte) (int, error) {
	if folder.writeFile != nil {
		return folder.writeFile(file, data)
	}
	return file.Write(data)
}

// isNoSpace reports whether a write failed because the disk or the quota is full.
// It is not used for a failed sync, after which the lost data cannot be written
// again.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Truncate shortens a file to a size in bytes.
func (folder *Folder) Truncate(name string, size int64) error {
	file, err := folder.openFile(name)
	if err != nil {
		return err
	}
	return file.Truncate(size)
}

// Sync makes the content of a file durable.
func (folder *Folder) Sync(name string) error {
	file, err := folder.openFile(name)
	if err != nil {
		return err
	}
	return file.Sync()
}

// Rename renames a file and replaces a file that has the new name.
func (folder *Folder) Rename(from, to string) error {
	if err := errors.Join(folder.closeFile(from), folder.closeFile(to)); err != nil {
		return err
	}
	return os.Rename(folder.Path(from), folder.Path(to))
}

// Remove deletes a file.
func (folder *Folder) Remove(name string) error {
	if err := folder.closeFile(name); err != nil {
		return err
	}
	return os.Remove(folder.Path(name))
}

// SyncFolder makes the file names in the folder durable.
func (folder *Folder) SyncFolder() error {
	directory, err := os.Open(folder.Directory)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// openFile returns the file, opened for appending. It creates the file if it is
// missing.
func (folder *Folder) openFile(name string) (*os.File, error) {
	if file, ok := folder.files[name]; ok {
		return file, nil
	}
	file, err := os.OpenFile(folder.Path(name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, err
	}
	folder.files[name] = file
	return file, nil
}

func (folder *Folder) closeFile(name string) error {
	file, ok := folder.files[name]
	if !ok {
		return nil
	}
	delete(folder.files, name)
	return file.Close()
}
