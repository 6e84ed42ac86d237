package store

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Sizes of the database's memory: small, for a node has 256 MB for control.
const (
	cacheBytes    = 8 << 20
	memTableBytes = 4 << 20
)

// databaseFolder and damagedPrefix name folders below the data folder.
const (
	databaseFolder = "ledger"
	damagedPrefix  = "ledger-damaged-"
)

// openDatabase opens the database below folder. One that is damaged is moved aside, never
// removed, and an empty one takes its place: the store comes back under
// another incarnation, and the owners refill it.
func openDatabase(folder string, files vfs.FS, logger zerolog.Logger, fatal func(string)) (*pebble.DB, error) {
	path := filepath.Join(folder, databaseFolder)
	database, err := openPebble(path, files, logger, fatal)
	if err == nil || !isDamage(err) {
		return database, err
	}
	aside := filepath.Join(folder, damagedPrefix+ulid.Make().String())
	logger.Error().Err(err).Str(fieldFolder, aside).Msg("ledger database damaged and moved aside")
	if err := files.Rename(path, aside); err != nil {
		return nil, err
	}
	return openPebble(path, files, logger, fatal)
}

func openPebble(path string, files vfs.FS, logger zerolog.Logger, fatal func(string)) (*pebble.DB, error) {
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	return pebble.Open(path, &pebble.Options{
		FS:                 files,
		Cache:              cache,
		MemTableSize:       memTableBytes,
		FormatMajorVersion: pebble.FormatNewest,
		Logger:             pebbleLogger{logger: logger, fatal: fatal},
	})
}

// isDamage tells damage of the content from trouble with reaching it, such as a
// missing permission, a full disk or a lock held by another process.
func isDamage(err error) bool {
	return pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist)
}

// incarnation returns the name of what is on the disk; an empty disk gets a new one.
func incarnation(database *pebble.DB) (protocol.StoreID, error) {
	value, closer, err := database.Get(incarnationKey())
	if err == nil {
		id := protocol.StoreID(value)
		return id, closer.Close()
	}
	if !errors.Is(err, pebble.ErrNotFound) {
		return "", err
	}
	id := ulid.Make().String()
	return protocol.StoreID(id), database.Set(incarnationKey(), []byte(id), pebble.Sync)
}

// pebbleLogger passes on errors; information is for the database's developers.
type pebbleLogger struct {
	logger zerolog.Logger
	fatal  func(string)
}

// Infof drops the event.
func (l pebbleLogger) Infof(string, ...any) {}

// Errorf logs the event.
func (l pebbleLogger) Errorf(format string, arguments ...any) {
	l.logger.Error().Msgf(format, arguments...)
}

// Fatalf marks the store as failed. It does not return: the database must not go on.
func (l pebbleLogger) Fatalf(format string, arguments ...any) {
	l.logger.Error().Msgf(format, arguments...)
	l.fatal(format)
}
