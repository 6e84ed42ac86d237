package store

import (
	"context"
	"encoding/binary"
	"errors"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
)

// Log fields.
const (
	fieldFolder = "folder"
	fieldFile   = "file"
)

// Defaults of Options.
const (
	defaultReserveBytes = 256 << 20
	defaultMinimumBytes = 64 << 20
	requestQueue        = 1024
	groupQueue          = 16
	maxGroupRequests    = 512
	maxGroupBytes       = 4 << 20
)

// Options of a store. Zero values mean the defaults.
type Options struct {
	// Files is the file system; tests put faults into it.
	Files vfs.FS
	// Free returns the free bytes of the disk.
	Free func() (uint64, error)
	// With less than ReserveBytes free owners start nothing new here; with less than
	// MinimumBytes the store takes no records.
	ReserveBytes, MinimumBytes uint64
	// DiskBytes is the size of a disk that holds nothing else; with it the free bytes are those that the database
	// leaves, and the two bounds above are parts of it.
	DiskBytes uint64
	Logger    zerolog.Logger
}

// memTable returns the size of the database's tables in memory, on which the size of its logs depends.
func (o Options) memTable() uint64 {
	if o.DiskBytes == 0 {
		return memTableBytes
	}
	return min(memTableBytes, max(smallestMemTable, o.DiskBytes/memTablePart))
}

// Store is one disk's share of the ledger. It is safe for concurrent use.
type Store struct {
	id       protocol.StoreID
	database *pebble.DB
	options  Options
	requests chan *request
	groups   chan *group
	// stop ends the goroutines; done is closed after them.
	stop   context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
	failed atomic.Bool
	// stuck says that the database could not go on; it is not closed then.
	stuck atomic.Bool
	// damaged says that the database found a damaged block; the store has then stopped.
	damaged atomic.Bool
	folder  string
	// reading is held shared by reads on other goroutines, and by Close so that none runs on a closed database.
	reading sync.RWMutex
	fsyncs  atomic.Int64
	// states belongs to the step goroutine after Open.
	states map[protocol.PartitionID]*protocol.StoreState
	// writes numbers the written groups; it belongs to the step goroutine, mark to the sync goroutine.
	writes  uint64
	mark    *syncMark
	staging map[protocol.PartitionID]*staging

	// heard is when an owner's message was last taken, by partition; heardMutex guards it.
	heardMutex sync.Mutex
	heard      map[protocol.PartitionID]time.Time
}

// request is one message for the step goroutine. step returns the answer to give once
// its writes are synced.
type request struct {
	size   int
	step   func(batch *pebble.Batch) (any, error)
	answer chan answer
}

type answer struct {
	value any
	err   error
}

// group is a set of requests that share one write.
type group struct {
	batch    *pebble.Batch
	number   uint64
	requests []*request
	answers  []answer
}

// Parts of a disk of known size, as divisors.
const (
	reservePart = 6
	minimumPart = 16
)

// Open opens the store below folder, which must exist.
func Open(folder string, options Options) (*Store, error) {
	store := &Store{heard: map[protocol.PartitionID]time.Time{}}
	if options.DiskBytes > 0 {
		options.ReserveBytes = min(defaultReserveBytes, options.DiskBytes/reservePart)
		options.MinimumBytes = min(defaultMinimumBytes, options.DiskBytes/minimumPart)
		options.Free = func() (uint64, error) {
			used := store.database.Metrics().DiskSpaceUsage()
			return options.DiskBytes - min(used, options.DiskBytes), nil
		}
	}
	if options.Files == nil {
		options.Files = vfs.Default
	}
	if options.Free == nil {
		options.Free = func() (uint64, error) {
			usage, err := options.Files.GetDiskUsage(folder)
			return usage.AvailBytes, err
		}
	}
	if options.ReserveBytes == 0 {
		options.ReserveBytes = defaultReserveBytes
	}
	if options.MinimumBytes == 0 {
		options.MinimumBytes = min(defaultMinimumBytes, options.ReserveBytes)
	}
	store.options, store.folder = options, folder
	store.requests, store.groups = make(chan *request, requestQueue), make(chan *group, groupQueue)
	store.staging = map[protocol.PartitionID]*staging{}
	store.ctx, store.stop = context.WithCancel(context.Background())
	opened, err := openDisk(folder, options.Files, options.memTable(), options.Logger, faults{fatal: store.fail, damaged: store.markDamaged})
	if err != nil {
		return nil, err
	}
	store.database, store.id, store.mark = opened.database, opened.id, opened.mark
	store.writes, store.states = opened.writes, opened.states
	store.done.Add(2)
	go store.stepLoop()
	go store.syncLoop()
	return store, nil
}

// ID returns the store's incarnation.
func (s *Store) ID() protocol.StoreID { return s.id }

// LastHeard returns when a message of the partition's owner was last taken; zero where none was since the start.
func (s *Store) LastHeard(partition protocol.PartitionID) time.Time {
	s.heardMutex.Lock()
	defer s.heardMutex.Unlock()
	return s.heard[partition]
}

