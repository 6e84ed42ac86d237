package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/membership"
)

// NewDirectory returns a Directory of the given replicas. It sorts and keeps the slice.
func NewDirectory(version uint64, replicas []Replica) *Directory {
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].ID < replicas[j].ID })
	byService := make(map[string][]int)
	for index := range replicas {
		service := replicas[index].Service
		byService[service] = append(byService[service], index)
	}
	return &Directory{Version: version, Replicas: replicas, ByService: byService}
}

// Find returns the replica with the given id, or nil.
func (d *Directory) Find(id string) *Replica {
	index := sort.Search(len(d.Replicas), func(i int) bool { return d.Replicas[i].ID >= id })
	if index < len(d.Replicas) && d.Replicas[index].ID == id {
		return &d.Replicas[index]
	}
	return nil
}

// Home returns the member that polls a replica for its load and grants its credits:
// the one with the highest rendezvous hash among the live members of the replica's
// zone, or among all live members if the zone has none. It returns false if there is
// no live member.
func Home(members []membership.Member, replica, zone string) (membership.Member, bool) {
	if home, ok := highestHash(members, replica, func(m *membership.Member) bool { return m.Zone == zone }); ok {
		return home, true
	}
	return highestHash(members, replica, func(*membership.Member) bool { return true })
}

func highestHash(members []membership.Member, key string, eligible func(*membership.Member) bool) (membership.Member, bool) {
	best := -1
	var bestHash uint64
	for index := range members {
		member := &members[index]
		if !isLive(member) || !eligible(member) {
			continue
		}
		hash := xxhash.Sum64String(string(member.ID) + "\x00" + key)
		if best < 0 || hash > bestHash || hash == bestHash && member.ID > members[best].ID {
			best, bestHash = index, hash
		}
	}
	if best < 0 {
		return membership.Member{}, false
	}
	return members[best], true
}

// HashReplica returns the XXH64 of a replica's id, which identifies it in messages between nodes.
func HashReplica(id string) uint64 { return xxhash.Sum64String(id) }
