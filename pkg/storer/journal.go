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
	// frameHeaderSize is the size of the length and the checksum before each
	// record, in bytes.
	frameHeaderSize = 4 + 8
	// maxRecordSize bounds one record when reading, in bytes.
	maxRecordSize = 16 << 20
)

// Journal is an append-only file of records in a data folder. OpenJournal drops
// an incomplete last record that a crash left behind; the Append that wrote it
// had not returned.
type Journal struct {
	path string

	mu   sync.Mutex
	file *os.File
	size int64
}

// OpenJournal opens a journal of the folder, creating it if necessary.
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

// scan calls visit with each complete record and returns the offset at which the
// last of them ends.
func (j *Journal) scan(visit func([]byte) error) (int64, error) {
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
		if errors.Is(err, ErrChecksum) && end+frameHeaderSize+int64(len(record)) >= info.Size() {
			// The last record is incomplete.
			return end, nil
		}
		if err != nil {
			return 0, &Error{Path: j.path, Op: "read", Err: err}
		}
		if err := visit(record); err != nil {
			return 0, err
		}
		end += frameHeaderSize + int64(len(record))
	}
}

// readFrame reads one record. If the checksum does not match, it returns the
// record with ErrChecksum; if the length is too large, only ErrChecksum.
func readFrame(r io.Reader) ([]byte, error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:4])
	if length > maxRecordSize {
		return nil, ErrChecksum
	}
	record := make([]byte, length)
	if _, err := io.ReadFull(r, record); err != nil {
		return nil, err
	}
	if binary.BigEndian.Uint64(header[4:]) != xxhash.Sum64(record) {
		return record, ErrChecksum
	}
	return record, nil
}

// appendFrame appends the length, the checksum and the record to frames.
func appendFrame(frames, record []byte) []byte {
	frames = binary.BigEndian.AppendUint32(frames, uint32(len(record)))
	frames = binary.BigEndian.AppendUint64(frames, xxhash.Sum64(record))
	return append(frames, record...)
}

// Append writes records and returns once they are synced. After a failed write
// it truncates the file to its former size, so that no later record follows an
// incomplete one.
func (j *Journal) Append(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var frames []byte
	for _, r := range records {
		frames = appendFrame(frames, r)
	}
	if _, err := j.file.WriteAt(frames, j.size); err != nil {
		return errors.Join(&Error{Path: j.path, Op: "write", Err: err}, j.file.Truncate(j.size))
	}
	if err := j.file.Sync(); err != nil {
		return &Error{Path: j.path, Op: "sync", Err: err}
	}
	j.size += int64(len(frames))
	return nil
}

// Replay calls visit with every record in order.
func (j *Journal) Replay(visit func([]byte) error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, err := j.scan(visit)
	return err
}

// Rewrite atomically replaces all records.
func (j *Journal) Rewrite(records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var frames []byte
	for _, r := range records {
		frames = appendFrame(frames, r)
	}
	folder := filepath.Dir(j.path)
	if err := renameio.WriteFile(j.path, frames, fs.FileMode(fileMode), renameio.WithTempDir(folder)); err != nil {
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
	j.file, j.size = file, int64(len(frames))
	return nil
}
