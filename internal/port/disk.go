package port

// Disk is one flat data folder. Data survives a crash only after a sync: the
// content of a file after Sync, and the names of files after SyncFolder. Rename
// replaces a file atomically.
//
// After an error the state of the disk is unknown; the caller must stop and must
// not retry.
type Disk interface {
	// List gives the names of all files, in order.
	List() ([]string, error)
	// Read gives the whole content of a file.
	Read(name string) ([]byte, error)
	// Append adds data to the end of a file, and creates the file if it is missing.
	// It may block while the disk is full.
	Append(name string, data []byte) error
	// Truncate cuts a file to a size in bytes.
	Truncate(name string, size int64) error
	// Sync makes the content of a file durable.
	Sync(name string) error
	// Rename renames a file, and replaces an existing file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// SyncFolder makes the names of the files durable.
	SyncFolder() error
	// Path gives the path of a file for messages to operators.
	Path(name string) string
}
