// Package storer keeps the state that must survive in one data folder. Every
// file carries a checksum, is replaced whole, and counts as written only once
// the file and the folder are synced.
package storer

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

// Disk reads and durably replaces small files by name.
type Disk interface {
	// Read returns the content, or an error that is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Write returns once the content survives a power cut.
	Write(name string, content []byte) error
}

// Error says which file of the data folder failed, and how.
type Error struct {
	Path string
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("data folder: %s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// OwnerError says that the data folder belongs to another instance.
type OwnerError struct {
	Path, Owner, Instance string
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("data folder %s belongs to instance %s, not to %s; give this instance a folder of its own", e.Path, e.Owner, e.Instance)
}

// ErrChecksum says that a file was damaged.
var ErrChecksum = errors.New("checksum does not match, the file is damaged")

const (
	magic      = "PRIMROSE"
	headerSize = len(magic) + 8
	ownerFile  = "owner"
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is a Disk in a data folder of one instance.
type Folder struct {
	path     string
	identity string
}

// Open takes a data folder for an instance. A new folder gets a random
// identity; a folder of another instance is refused.
func Open(path, instance string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, &Error{Path: path, Op: "create", Err: err}
	}
	f := &Folder{path: path}
	content, err := f.Read(ownerFile)
	if errors.Is(err, fs.ErrNotExist) {
		return f, f.take(instance)
	}
	if err != nil {
		return nil, err
	}
	owner := string(content[identitySize:])
	if owner != instance {
		return nil, &OwnerError{Path: path, Owner: owner, Instance: instance}
	}
	f.identity = string(content[:identitySize])
	return f, nil
}

// identitySize is the length of an identity in hexadecimal digits.
const identitySize = 16

func (f *Folder) take(instance string) error {
	var raw [identitySize / 2]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return &Error{Path: f.path, Op: "name", Err: err}
	}
	f.identity = hex.EncodeToString(raw[:])
	return f.Write(ownerFile, []byte(f.identity+instance))
}

// Identity is the random name that the folder got when it was made.
func (f *Folder) Identity() string { return f.identity }

// Path is the place of the folder.
func (f *Folder) Path() string { return f.path }

// Read implements Disk.
func (f *Folder) Read(name string) ([]byte, error) {
	path := filepath.Join(f.path, name)
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Path: path, Op: "read", Err: err}
	}
	if len(raw) < headerSize || string(raw[:len(magic)]) != magic {
		return nil, &Error{Path: path, Op: "read", Err: ErrChecksum}
	}
	content := raw[headerSize:]
	if binary.BigEndian.Uint64(raw[len(magic):headerSize]) != xxhash.Sum64(content) {
		return nil, &Error{Path: path, Op: "read", Err: ErrChecksum}
	}
	return content, nil
}

// Write implements Disk.
func (f *Folder) Write(name string, content []byte) error {
	path := filepath.Join(f.path, name)
	raw := make([]byte, 0, headerSize+len(content))
	raw = append(raw, magic...)
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(content))
	raw = append(raw, content...)
	if err := renameio.WriteFile(path, raw, fileMode, renameio.WithTempDir(f.path)); err != nil {
		return &Error{Path: path, Op: "write", Err: err}
	}
	return syncFolder(f.path)
}

// syncFolder makes renames in the folder survive a power cut.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return &Error{Path: path, Op: "open", Err: err}
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return &Error{Path: path, Op: "sync", Err: err}
	}
	return nil
}

// foundingFile marks a folder that was made by a start that may found a fleet.
const foundingFile = "founding"

// OpenFounding is Open for a start that may found a fleet. The mark of that
// goes before the identity, so that a start that is killed halfway is made good
// by later ones.
func OpenFounding(path, instance string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, &Error{Path: path, Op: "create", Err: err}
	}
	f := &Folder{path: path}
	if _, err := f.Read(ownerFile); errors.Is(err, fs.ErrNotExist) {
		if err := f.Write(foundingFile, []byte(instance)); err != nil {
			return nil, err
		}
	}
	return Open(path, instance)
}

// Founding tells whether a start that may found a fleet made this folder.
func (f *Folder) Founding() (bool, error) {
	_, err := f.Read(foundingFile)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
