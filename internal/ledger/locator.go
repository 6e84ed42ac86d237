package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	ledgerpb "github.com/sloelift/sloelift/api/proto/ledger"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
)

// hintAge is how old a hint may be before it is checked again in the background, doubtfulHintAge where it names a
// node that is not known to be alive.
const (
	hintAge         = time.Second
	doubtfulHintAge = 100 * time.Millisecond
)

// ownerHints holds which nodes were last heard to own partitions. It is safe for concurrent use.
type ownerHints struct {
	mutex sync.Mutex
	hints map[PartitionID]ownerHint
}

type ownerHint struct {
	node membership.NodeID
	// checked is when a check was last begun.
	checked time.Time
}

func newOwnerHints() *ownerHints { return &ownerHints{hints: map[PartitionID]ownerHint{}} }

func (h *ownerHints) get(partition PartitionID) (membership.NodeID, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	hint := h.hints[partition]
	return hint.node, hint.node != ""
}

func (h *ownerHints) set(partition PartitionID, node membership.NodeID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	hint := h.hints[partition]
	hint.node = node
	h.hints[partition] = hint
}

// checkDue tells whether the hint is old, and if so notes that a check begins.
func (h *ownerHints) checkDue(partition PartitionID, now time.Time, age time.Duration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	hint := h.hints[partition]
	if now.Sub(hint.checked) < age {
		return false
	}
	hint.checked = now
	h.hints[partition] = hint
	return true
}

// Partitions returns the fixed number of partitions; before it is known, the setting.
func (m *Manager) Partitions() int {
	if fixed, known := m.directory.fixed(); known {
		return fixed.partitions
	}
	return m.settings.Partitions
}

// PartitionOf hashes key to its partition.
func (m *Manager) PartitionOf(key string) PartitionID {
	return PartitionID(xxhash.Sum64String(key) % uint64(m.Partitions()))
}

// Owner returns the peer address of this node where it serves the partition, else of the last known owner,
// else of the preferred one.
func (m *Manager) Owner(partition PartitionID) (string, bool) {
	view := m.viewer.View()
	if ownership, present := m.ownership(partition); present && ownership.serving.Load() {
		if self, found := view.Find(m.self); found {
			return self.PeerAddress.String(), true
		}
	}
	node, known := m.hints.get(partition)
	age := hintAge
	if member, found := view.Find(node); found && member.State != membership.Alive {
		age = doubtfulHintAge
	}
	if m.hints.checkDue(partition, clock.Now(), age) {
		m.refresh(partition)
	}
	if known {
		if member, found := view.Find(node); found && member.State != membership.Dead && m.MayHold(partition, member.Zone) {
			return member.PeerAddress.String(), true
		}
	}
	if preferred, ok := preferredOwner(view, partition, m.ownersOf(partition)); ok {
		return preferred.PeerAddress.String(), true
	}
	return "", false
}

// refresh asks the hinted and the preferred owner, in the background, and failing those the stores.
func (m *Manager) refresh(partition PartitionID) {
	m.background(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.timing.Request)
		defer cancel()
		m.hints.set(partition, m.findOwner(ctx, partition))
	})
}

// findOwner returns the node that says it owns the partition, or to which its stores are promised; empty
// where neither is known.
func (m *Manager) findOwner(ctx context.Context, partition PartitionID) membership.NodeID {
	view := m.viewer.View()
	var candidates []membership.NodeID
	if hint, known := m.hints.get(partition); known {
		candidates = append(candidates, hint)
	}
	if preferred, ok := preferredOwner(view, partition, m.ownersOf(partition)); ok {
		candidates = append(candidates, preferred.ID)
	}
	if owner := m.firstOwner(ctx, view, partition, candidates); owner != "" {
		return owner
	}
	return m.promisedOwner(ctx, partition)
}

// promisedOwner returns the node to which the stores of a partition's newest ensemble are promised; empty where none is known. Each store knows of
// newer ensembles than its own, and the key-value service may be away.
func (m *Manager) promisedOwner(ctx context.Context, partition PartitionID) membership.NodeID {
	for ctx.Err() == nil {
		ensemble, known := m.directory.ensemble(partition)
		if !known {
			return ""
		}
		found := m.survey(ensemble)
		if found.ensemble.Version <= ensemble.Version {
			return ownerNode(found.promised.Owner)
		}
		m.directory.learn(found.ensemble)
	}
	return ""
}

// firstOwner asks all candidates at once and returns the first that says it owns the partition; empty where none does
// soon. One that does not answer soon may be paused, and its partition taken by another.
func (m *Manager) firstOwner(ctx context.Context, view *membership.View, partition PartitionID, candidates []membership.NodeID) membership.NodeID {
	ctx, cancel := context.WithTimeout(ctx, m.timing.Backoff)
	defer cancel()
	answers := make(chan membership.NodeID, len(candidates))
	asked := 0
	for _, candidate := range candidates {
		member, found := view.Find(candidate)
		if !found || candidate == m.self {
			continue
		}
		asked++
		m.background(func() {
			var response ledgerpb.OwnerResponse
			request := &ledgerpb.OwnerRequest{Partition: uint32(partition)}
			if err := m.caller.Call(ctx, member.PeerAddress, methodOwner, request, &response); err != nil || !response.Owned {
				answers <- ""
				return
			}
			answers <- candidate
		})
	}
	for range asked {
		select {
		case owner := <-answers:
			if owner != "" {
				return owner
			}
		case <-ctx.Done():
			return ""
		}
	}
	return ""
}

// PartitionStatus is what this node can say of a partition.
type PartitionStatus struct {
	Partition PartitionID
	Ensemble  protocol.Ensemble
	// WantedReplicas is the configured number of stores; with fewer, fewer lost disks are survived.
	WantedReplicas int
	LossesSurvived int
	// Serving says that this node owns the partition; the fields below are set only then.
	Serving   bool
	Committed Position
	Holdings  []protocol.Holding
	// StorageFull says that too few stores have room for new records.
	StorageFull bool
}

// Degraded tells whether the partition has fewer full members than wanted.
func (s PartitionStatus) Degraded() bool { return s.Ensemble.FullMembers() < s.WantedReplicas }

// Status returns the state of all partitions whose ensembles this node knows.
func (m *Manager) Status() []PartitionStatus {
	fixed, _ := m.directory.fixed()
	var statuses []PartitionStatus
	partitions := m.directory.confined()
	for partition := range PartitionID(fixed.partitions) {
		partitions = append(partitions, partition)
	}
	slices.Sort(partitions)
	for _, partition := range partitions {
		ensemble, known := m.directory.ensemble(partition)
		if !known {
			continue
		}
		status := PartitionStatus{Partition: partition, Ensemble: ensemble, WantedReplicas: fixed.replicas, LossesSurvived: ensemble.LossesSurvived()}
		if ownership, present := m.ownership(partition); present && ownership.serving.Load() {
			view := ownership.view.Load()
			status.Serving, status.Committed, status.Holdings, status.StorageFull = true, view.committed, view.holdings, !view.hasRoom
		}
		statuses = append(statuses, status)
	}
	return statuses
}
