package ledger

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/ledger/protocol"
	"github.com/sloelift/sloelift/internal/membership"
)

// rank returns the rendezvous hashing weight of name for partition; the highest weight is preferred.
func rank(partition PartitionID, name string) uint64 {
	var key [4]byte
	binary.BigEndian.PutUint32(key[:], uint32(partition))
	digest := xxhash.New()
	_, _ = digest.Write(key[:])
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// memberFilter reports whether a member may own partitions.
type memberFilter func(member *membership.Member) bool

// highestRanked returns the member that ranks highest for partition among the allowed ones that are alive and not suspected; ok is
// false if there is none. A suspected owner is asked before it is replaced, and declines if it is healthy.
func highestRanked(view *membership.View, partition PartitionID, allowed memberFilter) (preferred membership.Member, ok bool) {
	var highest uint64
	for index := range view.Members {
		member := &view.Members[index]
		if member.State != membership.Alive || !allowed(member) {
			continue
		}
		if weight := rank(partition, string(member.ID)); !ok || weight > highest {
			preferred, highest, ok = *member, weight, true
		}
	}
	return preferred, ok
}

// preferredOwner returns the member that should own the partition; ok is false if there is none. A member that has the
// partition's records goes before one that would first have to read them over the network, and then one that is not being
// retired before one that is: a partition is never without an owner because its nodes are being retired.
func (m *Manager) preferredOwner(view *membership.View, partition PartitionID) (preferred membership.Member, ok bool) {
	placed := m.placementOf(partition)
	staying, all := placed.owners(m.mayOwn), placed.owners(m.canOwn)
	for _, allowed := range []memberFilter{m.holdersOf(partition, staying), m.holdersOf(partition, all), staying, all} {
		if preferred, found := highestRanked(view, partition, allowed); found {
			return preferred, true
		}
	}
	return membership.Member{}, false
}

// holdersOf narrows allowed to the nodes whose store has the records of the partition, if owners are nodes with a store.
func (m *Manager) holdersOf(partition PartitionID, allowed memberFilter) memberFilter {
	ensemble, known := m.directory.ensemble(partition)
	if !m.settings.OwnersOnStores || !known {
		return allowed
	}
	return func(member *membership.Member) bool {
		return holdsRecords(ensemble, protocol.StoreID(member.StoreIncarnation)) && allowed(member)
	}
}

// storesOf returns the live members that have a store.
func storesOf(view *membership.View) []membership.Member {
	var stores []membership.Member
	for _, member := range view.Live() {
		if member.Store && member.StoreIncarnation != "" {
			stores = append(stores, member)
		}
	}
	return stores
}

// chooseStores returns up to count of the candidates for partition, spread over as many zones as possible and
// ordered by rendezvous rank within that. taken is the number of stores that the partition already has, by zone.
func chooseStores(candidates []membership.Member, partition PartitionID, count int, taken map[string]int) []membership.Member {
	inZone := map[string]int{}
	for zone, number := range taken {
		inZone[zone] = number
	}
	remaining := slices.Clone(candidates)
	slices.SortFunc(remaining, func(a, b membership.Member) int {
		return cmp.Compare(rank(partition, string(b.ID)), rank(partition, string(a.ID)))
	})
	var chosen []membership.Member
	for len(chosen) < count && len(remaining) > 0 {
		best := 0
		for i, candidate := range remaining {
			if inZone[candidate.Zone] < inZone[remaining[best].Zone] {
				best = i
			}
		}
		inZone[remaining[best].Zone]++
		chosen = append(chosen, remaining[best])
		remaining = slices.Delete(remaining, best, best+1)
	}
	return chosen
}

func memberOf(node membership.Member) protocol.Member {
	return protocol.Member{
		Store: protocol.StoreID(node.StoreIncarnation), Node: string(node.ID), Zone: node.Zone, Address: node.PeerAddress.String(),
	}
}

// newEnsemble returns version 1 of a partition's ensemble from the given stores.
func newEnsemble(partition PartitionID, stores []membership.Member, wantedQuorum int) protocol.Ensemble {
	ensemble := protocol.Ensemble{Partition: partition, Version: 1, WriteQuorum: protocol.WriteQuorumOf(len(stores), wantedQuorum)}
	for _, store := range stores {
		ensemble.Members = append(ensemble.Members, memberOf(store))
	}
	return ensemble
}
