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
	// startSpread spreads the first calls of nodes that start together.
	startSpread = 400 * time.Millisecond
	// viewSettled is how long no member may have been found before a node that just started trusts that
	// it is a watcher; viewTimeout bounds the wait.
	viewSettled = 400 * time.Millisecond
	viewTimeout = 2 * time.Second
	// firstSourceWait and maxSourceWait bound the growing wait after a failure.
	firstSourceWait = 250 * time.Millisecond
	maxSourceWait   = 4 * time.Second
	// headPollPerZone times the number of zones is how often a watcher reads the head, so that watches
	// that died silently are noticed: once in 1.5 s by one of all watchers, however many zones there are.
	headPollPerZone = 3 * time.Second
	// maxHeadFailures ends a watch beside which the head can't be read.
	maxHeadFailures = 2
	// pollInsteadOfWatchAfter failures a watcher lists at each try.
	pollInsteadOfWatchAfter = 2
)

var errNoStoreRevision = errors.New("the listing has no revision to watch from")

type sourcePhase int

const (
	sourceIdle sourcePhase = iota
	sourceListing
	sourceWatching
)

// sourceState is a watcher's side towards the key-value service.
type sourceState struct {
	// wanted says that this node should watch.
	wanted bool
	phase  sourcePhase
	// watch numbers the watches; events of earlier ones are dropped.
	watch uint64
	// mustList is set where a watch cannot go on from what is held.
	mustList bool
	failures int
	nextTry  time.Duration
	// liveMembers is their number in the present view, which is so since liveSince.
	liveMembers int
	liveSince   time.Duration
	// readingHead is set while a read of the head is under way.
	readingHead  bool
	headFailures int
	nextHeadPoll time.Duration
}

func newSourceState(random *rand.Rand) sourceState {
	return sourceState{wanted: true, nextTry: time.Duration(random.Int64N(int64(startSpread)))}
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

// waitsForView says that a node that just started is still finding members, one of which
// may have what it would ask the service for.
func (p *protocol) waitsForView() bool {
	return !p.ready.done && p.now < viewTimeout && p.now < p.source.liveSince+viewSettled
}

// trySource watches from what is held, or lists where that is not known to be enough.
func (p *protocol) trySource() {
	source := &p.source
	if source.mustList || p.held == nil || p.held.storeRevision == 0 {
		source.phase = sourceListing
		p.do(actionList{})
		return
	}
	source.phase = sourceWatching
	source.watch++
	source.headFailures = 0
	source.nextHeadPoll = p.now + jittered(p.random, p.headPollInterval())
	p.do(actionWatch{watch: source.watch, fromRevision: p.held.storeRevision + 1})
}

func (p *protocol) headPollInterval() time.Duration {
	return headPollPerZone * time.Duration(max(1, p.peers.zones))
}

func (p *protocol) endWatch() {
	p.source.phase = sourceIdle
	p.source.watch++
	p.do(actionStopWatch{})
}

// sourceFailed waits longer after each failure.
func (p *protocol) sourceFailed() {
	source := &p.source
	source.phase = sourceIdle
	wait := min(firstSourceWait<<min(source.failures, 10), maxSourceWait)
	source.failures++
	source.mustList = source.mustList || source.failures >= pollInsteadOfWatchAfter
	source.nextTry = p.now + jittered(p.random, wait)
}

func (p *protocol) takeListing(listed eventListed) {
	if p.source.phase != sourceListing {
		return
	}
	if listed.err != nil {
		p.do(actionReport{problem: problemStoreAway, err: listed.err})
		p.sourceFailed()
		return
	}
	read, err := documentOf(listed.listing)
	if err != nil {
		p.do(actionReport{problem: problemStoreUnreadable, err: err})
		p.sourceFailed()
		return
	}
	p.takeStoredDocument(read)
}

func (p *protocol) takeStoredDocument(read *document) {
	switch {
	case read.storeRevision == 0:
		p.do(actionReport{problem: problemStoreUnreadable, err: errNoStoreRevision})
		p.sourceFailed()
		return
	case read.revision < p.revision():
		// A stale answer, or a service that lost its data: what is in force stays.
		p.do(actionReport{problem: problemStoreWentBack})
		p.sourceFailed()
		return
	case p.held != nil && read.revision == p.held.revision && read.hash != p.held.hash:
		p.do(actionReport{problem: problemContentDiffers})
		p.sourceFailed()
		return
	case p.held != nil && read.revision == p.held.revision:
		p.held = p.held.withStoreRevision(read.storeRevision)
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

func (p *protocol) takeHead(read eventHeadRead) {
	p.source.readingHead = false
	p.source.nextHeadPoll = p.now + jittered(p.random, p.headPollInterval())
	if read.err != nil {
		p.do(actionReport{problem: problemStoreAway, err: read.err})
		p.source.headFailures++
		if p.source.headFailures >= maxHeadFailures && p.source.phase == sourceWatching {
			p.endWatch()
			p.sourceFailed()
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

func (p *protocol) takeWatched(watched eventWatched) {
	if watched.watch != p.source.watch || p.source.phase != sourceWatching {
		return
	}
	if watched.changed.Err != nil {
		p.do(actionStopWatch{})
		if errorx.IsOfType(watched.changed.Err, platform.KindCompacted) {
			p.source.mustList = true
		} else {
			p.do(actionReport{problem: problemStoreAway, err: watched.changed.Err})
		}
		p.sourceFailed()
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
	p.takeStoredDelta(next)
}

// takeStoredDelta takes a change from the watch, and sends one that is new to the zone's others.
func (p *protocol) takeStoredDelta(next *delta) {
	switch {
	case p.held == nil || next.revision > p.held.revision+1:
		p.endWatch()
		p.source.mustList = true
	case next.revision == p.held.revision:
		p.held = p.held.withStoreRevision(next.storeRevision)
	case next.revision == p.held.revision+1:
		document := p.held.apply(next)
		next.hash = document.hash
		p.adopt(document)
		if len(p.peers.zone) > 0 {
			p.do(actionSendDelta{to: p.peers.zone, delta: next})
		}
	}
}
