package ledger

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
)

// Partitions whose records are confined to regions stand beside those of the head. Their numbers follow from the regions and the key, so
// that all nodes name the same one without asking; their regions stand in their ensembles.
const (
	// confinedBit is set in the numbers of confined partitions alone: the head has 1<<16 partitions at most.
	confinedBit = 1 << 31
	// confinedKeyBits are the lowest bits of such a number, which name the key's place among the partitions of the same regions; the bits
	// between name the regions. Of two sets of regions with the same number, the ensemble says which one it is of.
	confinedKeyBits = 10
	// retryAfterNoHome is when a caller may come back whose records have no place within their regions: a new partition takes about as long
	// to be formed.
	retryAfterNoHome = 500 * time.Millisecond
	// settleAfterChange is how long after a change of confined keys a record may still come again that was taken before it: callers come
	// again after an answer was lost, or seconds after they had one.
	settleAfterChange = time.Minute
)

// Confined is a key whose records are confined to regions.
type Confined struct {
	Key     string
	Regions region.Set
}

// Homes finds the partitions of confined records. It is safe for concurrent use.
type Homes interface {
	// PartitionWithin returns the partition for new records of key that are confined to regions. The error is an *outcome.Error: NotRun with
	// ReasonNoHome where they have no place there now that survives what the ledger is to survive.
	PartitionWithin(key string, regions region.Set) (PartitionID, error)
	// PartitionsWithin returns all confined partitions in which records of key may be; none in a ledger in which nothing is confined.
	PartitionsWithin(key string) []PartitionID
	// Settling says that keys came to be confined otherwise a short while ago, as far as this node knows.
	Settling() bool
	// MayHold says that a node in zone may have records of the partition.
	MayHold(partition PartitionID, zone string) bool
}

// confinedKeys are the keys that are confined by the newest configuration. It is safe for concurrent use.
type confinedKeys struct {
	mutex sync.RWMutex
	keys  []Confined
	// changed is when they became others.
	changed time.Time
}

func (c *confinedKeys) get() []Confined {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.keys
}

// set returns whether the keys are others than before.
func (c *confinedKeys) set(keys []Confined, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if slices.EqualFunc(c.keys, keys, func(one, other Confined) bool { return one.Key == other.Key && one.Regions.Equal(other.Regions) }) {
		return false
	}
	c.keys, c.changed = slices.Clone(keys), now
	return true
}

func (c *confinedKeys) changedAt() time.Time {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.changed
}

// confinedPartition returns the number of the partition of key within regions, in a ledger whose head has that many partitions.
func confinedPartition(key string, regions region.Set, partitions int) PartitionID {
	const regionBits = 31 - confinedKeyBits
	ofRegions := xxhash.Sum64String(strings.Join(regions.Names(), "\x00")) & (1<<regionBits - 1)
	return confinedBit | PartitionID(ofRegions)<<confinedKeyBits | placeOf(key, partitions)
}

// placeOf returns the key's place among the partitions of the same regions.
func placeOf(key string, partitions int) PartitionID {
	return PartitionID(xxhash.Sum64String(key) % uint64(min(partitions, 1<<confinedKeyBits)))
}

// IsConfined says that the records of the partition are confined to regions.
func IsConfined(partition PartitionID) bool { return partition&confinedBit != 0 }

// SetConfined names the keys whose records are confined to regions, in an order that follows from what they are.
func (m *Manager) SetConfined(keys []Confined) {
	if m.confined.set(keys, clock.Now()) {
		m.background(func() { m.post(func() { m.check(clock.Now()) }) })
	}
}

// wanted returns the confined partitions of the newest configuration with their regions; none while the head is not known.
func (m *Manager) wanted() map[PartitionID]region.Set {
	fixed, known := m.directory.fixed()
	keys := m.confined.get()
	if !known || len(keys) == 0 {
		return nil
	}
	partitions := make(map[PartitionID]region.Set, len(keys))
	for _, each := range keys {
		partitions[confinedPartition(each.Key, each.Regions, fixed.partitions)] = each.Regions
	}
	return partitions
}

// placementOf returns where records of the partition may be. Of a confined partition of which nothing is known that is nowhere.
func (m *Manager) placementOf(partition PartitionID) placement {
	if !IsConfined(partition) {
		return placement{}
	}
	if ensemble, known := m.directory.ensemble(partition); known {
		return placement{topology: m.topology, regions: regionsOf(ensemble)}
	}
	if regions, known := m.wanted()[partition]; known {
		return placement{topology: m.topology, regions: regions}
	}
	return placement{topology: m.topology, regions: region.Nowhere()}
}

// regionsOf returns the regions of a confined partition's ensemble. One that names none was written by a node that knows of none: nothing
// may come there.
func regionsOf(ensemble protocol.Ensemble) region.Set {
	if len(ensemble.Regions) == 0 {
		return region.Nowhere()
	}
	return region.NewSet(ensemble.Regions...)
}

// ownersOf says which members may own the partition.
func (m *Manager) ownersOf(partition PartitionID) mayOwn {
	return m.placementOf(partition).owners(m.mayOwn)
}

// storesFor returns the stores that may have records of the partition.
func (m *Manager) storesFor(partition PartitionID, view *membership.View) []membership.Member {
	return m.placementOf(partition).stores(m.keptStores(view))
}

// MayHold implements Homes.
func (m *Manager) MayHold(partition PartitionID, zone string) bool {
	return m.placementOf(partition).allows(zone)
}

// Settling implements Homes. The start of the process counts as a change as well: what held before it is not known.
func (m *Manager) Settling() bool {
	return clock.Since(m.started) < settleAfterChange || clock.Since(m.confined.changedAt()) < settleAfterChange
}

// PartitionsWithin implements Homes.
func (m *Manager) PartitionsWithin(key string) []PartitionID {
	fixed, known := m.directory.fixed()
	if !known {
		return nil
	}
	found := m.directory.confined()
	for partition := range m.wanted() {
		found = append(found, partition)
	}
	const place = 1<<confinedKeyBits - 1
	found = slices.DeleteFunc(found, func(partition PartitionID) bool { return partition&place != placeOf(key, fixed.partitions) })
	slices.Sort(found)
	return slices.Compact(found)
}

// PartitionWithin implements Homes.
func (m *Manager) PartitionWithin(key string, regions region.Set) (PartitionID, error) {
	partition, reason := m.placeWithin(key, regions)
	if reason == "" {
		return partition, nil
	}
	m.refusedWithin.Add(1)
	return 0, outcome.New(outcome.NotRun, outcome.ReasonNoHome, reason).After(retryAfterNoHome)
}

// placeWithin returns the partition, or why there is none that may take records.
func (m *Manager) placeWithin(key string, regions region.Set) (partition PartitionID, reason string) {
	fixed, known := m.directory.fixed()
	switch {
	case len(regions.Names()) == 0:
		return 0, "no region is allowed"
	case !known:
		return 0, "the ledger's head is not known"
	}
	partition = confinedPartition(key, regions, fixed.partitions)
	ensemble, known := m.directory.ensemble(partition)
	switch {
	case !known:
		return 0, "the regions have no partition yet"
	case !regions.Equal(regionsOf(ensemble)):
		return 0, "the partition is that of other regions"
	case !m.durable(partition):
		return 0, "the regions have too few stores"
	}
	return partition, ""
}

// durable says that the partition survives the losses that the ledger is to survive.
func (m *Manager) durable(partition PartitionID) bool {
	fixed, _ := m.directory.fixed()
	ensemble, known := m.directory.ensemble(partition)
	return known && survives(ensemble, fixed.writeQuorum-1, m.settings.SurvivesZones)
}
