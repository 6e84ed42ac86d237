package ledger

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/ledger/wire"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/region"
)

// Partitions whose records are confined to regions exist in addition to the numbered partitions of the head. Their
// numbers are derived from the regions and the key, so that all nodes compute the same number without coordination.
// Their regions are stored in their ensembles.
const (
	// confinedBit is set only in the numbers of confined partitions: the head has at most 1<<16 partitions.
	confinedBit = 1 << 31
	// confinedKeyBits is the number of low bits that identify the key's slot among the partitions of the same regions;
	// the bits between them and confinedBit identify the regions. If two sets of regions hash to the same number, the
	// ensemble records which of them the partition belongs to.
	confinedKeyBits = 10
	// noHomeRetryAfter is the retry delay for a caller whose records have no partition within their regions: forming a
	// new partition takes about as long.
	noHomeRetryAfter = 500 * time.Millisecond
	// confinementSettleTime is how long after a change of the confined keys a caller may still resend a record that was
	// accepted before it: callers retry after a lost answer, or seconds after an answer.
	confinementSettleTime = time.Minute
)

// Confined is a key whose records are confined to regions.
type Confined struct {
	Key     string
	Regions region.Set
}

// ConfinedLocator finds the partitions of confined records. It is safe for concurrent use.
type ConfinedLocator interface {
	// ConfinedPartition returns the partition for new records of key that are confined to regions. The error is an
	// *outcome.Error: NotRun with ReasonNoHome if the regions have no partition at present that survives the required
	// losses.
	ConfinedPartition(key string, regions region.Set) (PartitionID, error)
	// ConfinedPartitions returns all confined partitions that may have records of key; none if the ledger has no
	// confined partitions.
	ConfinedPartitions(key string) []PartitionID
	// ConfinementChanged reports whether, to this node's knowledge, the confinement of keys changed within the last minute.
	ConfinementChanged() bool
	// MayHold reports whether a node in zone may have records of the partition.
	MayHold(partition PartitionID, zone string) bool
	// DescribePartition returns the newest ensemble of the partition that this node knows, encoded for LearnPartition.
	DescribePartition(partition PartitionID) (encoded []byte, known bool)
	// LearnPartition lets this node find a partition that another node has described.
	LearnPartition(encoded []byte) error
}

// confinedKeys holds the keys that the newest configuration confines. It is safe for concurrent use.
type confinedKeys struct {
	mutex sync.RWMutex
	keys  []Confined
	// changed is the time of the last change of keys.
	changed time.Time
}

func (c *confinedKeys) get() []Confined {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.keys
}

// set replaces the keys and reports whether they differ from the previous ones.
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

// confinedPartition returns the number of the partition of key within regions. partitions is the head's number of
// partitions.
func confinedPartition(key string, regions region.Set, partitions int) PartitionID {
	const regionBits = 31 - confinedKeyBits
	regionHash := xxhash.Sum64String(strings.Join(regions.Names(), "\x00")) & (1<<regionBits - 1)
	return confinedBit | PartitionID(regionHash)<<confinedKeyBits | keySlot(key, partitions)
}

// keySlot returns the key's slot among the partitions of the same regions.
func keySlot(key string, partitions int) PartitionID {
	return PartitionID(xxhash.Sum64String(key) % uint64(min(partitions, 1<<confinedKeyBits)))
}

// IsConfined reports whether the records of the partition are confined to regions.
func IsConfined(partition PartitionID) bool { return partition&confinedBit != 0 }

// SetConfined sets the keys whose records are confined to regions. The same keys must always be given in the same
// order, since another order counts as a change.
func (m *Manager) SetConfined(keys []Confined) {
	if m.confined.set(keys, clock.Now()) {
		m.background(func() { m.post(func() { m.check(clock.Now()) }) })
	}
}

// wantedPartitions returns the confined partitions of the newest configuration with their regions; none while the
// head is unknown.
func (m *Manager) wantedPartitions() map[PartitionID]region.Set {
	fixed, known := m.directory.fixed()
	keys := m.confined.get()
	if !known || len(keys) == 0 {
		return nil
	}
	partitions := make(map[PartitionID]region.Set, len(keys))
	for _, confined := range keys {
		partitions[confinedPartition(confined.Key, confined.Regions, fixed.partitions)] = confined.Regions
	}
	return partitions
}

