package storer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/google/renameio/v2"
)

const (
	// frameSize is the length and the checksum before each record, in bytes.
	frameSize = 4 + 8
	// maxRecord bounds one record, in bytes.
	maxRecord = 16 << 20
)

// Journal is an append-only file of records in a data folder. A record that
// was cut off by a crash is dropped when the journal is opened; it was never
// confirmed.
type Journal struct {
	path string

	mu   sync.Mutex
	file *os.File
	size int64
}

// OpenJournal opens or creates a journal.
func (f *Folder) OpenJournal(name string) (*Journal, error) {
	path := filepath.Join(f.path, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &Error{Path: path, Op: "open", Err: err}
	}
	j := &Journal{path: path, file: file}
	j.size, err = j.scan(func([]byte) error { return nil })
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(j.size); err != nil {
		return nil, &Error{Path: path, Op: "truncate", Err: err}
	}
	return j, syncFolder(f.path)
}

// scan reads whole records and returns where they end.
func (j *Journal) scan(f func([]byte) error) (int64, error) {
	info, err := j.file.Stat()
	if err != nil {
		return 0, &Error{Path: j.path, Op: "read", Err: err}
	}
	reader := bufio.NewReader(io.NewSectionReader(j.file, 0, info.Size()))
	end := int64(0)
	for {
		record, err := readFrame(reader)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return end, nil
		}
		if errors.Is(err, ErrChecksum) && end+frameSize+int64(len(record)) >= info.Size() {
			// The last record was cut off.
			return end, nil
		}
		if err != nil {
			return 0, &Error{Path: j.path, Op: "read", Err: err}
		}
		if err := f(record); err != nil {
			return 0, err
		}
		end += frameSize + int64(len(record))
	}
}

func readFrame(r io.Reader) ([]byte, error) {
	var frame [frameSize]byte
	if _, err := io.ReadFull(r, frame[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(frame[:4])
	if length > maxRecord {
		return nil, ErrChecksum
	}
	record := make([]byte, length)
	if _, err := io.ReadFull(r, record); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint64(frame[4:]) != xxhash.Sum64(record) {
		return record, ErrChecksum
	}
	return record, nil
}

func appendFrame(raw, record []byte) []byte {
	raw = binary.BigEndian.AppendUint32(raw, uint32(len(record)))
	raw = binary.BigEndian.AppendUint64(raw, xxhash.Sum64(record))
	return append(raw, record...)
}

// Append writes records and returns once they are synced. After a failure the
// file is cut back, so that a later append does not follow half a record.
func (j *Journal) Append(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var raw []byte
	for _, r := range records {
		raw = appendFrame(raw, r)
	}
	if _, err := j.file.WriteAt(raw, j.size); err != nil {
		return errors.Join(&Error{Path: j.path, Op: "write", Err: err}, j.file.Truncate(j.size))
	}
	if err := j.file.Sync(); err != nil {
		return &Error{Path: j.path, Op: "sync", Err: err}
	}
	j.size += int64(len(raw))
	return nil
}

// Replay calls f with every record in order.
func (j *Journal) Replay(f func([]byte) error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, err := j.scan(f)
	return err
}

// Rewrite replaces all records.
func (j *Journal) Rewrite(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var raw []byte
	for _, r := range records {
		raw = appendFrame(raw, r)
	}
	folder := filepath.Dir(j.path)
	if err := renameio.WriteFile(j.path, raw, fs.FileMode(fileMode), renameio.WithTempDir(folder)); err != nil {
		return &Error{Path: j.path, Op: "rewrite", Err: err}
	}
	if err := syncFolder(folder); err != nil {
		return err
	}
	file, err := os.OpenFile(j.path, os.O_RDWR, fileMode)
	if err != nil {
		return &Error{Path: j.path, Op: "open", Err: err}
	}
	j.file.Close()
	j.file, j.size = file, int64(len(raw))
	return nil
}
