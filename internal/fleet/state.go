package fleet

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	fleetpb "github.com/sloelift/sloelift/api/proto/fleet"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// entry is the control state of one replica.
type entry struct {
	Replica
	failures     int
	failedUntil  time.Time
	pollFailures int
	unreachable  bool
	// isHome is true if this node is the replica's home and polls it.
	isHome bool
	// sent is the load last sent to the zone; sentAt is when its detail was last included.
	sent   *fleetpb.ReplicaLoad
	sentAt time.Time
	// summarizedModels and summarizedRole are the details last sent to other zones, at summarizedAt.
	summarizedModels     []engine.LoadedModel
	summarizedRole       string
	summarizedAt         time.Time
	changedForZone       bool
	changedForOtherZones bool
	detailChanged        bool
}

// state is the fleet's control state; it belongs to one goroutine.
type state struct {
	options  Options
	self     membership.NodeID
	zone     string
	members  []membership.Member
	replicas map[string]*entry
	byHash   map[uint64]*entry
	// sorted and byService are the index for directories; sorted is nil when it has to be rebuilt.
	sorted      []*entry
	byService   map[string][]int
	failed      map[*entry]bool
	listVersion int64
	listed      bool
	// leavingHashes holds the leaving replicas, by hash, that this node's machine list does not contain yet.
	leavingHashes map[uint64]bool

	// replicasInZone counts the replicas of this node's own zone, replicasInOtherZones all others.
	replicasInZone, replicasInOtherZones int

	// dirty is true if the directory has unpublished changes, urgent if they must be published at once.
	dirty  bool
	urgent bool
	// homesDirty is true if homes have to be assigned again.
	homesDirty   bool
	version      uint64
	publishedAt  time.Time
	deltaAt      time.Time
	summaryAt    time.Time
	newlyLeaving []uint64
}

func newState(options Options, self membership.NodeID, zone string) *state {
	return &state{
		options: options, self: self, zone: zone,
		replicas:      make(map[string]*entry),
		byHash:        make(map[uint64]*entry),
		leavingHashes: make(map[uint64]bool),
		failed:        make(map[*entry]bool),
	}
}

// step applies one event at the given time and returns the resulting actions.
func (s *state) step(now time.Time, input event) []action {
	switch typed := input.(type) {
	case machinesListed:
		s.onMachines(now, typed.listing)
	case viewChanged:
		s.onView(typed.view)
	case loadPolled:
		s.onPolled(now, typed)
	case deltaReceived:
		s.onDelta(now, typed.delta)
	case noticeReceived:
		s.onNotice(typed.notice)
	case evidenceReported:
		s.onEvidence(now, typed)
	case ticked:
		s.expireFailures(now)
	}
	return s.collectActions(now)
}

// onView stores the members. Only if the set of live members changed are homes assigned again
// and full details sent for new members: views change with every membership update.
func (s *state) onView(view *membership.View) {
	same := slices.EqualFunc(s.members, view.Members, func(a, b membership.Member) bool {
		return a.ID == b.ID && a.Zone == b.Zone && a.Incarnation == b.Incarnation && isLive(&a) == isLive(&b)
	})
	s.members = view.Members
	if same {
		return
	}
	s.homesDirty = true
	for _, replica := range s.replicas {
		replica.summarizedAt, replica.sentAt = time.Time{}, time.Time{}
	}
}

func isLive(member *membership.Member) bool {
	return member.State == membership.Alive || member.State == membership.Suspect
}

// collectActions returns the actions that follow from the changes of one step.
func (s *state) collectActions(now time.Time) []action {
	var actions []action
	if s.homesDirty {
		s.homesDirty = false
		actions = append(actions, s.assignHomes())
	}
	if len(s.newlyLeaving) > 0 {
		notice := &fleetpb.LeavingNotice{Replicas: s.newlyLeaving}
		s.newlyLeaving = nil
		if to := s.peers(func(*membership.Member) bool { return true }); len(to) > 0 {
			actions = append(actions, sendNotice{to: to, notice: notice})
		}
	}
	if s.urgent || s.dirty && now.Sub(s.publishedAt) >= s.publishInterval() {
		actions = append(actions, publishDirectory{directory: s.directory(now)})
	}
	return append(actions, s.sendLoads(now)...)
}

