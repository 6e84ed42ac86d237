package replica

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/unreached"
)

const (
	// reportHalfLife is the age at which a told load counts half.
	reportHalfLife = 700 * time.Millisecond
	// othersStale is the age at which the other nodes' numbers no longer count.
	othersStale = 400 * time.Millisecond
	// comparable is the age up to which they can be compared with what a replica reports: requests last 50 ms and more.
	comparable = 120 * time.Millisecond
	// avoidFirst and avoidLongest bound how long a replica is avoided after it failed.
	avoidFirst   = 200 * time.Millisecond
	avoidLongest = 3 * time.Second
	// othersAvoiding is the number of other nodes that avoid a replica from which on this node does so too: where one answer in twenty of
	// half of the replicas is lost, one node avoids some three replicas at any time, two hardly ever the same.
	othersAvoiding = 2
	// ownExperience is how long bytes of an answer count for more than what fails other nodes.
	ownExperience = 300 * time.Millisecond
	// downAfter is the number of failures, one after the other, after which a replica is taken to be down.
	downAfter = 2
	// failureWeight is the part of the newest result in the running failure rate.
	failureWeight = 0.12
)

// Use is what nodes have at a replica.
type Use struct {
	Requests int
	// Reading are the prompt tokens of those of the requests that wait for their first event.
	Reading int
	// Avoiding is the number of nodes that avoid the replica since their calls to it fail.
	Avoiding int
}

// Plus adds other, sign times.
func (u Use) Plus(other Use, sign int) Use {
	return Use{Requests: u.Requests + sign*other.Requests, Reading: u.Reading + sign*other.Reading, Avoiding: u.Avoiding + sign*other.Avoiding}
}

// Minus returns what is left without other; neither number falls below zero.
func (u Use) Minus(other Use) Use {
	left := u.Plus(other, -1)
	return Use{Requests: max(0, left.Requests), Reading: max(0, left.Reading), Avoiding: max(0, left.Avoiding)}
}

// Load is what a replica tells of itself: requests that run, requests that wait, and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Handle is one incarnation of a replica with what this process knows of it. It is safe for concurrent use.
type Handle struct {
	info  atomic.Pointer[Info]
	key   Key
	pool  connectionPool
	gone  atomic.Bool
	inUse atomic.Int64
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
	// heardAt is when bytes of an answer last came, in nanoseconds since the start of the process; 0 is never.
	heardAt atomic.Int64
	cold    coldness
	pace    pace

	mutex sync.Mutex
	// The fields below are guarded by mutex.
	reported      Load
	reportedAt    time.Time
	inUseAtReport int64
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

// Key names a replica in messages between nodes: the XXH64 of its ID.
type Key uint64

// KeyOf returns the key of a replica.
func KeyOf(replicaID string) Key { return Key(xxhash.Sum64String(replicaID)) }

// NewHandle returns a handle of a replica of which nothing else is known.
func NewHandle(info Info) *Handle {
	handle := &Handle{key: KeyOf(info.ID), zone: unreached.NewZones().Of(info.Zone)}
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

// InUse returns the number of this process's requests there.
func (h *Handle) InUse() int { return int(h.inUse.Load()) }

// Acquire counts a request until release is called.
func (h *Handle) Acquire() (release func()) {
	h.addInUse(1)
	h.NoteSent(time.Now())
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

// Use returns what this process has there.
func (h *Handle) Use() Use {
	use := Use{Requests: h.InUse(), Reading: int(h.reading.Load())}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if time.Now().Before(h.failingUntil) {
		use.Avoiding = 1
	}
	return use
}

// Reading returns the prompt tokens of all nodes' requests that wait for their first event, of this process's alone where the others'
// are not known.
func (h *Handle) Reading(now time.Time) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	reading := int(h.reading.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale {
		reading += h.others.Reading
	}
	return reading
}

// processStart is the origin of times that no step of the time of day changes.
var processStart = time.Now()

// Heard notes that bytes of an answer have come.
func (h *Handle) Heard() {
	h.heardAt.Store(int64(time.Since(processStart)))
	h.zone.NoteAnswer(time.Now())
}

// HeardSince says that bytes of an answer have come after since.
func (h *Handle) HeardSince(since time.Time) bool {
	at := h.heardAt.Load()
	return at != 0 && at > int64(since.Sub(processStart))
}

// Tell takes in a load that the replica told.
func (h *Handle) Tell(load Load, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.reported, h.reportedAt, h.inUseAtReport = load, now, h.inUse.Load()
	if now.Sub(h.othersAt) <= comparable {
		h.unknown, h.unknownAt = max(0, float64(load.Running+load.Waiting-h.others.Requests)-float64(h.inUseAtReport)), now
	}
}

// SetOthers takes in what the other nodes have there.
func (h *Handle) SetOthers(others Use, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.others, h.othersAt = others, now
}

// Occupancy estimates the requests at the replica, running and waiting, of all callers. While the other nodes' numbers are
// known it is these and this process's own, and what only the replica reported, fading with age; else it is what the replica reported
// last, fading with age, and what this process began and ended since.
func (h *Handle) Occupancy(now time.Time) float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	inUse := float64(h.inUse.Load())
	if !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale {
		return inUse + float64(h.others.Requests) + h.unknown*fade(h.unknownAt, now)
	}
	return max(inUse, float64(h.reported.Running+h.reported.Waiting)*fade(h.reportedAt, now)+inUse-float64(h.inUseAtReport))
}

// fade returns the weight of what a replica reported at reportedAt; 0 where it never did.
func fade(reportedAt, now time.Time) float64 {
	if reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-now.Sub(reportedAt).Seconds() / reportHalfLife.Seconds())
}

// Succeeded notes a whole answer.
func (h *Handle) Succeeded() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failures = 0
	h.avoidUntil, h.failingUntil = time.Time{}, time.Time{}
	h.failureRate *= 1 - failureWeight
}

