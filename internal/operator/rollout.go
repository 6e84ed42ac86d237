package operator

import (
	"github.com/sloelift/sloelift/internal/membership"
)

// Rollout lists the members on which a revision is not in force yet, as known to this
// node.
type Rollout struct {
	Revision int64 `json:"revision"`
	// Complete is true if no reachable member is behind.
	Complete bool `json:"complete"`
	InForce  int  `json:"in_force"`
	// Behind are the reachable members with a lower revision, Unreachable the suspect and
	// dead members with a lower revision.
	Behind      []MemberStatus `json:"behind"`
	Unreachable []MemberStatus `json:"unreachable"`
}

// rollout compares the revisions of this node and of all other known members, if any,
// with revision.
func (r *statusReporter) rollout(revision int64) Rollout {
	result := Rollout{Revision: revision, Behind: []MemberStatus{}, Unreachable: []MemberStatus{}}
	self := MemberStatus{
		Node:     r.settings.Node,
		Region:   r.settings.Region,
		Zone:     r.settings.Zone,
		State:    stateName(membership.Alive),
		Revision: r.revision(),
	}
	result.add(self)
	for _, member := range r.memberList() {
		if string(member.ID) != r.settings.Node {
			result.add(newMemberStatus(member))
		}
	}
	result.Complete = len(result.Behind) == 0
	return result
}

func (r *Rollout) add(member MemberStatus) {
	switch {
	case member.Revision >= r.Revision:
		r.InForce++
	case member.State == stateName(membership.Suspect), member.State == stateName(membership.Dead):
		r.Unreachable = append(r.Unreachable, member)
	default:
		r.Behind = append(r.Behind, member)
	}
}