// publishPerReplica is the part of the publish interval per replica. It keeps the cost of
// copying the directory a small part of the node's processor time.
const publishPerReplica = 50 * time.Microsecond

func (s *state) publishInterval() time.Duration {
	return max(s.options.PublishInterval, time.Duration(len(s.replicas))*publishPerReplica)
}

func (s *state) onMachines(now time.Time, listing platform.MachineListing) {
	if s.listed && listing.Version < s.listVersion {
		return
	}
	s.listed, s.listVersion = true, listing.Version
	present := make(map[string]bool, len(listing.Machines))
	for _, machine := range listing.Machines {
		if machine.Role == platform.RoleReplica {
			present[machine.ID] = true
			s.listReplica(machine)
		}
	}
	for id := range s.replicas {
		if !present[id] {
			delete(s.replicas, id)
			delete(s.byHash, HashReplica(id))
			s.sorted = nil
			s.dirty, s.urgent, s.homesDirty = true, true, true
		}
	}
}

// listReplica applies one entry of the machine list. The same id with another address is a new machine.
func (s *state) listReplica(machine platform.Machine) {
	known := s.replicas[machine.ID]
	if known == nil || known.Endpoint.Address != machine.Address {
		hash := HashReplica(machine.ID)
		known = &entry{Replica: Replica{
			ID: machine.ID, Service: machine.Service, Region: machine.Region, Zone: machine.Zone,
			Endpoint: engine.Endpoint{Replica: machine.ID, Address: machine.Address},
			Leaving:  s.leavingHashes[hash],
		}}
		delete(s.leavingHashes, hash)
		s.replicas[machine.ID] = known
		s.byHash[hash] = known
		s.sorted = nil
		s.dirty, s.urgent, s.homesDirty = true, true, true
	}
	if machine.State == platform.MachineLeaving {
		s.markLeaving(known, true)
	}
	if known.Service != machine.Service {
		known.Service = machine.Service
		s.sorted = nil
		s.dirty = true
	}
}

// markLeaving marks a machine as leaving for good, so that a lagging source cannot undo it. With announce, other nodes
// are notified.
func (s *state) markLeaving(replica *entry, announce bool) {
	if replica.Leaving {
		return
	}
	replica.Leaving = true
	replica.changedForZone, replica.changedForOtherZones = true, true
	s.dirty, s.urgent = true, true
	if announce {
		s.newlyLeaving = append(s.newlyLeaving, HashReplica(replica.ID))
	}
}

func (s *state) onPolled(now time.Time, polled loadPolled) {
	replica := s.replicas[polled.replica]
	if replica == nil {
		return
	}
	if polled.failed {
		replica.pollFailures++
		if replica.pollFailures >= s.options.PollFailures && !replica.unreachable {
			replica.unreachable = true
			replica.HasLoad = false
			replica.changedForZone, replica.changedForOtherZones = true, true
			s.fail(now, replica)
			s.dirty, s.urgent = true, true
		}
		return
	}
	replica.pollFailures = 0
	replica.unreachable = false
	s.clearFailure(replica)
	s.applyReport(now, replica, polled.report)
	replica.changedForZone, replica.changedForOtherZones = true, true
}

// applyReport stores a report and returns true, unless a later one is known.
func (s *state) applyReport(now time.Time, replica *entry, report engine.LoadReport) bool {
	if replica.HasLoad && report.Sequence <= replica.Load.Sequence && !report.MeasuredAt.After(replica.Load.MeasuredAt) {
		replica.HeardAt = now
		return false
	}
	if !sameModels(replica.Load.Models, report.Models) || replica.Load.Role != report.Role {
		replica.detailChanged = true
	}
	replica.Load, replica.HasLoad, replica.HeardAt = report, true, now
	s.dirty = true
	if report.Leaving {
		s.markLeaving(replica, true)
	}
	return true
}

