package operator

import (
	"sort"
	"time"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/operator/section"
	"github.com/sloelift/sloelift/internal/settings"
)

// StatusSection is a section that another package adds to the status of the node.
type StatusSection = section.Section

// Status is the status of one node, and of the other members as known to it.
type Status struct {
	Node        string `json:"node"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Incarnation uint64 `json:"incarnation"`
	Ready       bool   `json:"ready"`
	// Reason is why Ready is false.
	Reason string `json:"reason,omitempty"`
	// Revision is the revision of the configuration in force on this node.
	Revision int64          `json:"revision"`
	Members  []MemberStatus `json:"members"`
	Replicas []ServiceCount `json:"replicas"`
	// Partitions is absent on a node without a ledger.
	Partitions *PartitionSummary `json:"partitions,omitempty"`
	// Sections are the reports of the StatusSections, by name.
	Sections map[string]any `json:"sections,omitempty"`
}

// MemberStatus is the status of one member as known to this node.
type MemberStatus struct {
	Node             string `json:"node"`
	Region           string `json:"region"`
	Zone             string `json:"zone"`
	State            string `json:"state"`
	Incarnation      uint64 `json:"incarnation"`
	PeerAddress      string `json:"peer_address"`
	AdminAddress     string `json:"admin_address"`
	Store            bool   `json:"store"`
	StoreIncarnation string `json:"store_incarnation,omitempty"`
	Revision         int64  `json:"revision"`
}

// ServiceCount counts the replicas of one service in one zone.
type ServiceCount struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Known   int    `json:"known"`
	// Reporting counts the replicas with a load report not older than maxReportAge. Leaving and Failed count replicas
	// that accept no new requests.
	Reporting int `json:"reporting"`
	Leaving   int `json:"leaving"`
	Failed    int `json:"failed"`
}

// statusReporter collects Status. inForce, members, directory and partitions may be nil.
type statusReporter struct {
	settings  settings.Settings
	readiness *Readiness
	inForce   config.Source
	members   membership.Viewer
	directory fleet.Source
	// partitions is nil on a node without a ledger.
	partitions PartitionReporter
	sections   []StatusSection
}

func (r *statusReporter) report() Status {
	status := Status{
		Node:     r.settings.Node,
		Region:   r.settings.Region,
		Zone:     r.settings.Zone,
		Version:  Version(),
		Revision: r.revision(),
		Members:  []MemberStatus{},
		Replicas: r.countReplicas(),
		Sections: map[string]any{},
	}
	status.Ready, status.Reason = r.readiness.Ready()
	for _, member := range r.memberList() {
		status.Members = append(status.Members, newMemberStatus(member))
		if string(member.ID) == status.Node {
			status.Incarnation = member.Incarnation
		}
	}
	if r.partitions != nil {
		summary := summarizePartitions(r.partitions.Status())
		status.Partitions = &summary
	}
	for _, section := range r.sections {
		status.Sections[section.Name] = section.Report()
	}
	return status
}

func (r *statusReporter) revision() int64 {
	if r.inForce == nil {
		return 0
	}
	return r.inForce.Current().Revision
}

func (r *statusReporter) memberList() []membership.Member {
	if r.members == nil {
		return nil
	}
	return r.members.View().Members
}

func (r *statusReporter) countReplicas() []ServiceCount {
	counts := []ServiceCount{}
	if r.directory == nil {
		return counts
	}
	type group struct{ service, zone string }
	indexes := map[group]int{}
	for _, replica := range r.directory.Directory().Replicas {
		key := group{replica.Service, replica.Zone}
		index, present := indexes[key]
		if !present {
			index = len(counts)
			indexes[key] = index
			counts = append(counts, ServiceCount{Service: key.service, Zone: key.zone})
		}
		counts[index].add(replica)
	}
	sort.Slice(counts, func(i, j int) bool {
		if counts[i].Service != counts[j].Service {
			return counts[i].Service < counts[j].Service
		}
		return counts[i].Zone < counts[j].Zone
	})
	return counts
}

// maxReportAge is the age up to which a load report counts as current.
const maxReportAge = 10 * time.Second

func (c *ServiceCount) add(replica fleet.Replica) {
	c.Known++
	if replica.HasLoad && time.Since(replica.HeardAt) < maxReportAge {
		c.Reporting++
	}
	if replica.Leaving {
		c.Leaving++
	}
	if replica.Failed {
		c.Failed++
	}
}

func newMemberStatus(member membership.Member) MemberStatus {
	return MemberStatus{
		Node:             string(member.ID),
		Region:           member.Region,
		Zone:             member.Zone,
		State:            stateName(member.State),
		Incarnation:      member.Incarnation,
		PeerAddress:      member.PeerAddress.String(),
		AdminAddress:     member.AdminAddress.String(),
		Store:            member.Store,
		StoreIncarnation: member.StoreIncarnation,
		Revision:         member.Revisions.Configuration,
	}
}

func stateName(state membership.State) string {
	switch state {
	case membership.Alive:
		return "alive"
	case membership.Leaving:
		return "leaving"
	case membership.Suspect:
		return "suspect"
	}
	return "dead"
}
