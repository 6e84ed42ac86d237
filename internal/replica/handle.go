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

// Handle is one life of a replica with what this process knows of it. It is safe for concurrent use.
type Handle struct {
	info atomic.Pointer[Info]
	key  Key
	pool connectionPool
	gone atomic.Bool
	// replaced says that the replica has started again under its ID.
	replaced atomic.Bool
	inUse    atomic.Int64
	// useChanged, where it is set, is called after a request began or ended or its prompt was read; it is set before the first one.
	useChanged func()
	// reading counts the prompt tokens of this process's requests that wait for their first event.
	reading atomic.Int64
	// evacuated says that the replica's zone is taken out of service.
	evacuated atomic.Bool
	// evacuationEnded is when the zone was taken back; nil where it never was.
	evacuationEnded atomic.Pointer[time.Time]
	// zone is what is known of whether the replicas of this one's zone are reached.
	zone *unreached.Zone
	// probesDue returns replicas of zones that are to be probed; nil for a replica outside a Directory.
	probesDue func(now time.Time) []*Handle
	// unconfirmed says that the replica is known from a copy only, misdirected that another service answered at its address meanwhile.
	unconfirmed, misdirected atomic.Bool
	// answeredAt is when bytes of an answer last came, in nanoseconds since the start of the process; 0 is never.
	answeredAt atomic.Int64
	cold       coldness
	pace       pace

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	reported      Load
	reportedAt    time.Time
	inUseAtReport int64
	// workTime is the newest Load.WorkTime that was reported, at workTimeAt.
	workTime   int
	workTimeAt time.Time
	// others is what the other nodes have there, as known at othersAt; unknown are those that the replica reported at
	// unknownAt and no node did.
	others    Use
	othersAt  time.Time
	unknown   float64
	unknownAt time.Time
	// failures counts those since the last whole answer; the replica is avoided until avoidUntil, and held for failing until failingUntil.
	failures     int
	avoidUntil   time.Time
	failingUntil time.Time
	failureRate  float64
}

// Key names a life of a replica in messages between nodes: the XXH64 of its ID and, where that is known, its start.
type Key uint64

// KeyOf returns the key of a replica whose start is not known.
func KeyOf(replicaID string) Key { return Key(xxhash.Sum64String(replicaID)) }

func keyOfLife(info Info) Key {
	if info.Born == 0 {
		return KeyOf(info.ID)
	}
	return KeyOf(info.ID + "@" + strconv.FormatInt(info.Born, 10))
}

// NewHandle returns a handle of a replica of which nothing else is known.
func NewHandle(info Info) *Handle {
	handle := &Handle{key: keyOfLife(info), zone: unreached.NewZones().Of(info.Zone)}
	handle.info.Store(&info)
	return handle
}

// Info returns the replica's newest entry.
func (h *Handle) Info() *Info { return h.info.Load() }

// Key returns the replica's key.
func (h *Handle) Key() Key { return h.key }

// Usable says that new requests may go to the replica.
func (h *Handle) Usable() bool {
	return !h.gone.Load() && !h.misdirected.Load() && !h.evacuated.Load() && !h.Info().Draining
}

// Replaced says that this life of the replica has ended: another one has its ID.
func (h *Handle) Replaced() bool { return h.replaced.Load() }

// InUse returns the number of this process's requests there.
func (h *Handle) InUse() int { return int(h.inUse.Load()) }

// Acquire counts a request until release is called.
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

// BeginReading counts the tokens of a prompt until read is called.
func (h *Handle) BeginReading(tokens int) (read func()) {
	h.reading.Add(int64(tokens))
	var once sync.Once
	return func() { once.Do(func() { h.endReading(tokens) }) }
}

func (h *Handle) endReading(tokens int) {
	h.reading.Add(-int64(tokens))
	if tokens > 0 {
		h.signalChange()
	}
}

// processStart is the origin of times that no step of the time of day changes.
var processStart = clock.Now()

// NoteAnswer notes that bytes of an answer have come.
func (h *Handle) NoteAnswer() {
	now := clock.Now()
	h.answeredAt.Store(int64(now.Sub(processStart)))
	h.zone.NoteAnswer(now)
}

// AnsweredSince says that bytes of an answer have come after since.
func (h *Handle) AnsweredSince(since time.Time) bool {
	at := h.answeredAt.Load()
	return at != 0 && at > int64(since.Sub(processStart))
}

// DropKept closes the kept connections, since one went silent without a reset: the others may have too, and each would cost a request.
func (h *Handle) DropKept() { h.pool.drop() }

// KeptAlive says that a kept connection is open at the other end: the process there has not ended.
func (h *Handle) KeptAlive() bool { return h.pool.anyQuiet() }

// retire closes the kept connections; requests under way go on.
func (h *Handle) retire() {
	h.gone.Store(true)
	h.pool.close()
}
