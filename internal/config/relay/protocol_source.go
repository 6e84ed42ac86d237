package relay

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/platform"
)

// Timing of the calls to the key-value service.
const (
	// startJitter is the maximum random delay of the first call, to spread the calls of nodes that start together.
	startJitter = 400 * time.Millisecond
	// viewSettleTime is how long the number of live members must be unchanged before a starting node relies on
	// being a watcher; viewTimeout limits the wait.
	viewSettleTime = 400 * time.Millisecond
	viewTimeout    = 2 * time.Second
	// minSourceBackoff and maxSourceBackoff bound the exponential backoff after a failure.
	minSourceBackoff = 250 * time.Millisecond
	maxSourceBackoff = 4 * time.Second
	// headPollPerZone times the number of zones is the interval at which a watcher reads the head, to detect
	// watches that died silently. All watchers together read it once in 1.5 s, whatever the number of zones.
	headPollPerZone = 3 * time.Second
	// maxHeadFailures is the number of consecutive failures to read the head after which a watch is ended.
	maxHeadFailures = 2
	// listAfterFailures is the number of consecutive failures from which on a watcher lists at each try.
	listAfterFailures = 2
)

var errNoStoreRevision = errors.New("the listing has no revision to watch from")

type sourcePhase int

const (
	sourceIdle sourcePhase = iota
	sourceListing
	sourceWatching
)

// sourceState is the state of a node towards the key-value service.
type sourceState struct {
	// wanted is set if this node should be a watcher.
	wanted bool
	phase  sourcePhase
	// watch is the number of the current watch; events of earlier watches are dropped.
	watch uint64
	// mustList is set if a watch cannot continue from the latest document.
	mustList bool
	failures int
	nextTry  time.Duration
	// liveMembers is the number of live members in the current view, unchanged since liveSince.
	liveMembers int
	liveSince   time.Duration
	// readingHead is set while a read of the head is in flight.
	readingHead  bool
	headFailures int
	nextHeadPoll time.Duration
}

func newSourceState(random *rand.Rand) sourceState {
	return sourceState{wanted: true, nextTry: time.Duration(random.Int64N(int64(startJitter)))}
}

func (p *protocol) tickSource() {
	source := &p.source
	if !source.wanted {
		if source.phase == sourceWatching {
			p.endWatch()
		}
		return
	}
	switch {
	case source.phase == sourceIdle && p.now >= source.nextTry && !p.waitsForView():
		p.trySource()
	case source.phase == sourceWatching && !source.readingHead && p.now >= source.nextHeadPoll:
		source.readingHead = true
		p.do(actionReadHead{})
	}
}

// waitsForView reports whether a starting node is still discovering members, one of which
// may have the configuration that it would list otherwise.
func (p *protocol) waitsForView() bool {
	return !p.ready.done && p.now < viewTimeout && p.now < p.source.liveSince+viewSettleTime
}

// trySource starts a watch from the latest document, or a listing if a watch may miss changes.
func (p *protocol) trySource() {
	source := &p.source
	if source.mustList || p.latest == nil || p.latest.storeRevision == 0 {
		source.phase = sourceListing
		p.do(actionList{})
		return
	}
	source.phase = sourceWatching
	source.watch++
	source.headFailures = 0
	source.nextHeadPoll = p.now + jittered(p.random, p.headPollInterval())
	p.do(actionWatch{watch: source.watch, fromRevision: p.latest.storeRevision + 1})
}

func (p *protocol) headPollInterval() time.Duration {
	return headPollPerZone * time.Duration(max(1, p.peers.zones))
}

func (p *protocol) endWatch() {
	p.source.phase = sourceIdle
	p.source.watch++
	p.do(actionStopWatch{})
}

// scheduleSourceRetry counts a failure and schedules the next try with exponential backoff and jitter.
func (p *protocol) scheduleSourceRetry() {
	source := &p.source
	source.phase = sourceIdle
	wait := min(minSourceBackoff<<min(source.failures, 10), maxSourceBackoff)
	source.failures++
	source.mustList = source.mustList || source.failures >= listAfterFailures
	source.nextTry = p.now + jittered(p.random, wait)
}

