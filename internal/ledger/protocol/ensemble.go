package protocol

import (
	"slices"
	"strings"
)

// Member is one store of an ensemble.
type Member struct {
	Store StoreID
	Node  string
	Zone  string
	// Address is the peer address at the time the member was added; the membership view has the current one.
	Address string
	// Joining members take appends and count towards the write quorum, never towards the read quorum.
	Joining bool
}

// Ensemble is the set of stores of a partition. It changes only to Version + 1, by compare-and-swap or by
// decision of a write quorum of its members (see Owner.ProposeEnsemble). A ballot of a higher version outranks
// all ballots of lower versions.
type Ensemble struct {
	Partition   PartitionID
	Version     uint64
	Members     []Member
	WriteQuorum int
	// WriteID is unique to the change that made this version.
	WriteID string
	// Regions are the regions that stores and owners of the partition are confined to; empty for no
	// restriction. They never change.
	Regions []string
}

// WriteQuorumOf returns the write quorum of an ensemble of size stores, given the configured quorum. It is the
// configured one, capped at size - 1 for three stores or more, so that appends still succeed after the loss of
// one store, and at size for fewer: with two stores, both must write.
func WriteQuorumOf(size, wanted int) int {
	quorum := min(wanted, size)
	if quorum == size && size >= 3 {
		quorum = size - 1
	}
	return max(quorum, 1)
}

// ReadQuorum returns the number of full members that must promise. It intersects every write quorum.
func (e Ensemble) ReadQuorum() int { return len(e.Members) - e.WriteQuorum + 1 }

// LossesSurvived returns how many disks may be lost at once without losing an acknowledged record.
func (e Ensemble) LossesSurvived() int { return e.WriteQuorum - 1 }

// FullMembers returns the number of members that are not joining.
func (e Ensemble) FullMembers() int {
	full := 0
	for _, member := range e.Members {
		if !member.Joining {
			full++
		}
	}
	return full
}

// String lists the members' nodes for log output; joining members are prefixed with a plus sign.
func (e Ensemble) String() string {
	var names []string
	for _, member := range e.Members {
		name := member.Node
		if member.Joining {
			name = "+" + name
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}

// Find returns the member with the given store.
func (e Ensemble) Find(store StoreID) (Member, bool) {
	for _, member := range e.Members {
		if member.Store == store {
			return member, true
		}
	}
	return Member{}, false
}

// Replace returns the next version, in which replacement takes the place of lost as a joining member. The records
// of lost are given up, so it is not for a member that still has them: see Extend. It returns false if fewer full
// members than the read quorum would remain, since an acknowledged record might then be unreadable.
func (e Ensemble) Replace(lost StoreID, replacement Member) (Ensemble, bool) {
	former, found := e.Find(lost)
	if _, present := e.Find(replacement.Store); !found || present {
		return Ensemble{}, false
	}
	full := e.FullMembers()
	if !former.Joining {
		full--
	}
	if full < e.ReadQuorum() {
		return Ensemble{}, false
	}
	replacement.Joining = true
	return e.next(func(member Member) Member {
		if member.Store == lost {
			return replacement
		}
		return member
	}), true
}

// Promote returns the next version, in which the joining store is a full member. The caller
// must first have rewritten the log to a write quorum that includes the store.
func (e Ensemble) Promote(store StoreID) (Ensemble, bool) {
	member, found := e.Find(store)
	if !found || !member.Joining {
		return Ensemble{}, false
	}
	return e.next(func(member Member) Member {
		if member.Store == store {
			member.Joining = false
		}
		return member
	}), true
}

// Extend returns the next version with one more member, which is joining, and a write quorum larger by one. The read
// quorum stays the same, so that as many disks as before may be lost at any time. Extend returns false while another
// member is joining: changes are made one at a time.
func (e Ensemble) Extend(member Member) (Ensemble, bool) {
	if _, present := e.Find(member.Store); present || e.FullMembers() < len(e.Members) {
		return Ensemble{}, false
	}
	member.Joining = true
	extended := e.next(unchanged)
	extended.Members = append(extended.Members, member)
	extended.WriteQuorum++
	return extended, true
}

// Remove returns the next version without the given store and with a write quorum smaller by one: the opposite of
// Extend. Every write quorum of this version leaves one of the next among the other members. It returns false if
// fewer full members than the read quorum would remain.
func (e Ensemble) Remove(store StoreID) (Ensemble, bool) {
	removed, found := e.Find(store)
	if !found || e.WriteQuorum < 2 {
		return Ensemble{}, false
	}
	full := e.FullMembers()
	if !removed.Joining {
		full--
	}
	if full < e.ReadQuorum() {
		return Ensemble{}, false
	}
	reduced := e.next(unchanged)
	reduced.Members = slices.DeleteFunc(reduced.Members, func(member Member) bool { return member.Store == store })
	reduced.WriteQuorum--
	return reduced, true
}

// LowerWriteQuorum returns the next version with a write quorum smaller by one, and so a larger read quorum. It returns
// false while a member is joining, since the read quorum consists of full members.
func (e Ensemble) LowerWriteQuorum() (Ensemble, bool) {
	if e.WriteQuorum < 2 || e.FullMembers() < len(e.Members) {
		return Ensemble{}, false
	}
	lowered := e.next(unchanged)
	lowered.WriteQuorum--
	return lowered, true
}

func unchanged(member Member) Member { return member }

func (e Ensemble) next(change func(Member) Member) Ensemble {
	changed := Ensemble{Partition: e.Partition, Version: e.Version + 1, WriteQuorum: e.WriteQuorum, Regions: e.Regions}
	for _, member := range e.Members {
		changed.Members = append(changed.Members, change(member))
	}
	return changed
}
