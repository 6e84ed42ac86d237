package membership

import (
	"cmp"
	"net/netip"
	"slices"
)

// NodeID identifies a node for as long as its settings exist.
type NodeID string

// State is the state of a member as this node sees it.
type State int

// States of a member, in the order in which they override each other within one incarnation.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// Member is what this node knows of one node.
type Member struct {
	ID NodeID
	// Incarnation increases with each start of the node's process, each refuted suspicion and each
	// change of its store.
	Incarnation uint64
	Region      string
	Zone        string
	// PeerAddress is the address of the node's transport, AdminAddress that of its admin interface.
	PeerAddress  netip.AddrPort
	AdminAddress netip.AddrPort
	// Store reports whether the node has a data folder and can be a member of ensembles.
	Store bool
	// StoreIncarnation identifies the content of the node's disk; a disk that was lost returns with
	// another one.
	StoreIncarnation string
	State            State
	// Revisions are the last known revisions in force on the node.
	Revisions Revisions
}

// Revisions are the revisions of the key-value service up to which a node knows its changes. They
// never decrease within an incarnation.
type Revisions struct {
	// Configuration is the revision of the configuration in force. Replicas is the revision of the
	// newest change to the list of replicas, or 0 on a node that does not follow the list.
	Configuration int64
	Replicas      int64
}

// Join returns the higher of each of the two revisions.
func (r Revisions) Join(other Revisions) Revisions {
	return Revisions{Configuration: max(r.Configuration, other.Configuration), Replicas: max(r.Replicas, other.Replicas)}
}

// View is an immutable snapshot of all members, this node among them, sorted by ID.
type View struct {
	Self    NodeID
	Version uint64
	Members []Member
}

// Viewer provides the current view. It is safe for concurrent use.
type Viewer interface {
	View() *View
	// Subscribe calls notify after each change until the returned function is called.
	// notify must not block.
	Subscribe(notify func(*View)) (unsubscribe func())
}

// Live returns the members that are Alive or Suspect, that is, neither known to be leaving nor
// dead.
func (v *View) Live() []Member {
	var live []Member
	for index := range v.Members {
		if state := v.Members[index].State; state == Alive || state == Suspect {
			live = append(live, v.Members[index])
		}
	}
	return live
}

// OthersAlive reports whether a member other than this node is Alive.
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
