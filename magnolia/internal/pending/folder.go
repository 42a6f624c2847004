// Package pending keeps the ids of patches that were sent and whose outcome is
// not known yet. The id is on disk before the first send, so the same command
// after a lost answer or a crash sends the same id again.
//
// # Usage
//
//	id, err := folder.Begin(content, newID) // the stored id, or newID stored now
//	...
//	err = folder.End(content)               // once the outcome is known
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

// Folder is a folder of pending patches. Path is set before the first use.
type Folder struct {
	Path string
}

// LoadOrStore gives the id under which the content was sent before, or stores and
// gives the new one.
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

// store writes a synced file beside its place and then moves it there.
func (folder *Folder) store(content []byte, id string) error {
	if err := os.MkdirAll(folder.Path, folderMode); err != nil {
		return fmt.Errorf("make folder for pending patches: %w", err)
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

// Remove forgets a patch whose outcome is known.
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