// placementOf returns the placement of the partition. Nothing is allowed for a confined partition whose regions are
// unknown.
func (m *Manager) placementOf(partition PartitionID) placement {
	if !IsConfined(partition) {
		return placement{}
	}
	if ensemble, known := m.directory.ensemble(partition); known {
		return placement{topology: m.topology, regions: regionsOf(ensemble)}
	}
	if regions, known := m.wantedPartitions()[partition]; known {
		return placement{topology: m.topology, regions: regions}
	}
	return placement{topology: m.topology, regions: region.Nowhere()}
}

// regionsOf returns the regions of a confined partition's ensemble. An ensemble without regions was written by a node
// that does not support them; no node is allowed for it.
func regionsOf(ensemble protocol.Ensemble) region.Set {
	if len(ensemble.Regions) == 0 {
		return region.Nowhere()
	}
	return region.NewSet(ensemble.Regions...)
}

// storesFor returns the live stores that may be added to the partition's ensemble. Those of retiring nodes are among them
// only if there are no others: a partition must be formed, and a lost disk replaced, also if all nodes are being retired.
func (m *Manager) storesFor(partition PartitionID, view *membership.View) []membership.Member {
	allowed := m.placementOf(partition).stores(storesOf(view))
	if kept := m.notRetiring(allowed); len(kept) > 0 {
		return kept
	}
	return allowed
}

// MayHold implements ConfinedLocator.
func (m *Manager) MayHold(partition PartitionID, zone string) bool {
	return m.placementOf(partition).allows(zone)
}

// ConfinementChanged implements ConfinedLocator. The start of the process counts as a change, since the configuration
// before it is unknown.
func (m *Manager) ConfinementChanged() bool {
	return clock.Since(m.started) < confinementSettleTime || clock.Since(m.confined.changedAt()) < confinementSettleTime
}

// ConfinedPartitions implements ConfinedLocator.
func (m *Manager) ConfinedPartitions(key string) []PartitionID {
	fixed, known := m.directory.fixed()
	if !known {
		return nil
	}
	found := m.directory.confined()
	for partition := range m.wantedPartitions() {
		found = append(found, partition)
	}
	const slotMask = 1<<confinedKeyBits - 1
	found = slices.DeleteFunc(found, func(partition PartitionID) bool { return partition&slotMask != keySlot(key, fixed.partitions) })
	slices.Sort(found)
	return slices.Compact(found)
}

// DescribePartition implements ConfinedLocator.
func (m *Manager) DescribePartition(partition PartitionID) (encoded []byte, known bool) {
	ensemble, known := m.directory.ensemble(partition)
	if !known {
		return nil, false
	}
	encoded, err := proto.Marshal(wire.FromEnsemble(ensemble))
	if err != nil {
		panic("encode ensemble: " + err.Error())
	}
	return encoded, true
}

// LearnPartition implements ConfinedLocator.
func (m *Manager) LearnPartition(encoded []byte) error {
	var message ledgerpb.Ensemble
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return fmt.Errorf("decode ensemble: %w", err)
	}
	m.directory.learn(wire.ToEnsemble(&message))
	return nil
}

// ConfinedPartition implements ConfinedLocator.
func (m *Manager) ConfinedPartition(key string, regions region.Set) (PartitionID, error) {
	partition, reason := m.findWithin(key, regions)
	if reason == "" {
		return partition, nil
	}
	m.unplacedRequests.Add(1)
	return 0, outcome.New(outcome.NotRun, outcome.ReasonNoHome, reason).After(noHomeRetryAfter)
}

// findWithin returns the partition, or the reason why there is none that may accept records.
func (m *Manager) findWithin(key string, regions region.Set) (partition PartitionID, reason string) {
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

// durable reports whether the partition survives the losses that the settings require.
func (m *Manager) durable(partition PartitionID) bool {
	fixed, _ := m.directory.fixed()
	ensemble, known := m.directory.ensemble(partition)
	return known && survives(ensemble, fixed.writeQuorum-1, m.settings.SurvivesZones)
}