func (p *protocol) handleListing(listed eventListed) {
	if p.source.phase != sourceListing {
		return
	}
	if listed.err != nil {
		p.do(actionReport{problem: problemStoreUnavailable, err: listed.err})
		p.scheduleSourceRetry()
		return
	}
	read, err := documentOf(listed.listing)
	if err != nil {
		p.do(actionReport{problem: problemStoreUnreadable, err: err})
		p.scheduleSourceRetry()
		return
	}
	p.adoptStoredDocument(read)
}

func (p *protocol) adoptStoredDocument(read *document) {
	switch {
	case read.storeRevision == 0:
		p.do(actionReport{problem: problemStoreUnreadable, err: errNoStoreRevision})
		p.scheduleSourceRetry()
		return
	case read.revision < p.revision():
		// A stale response, or a service that lost data: keep the latest document.
		p.do(actionReport{problem: problemStoreOlder})
		p.scheduleSourceRetry()
		return
	case p.latest != nil && read.revision == p.latest.revision && read.hash != p.latest.hash:
		p.do(actionReport{problem: problemContentDiffers})
		p.scheduleSourceRetry()
		return
	case p.latest != nil && read.revision == p.latest.revision:
		p.latest = p.latest.withStoreRevision(read.storeRevision)
	default:
		p.adopt(read)
	}
	p.ready.confirmedByStore = true
	p.source.phase = sourceIdle
	p.source.mustList = false
	if p.source.wanted {
		p.trySource()
	}
}

func (p *protocol) handleHead(read eventHeadRead) {
	p.source.readingHead = false
	p.source.nextHeadPoll = p.now + jittered(p.random, p.headPollInterval())
	if read.err != nil {
		p.do(actionReport{problem: problemStoreUnavailable, err: read.err})
		p.source.headFailures++
		if p.source.headFailures >= maxHeadFailures && p.source.phase == sourceWatching {
			p.endWatch()
			p.scheduleSourceRetry()
		}
		return
	}
	p.source.headFailures = 0
	if read.revision > p.revision() && p.source.phase == sourceWatching {
		p.endWatch()
		p.source.mustList = true
		return
	}
	p.source.failures = 0
	p.ready.confirmedByStore = p.ready.confirmedByStore || read.revision == p.revision()
}

func (p *protocol) handleWatched(watched eventWatched) {
	if watched.watch != p.source.watch || p.source.phase != sourceWatching {
		return
	}
	if watched.changed.Err != nil {
		p.do(actionStopWatch{})
		if errorx.IsOfType(watched.changed.Err, platform.KindCompacted) {
			p.source.mustList = true
		} else {
			p.do(actionReport{problem: problemStoreUnavailable, err: watched.changed.Err})
		}
		p.scheduleSourceRetry()
		return
	}
	p.source.failures = 0
	next, err := deltaOf(watched.changed)
	if err != nil {
		p.do(actionReport{problem: problemStoreUnreadable, err: err})
		p.endWatch()
		p.source.mustList = true
		return
	}
	p.adoptStoredDelta(next)
}

// adoptStoredDelta applies a delta from the watch and, if it is new, sends it to the other nodes of the zone.
func (p *protocol) adoptStoredDelta(next *delta) {
	switch {
	case p.latest == nil || next.revision > p.latest.revision+1:
		p.endWatch()
		p.source.mustList = true
	case next.revision == p.latest.revision:
		p.latest = p.latest.withStoreRevision(next.storeRevision)
	case next.revision == p.latest.revision+1:
		document := p.latest.apply(next)
		next.hash = document.hash
		p.adopt(document)
		if len(p.peers.zone) > 0 {
			p.do(actionSendDelta{to: p.peers.zone, delta: next})
		}
	}
}
