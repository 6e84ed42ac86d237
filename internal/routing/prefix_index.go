package routing

import (
	"math"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/fleet"
)

// Bounds of the prefix index.
const (
	maxIndexBlocks = 1 << 17
	// halfLife is the age at which the confidence in an entry has halved;
	// confirmedHalfLife holds for entries that a cache event confirmed.
	halfLife          = 60 * time.Second
	confirmedHalfLife = 300 * time.Second
	// gapFactor scales the confidence in entries made before cache events were lost.
	gapFactor = 0.8
)

// holding says that a replica held a block when it was last heard of.
type holding struct {
	replica   string
	at        time.Time
	confirmed bool
}

// prefixIndex remembers which replicas are thought to hold which prefix blocks: from own
// dispatches, corrected by cache events. It keeps two generations of blocks; the
// older one is dropped when the newer one is full.
type prefixIndex struct {
	confidence bool
	// mutex guards all below.
	mutex   sync.Mutex
	recent  map[uint64][]holding
	older   map[uint64][]holding
	gaps    map[string]time.Time
	cleared map[string]time.Time
}

func newPrefixIndex(confidence bool) *prefixIndex {
	return &prefixIndex{
		confidence: confidence,
		recent:     make(map[uint64][]holding),
		older:      make(map[uint64][]holding),
		gaps:       make(map[string]time.Time),
		cleared:    make(map[string]time.Time),
	}
}

// overlap is what a replica is thought to hold of a prompt.
type overlap struct {
	blocks     int
	confidence float64
}

// match returns the overlap of each replica that holds at least the first block.
func (x *prefixIndex) match(now time.Time, blocks []uint64) map[string]overlap {
	if len(blocks) == 0 {
		return nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var matched map[string]overlap
	for depth, block := range blocks {
		found := false
		for _, held := range x.holdings(block) {
			before := matched[held.replica]
			if before.blocks != depth || x.wasCleared(held) {
				continue
			}
			confidence := x.confidenceIn(now, held)
			if depth > 0 {
				confidence = min(confidence, before.confidence)
			}
			if matched == nil {
				matched = make(map[string]overlap)
			}
			matched[held.replica] = overlap{blocks: depth + 1, confidence: confidence}
			found = true
		}
		if !found {
			break
		}
	}
	return matched
}

// matchOn returns the overlap of one replica.
func (x *prefixIndex) matchOn(now time.Time, replica string, blocks []uint64) overlap {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	result := overlap{confidence: 1}
	for _, block := range blocks {
		held, found := holdingOf(x.holdings(block), replica)
		if !found || x.wasCleared(held) {
			break
		}
		result.blocks++
		result.confidence = min(result.confidence, x.confidenceIn(now, held))
	}
	return result
}

func holdingOf(holdings []holding, replica string) (holding, bool) {
	for _, held := range holdings {
		if held.replica == replica {
			return held, true
		}
	}
	return holding{}, false
}

func (x *prefixIndex) holdings(block uint64) []holding {
	if found, ok := x.recent[block]; ok {
		return found
	}
	return x.older[block]
}

func (x *prefixIndex) wasCleared(held holding) bool {
	at, ok := x.cleared[held.replica]
	return ok && !held.at.After(at)
}

func (x *prefixIndex) confidenceIn(now time.Time, held holding) float64 {
	if !x.confidence {
		return 1
	}
	half := halfLife
	if held.confirmed {
		half = confirmedHalfLife
	}
	confidence := min(1, math.Exp2(-float64(now.Sub(held.at))/float64(half)))
	if gap, ok := x.gaps[held.replica]; ok && !held.at.After(gap) {
		confidence *= gapFactor
	}
	return confidence
}

// record notes that a replica holds blocks from now on.
func (x *prefixIndex) record(now time.Time, replica string, blocks []uint64, confirmed bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, block := range blocks {
		x.put(block, holding{replica: replica, at: now, confirmed: confirmed})
	}
}

func (x *prefixIndex) put(block uint64, held holding) {
	holdings, ok := x.recent[block]
	if !ok {
		if len(x.recent) >= maxIndexBlocks/2 {
			x.older, x.recent = x.recent, make(map[uint64][]holding)
		}
		holdings = x.older[block]
		delete(x.older, block)
	}
	for index := range holdings {
		if holdings[index].replica == held.replica {
			held.confirmed = held.confirmed || holdings[index].confirmed
			holdings[index] = held
			x.recent[block] = holdings
			return
		}
	}
	x.recent[block] = append(holdings, held)
}

// correct applies what cache events tell. An own dispatch that is younger than the events'
// lag may look evicted although it is not; that costs one hit at most.
func (x *prefixIndex) correct(now time.Time, change fleet.CacheChange) {
	if change.Cleared || change.Gap {
		x.mutex.Lock()
		if change.Cleared {
			x.cleared[change.Replica] = now
		}
		if change.Gap {
			x.gaps[change.Replica] = now
		}
		x.mutex.Unlock()
	}
	x.remove(change.Replica, change.Evicted)
	x.record(now.Add(time.Nanosecond), change.Replica, change.Stored, true)
}

func (x *prefixIndex) remove(replica string, blocks []uint64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, block := range blocks {
		for _, generation := range []map[uint64][]holding{x.recent, x.older} {
			generation[block] = without(generation[block], replica)
			if len(generation[block]) == 0 {
				delete(generation, block)
			}
		}
	}
}

func without(holdings []holding, replica string) []holding {
	for index := range holdings {
		if holdings[index].replica == replica {
			return append(holdings[:index:index], holdings[index+1:]...)
		}
	}
	return holdings
}