// Failed notes a call that the replica did not answer well; it is avoided for a while.
func (h *Handle) Failed(now time.Time) {
	h.mutex.Lock()
	h.failures++
	wait := avoidFirst << min(h.failures-1, 8)
	h.avoidUntil = now.Add(min(wait, avoidLongest))
	h.failingUntil = h.avoidUntil
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.mutex.Unlock()
	h.signalChange()
}

// Ended notes that the replica's process was found to have ended: it is avoided until its entry is likely to be gone.
func (h *Handle) Ended(now time.Time) {
	h.mutex.Lock()
	h.failures = max(h.failures, downAfter)
	h.avoidUntil = now.Add(avoidLongest)
	h.failingUntil = h.avoidUntil
	h.mutex.Unlock()
	h.signalChange()
}

// Rejected notes that the replica refused a request for want of room; it is avoided for a moment.
func (h *Handle) Rejected(now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	until := now.Add(avoidFirst / 2)
	if until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
}

// Avoided says that the replica failed or refused a short while ago, or fails other nodes.
func (h *Handle) Avoided(now time.Time) bool {
	h.mutex.Lock()
	avoided := now.Before(h.avoidUntil)
	h.mutex.Unlock()
	return avoided || h.FailsOthers(now)
}

// FailsOthers says that several other nodes avoid the replica since their calls to it fail, and that this process has had no bytes of an
// answer from it lately.
func (h *Handle) FailsOthers(now time.Time) bool {
	h.mutex.Lock()
	fails := !h.othersAt.IsZero() && now.Sub(h.othersAt) < othersStale && h.others.Avoiding >= othersAvoiding
	h.mutex.Unlock()
	return fails && !h.HeardSince(now.Add(-ownExperience))
}

// Down says that no answer can be expected of the replica: it fails other nodes, or has failed this process again and again.
func (h *Handle) Down(now time.Time) bool {
	h.mutex.Lock()
	failing := h.failures >= downAfter && now.Before(h.failingUntil)
	h.mutex.Unlock()
	return failing || h.zone.CutOff() || h.FailsOthers(now)
}

// FailureRate is the share of failures among the latest calls, from 0 to 1.
func (h *Handle) FailureRate() float64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failureRate
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
