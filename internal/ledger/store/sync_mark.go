package store

import (
	"encoding/binary"
	"errors"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// syncMark is a small file that records the number of the last synced write. If the last 32 KiB of its log are damaged,
// the database silently truncates the log there, as it does with a torn tail; the mark tells the two cases apart. It is
// written after each sync but not synced itself, so that it costs no fsync: after a power loss it may be out of date,
// which is safe.
type syncMark struct{ file vfs.File }

// The file holds an 8-byte checksum of the rest, the 8-byte number of the write, the 1-byte length of the incarnation,
// and the incarnation.
const (
	markHeaderBytes = 8 + 8 + 1
	markBytes       = markHeaderBytes + 255
)

func openSyncMark(path string, files vfs.FS) (*syncMark, error) {
	file, err := files.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if errors.Is(err, os.ErrNotExist) {
		file, err = files.Create(path, vfs.WriteCategoryUnspecified)
	}
	if err != nil {
		return nil, err
	}
	return &syncMark{file: file}, nil
}

// read returns the incarnation and the number of its last synced write; zero values if the mark is empty or torn.
func (m *syncMark) read() (protocol.StoreID, uint64) {
	content := make([]byte, markBytes)
	size, _ := m.file.ReadAt(content, 0)
	content = content[:size]
	if size < markHeaderBytes || size < markHeaderBytes+int(content[16]) {
		return "", 0
	}
	content = content[:markHeaderBytes+int(content[16])]
	if binary.LittleEndian.Uint64(content) != xxhash.Sum64(content[8:]) {
		return "", 0
	}
	return protocol.StoreID(content[markHeaderBytes:]), binary.LittleEndian.Uint64(content[8:])
}

func (m *syncMark) write(id protocol.StoreID, writes uint64) error {
	content := make([]byte, 8, markBytes)
	content = binary.LittleEndian.AppendUint64(content, writes)
	content = append(content, byte(len(id)))
	content = append(content, id...)
	binary.LittleEndian.PutUint64(content, xxhash.Sum64(content[8:]))
	_, err := m.file.WriteAt(content, 0)
	return err
}

func (m *syncMark) close() error { return m.file.Close() }

// lastWrite returns the number of the last write in the database.
func lastWrite(database *pebble.DB) (uint64, error) {
	value, closer, err := database.Get(writeKey())
	if errors.Is(err, pebble.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	number := binary.BigEndian.Uint64(value)
	return number, closer.Close()
}
