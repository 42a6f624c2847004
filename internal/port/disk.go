package port

// Disk is one flat data folder. What was written lasts a crash only once it
// was synced: the bytes of a file by Sync, and the names of the files by
// SyncFolder. Rename puts a file in the place of another in one step.
//
// After any error the state of the disk is not known; the caller must stop and
// not try again.
type Disk interface {
	// List gives the names of all files, in order.
	List() ([]string, error)
	// Read gives the whole content of a file.
	Read(name string) ([]byte, error)
	// Append adds data at the end of a file, which it makes if it is missing. It
	// may wait for as long as the disk has no room.
	Append(name string, data []byte) error
	// Truncate cuts a file to a size.
	Truncate(name string, size int64) error
	// Sync makes the bytes of a file last.
	Sync(name string) error
	// Rename gives a file another name, and replaces a file that has it.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncFolder makes the names in the folder last.
	SyncFolder() error
	// Path gives what an operator calls the file.
	Path(name string) string
}
