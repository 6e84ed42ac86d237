package replica

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/unreached"
)

// Handle is one incarnation of a replica and what this process knows of it. It is safe for concurrent use.
type Handle struct {
	info    atomic.Pointer[Info]
	key     Key
	pool    connectionPool
	retired atomic.Bool
	// replaced is true once a later incarnation of the replica has taken its place.
	replaced atomic.Bool
	inUse    atomic.Int64
	// useChanged, if set, is called after a request began or ended, its prompt was processed, or the replica failed. It is set before
	// the first request.
	useChanged func()
	// readingTokens counts the prompt tokens of this process's requests that have not yet received their first event.
	readingTokens atomic.Int64
	// evacuated is true while the replica's zone is out of service.
	evacuated atomic.Bool
	// evacuationEnded is when the zone's last evacuation ended; nil if there was none.
	evacuationEnded atomic.Pointer[time.Time]
	// zone tracks whether the replica's zone is reachable.
	zone *unreached.Zone
	// probesDue returns replicas of unreachable zones that are to be probed now; nil for a replica outside a Directory.
	probesDue func(now time.Time) []*Handle
	// unconfirmed is true while the replica is known only from a copy of the directory; misdirected is true if, meanwhile, another
	// service has answered at its address.
	unconfirmed, misdirected atomic.Bool
	// answeredAt is when bytes of a response were last received, in nanoseconds since processStart; 0 is never.
	answeredAt atomic.Int64
	cold       coldState
	pace       pace

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	reported      Load
	reportedAt    time.Time
	inUseAtReport int64
	// workTime is the latest reported Load.WorkTime, received at workTimeAt.
	workTime   int
	workTimeAt time.Time
	// othersUse is the other nodes' use of the replica as of othersAt. unattributed counts the requests that the replica reported at
	// unattributedAt and that no node accounts for.
	othersUse      Use
	othersAt       time.Time
	unattributed   float64
	unattributedAt time.Time
	// failures counts failures since the last complete response. The replica is avoided until avoidUntil, after failures and refusals,
	// and counts as failing until failingUntil, after failures only.
	failures     int
	avoidUntil   time.Time
	failingUntil time.Time
	failureRate  float64
}

// Key identifies an incarnation of a replica in messages between nodes: the XXH64 of its ID and, if known, its start time.
type Key uint64

// KeyOf returns the key of a replica whose start time is not known.
func KeyOf(replicaID string) Key { return Key(xxhash.Sum64String(replicaID)) }

func incarnationKey(info Info) Key {
	if info.Born == 0 {
		return KeyOf(info.ID)
	}
	return KeyOf(info.ID + "@" + strconv.FormatInt(info.Born, 10))
}

// NewHandle returns a Handle with nothing but the replica's entry.
func NewHandle(info Info) *Handle {
	handle := &Handle{key: incarnationKey(info), zone: unreached.NewZones().Get(info.Zone)}
	handle.info.Store(&info)
	return handle
}

// Info returns the replica's latest entry.
func (h *Handle) Info() *Info { return h.info.Load() }

// Key returns the replica's key.
func (h *Handle) Key() Key { return h.key }

// Usable reports whether new requests may be sent to the replica.
func (h *Handle) Usable() bool {
	return !h.retired.Load() && !h.misdirected.Load() && !h.evacuated.Load() && !h.Info().Draining
}

// Replaced reports whether a later incarnation of the replica has taken its ID.
func (h *Handle) Replaced() bool { return h.replaced.Load() }

// InUse returns the number of this process's requests in flight at the replica.
func (h *Handle) InUse() int { return int(h.inUse.Load()) }

// Acquire counts a request as in flight until release is called.
func (h *Handle) Acquire() (release func()) {
	h.addInUse(1)
	h.NoteSent(clock.Now())
	var once sync.Once
	return func() { once.Do(func() { h.addInUse(-1) }) }
}

func (h *Handle) addInUse(requests int64) {
	h.inUse.Add(requests)
	h.signalChange()
}

func (h *Handle) signalChange() {
	if h.useChanged != nil {
		h.useChanged()
	}
}

// BeginReading counts the prompt's tokens as unprocessed until read is called.
func (h *Handle) BeginReading(tokens int) (read func()) {
	h.readingTokens.Add(int64(tokens))
	var once sync.Once
	return func() { once.Do(func() { h.endReading(tokens) }) }
}

func (h *Handle) endReading(tokens int) {
	h.readingTokens.Add(-int64(tokens))
	if tokens > 0 {
		h.signalChange()
	}
}

// processStart is the origin of monotonic times, which adjustments of the wall clock do not affect.
var processStart = clock.Now()

// NoteAnswer records that bytes of a response were received now.
func (h *Handle) NoteAnswer() {
	now := clock.Now()
	h.answeredAt.Store(int64(now.Sub(processStart)))
	h.zone.NoteAnswer(now)
}

// AnsweredSince reports whether bytes of a response were received after since.
func (h *Handle) AnsweredSince(since time.Time) bool {
	at := h.answeredAt.Load()
	return at != 0 && at > int64(since.Sub(processStart))
}

// DropKept closes the idle connections. It is called after one went silent without a reset: the others may be dead as well, and each
// would cost a request.
func (h *Handle) DropKept() { h.pool.drop() }

// KeptAlive reports whether the replica still holds an idle connection open, which shows that its process has not ended.
func (h *Handle) KeptAlive() bool { return h.pool.anyReusable() }

// retire makes the handle unusable and closes its idle connections; requests in flight continue.
func (h *Handle) retire() {
	h.retired.Store(true)
	h.pool.close()
}
