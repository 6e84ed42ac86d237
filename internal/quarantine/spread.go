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
	// ApartOccupancy is the share of a replica's slots in use up to which a suspected message is sent there: few others are lost with it.
	ApartOccupancy = 0.25
	// preferredDivisor is the part of a service's replicas, as its inverse, among which one suspect is run: suspects of different nodes then seldom
	// meet, though no node knows of the others' choices.
	preferredDivisor = 3
)

// ErrSuspected says that a run was cut off because its message ended a replica elsewhere.
var ErrSuspected = errors.New("message is suspected of crashing replicas")

// Failing returns the replicas of all that failed a short while ago: an ended one is empty, and must not be taken for one where a suspect
// runs beside few.
func Failing(all []*replica.Handle, now time.Time) []*replica.Handle {
	var found []*replica.Handle
	for _, handle := range all {
		if handle.Avoided(now) {
			found = append(found, handle)
		}
	}
	return found
}

// NotPreferred returns the replicas of all at which the given suspect is not run while one of the others has room. Which they are differs
// from message to message and is the same at each node.
func NotPreferred(key Key, all []*replica.Handle) []*replica.Handle {
	weights := make(map[*replica.Handle]uint64, len(all))
	for _, handle := range all {
		weights[handle] = rendezvousWeight(key, binary.BigEndian.AppendUint64(nil, uint64(handle.Key())))
	}
	sorted := slices.SortedFunc(slices.Values(all), func(one, other *replica.Handle) int { return cmp.Compare(weights[one], weights[other]) })
	return sorted[(len(sorted)+preferredDivisor-1)/preferredDivisor:]
}

// rendezvousWeight ranks a member or a replica for a message by rendezvous hashing: all nodes rank them alike.
func rendezvousWeight(key Key, name []byte) uint64 {
	return xxhash.Sum64(slices.Concat(key[:], name))
}
