package relay

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	configpb "github.com/sloelift/sloelift/api/proto/config"
)

const (
	cacheFolder = "config"
	cacheFile   = "document"
	// cacheMode allows access by the owner only: the file contains digests of tenants' keys.
	cacheMode       = 0o600
	cacheFolderMode = 0o700
)

// cache stores the last document on disk, so that all nodes can restart while the
// key-value service is down. It is used by one goroutine.
type cache struct{ folder string }

func newCache(dataFolder string) *cache {
	return &cache{folder: filepath.Join(dataFolder, cacheFolder)}
}

// load returns the saved document; nil if there is none. A damaged file is an error.
func (c *cache) load() (*document, error) {
	path := filepath.Join(c.folder, cacheFile)
	encoded, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	message := &configpb.Document{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return nil, fmt.Errorf("decode %s: %w", path, err)
	}
	saved, valid := decodeDocument(message)
	if !valid {
		return nil, fmt.Errorf("%s: %w", path, errDamaged)
	}
	return saved, nil
}

// save replaces the file atomically: after a crash either the old or the new one is found.
func (c *cache) save(saved *document) error {
	encoded, err := proto.Marshal(encodeDocument(saved))
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	if err := os.MkdirAll(c.folder, cacheFolderMode); err != nil {
		return err
	}
	path := filepath.Join(c.folder, cacheFile)
	if err := writeSynced(path+".new", encoded); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func writeSynced(path string, content []byte) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, cacheMode)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if _, err := file.Write(content); err != nil {
		return err
	}
	return file.Sync()
}

// saveLoop saves the latest document after each signal on changed, until ctx ends.
func (s *Service) saveLoop(ctx context.Context, disk *cache, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if err := disk.save(s.latest.Load()); err != nil {
			s.logger.Warn().Err(err).Msg("configuration_not_saved")
		}
	}
}

// startCache returns the document on disk, nil if there is none, and starts the goroutine
// that saves later documents.
func (s *Service) startCache(ctx context.Context) *document {
	if s.options.DataFolder == "" {
		return nil
	}
	disk := newCache(s.options.DataFolder)
	saved, err := disk.load()
	if err != nil {
		s.logger.Warn().Err(err).Msg("saved_configuration_unusable")
	}
	s.running.Go(func() { s.saveLoop(ctx, disk, s.changed) })
	return saved
}
