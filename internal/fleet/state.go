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
	// homed: this node polls the replica.
	homed bool
	// sent is the load last sent to the zone, sentAt when.
	sent   *fleetpb.ReplicaLoad
	sentAt time.Time
	// summarized, with role and time, is the detail that other zones last heard.
	summarized      []engine.Loaded
	summarizedRole  string
	summarizedAt    time.Time
	changedForZone  bool
	changedForOther bool
	detailChanged   bool
}

// state is the fleet's control state; it belongs to one goroutine.
type state struct {
	options  Options
	self     membership.NodeID
	zone     string
	members  []membership.Member
	replicas map[string]*entry
	byHash   map[uint64]*entry
	// sorted and byService index the replicas for directories; nil until they are built anew.
	sorted      []*entry
	byService   map[string][]int
	failed      map[*entry]bool
	listVersion int64
	listed      bool
	// leavingHashes are notices of replicas that are not listed here yet.
	leavingHashes map[uint64]bool

	// inZone and elsewhere count replicas of the own and of other zones.
	inZone, elsewhere int

	dirty       bool
	urgent      bool
	homesDirty  bool
	version     uint64
	publishedAt time.Time
	deltaAt     time.Time
	summaryAt   time.Time
	newlyLeft   []uint64
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

// step takes one event at the given time.
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
	case evidenceGiven:
		s.onEvidence(now, typed)
	case ticked:
		s.expireFailures(now)
	}
	return s.finish(now)
}

func (s *state) onView(view *membership.View) {
	same := slices.EqualFunc(s.members, view.Members, func(a, b membership.Member) bool {
		return a.ID == b.ID && a.Incarnation == b.Incarnation
	})
	s.members = view.Members
	s.homesDirty = true
	if same {
		return
	}
	for _, replica := range s.replicas { // tell a new member what changes seldom
		replica.summarizedAt, replica.sentAt = time.Time{}, time.Time{}
	}
}

// finish collects what follows from the changes of one step.
func (s *state) finish(now time.Time) []action {
	var actions []action
	if s.homesDirty {
		s.homesDirty = false
		actions = append(actions, s.assignHomes())
	}
	if len(s.newlyLeft) > 0 {
		notice := &fleetpb.LeavingNotice{Replicas: s.newlyLeft}
		s.newlyLeft = nil
		if to := s.peers(func(*membership.Member) bool { return true }); len(to) > 0 {
			actions = append(actions, sendNotice{to: to, notice: notice})
		}
	}
	if s.urgent || s.dirty && now.Sub(s.publishedAt) >= s.publishInterval() {
		actions = append(actions, publishDirectory{directory: s.directory(now)})
	}
	return append(actions, s.spread(now)...)
}

// publishPerReplica is how much each replica adds to the interval between two directories,
// so that copying stays a small part of the node's time.
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

// listReplica takes one machine of the list. Another address under the same id is another machine.
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

// markLeaving is final for a machine: a lagging source can't take it back.
func (s *state) markLeaving(replica *entry, tell bool) {
	if replica.Leaving {
		return
	}
	replica.Leaving = true
	replica.changedForZone, replica.changedForOther = true, true
	s.dirty, s.urgent = true, true
	if tell {
		s.newlyLeft = append(s.newlyLeft, HashReplica(replica.ID))
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
			replica.changedForZone, replica.changedForOther = true, true
			s.fail(now, replica)
			s.dirty, s.urgent = true, true
		}
		return
	}
	replica.pollFailures = 0
	replica.unreachable = false
	s.clearFailure(replica)
	s.takeReport(now, replica, polled.report)
	replica.changedForZone, replica.changedForOther = true, true
}

// takeReport stores a report unless a later one is known.
func (s *state) takeReport(now time.Time, replica *entry, report engine.LoadReport) bool {
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
		if replica.homed {
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
			replica.HasLoad = false // a summary of an engine that has started anew
		}
		s.takeReport(now, replica, reportOf(load, &replica.Load))
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

func (s *state) onEvidence(now time.Time, evidence evidenceGiven) {
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

// expireFailures lets failed replicas be tried again after their backoff.
func (s *state) expireFailures(now time.Time) {
	for replica := range s.failed {
		if !replica.Failed || !now.Before(replica.failedUntil) {
			delete(s.failed, replica)
			replica.Failed = false
			s.dirty = true
		}
	}
}

// assignHomes works out which replicas this node polls.
func (s *state) assignHomes() action {
	endpoints := make(map[string]engine.Endpoint)
	s.inZone, s.elsewhere = 0, 0
	for id, replica := range s.replicas {
		if replica.Zone == s.zone {
			s.inZone++
		} else {
			s.elsewhere++
		}
		home, ok := Home(s.members, id, replica.Zone)
		replica.homed = ok && home.ID == s.self
		if replica.homed {
			endpoints[id] = replica.Endpoint
		}
	}
	interval := within(s.options.PollInterval, len(endpoints), pollBytes, s.options.PollBytesPerSecond)
	return setPolls{endpoints: endpoints, interval: interval}
}

// directory copies the replicas; the index is shared between directories until the list changes.
func (s *state) directory(now time.Time) *Directory {
	if s.sorted == nil {
		s.index()
	}
	replicas := make([]Replica, len(s.sorted))
	for index, replica := range s.sorted {
		replicas[index] = replica.Replica
	}
	s.version++
	s.dirty, s.urgent, s.publishedAt = false, false, now
	return &Directory{Version: s.version, Replicas: replicas, ByService: s.byService}
}

func (s *state) index() {
	s.sorted = slices.SortedFunc(maps.Values(s.replicas), func(a, b *entry) int { return strings.Compare(a.ID, b.ID) })
	s.byService = make(map[string][]int)
	for index, replica := range s.sorted {
		s.byService[replica.Service] = append(s.byService[replica.Service], index)
	}
}

// peers returns the addresses of other live members that match.
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
