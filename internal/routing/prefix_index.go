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
	// unconfirmedHalfLife is the age at which the confidence in an entry has halved;
	// confirmedHalfLife applies to entries that a cache event confirmed.
	unconfirmedHalfLife = 60 * time.Second
	confirmedHalfLife   = 300 * time.Second
	// gapFactor scales the confidence in entries that predate a loss of cache events.
	gapFactor = 0.8
)

// holder records that a replica held a block at the time updatedAt. confirmed is set if a cache
// event reported it.
type holder struct {
	replica   string
	updatedAt time.Time
	confirmed bool
}

// prefixIndex tracks which replicas are expected to have which prefix blocks cached. It is filled
// from this node's own dispatches and corrected by cache events. It keeps two generations of
// blocks; when the newer one is full, the older one is dropped.
type prefixIndex struct {
	// discounting enables the decay of confidence with age; without it, confidence is 1.
	discounting bool
	// mutex guards the fields below.
	mutex sync.Mutex
	newer map[uint64][]holder
	older map[uint64][]holder
	// gapAt and clearedAt hold, for each replica, when cache events were last lost and when its
	// cache was last cleared.
	gapAt     map[string]time.Time
	clearedAt map[string]time.Time
}

func newPrefixIndex(discounting bool) *prefixIndex {
	return &prefixIndex{
		discounting: discounting,
		newer:       make(map[uint64][]holder),
		older:       make(map[uint64][]holder),
		gapAt:       make(map[string]time.Time),
		clearedAt:   make(map[string]time.Time),
	}
}

// overlap is the number of leading blocks of a prompt that a replica is expected to hold, and the
// confidence (0 to 1) in that.
type overlap struct {
	blocks     int
	confidence float64
}

// matchAll returns the overlap of each replica that holds at least the first block.
func (x *prefixIndex) matchAll(now time.Time, blocks []uint64) map[string]overlap {
	if len(blocks) == 0 {
		return nil
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var matched map[string]overlap
	for depth, block := range blocks {
		found := false
		for _, held := range x.holders(block) {
			previous := matched[held.replica]
			if previous.blocks != depth || x.wasCleared(held) {
				continue
			}
			confidence := x.confidenceOf(now, held)
			if depth > 0 {
				confidence = min(confidence, previous.confidence)
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

// matchReplica returns the overlap of one replica.
func (x *prefixIndex) matchReplica(now time.Time, replica string, blocks []uint64) overlap {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	result := overlap{confidence: 1}
	for _, block := range blocks {
		held, found := findHolder(x.holders(block), replica)
		if !found || x.wasCleared(held) {
			break
		}
		result.blocks++
		result.confidence = min(result.confidence, x.confidenceOf(now, held))
	}
	return result
}

func findHolder(holders []holder, replica string) (holder, bool) {
	for _, held := range holders {
		if held.replica == replica {
			return held, true
		}
	}
	return holder{}, false
}

func (x *prefixIndex) holders(block uint64) []holder {
	if found, ok := x.newer[block]; ok {
		return found
	}
	return x.older[block]
}

func (x *prefixIndex) wasCleared(held holder) bool {
	at, ok := x.clearedAt[held.replica]
	return ok && !held.updatedAt.After(at)
}

func (x *prefixIndex) confidenceOf(now time.Time, held holder) float64 {
	if !x.discounting {
		return 1
	}
	halfLife := unconfirmedHalfLife
	if held.confirmed {
		halfLife = confirmedHalfLife
	}
	confidence := min(1, math.Exp2(-float64(now.Sub(held.updatedAt))/float64(halfLife)))
	if gap, ok := x.gapAt[held.replica]; ok && !held.updatedAt.After(gap) {
		confidence *= gapFactor
	}
	return confidence
}

// record adds a replica as holder of the blocks as of now.
func (x *prefixIndex) record(now time.Time, replica string, blocks []uint64, confirmed bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, block := range blocks {
		x.add(block, holder{replica: replica, updatedAt: now, confirmed: confirmed})
	}
}

func (x *prefixIndex) add(block uint64, held holder) {
	holders, inNewer := x.newer[block]
	if !inNewer {
		if len(x.newer) >= maxIndexBlocks/2 {
			x.older, x.newer = x.newer, make(map[uint64][]holder)
		}
		holders = x.older[block]
		delete(x.older, block)
	}
	for index := range holders {
		if holders[index].replica == held.replica {
			held.confirmed = held.confirmed || holders[index].confirmed
			holders[index] = held
			x.newer[block] = holders
			return
		}
	}
	x.newer[block] = append(holders, held)
}

// correct applies cache events. Events lag behind, so a block of a later own dispatch may be
// removed although it is cached. That costs at most one cache hit.
func (x *prefixIndex) correct(now time.Time, change fleet.CacheChange) {
	if change.Cleared || change.Gap {
		x.mutex.Lock()
		if change.Cleared {
			x.clearedAt[change.Replica] = now
		}
		if change.Gap {
			x.gapAt[change.Replica] = now
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
		for _, generation := range []map[uint64][]holder{x.newer, x.older} {
			generation[block] = removeHolder(generation[block], replica)
			if len(generation[block]) == 0 {
				delete(generation, block)
			}
		}
	}
}

func removeHolder(holders []holder, replica string) []holder {
	for index := range holders {
		if holders[index].replica == replica {
			return append(holders[:index:index], holders[index+1:]...)
		}
	}
	return holders
}
