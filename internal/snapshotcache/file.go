package snapshotcache

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	snapshotcachepb "github.com/sloelift/sloelift/api/proto/snapshotcache"
)

const (
	// fileFolder and fileName are below the data folder.
	fileFolder = "copies"
	fileName   = "newest"
	// fileMode lets the owner only read the file, which holds tenants' keys.
	fileMode   = 0o600
	folderMode = 0o700
	// checksumBytes is the XXH64 of what follows it, big endian.
	checksumBytes = 8
	// maxFileBytes bounds the file. The service takes values up to 1 MiB, and one message between nodes holds 4 MiB.
	maxFileBytes = 3 << 20
)

// errDamaged says that a file was not written whole.
var errDamaged = errors.New("checksum does not match")

// file is where copies outlast a loss of power. It belongs to one goroutine at a time.
type file struct{ folder string }

// newFile returns the file below a data folder; nil where there is none.
func newFile(dataFolder string) *file {
	if dataFolder == "" {
		return nil
	}
	return &file{folder: filepath.Join(dataFolder, fileFolder)}
}

func (f *file) path() string { return filepath.Join(f.folder, fileName) }

// load returns what was saved last, nil where nothing was.
func (f *file) load() (*snapshotcachepb.Saved, error) {
	held, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(held) < checksumBytes || binary.BigEndian.Uint64(held) != xxhash.Sum64(held[checksumBytes:]) {
		return nil, fmt.Errorf("%s: %w", f.path(), errDamaged)
	}
	saved := &snapshotcachepb.Saved{}
	if err := proto.Unmarshal(held[checksumBytes:], saved); err != nil {
		return nil, fmt.Errorf("decode %s: %w", f.path(), err)
	}
	return saved, nil
}

// save replaces the file as a whole: a loss of power leaves the old one or the new one.
func (f *file) save(encoded []byte) error {
	if len(encoded) > maxFileBytes {
		return fmt.Errorf("%d bytes are over the limit of %d", len(encoded), maxFileBytes)
	}
	if err := os.MkdirAll(f.folder, folderMode); err != nil {
		return err
	}
	content := binary.BigEndian.AppendUint64(nil, xxhash.Sum64(encoded))
	content = append(content, encoded...)
	if err := writeSynced(f.path()+".new", content); err != nil {
		return err
	}
	if err := os.Rename(f.path()+".new", f.path()); err != nil {
		return err
	}
	return syncFolder(f.folder)
}

func writeSynced(path string, content []byte) (err error) {
	written, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, written.Close()) }()
	if _, err := written.Write(content); err != nil {
		return err
	}
	return written.Sync()
}

// syncFolder makes a rename last.
func syncFolder(folder string) (err error) {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, opened.Close()) }()
	return opened.Sync()
}