func (s *state) onDelta(now time.Time, delta *fleetpb.LoadDelta) {
	for _, load := range delta.GetLoads() {
		replica := s.byHash[load.GetReplica()]
		if replica == nil {
			if load.GetLeaving() {
				s.leavingHashes[load.GetReplica()] = true
			}
			continue
		}
		if load.GetLeaving() {
			s.markLeaving(replica, false)
		}
		if replica.isHome {
			continue
		}
		if load.GetUnreachable() {
			if replica.HasLoad {
				replica.HasLoad = false
				s.dirty = true
			}
			continue
		}
		if load.GetMeasuredAtMicros() == 0 && load.GetSequence() < replica.Load.Sequence {
			replica.HasLoad = false // a summary of an engine that has restarted
		}
		s.applyReport(now, replica, decodeReport(load, &replica.Load))
	}
}

func (s *state) onNotice(notice *fleetpb.LeavingNotice) {
	for _, hash := range notice.GetReplicas() {
		if replica := s.byHash[hash]; replica != nil {
			s.markLeaving(replica, false)
		} else {
			s.leavingHashes[hash] = true
		}
	}
}

func (s *state) onEvidence(now time.Time, evidence evidenceReported) {
	replica := s.replicas[evidence.replica]
	if replica == nil {
		return
	}
	switch evidence.kind {
	case evidenceSuccess:
		s.clearFailure(replica)
	case evidenceFailure:
		s.fail(now, replica)
	case evidenceLeaving:
		s.markLeaving(replica, true)
	}
}

func (s *state) fail(now time.Time, replica *entry) {
	backoff := s.options.FailureBackoff << min(replica.failures, 10)
	replica.failures++
	replica.failedUntil = now.Add(min(backoff, s.options.MaxFailureBackoff))
	s.failed[replica] = true
	if !replica.Failed {
		replica.Failed = true
		s.dirty, s.urgent = true, true
	}
}

func (s *state) clearFailure(replica *entry) {
	replica.failures = 0
	if replica.Failed {
		replica.Failed = false
		s.dirty = true
	}
}

// expireFailures makes failed replicas eligible again after their backoff.
func (s *state) expireFailures(now time.Time) {
	for replica := range s.failed {
		if !replica.Failed || !now.Before(replica.failedUntil) {
			delete(s.failed, replica)
			replica.Failed = false
			s.dirty = true
		}
	}
}

// assignHomes computes the home of each replica and with it the set that this node polls.
func (s *state) assignHomes() action {
	endpoints := make(map[string]engine.Endpoint)
	s.replicasInZone, s.replicasInOtherZones = 0, 0
	for id, replica := range s.replicas {
		if replica.Zone == s.zone {
			s.replicasInZone++
		} else {
			s.replicasInOtherZones++
		}
		home, _ := Home(s.members, id, replica.Zone)
		if replica.Home != home.ID {
			replica.Home = home.ID
			s.dirty, s.urgent = true, true
		}
		replica.isHome = home.ID == s.self && home.ID != ""
		if replica.isHome {
			endpoints[id] = replica.Endpoint
		}
	}
	interval := intervalWithin(s.options.PollInterval, len(endpoints), pollBytes, s.options.PollBytesPerSecond)
	return setPolls{endpoints: endpoints, interval: interval}
}

// directory returns a new Directory with copies of the replicas. The index is shared between directories until the
// machine list changes.
func (s *state) directory(now time.Time) *Directory {
	if s.sorted == nil {
		s.buildIndex()
	}
	replicas := make([]Replica, len(s.sorted))
	for index, replica := range s.sorted {
		replicas[index] = replica.Replica
	}
	s.version++
	s.dirty, s.urgent, s.publishedAt = false, false, now
	return &Directory{Version: s.version, Replicas: replicas, ByService: s.byService}
}

func (s *state) buildIndex() {
	s.sorted = slices.SortedFunc(maps.Values(s.replicas), func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	s.byService = make(map[string][]int)
	for index, replica := range s.sorted {
		s.byService[replica.Service] = append(s.byService[replica.Service], index)
	}
}

// peers returns the addresses of the other members that match and are not dead.
func (s *state) peers(match func(*membership.Member) bool) []netip.AddrPort {
	var addresses []netip.AddrPort
	for index := range s.members {
		member := &s.members[index]
		if member.ID != s.self && member.State != membership.Dead && match(member) {
			addresses = append(addresses, member.PeerAddress)
		}
	}
	return addresses
}
