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

// Sizes of the database's memory: small, for a node has 256 MB for control.
const (
	cacheBytes    = 8 << 20
	memTableBytes = 16 << 20
	// smallestMemTable and memTablePart bound the tables, and so the logs, of a small disk: two of each may be there at once.
	smallestMemTable = 1 << 20
	memTablePart     = 24
)

// Names below the data folder.
const (
	databaseFolder = "ledger"
	markFile       = "ledger-synced"
	damagedMark    = "ledger-is-damaged"
	damagedPrefix  = "ledger-damaged-"
)

// disk is an opened database with its incarnation and the number of its last synced write.
type disk struct {
	database *pebble.DB
	id       protocol.StoreID
	writes   uint64
	mark     *syncMark
	states   map[protocol.PartitionID]*protocol.StoreState
}

// faults are called by the database, on any goroutine: fatal where it can't go on, and it does not
// return; damaged where a block does not match its checksum.
type faults struct{ fatal, damaged func() }

// openDisk opens the database below folder. One that is damaged is moved aside, never
// removed, and an empty one takes its place: the store comes back under
// another incarnation, and the owners refill it.
func openDisk(folder string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faults) (*disk, error) {
	opened, err := tryDisk(folder, files, memTable, logger, faults)
	if err == nil || !isDamage(err) {
		return opened, err
	}
	aside := filepath.Join(folder, damagedPrefix+ulid.Make().String())
	logger.Error().Err(err).Str(fieldFolder, aside).Msg("ledger_database_moved_aside")
	if err := files.Rename(filepath.Join(folder, databaseFolder), aside); err != nil {
		return nil, err
	}
	if err := files.Remove(filepath.Join(folder, damagedMark)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return tryDisk(folder, files, memTable, logger, faults)
}

func tryDisk(folder string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faults) (*disk, error) {
	if _, err := files.Stat(filepath.Join(folder, damagedMark)); err == nil {
		return nil, KindDamaged.New("a block was found to be damaged")
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

// identify reads the incarnation and the partitions' states, and checks that nothing known to be synced is missing.
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

// scan calls visit with every partition's checked value below a prefix.
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

func openPebble(path string, files vfs.FS, memTable uint64, logger zerolog.Logger, faults faults) (*pebble.DB, error) {
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

// isDamage tells damage of the content from trouble with reaching it, such as a
// missing permission, a full disk or a lock held by another process.
func isDamage(err error) bool {
	var typed *errorx.Error
	found := errors.As(err, &typed) && typed.IsOfType(KindDamaged)
	return found || pebble.IsCorruptionError(err) || errors.Is(err, os.ErrNotExist)
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
	fatal  func()
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
	l.fatal()
}
