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
	requestQueueLength  = 1024
	groupQueueLength    = 16
	maxGroupRequests    = 512
	maxGroupBytes       = 4 << 20
)

// Options configures a store. Zero values mean the defaults.
type Options struct {
	// Files is the file system; tests inject faults into it.
	Files vfs.FS
	// Free returns the free bytes of the disk.
	Free func() (uint64, error)
	// With less than ReserveBytes free, owners are told that space is low and start no new work here. With less
	// than MinimumBytes free, the store accepts no records.
	ReserveBytes, MinimumBytes uint64
	// DiskBytes is the size of a disk that holds only the store. If it is set, the free bytes are computed from the
	// database's own usage, and ReserveBytes and MinimumBytes are at most a fixed fraction of it.
	DiskBytes uint64
	Logger    zerolog.Logger
}

// memTable returns the size, in bytes, of the database's in-memory tables; the size of its logs depends on it.
func (o Options) memTable() uint64 {
	if o.DiskBytes == 0 {
		return memTableBytes
	}
	return min(memTableBytes, max(minMemTableBytes, o.DiskBytes/memTableDivisor))
}

// Store is one disk's share of the ledger. It is safe for concurrent use.
type Store struct {
	id       protocol.StoreID
	database *pebble.DB
	options  Options
	requests chan *request
	groups   chan *group
	// stop ends the step and sync goroutines, for which done waits.
	stop   context.CancelFunc
	ctx    context.Context
	done   sync.WaitGroup
	failed atomic.Bool
	// databaseDead is set after a fatal error of the database, which must then not be closed.
	databaseDead atomic.Bool
	// damaged is set if the database found a damaged block; the store has stopped then.
	damaged atomic.Bool
	folder  string
	// reading is held shared by reads on other goroutines, and exclusively by Close, so that no read runs on a closed
	// database.
	reading sync.RWMutex
	fsyncs  atomic.Int64
	// states belongs to the step goroutine after Open.
	states map[protocol.PartitionID]*protocol.StoreState
	// writes is the number of the last written group. It belongs to the step goroutine.
	writes uint64
	// mark belongs to the sync goroutine.
	mark    *syncMark
	staging map[protocol.PartitionID]*staging

	// lastHeard is the time of the last append accepted from an owner, by partition; lastHeardMutex guards it.
	lastHeardMutex sync.Mutex
	lastHeard      map[protocol.PartitionID]time.Time
}

// request is a request to the step goroutine. step returns the answer, which is sent after
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

// Divisors of Options.DiskBytes that bound ReserveBytes and MinimumBytes.
const (
	reserveDivisor = 6
	minimumDivisor = 16
)

// Open opens the store below folder, which must exist. A damaged database is moved aside and replaced by an empty one
// under a new incarnation.
func Open(folder string, options Options) (*Store, error) {
	store := &Store{lastHeard: map[protocol.PartitionID]time.Time{}}
	if options.DiskBytes > 0 {
		options.ReserveBytes = min(defaultReserveBytes, options.DiskBytes/reserveDivisor)
		options.MinimumBytes = min(defaultMinimumBytes, options.DiskBytes/minimumDivisor)
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
	store.requests, store.groups = make(chan *request, requestQueueLength), make(chan *group, groupQueueLength)
	store.staging = map[protocol.PartitionID]*staging{}
	store.ctx, store.stop = context.WithCancel(context.Background())
	opened, err := openDisk(folder, options.Files, options.memTable(), options.Logger, faultHandlers{fatal: store.fail, damaged: store.markDamaged})
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

// LastHeard returns the time of the last append accepted from the partition's owner; zero if there was none since the
// start.
func (s *Store) LastHeard(partition protocol.PartitionID) time.Time {
	s.lastHeardMutex.Lock()
	defer s.lastHeardMutex.Unlock()
	return s.lastHeard[partition]
}

func (s *Store) recordAppend(partition protocol.PartitionID) {
	s.lastHeardMutex.Lock()
	defer s.lastHeardMutex.Unlock()
	s.lastHeard[partition] = clock.Now()
}

// Failed reports whether the disk has failed; the store then answers all requests with errors.
func (s *Store) Failed() bool { return s.failed.Load() }

// Fsyncs returns the number of synced writes, each of which may serve several requests.
func (s *Store) Fsyncs() int64 { return s.fsyncs.Load() }

// Close stops the goroutines, flushes the database and closes it.
func (s *Store) Close() error {
	s.stop()
	s.done.Wait()
	s.reading.Lock()
	defer s.reading.Unlock()
	if s.databaseDead.Load() {
		// One of the database's goroutines was terminated, so closing the database could block forever.
		return nil
	}
	if s.failed.Load() {
		// The failure has already been logged; errors of Close only repeat it.
		_ = s.database.Close()
		return s.mark.close()
	}
	// The flush leaves no log whose tail could be taken for damaged at the next start.
	return errors.Join(s.database.Flush(), s.database.Close(), s.mark.close())
}

// fail is called by the database after a fatal error, on any of its goroutines. It stops the store and terminates the
// calling goroutine.
func (s *Store) fail() {
	s.databaseDead.Store(true)
	s.failed.Store(true)
	s.stop()
	runtime.Goexit()
}

// markDamaged stops the store, because the database does not repair a damaged block and later reads and compactions
// would find it again. It creates a marker file, because of which the next start moves the database aside; owners then
// refill the store like a lost one.
func (s *Store) markDamaged() {
	if s.damaged.Swap(true) {
		return
	}
	s.failed.Store(true)
	s.stop()
	mark, err := s.options.Files.Create(filepath.Join(s.folder, damagedMarkFile), vfs.WriteCategoryUnspecified)
	if err == nil {
		err = errors.Join(mark.Sync(), mark.Close())
	}
	if err != nil {
		s.options.Logger.Error().Err(err).Msg("ledger_damage_not_marked")
	}
}

// run executes step on the step goroutine and waits until its writes are synced.
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

// stepLoop executes the queued requests in groups, with one write per group, and leaves the wait for the disk to syncLoop.
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

// sync waits until the group's write is on the disk and updates the sync mark.
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

// syncLoop answers requests after their writes are on the disk.
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

// BytesWritten returns the bytes that the database has written to its log and tables, including rewrites by compactions.
// It returns 0 after the store has stopped.
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
