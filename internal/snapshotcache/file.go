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
	// fileMode allows access by the owner only: the file contains tenants' keys.
	fileMode   = 0o600
	folderMode = 0o700
	// checksumBytes is the size of the leading checksum: the XXH64 of the rest of the file, big endian.
	checksumBytes = 8
	// maxFileBytes limits the content of the file. The service accepts values of up to 1 MiB, and a message between nodes holds up to 4 MiB.
	maxFileBytes = 3 << 20
)

// errDamaged means that the file was not completely written, or was modified.
var errDamaged = errors.New("checksum does not match")

// file stores copies on disk, to survive a power loss. It must be used by one goroutine at a time.
type file struct{ folder string }

// newFile returns the file below a data folder; nil if dataFolder is empty.
func newFile(dataFolder string) *file {
	if dataFolder == "" {
		return nil
	}
	return &file{folder: filepath.Join(dataFolder, fileFolder)}
}

func (f *file) path() string { return filepath.Join(f.folder, fileName) }

// load returns the saved content; nil if the file does not exist.
func (f *file) load() (*snapshotcachepb.Saved, error) {
	data, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return nil, fmt.Errorf("%s: %w", f.path(), errDamaged)
	}
	saved := &snapshotcachepb.Saved{}
	if err := proto.Unmarshal(data[checksumBytes:], saved); err != nil {
		return nil, fmt.Errorf("decode %s: %w", f.path(), err)
	}
	return saved, nil
}

// save replaces the file atomically: after a power loss either the old or the new one is found.
func (f *file) save(encoded []byte) error {
	if len(encoded) > maxFileBytes {
		return fmt.Errorf("saved copies: %d bytes exceed the limit of %d", len(encoded), maxFileBytes)
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

// syncFolder makes a rename durable.
func syncFolder(folder string) (err error) {
	opened, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, opened.Close()) }()
	return opened.Sync()
}
