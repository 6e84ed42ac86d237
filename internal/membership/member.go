package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// NodeID names a node for as long as its settings live.
type NodeID string

// State is what is known of a member.
type State int

// States of a member, in the order in which they override each other within one incarnation.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// Member is one node as this node knows it.
type Member struct {
	ID NodeID
	// Incarnation rises with each start of the node's process and with each refuted suspicion.
	Incarnation uint64
	Region      string
	Zone        string
	// PeerAddress is the transport's address, AdminAddress the operators'.
	PeerAddress  netip.AddrPort
	AdminAddress netip.AddrPort
	// Store says that the node has a data folder and can be a member of ensembles.
	Store bool
	// StoreIncarnation names the disk's content; a lost disk comes back under another one.
	StoreIncarnation string
	State            State
	// Revisions of what is in force there, as last heard.
	Revisions Revisions
}

// Revisions are those of the key-value service whose changes a node knows. They never fall within an incarnation.
type Revisions struct {
	// Configuration is the revision of the configuration in force, Replicas that of the newest change to the list of replicas;
	// a node that follows no such list leaves it 0.
	Configuration int64
	Replicas      int64
}

// Join returns the newer of each of the two.
func (r Revisions) Join(other Revisions) Revisions {
	return Revisions{Configuration: max(r.Configuration, other.Configuration), Replicas: max(r.Replicas, other.Replicas)}
}

// View is an immutable snapshot of all members, this node among them, sorted by ID.
type View struct {
	Self    NodeID
	Version uint64
	Members []Member
}

// Viewer gives the present view; it is safe for concurrent use.
type Viewer interface {
	View() *View
	// Subscribe calls notify after each change until the returned function is called.
	// notify must not block.
	Subscribe(notify func(*View)) (unsubscribe func())
}

// Live returns the members that are Alive or Suspect, that is, not known to be gone or going.
func (v *View) Live() []Member {
	var live []Member
	for index := range v.Members {
		if state := v.Members[index].State; state == Alive || state == Suspect {
			live = append(live, v.Members[index])
		}
	}
	return live
}

// OthersAlive says that some other member is Alive.
func (v *View) OthersAlive() bool {
	return slices.ContainsFunc(v.Members, func(member Member) bool { return member.ID != v.Self && member.State == Alive })
}

// Find returns the member with the given id.
func (v *View) Find(id NodeID) (Member, bool) {
	index, found := slices.BinarySearchFunc(v.Members, id, func(member Member, wanted NodeID) int { return cmp.Compare(member.ID, wanted) })
	if !found {
		return Member{}, false
	}
	return v.Members[index], true
}
