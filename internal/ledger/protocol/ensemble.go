package protocol

import "strings"

// Member is one store of an ensemble.
type Member struct {
	Store StoreID
	Node  string
	Zone  string
	// Address is the peer address when the member came in; the view has the present one.
	Address string
	// Joining members take appends and count for the write quorum, never for the read quorum.
	Joining bool
}

// Ensemble is the set of stores of a partition. It changes only by compare-and-swap to
// Version + 1; a ballot of a higher version outranks all ballots of lower ones.
type Ensemble struct {
	Partition   PartitionID
	Version     uint64
	Members     []Member
	WriteQuorum int
	// WriteID is unique to the change that made this version.
	WriteID string
	// Regions are where stores and owners of the partition may be; none for all. They never change.
	Regions []string
}

// WriteQuorumOf returns the write quorum of an ensemble of size stores where wanted is the
// configured one: the wanted one where it fits, and one less than size (so that appends
// survive a lost store) where three stores or more are too few for it. Two stores must both write.
func WriteQuorumOf(size, wanted int) int {
	quorum := min(wanted, size)
	if quorum == size && size >= 3 {
		quorum = size - 1
	}
	return max(quorum, 1)
}

// ReadQuorum returns the number of full members that must promise: it meets every write quorum.
func (e Ensemble) ReadQuorum() int { return len(e.Members) - e.WriteQuorum + 1 }

// LossesSurvived returns how many disks may be lost together without loss of an acknowledged record.
func (e Ensemble) LossesSurvived() int { return e.WriteQuorum - 1 }

// Full returns the number of members that are not joining.
func (e Ensemble) Full() int {
	full := 0
	for _, member := range e.Members {
		if !member.Joining {
			full++
		}
	}
	return full
}

// String names the members' nodes for the log, joining ones with a plus sign.
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

// Replace returns the next version with replacement, joining, in the place of lost. It
// refuses where the full members left would be fewer than the read quorum, for then an
// acknowledged record might be unreadable.
func (e Ensemble) Replace(lost StoreID, replacement Member) (Ensemble, bool) {
	former, found := e.Find(lost)
	if _, present := e.Find(replacement.Store); !found || present {
		return Ensemble{}, false
	}
	full := e.Full()
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

// Promote returns the next version with the joining store as a full member. The caller
// must have rewritten the log to a write quorum with the store in it.
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

// Grow returns the next version with one more, joining, member. The write quorum of the grown
// ensemble holds from the start, so that what is acknowledged before the promotion
// meets the read quorum after it too. One change at a time: it refuses while another member joins.
func (e Ensemble) Grow(member Member, wanted int) (Ensemble, bool) {
	if _, present := e.Find(member.Store); present || e.Full() < len(e.Members) {
		return Ensemble{}, false
	}
	member.Joining = true
	grown := e.next(func(member Member) Member { return member })
	grown.Members = append(grown.Members, member)
	grown.WriteQuorum = WriteQuorumOf(len(grown.Members), wanted)
	if grown.ReadQuorum() > grown.Full() || e.WriteQuorum+grown.ReadQuorum() <= len(e.Members) {
		return Ensemble{}, false
	}
	return grown, true
}

func (e Ensemble) next(change func(Member) Member) Ensemble {
	changed := Ensemble{Partition: e.Partition, Version: e.Version + 1, WriteQuorum: e.WriteQuorum, Regions: e.Regions}
	for _, member := range e.Members {
		changed.Members = append(changed.Members, change(member))
	}
	return changed
}