func (s *Store) hear(partition protocol.PartitionID) {
	s.heardMutex.Lock()
	defer s.heardMutex.Unlock()
	s.heard[partition] = clock.Now()
}

// Failed tells whether the disk has failed; the store then answers with errors only.
func (s *Store) Failed() bool { return s.failed.Load() }

// Fsyncs returns how many synced writes the store has made; requests share them.
func (s *Store) Fsyncs() int64 { return s.fsyncs.Load() }

// Close ends the goroutines and closes the database.
func (s *Store) Close() error {
	s.stop()
	s.done.Wait()
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.stuck.Load() {
		// One of the database's goroutines was ended, so that closing it could wait for ever.
		return nil
	}
	if s.failed.Load() {
		// The failure has been logged; what closing says of it is not new.
		_ = s.database.Close()
		return s.mark.close()
	}
	// A flushed log leaves nothing whose end could be in doubt.
	return errors.Join(s.database.Flush(), s.database.Close(), s.mark.close())
}

// fail is called where the database can't go on, on any of its goroutines, and ends that goroutine.
func (s *Store) fail() {
	s.stuck.Store(true)
	s.failed.Store(true)
	s.stop()
	runtime.Goexit()
}

// markDamaged stops the store, for a database does not mend a damaged block and later reads and compactions meet
// it again. The mark has the next start put the database aside, so that the store is refilled as a lost one.
func (s *Store) markDamaged() {
	if s.damaged.Swap(true) {
		return
	}
	s.failed.Store(true)
	s.stop()
	mark, err := s.options.Files.Create(filepath.Join(s.folder, damagedMark), vfs.WriteCategoryUnspecified)
	if err == nil {
		err = errors.Join(mark.Sync(), mark.Close())
	}
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("ledger_damage_not_marked")
	}
}

// run has step run on the step goroutine and waits until what it wrote is synced.
func run[Answer any](ctx context.Context, s *Store, size int, step func(batch *pebble.Batch) (Answer, error)) (Answer, error) {
	var none Answer
	request := &request{size: size, answer: make(chan answer, 1), step: func(batch *pebble.Batch) (any, error) { return step(batch) }}
	select {
	case s.requests <- request:
	case <-s.ctx.Done():
		return none, KindClosed.New("store is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case answer := <-request.answer:
		if answer.err != nil {
			return none, answer.err
		}
		return answer.value.(Answer), nil
	case <-s.ctx.Done():
		return none, KindClosed.New("store is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// stepLoop steps what has arrived, all in one write, and leaves the wait for the disk to syncLoop.
func (s *Store) stepLoop() {
	defer s.done.Done()
	defer close(s.groups)
	for {
		select {
		case first := <-s.requests:
			group := s.collect(first)
			if err := s.write(group); err != nil {
				s.options.Logger.Error().Err(err).Msg("ledger_store_failed")
				s.failed.Store(true)
				s.stop()
				return
			}
			s.groups <- group
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Store) collect(first *request) *group {
	group := &group{batch: s.database.NewBatch()}
	size := 0
	for next := first; ; {
		value, err := next.step(group.batch)
		group.requests = append(group.requests, next)
		group.answers = append(group.answers, answer{value: value, err: err})
		size += next.size
		if size >= maxGroupBytes || len(group.requests) >= maxGroupRequests {
			return group
		}
		select {
		case next = <-s.requests:
		default:
			return group
		}
	}
}

func (s *Store) write(group *group) error {
	if group.batch.Empty() {
		return nil
	}
	s.writes++
	group.number = s.writes
	if err := group.batch.Set(writeKey(), binary.BigEndian.AppendUint64(nil, s.writes), nil); err != nil {
		return err
	}
	return s.database.ApplyNoSyncWait(group.batch, pebble.Sync)
}

// sync waits until the group's write is on the disk, and marks that it is.
func (s *Store) sync(group *group) error {
	if group.batch.Empty() {
		return nil
	}
	if err := group.batch.SyncWait(); err != nil {
		return err
	}
	s.fsyncs.Add(1)
	return s.mark.write(s.id, group.number)
}

// syncLoop answers requests once their writes are on the disk.
func (s *Store) syncLoop() {
	defer s.done.Done()
	for group := range s.groups {
		if err := s.sync(group); err != nil {
			s.options.Logger.Error().Err(err).Msg("ledger_store_sync_failed")
			s.failed.Store(true)
			s.stop()
			continue
		}
		for i, request := range group.requests {
			request.answer <- group.answers[i]
		}
		_ = group.batch.Close()
	}
}

// BytesWritten returns what the database has written to its log and tables, rewriting by compactions counted.
func (s *Store) BytesWritten() int64 {
	s.reading.RLock()
	defer s.reading.RUnlock()
	if s.ctx.Err() != nil {
		return 0
	}
	metrics := s.database.Metrics()
	total := metrics.Total()
	return int64(metrics.WAL.BytesWritten + total.TableBytesFlushed + total.TableBytesCompacted)
}
