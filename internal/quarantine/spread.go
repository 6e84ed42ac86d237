package quarantine

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// ApartOccupancy is the share of a replica's slots in use up to which a message that is Apart is sent there, so
	// that few other runs are lost with it.
	ApartOccupancy = 0.25
	// preferredDivisor: the preferred replicas of one suspect are 1/preferredDivisor of a service's replicas. Suspects
	// at different nodes then rarely meet, although no node knows of the others' choices.
	preferredDivisor = 3
)

// ErrSuspected is the cause of cutting off a run whose message ended a replica elsewhere.
var ErrSuspected = errors.New("message is suspected of crashing replicas")

// RecentlyFailed returns those of the given replicas that failed a short while ago. A replica that has ended has no load, and
// must not be mistaken for one with few other runs.
func RecentlyFailed(all []*replica.Handle, now time.Time) []*replica.Handle {
	var found []*replica.Handle
	for _, handle := range all {
		if handle.Avoided(now) {
			found = append(found, handle)
		}
	}
	return found
}

// NotPreferred returns those of the given replicas at which a suspect does not run as long as one of the others has
// room. The choice differs between messages and is the same at each node.
func NotPreferred(key Key, all []*replica.Handle) []*replica.Handle {
	weights := make(map[*replica.Handle]uint64, len(all))
	for _, handle := range all {
		weights[handle] = rendezvousWeight(key, binary.BigEndian.AppendUint64(nil, uint64(handle.Key())))
	}
	sorted := slices.SortedFunc(slices.Values(all), func(one, other *replica.Handle) int { return cmp.Compare(weights[one], weights[other]) })
	return sorted[(len(sorted)+preferredDivisor-1)/preferredDivisor:]
}

// rendezvousWeight ranks a member or a replica for a message by rendezvous hashing. All nodes compute the same ranking.
func rendezvousWeight(key Key, name []byte) uint64 {
	return xxhash.Sum64(slices.Concat(key[:], name))
}
