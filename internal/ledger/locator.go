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

const (
	// maxHintAge is the age at which a hint is checked again in the background.
	maxHintAge = time.Second
	// maxUncertainHintAge is the same for a hint that names a node that is not known to be alive.
	maxUncertainHintAge = 100 * time.Millisecond
)

// ownerHints holds the last known owner of each partition. It is safe for concurrent use.
type ownerHints struct {
	mutex sync.Mutex
	hints map[PartitionID]ownerHint
}

type ownerHint struct {
	node membership.NodeID
	// checked is when the last check started.
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

// checkDue reports whether the hint is at least as old as age, and if so records that a check starts.
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

// Partitions returns the fixed number of partitions, or the configured number while that is unknown.
func (m *Manager) Partitions() int {
	if fixed, known := m.directory.fixed(); known {
		return fixed.partitions
	}
	return m.settings.Partitions
}

// PartitionOf returns the partition that key hashes to.
func (m *Manager) PartitionOf(key string) PartitionID {
	return PartitionID(xxhash.Sum64String(key) % uint64(m.Partitions()))
}

// Owner returns the peer address of this node if it serves the partition, otherwise of the last known owner,
// otherwise of the preferred one.
func (m *Manager) Owner(partition PartitionID) (string, bool) {
	view := m.viewer.View()
	if ownership, present := m.ownership(partition); present && ownership.serving.Load() {
		if self, found := view.Find(m.self); found {
			return self.PeerAddress.String(), true
		}
	}
	node, known := m.hints.get(partition)
	age := maxHintAge
	if member, found := view.Find(node); found && member.State != membership.Alive {
		age = maxUncertainHintAge
	}
	if m.hints.checkDue(partition, clock.Now(), age) {
		m.refresh(partition)
	}
	if known {
		if member, found := view.Find(node); found && member.State != membership.Dead && m.MayHold(partition, member.Zone) {
			return member.PeerAddress.String(), true
		}
	}
	if preferred, ok := m.preferredOwner(view, partition); ok {
		return preferred.PeerAddress.String(), true
	}
	return "", false
}

// refresh updates the hint in the background: it asks the hinted and the preferred owner, and the stores if neither owns
// the partition.
func (m *Manager) refresh(partition PartitionID) {
	m.background(func() {
		ctx, cancel := context.WithTimeout(m.ctx, m.timing.Request)
		defer cancel()
		m.hints.set(partition, m.findOwner(ctx, partition))
	})
}

// findOwner returns the node that answers that it owns the partition, otherwise the node with the highest promise of
// its stores; empty if neither is known.
func (m *Manager) findOwner(ctx context.Context, partition PartitionID) membership.NodeID {
	view := m.viewer.View()
	var candidates []membership.NodeID
	if hint, known := m.hints.get(partition); known {
		candidates = append(candidates, hint)
	}
	if preferred, ok := m.preferredOwner(view, partition); ok {
		candidates = append(candidates, preferred.ID)
	}
	if owner := m.firstOwner(ctx, view, partition, candidates); owner != "" {
		return owner
	}
	return m.promisedOwner(ctx, partition)
}

// promisedOwner returns the node with the highest promise of the stores of a partition's newest ensemble; empty if none
// is known. It follows newer ensembles that the stores report, so it works while the key-value service is down.
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

// firstOwner asks all candidates in parallel and returns the first that answers that it owns the partition; empty if
// none does within Timing.Backoff. A candidate that does not answer by then may be paused, and its partition taken by
// another node.
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

// PartitionStatus is the state of a partition as known to this node.
type PartitionStatus struct {
	Partition PartitionID
	Ensemble  protocol.Ensemble
	// WantedReplicas is the configured number of stores; with fewer, fewer lost disks are survived.
	WantedReplicas int
	// LossesSurvived is the number of disks that may be lost at once without losing acknowledged records.
	LossesSurvived int
	// Serving is set if this node owns the partition; the fields below are set only then.
	Serving   bool
	Committed Position
	Holdings  []protocol.Holding
	// StorageFull is set if too few stores have disk space for new records.
	StorageFull bool
}

// Degraded reports whether the partition has fewer full members than wanted.
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
