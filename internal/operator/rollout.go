package operator

import (
	"github.com/sloelift/sloelift/internal/membership"
)

// Rollout tells on which members a revision is in force, as this node last heard.
type Rollout struct {
	Revision int64 `json:"revision"`
	// Complete says that no reachable member is behind.
	Complete bool `json:"complete"`
	InForce  int  `json:"in_force"`
	// Behind are reachable members with a lower revision; Unreachable are members with
	// a lower revision that this node cannot reach.
	Behind      []MemberStatus `json:"behind"`
	Unreachable []MemberStatus `json:"unreachable"`
}

// rollout compares the members' revisions with the wanted one. A node that knows no
// other member judges by itself alone.
func (r *statusReporter) rollout(revision int64) Rollout {
	result := Rollout{Revision: revision, Behind: []MemberStatus{}, Unreachable: []MemberStatus{}}
	self := MemberStatus{Node: r.settings.Node, Region: r.settings.Region, Zone: r.settings.Zone, State: stateName(membership.Alive), Revision: r.revision()}
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
