package membership

import "time"

// Timing holds the periods and timeouts of the protocol.
type Timing struct {
	// Tick is the interval at which the protocol checks its timers.
	Tick time.Duration
	// ZoneProbePeriod is how often a node probes two members of its own zone: one of its two ring
	// successors in turn, and a random contact.
	ZoneProbePeriod time.Duration
	// RemoteProbePeriod is how often a node probes one member of another zone.
	RemoteProbePeriod time.Duration
	// DirectTimeout is how long a probe is unanswered before helpers are asked for indirect probes,
	// ProbeTimeout how long before the target is suspected.
	DirectTimeout time.Duration
	ProbeTimeout  time.Duration
	// ZoneDeathAfter and RemoteDeathAfter are how long a suspect has been silent when it is
	// declared dead, in this node's zone and in other zones.
	ZoneDeathAfter   time.Duration
	RemoteDeathAfter time.Duration
	// RefuteTime is the least time that a member has to refute a suspicion that a node learns of
	// late. ClaimRefuteTime is the same if another node already reports the member dead.
	RefuteTime      time.Duration
	ClaimRefuteTime time.Duration
	// RenewedNewsLead is how long before a suspect's deadline its suspicion is passed on once more:
	// RefuteTime and 0.3 s for the news to arrive, so that a node that missed it declares the death in
	// time as well.
	RenewedNewsLead time.Duration
	// DigestPeriod is how often a node exchanges digests with a random live member, HealPeriod how
	// often with an address that it holds dead or does not know.
	DigestPeriod time.Duration
	HealPeriod   time.Duration
	// JoinPeriod and MaxJoinPeriod bound the join backoff of a node that knows no other member.
	JoinPeriod    time.Duration
	MaxJoinPeriod time.Duration
	// ForgetAfter is how long dead members are kept, ForgetUnlistedAfter the same if the machine
	// list does not name them.
	ForgetAfter         time.Duration
	ForgetUnlistedAfter time.Duration
	// PublishPeriod is how often a changed view is published while no member leaves or dies.
	PublishPeriod time.Duration
	// ListPeriod is how often a node that knows no other member reads the machine list, and the
	// shortest period of any other node, which reads ListBytesPerSecond on average.
	ListPeriod         time.Duration
	ListBytesPerSecond int
	// JoinFirst is how long a node with seeds must know no live member before it reads the machine
	// list; a node that has joined through its seeds does not read it. 0 means that the list is
	// read at once and in each period. Nodes that others join through have 0, so that all of them
	// find each other.
	JoinFirst time.Duration
}

// DefaultTiming returns the timing of production: a dead node is known in its zone within 3 s and
// everywhere within 8 s, and a pause of 2 s does not cause a node to be declared dead.
func DefaultTiming() Timing {
	return Timing{
		Tick:                100 * time.Millisecond,
		ZoneProbePeriod:     250 * time.Millisecond,
		RemoteProbePeriod:   500 * time.Millisecond,
		DirectTimeout:       200 * time.Millisecond,
		ProbeTimeout:        500 * time.Millisecond,
		ZoneDeathAfter:      2300 * time.Millisecond,
		RemoteDeathAfter:    3300 * time.Millisecond,
		RefuteTime:          600 * time.Millisecond,
		ClaimRefuteTime:     2500 * time.Millisecond,
		RenewedNewsLead:     900 * time.Millisecond,
		DigestPeriod:        time.Second,
		HealPeriod:          3 * time.Second,
		JoinPeriod:          200 * time.Millisecond,
		MaxJoinPeriod:       5 * time.Second,
		ForgetAfter:         4 * time.Hour,
		ForgetUnlistedAfter: 10 * time.Minute,
		PublishPeriod:       500 * time.Millisecond,
		ListPeriod:          10 * time.Second,
		ListBytesPerSecond:  1024,
	}
}

const (
	// indirectProbes is the number of helpers asked for indirect probes.
	indirectProbes = 3
	// ringSuccessors is the number of ring successors that a node probes in turn.
	ringSuccessors = 2
	// zoneContacts and remoteContacts are the number of members that a node probes at random in its
	// own zone and in each other zone. Random graphs with three or more edges chosen by each node
	// are almost always connected, and digests with the contacts of others heal the rare
	// exceptions.
	zoneContacts   = 6
	remoteContacts = 3
	// maxNewsBytes bounds the news on one ping or ack.
	maxNewsBytes = 256
	// broadcastSample is the number of members of each other zone that are sent a refutation at
	// once.
	broadcastSample = 3
	// A zone with at least suspectZoneThreshold suspects gets all remote probes, suspectZoneProbes
	// at a time.
	suspectZoneThreshold = 2
	suspectZoneProbes    = 2
	// maxRecordsPerMessage bounds a Records message.
	maxRecordsPerMessage = 200
	// bulkThreshold is the number of records in one message above which they are not passed on as
	// news.
	bulkThreshold = 24
	// maxRevisionRuns bounds the runs of equal revisions in the digest of a zone. If there are
	// more, all are left out: in a zone of hundreds of members that all differ the digest would
	// take several KB, and each probe carries its sender's revisions anyway.
	maxRevisionRuns = 32
	// crossZoneDigestSenders and crossZoneProbers are the number of members of a zone that send
	// digests to, and probe, members of other zones in each period.
	crossZoneDigestSenders = 24
	crossZoneProbers       = 48
	// joinContacts is the number of addresses that a node that knows no other member asks at once.
	joinContacts = 2
	// maxSeeds bounds the seeds; further contacts are not needed to join.
	maxSeeds = 16
	// suspectNotifiers is about how many of the nodes that learn of a suspicion notify the suspect
	// at once.
	suspectNotifiers = 3
	// maxSlowness bounds the slowness, which extends this node's timeouts. Up to toleratedSlowness
	// it does not delay declaring a member dead.
	maxSlowness       = 8
	toleratedSlowness = 2
	// maxLateAnswer is how long after a probe was sent its answer is still considered.
	maxLateAnswer = 5 * time.Second
	// listedMachineBytes is the approximate size of one machine in the machine list.
	listedMachineBytes = 160
	// joinCheckInterval is how often a node that joins through its seeds checks whether it knows a
	// live member.
	joinCheckInterval = 250 * time.Millisecond
	// pauseTicks is the number of missed ticks from which a node treats itself as having been
	// paused.
	pauseTicks = 4
)
