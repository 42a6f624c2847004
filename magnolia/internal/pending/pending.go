// Package pending stores the ids of patches whose outcome is not known yet. An id
// is stored before the patch is first sent, so that the same command, run again
// after a lost response or a crash, sends the patch with the same id.
//
// # Usage
//
//	id, err := folder.LoadOrStore(content, newID) // the stored id, or newID stored now
//	...
//	err = folder.Remove(content)                  // once the outcome is known
package pending

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Folder is a folder with one file for each pending patch. The file's name is the
// hash of the patch without its id, and its content is the id. Path is set before
// the first use.
type Folder struct {
	Path string
}

// LoadOrStore returns the id stored for the content of a patch. Without one it
// stores newID and returns it.
func (folder *Folder) LoadOrStore(content []byte, newID string) (string, error) {
	stored, err := os.ReadFile(folder.filePath(content))
	if err == nil {
		return string(stored), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("read pending patch: %w", err)
	}
	return newID, folder.store(content, newID)
}

// store writes the id to a temporary file, syncs it and renames it, so that a crash
// leaves either no file or a complete one.
func (folder *Folder) store(content []byte, id string) error {
	if err := os.MkdirAll(folder.Path, folderMode); err != nil {
		return fmt.Errorf("create folder for pending patches: %w", err)
	}
	file, err := os.OpenFile(folder.filePath(content)+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("store pending patch: %w", err)
	}
	_, err = file.WriteString(id)
	err = errors.Join(err, file.Sync(), file.Close())
	if err != nil {
		return fmt.Errorf("store pending patch: %w", err)
	}
	return os.Rename(file.Name(), folder.filePath(content))
}

// Remove deletes the id stored for the content of a patch, if there is one.
func (folder *Folder) Remove(content []byte) error {
	err := os.Remove(folder.filePath(content))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

func (folder *Folder) filePath(content []byte) string {
	sum := sha256.Sum256(content)
	return filepath.Join(folder.Path, hex.EncodeToString(sum[:]))
}
