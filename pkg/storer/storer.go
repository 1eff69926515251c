// Package storer keeps the state that must survive a crash in one data folder.
// Small files carry a checksum and are always replaced as a whole; a write
// returns only once the file and the folder are synced. Journals are
// append-only, with a checksum for each record.
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
	// Read returns the content of a file. If there is no such file, the error
	// wraps fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Write replaces a file and returns once the content would survive a power
	// failure.
	Write(name string, content []byte) error
}

// Error reports a failed operation on a file of the data folder.
type Error struct {
	Path string
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("data folder: %s %s: %v", e.Op, e.Path, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// OwnerError is returned when the data folder belongs to another instance.
type OwnerError struct {
	Path, Owner, Instance string
}

// Error implements error.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("data folder %s belongs to instance %s, not to %s; give this instance a folder of its own", e.Path, e.Owner, e.Instance)
}

// ErrChecksum is returned for a damaged file.
var ErrChecksum = errors.New("checksum does not match, the file is damaged")

const (
	// magic starts every small file; a checksum and the content follow.
	magic      = "PRIMROSE"
	headerSize = len(magic) + 8
	// ownerFile holds the identity of the folder, then the name of its instance.
	ownerFile  = "owner"
	fileMode   = 0o600
	folderMode = 0o700
)

// Folder is the data folder of one instance. It implements Disk.
type Folder struct {
	path     string
	identity string
}

// Open opens the data folder of an instance, creating it if necessary. A new
// folder gets a random identity. For a folder of another instance it returns
// *OwnerError.
func Open(path, instance string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, &Error{Path: path, Op: "create", Err: err}
	}
	f := &Folder{path: path}
	content, err := f.Read(ownerFile)
	if errors.Is(err, fs.ErrNotExist) {
		return f, f.writeOwner(instance)
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

// writeOwner gives the folder a random identity and stores it with the name of
// the instance.
func (f *Folder) writeOwner(instance string) error {
	var raw [identitySize / 2]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return &Error{Path: f.path, Op: "name", Err: err}
	}
	f.identity = hex.EncodeToString(raw[:])
	return f.Write(ownerFile, []byte(f.identity+instance))
}

// Identity returns the random name that the folder got when it was created.
func (f *Folder) Identity() string { return f.identity }

// Path returns the path of the folder.
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

// syncFolder syncs a folder, so that files created or renamed in it survive a
// power failure.
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

// foundingFile marks a folder created by a process that was allowed to found a
// new fleet.
const foundingFile = "founding"

// OpenFounding is Open for a process that is allowed to found a new fleet. It
// writes the mark for that before the identity, so that a later start completes
// the folder if this one is killed in between.
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

// Founding reports whether OpenFounding created this folder.
func (f *Folder) Founding() (bool, error) {
	_, err := f.Read(foundingFile)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}
