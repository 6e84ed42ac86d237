package membership

import "time"

// Timing holds the periods and limits of the protocol.
type Timing struct {
	// Tick is how often time moves for the protocol.
	Tick time.Duration
	// ZoneProbePeriod is how often a node probes two members of its own zone: one of
	// its two ring successors in turn, and a random contact.
	ZoneProbePeriod time.Duration
	// RemoteProbePeriod is how often a node probes one member of another zone.
	RemoteProbePeriod time.Duration
	// DirectTimeout starts indirect probes, ProbeTimeout the suspicion.
	DirectTimeout time.Duration
	ProbeTimeout  time.Duration
	// ZoneDeathAfter and RemoteDeathAfter are how long a suspect has been silent when
	// it is declared dead, in its own zone and elsewhere.
	ZoneDeathAfter   time.Duration
	RemoteDeathAfter time.Duration
	// RefuteTime is what a member has at least to refute a suspicion that a node hears
	// of late; ClaimRefuteTime is the same where others hold the member dead already.
	RefuteTime      time.Duration
	ClaimRefuteTime time.Duration
	// DigestPeriod is how often a node compares its members with a random one's,
	// HealPeriod with one that it holds dead or does not know yet.
	DigestPeriod time.Duration
	HealPeriod   time.Duration
	// JoinPeriod and MaxJoinPeriod bound the backoff of a node that knows nobody.
	JoinPeriod    time.Duration
	MaxJoinPeriod time.Duration
	// ForgetAfter is how long the dead are kept, ForgetUnlistedAfter the same where
	// the machine list does not name them either.
	ForgetAfter         time.Duration
	ForgetUnlistedAfter time.Duration
	// PublishPeriod is how often a view is published while nobody leaves or dies.
	PublishPeriod time.Duration
	// ListPeriod is how often the machine list is read by a node that knows nobody, and
	// the least period of one that does: that one reads ListBytesPerSecond on average.
	ListPeriod         time.Duration
	ListBytesPerSecond int
	// JoinFirst is how long a node that has seeds must know nobody alive before it reads the machine list; one that has joined through them
	// does not read it. 0 has the list read at once and in each period. Nodes that others join through have 0, so that all find each other.
	JoinFirst time.Duration
}

// DefaultTiming returns the timing of production: a dead node is known in its zone
// within 3 s and everywhere within 8 s, and a pause of 2 s kills nobody.
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
	// indirectProbes is how many helpers probe on a node's behalf.
	indirectProbes = 3
	// ringSuccessors is how many ring neighbours a node probes in turn.
	ringSuccessors = 2
	// zoneContacts and remoteContacts are how many members of its own zone and of each other one a node probes at random. Random graphs
	// of three and more choices a node are connected but for rare cases, and digests with the others' contacts heal those.
	zoneContacts   = 6
	remoteContacts = 3
	// newsBytes bounds the news on one ping or ack.
	newsBytes = 256
	// broadcastSample is how many members of each other zone hear a refutation at once.
	broadcastSample = 3
	// troubledZone is how many suspects in another zone draw the remote probes there;
	// then a node sends troubledProbes at once.
	troubledZone   = 2
	troubledProbes = 2
	// recordsPerMessage bounds a Records message.
	recordsPerMessage = 200
	// bulkRecords is how many records in one message are more than passing news.
	bulkRecords = 24
	// mostRevisionRuns bounds the runs of equal revisions in the digest of a zone. Where there are more they are left out: each probe carries its
	// sender's, and in a zone of hundreds of members that all differ the digest would be some KB.
	mostRevisionRuns = 32
	// comparesBetweenZones and probesBetweenZones are how many members of a zone compare with, and probe, members of other zones in each period.
	comparesBetweenZones = 24
	probesBetweenZones   = 48
	// joinContacts is how many contacts a node that knows nobody asks at once.
	joinContacts = 2
	// maxSeeds bounds the seeds; contacts past it are not needed to join.
	maxSeeds = 16
	// suspectTellers is about how many who hear of a suspicion tell the suspect at once.
	suspectTellers = 3
	// maxSlowness bounds how much a node's own slowness stretches its timeouts; up to
	// toleratedSlowness it does not put off deaths.
	maxSlowness       = 8
	toleratedSlowness = 2
	// lateAnswerLimit is how long an answer to a failed probe still counts.
	lateAnswerLimit = 5 * time.Second
	// listedMachineBytes is about what one machine takes in the machine list.
	listedMachineBytes = 160
	// aloneCheck is how often a node that joins through its seeds looks whether it knows anybody.
	aloneCheck = 250 * time.Millisecond
	// pauseTicks is the number of missed ticks after which a node holds itself paused.
	pauseTicks = 4
)
