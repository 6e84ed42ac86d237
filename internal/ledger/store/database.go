package store

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/joomcode/errorx"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Memory sizes of the database. They are small because a node has 256 MB for its control functions.
const (
	cacheBytes    = 8 << 20
	memTableBytes = 16 << 20
	// minMemTableBytes and memTablePart, a divisor of Options.DiskBytes, bound the in-memory tables, and thereby the
	// logs, on a small disk: two of each may exist at once.
	minMemTableBytes = 1 << 20
	memTableDivisor  = 24
)

// File and folder names below the data folder.
const (
	databaseFolder  = "ledger"
	markFile        = "ledger-synced"
	damagedMarkFile = "ledger-is-damaged"
	damagedPrefix   = "ledger-damaged-"
)

// disk is an opened database with its incarnation and the number of its last synced write.
type disk struct {
	database *pebble.DB
	id       protocol.StoreID
	writes   uint64
	mark     *syncMark
	states   map[protocol.PartitionID]*protocol.StoreState
}

// faultHandlers holds callbacks that the database calls on any of its goroutines.
type faultHandlers struct {
	// fatal is called after an error from which the database cannot continue, and does not return. damaged is called
	// if a block does not match its checksum.
	fatal, damaged func()
}

// openDisk opens the database below folder. A damaged database is moved aside, never
// removed, and replaced by an empty one: the store then has
// another incarnation, and the owners refill it.
func openDisk(folder string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faultHandlers) (*disk, error) {
	opened, err := openDiskOnce(folder, files, memTable, logger, faults)
	if err == nil || !isDamage(err) {
		return opened, err
	}
	aside := filepath.Join(folder, damagedPrefix+ulid.Make().String())
	logger.Error().Err(err).Str(fieldFolder, aside).Msg("ledger_database_moved_aside")
	if err := files.Rename(filepath.Join(folder, databaseFolder), aside); err != nil {
		return nil, err
	}
	if err := files.Remove(filepath.Join(folder, damagedMarkFile)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return openDiskOnce(folder, files, memTable, logger, faults)
}

func openDiskOnce(folder string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faultHandlers) (*disk, error) {
	if _, err := files.Stat(filepath.Join(folder, damagedMarkFile)); err == nil {
		return nil, KindDamaged.New("a damaged block was found before the restart")
	}
	database, err := openPebble(filepath.Join(folder, databaseFolder), files, memTable, logger, faults)
	if err != nil {
		return nil, err
	}
	opened := &disk{database: database}
	if err := opened.identify(folder, files); err != nil {
		if opened.mark != nil {
			err = errors.Join(err, opened.mark.close())
		}
		return nil, errors.Join(err, database.Close())
	}
	return opened, nil
}

// identify reads the incarnation and the partitions' states, and checks that no write recorded in the sync mark is
// missing.
func (d *disk) identify(folder string, files vfs.FS) (err error) {
	if d.id, err = incarnation(d.database); err != nil {
		return err
	}
	if d.writes, err = lastWrite(d.database); err != nil {
		return err
	}
	if d.mark, err = openSyncMark(filepath.Join(folder, markFile), files); err != nil {
		return err
	}
	if id, writes := d.mark.read(); id == d.id && writes > d.writes {
		return KindDamaged.New("write %d was synced, but the log ends at %d", writes, d.writes)
	}
	d.states, err = loadStates(d.database)
	return err
}

func loadStates(database *pebble.DB) (map[protocol.PartitionID]*protocol.StoreState, error) {
	states := map[protocol.PartitionID]*protocol.StoreState{}
	err := scan(database, prefixPartition, func(partition protocol.PartitionID, value []byte) error {
		state, err := decodeState(value)
		states[partition] = &state
		return err
	})
	if err != nil {
		return nil, err
	}
	return states, scan(database, prefixEnsemble, func(partition protocol.PartitionID, value []byte) error {
		state, present := states[partition]
		if !present {
			return KindDamaged.New("partition %d has an ensemble and no state", partition)
		}
		var err error
		state.Ensemble, err = decodeEnsemble(value)
		return err
	})
}

// scan calls visit with the value of every partition below a prefix, after verifying its checksum.
func scan(database *pebble.DB, prefix byte, visit func(partition protocol.PartitionID, value []byte) error) error {
	iterator, err := database.NewIter(&pebble.IterOptions{LowerBound: []byte{prefix}, UpperBound: []byte{prefix + 1}})
	if err != nil {
		return err
	}
	for valid := iterator.First(); valid; valid = iterator.Next() {
		value, err := unseal(iterator.Key(), iterator.Value())
		if err == nil {
			err = visit(partitionOf(iterator.Key()), value)
		}
		if err != nil {
			return errors.Join(err, iterator.Close())
		}
	}
	return iterator.Close()
}

func openPebble(path string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faultHandlers) (*pebble.DB, error) {
	cache := pebble.NewCache(cacheBytes)
	defer cache.Unref()
	return pebble.Open(path, &pebble.Options{
		FS:                 files,
		Cache:              cache,
		MemTableSize:       memTable,
		FormatMajorVersion: pebble.FormatNewest,
		Logger:             pebbleLogger{logger: logger, fatal: faults.fatal},
		EventListener: &pebble.EventListener{DataCorruption: func(info pebble.DataCorruptionInfo) {
			logger.Error().Err(info.Details).Str(fieldFile, info.Path).Msg("ledger_block_damaged")
			faults.damaged()
		}},
	})
}

// isDamage reports whether err means damaged content, as opposed to failed access such as a
// missing permission, a full disk or a lock held by another process.
func isDamage(err error) bool {
	var typed *errorx.Error
	found := errors.As(err, &typed) && typed.IsOfType(KindDamaged)
	return found || pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist)
}

// incarnation returns the ID of the disk's content; an empty disk gets a new ID.
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

// pebbleLogger logs the database's errors and drops its informational events, which serve only its developers.
type pebbleLogger struct {
	logger zerolog.Logger
	fatal  func()
}

// Infof drops the event.
func (l pebbleLogger) Infof(string, ...any) {}

// Errorf logs the event.
func (l pebbleLogger) Errorf(format string, arguments ...any) {
	l.logger.Error().Msgf(format, arguments...)
}

// Fatalf logs the event and marks the store as failed. It does not return, because the database must not continue.
func (l pebbleLogger) Fatalf(format string, arguments ...any) {
	l.logger.Error().Msgf(format, arguments...)
	l.fatal()
}
