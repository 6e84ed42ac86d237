package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

const (
	// missedZoneMembers is the number of members of the zone, missedOtherMembers that of members
	// elsewhere, which do nothing here but count for how often news is passed on.
	missedZoneMembers  = 10
	missedOtherMembers = 60
	// missedZoneRuns is the number of runs, each with other seeds, tick times, victim and late
	// member.
	missedZoneRuns = 40
	// missedNewsFor is how long from the first suspicion the late member is told nothing of the
	// victim; by its end the others have passed the suspicion on as often as they do.
	missedNewsFor = time.Second
	// lateProbeAfter is how much later than the first failed probe the late member's own is sent.
	lateProbeAfter = 1100 * time.Millisecond
)

// missedZone runs the protocols of one zone, in steps of a millisecond. Each message arrives at
// once. From the fault on, the late member's own probes of the victim do not count, but for one
// if lateProbes is set.
type missedZone struct {
	now        time.Time
	members    []*missedZoneMember
	queue      []simulatedMessage
	victim     *missedZoneMember
	late       *missedZoneMember // nil if nobody misses news
	lateProbes bool

	faultAt        time.Time // zero before the fault
	firstSuspicion time.Time
	firstSilence   time.Time
	lateSequence   uint64 // of the late member's probe that counts
}

type missedZoneMember struct {
	protocol *protocol
	address  netip.AddrPort
	tickAt   time.Duration // within each period of ticks
	killed   bool
	paused   bool
	held     []simulatedMessage // arrived during the pause
	deadAt   time.Time          // when its view first held the victim dead
	// What it knew of the victim at last before the death, and when it was first told of the
	// suspicion and of the death.
	silentSince, suspectedAt, deadline, toldSuspect, toldDead time.Time
}

func newMissedZone(run, others int) *missedZone {
	z := &missedZone{now: time.Unix(1_000_000, 0)}
	var all []Member
	for number := range missedZoneMembers {
		member := memberOfZone(number)
		member.PeerAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number + 1)}), testPort)
		all = append(all, member)
	}
	for number, self := range all {
		added := &missedZoneMember{
			protocol: newProtocol(self, nil, DefaultTiming(), uint64(run*missedZoneMembers+number)),
			address:  self.PeerAddress,
			tickAt:   time.Duration((number*37+run*13)%100) * time.Millisecond,
		}
		for _, other := range all {
			if other.ID != self.ID {
				added.protocol.insert(newRecord(other))
			}
		}
		for number := range others {
			// Members that stopped are neither probed nor sent anything.
			stopped := self
			stopped.ID = NodeID(fmt.Sprint("stopped-", number))
			gone := newRecord(stopped)
			gone.State, gone.left, gone.diedAt = Dead, true, z.now
			added.protocol.insert(gone)
		}
		z.members = append(z.members, added)
	}
	z.victim = z.members[run%missedZoneMembers]
	for end := 2*time.Second + time.Duration(run*41%500)*time.Millisecond; end > 0; end -= time.Millisecond {
		z.advance()
	}
	return z
}

// setLate makes one member, another one in each run, miss the news of the victim.
func (z *missedZone) setLate(run int, probes bool) {
	z.late = z.members[(run+1+run/missedZoneMembers%(missedZoneMembers-1))%missedZoneMembers]
	z.lateProbes = probes
}

func (z *missedZone) advance() {
	z.now = z.now.Add(time.Millisecond)
	tick := DefaultTiming().Tick
	for _, member := range z.members {
		if !member.killed && !member.paused && time.Duration(z.now.UnixNano())%tick == member.tickAt {
			z.step(member, tickEvent{})
			z.probeLate(member)
			z.deliverAll()
		}
	}
}

func (z *missedZone) step(member *missedZoneMember, input event) {
	z.take(member, member.protocol.step(z.now, input))
	if member == z.victim || z.faultAt.IsZero() {
		return
	}
	held := member.protocol.records[z.victim.protocol.self.ID]
	if z.firstSuspicion.IsZero() && held.State == Suspect {
		z.firstSuspicion, z.firstSilence = z.now, held.silentSince
	}
	if held.State == Suspect {
		member.silentSince, member.suspectedAt, member.deadline = held.silentSince, held.suspectedAt, held.deadline
	}
	if member != z.late {
		return
	}
	for sequence, pending := range member.protocol.probes {
		if pending.target == held && sequence != z.lateSequence {
			delete(member.protocol.probes, sequence)
		}
	}
}

func (z *missedZone) take(member *missedZoneMember, actions []action) {
	for _, output := range actions {
		switch typed := output.(type) {
		case sendAction:
			z.queue = append(z.queue, simulatedMessage{from: member.address, to: typed.to, message: typed.message})
		case publishAction:
			held, present := typed.view.Find(z.victim.protocol.self.ID)
			if member.deadAt.IsZero() && present && held.State == Dead {
				member.deadAt = z.now
			}
		}
	}
}

// probeLate sends the one probe of the late member that counts, on its tick when it is due.
func (z *missedZone) probeLate(member *missedZoneMember) {
	if member != z.late || !z.lateProbes || z.lateSequence != 0 || z.firstSuspicion.IsZero() || z.now.Before(z.firstSilence.Add(lateProbeAfter)) {
		return
	}
	prober := member.protocol
	prober.actions = nil
	prober.probe(prober.records[z.victim.protocol.self.ID])
	z.lateSequence = prober.lastSequence
	z.take(member, prober.actions)
}

func (z *missedZone) deliverAll() {
	for len(z.queue) > 0 {
		message := z.queue[0]
		z.queue = z.queue[1:]
		for _, member := range z.members {
			switch {
			case member.address != message.to || member.killed:
			case member.paused:
				member.held = append(member.held, message)
			default:
				z.strip(member, message)
				z.step(member, messageEvent{from: message.from, message: message.message})
			}
		}
	}
}

// strip removes the records of the victim from a message to the late member while it misses news,
// and notes when a member is first told.
func (z *missedZone) strip(to *missedZoneMember, message simulatedMessage) {
	if z.firstSuspicion.IsZero() {
		return
	}
	strip := func(records []*membershippb.Record) (kept []*membershippb.Record) {
		for _, wire := range records {
			about := NodeID(wire.GetId()) == z.victim.protocol.self.ID
			if about && to == z.late && z.now.Before(z.firstSuspicion.Add(missedNewsFor)) {
				continue
			}
			kept = append(kept, wire)
			if about && wire.GetState() == membershippb.State_STATE_SUSPECT && to.toldSuspect.IsZero() {
				to.toldSuspect = z.now
			}
			if about && wire.GetState() == membershippb.State_STATE_DEAD && to.toldDead.IsZero() {
				to.toldDead = z.now
			}
		}
		return kept
	}
	switch typed := message.message.(type) {
	case *membershippb.Ping:
		typed.News = strip(typed.News)
	case *membershippb.Ack:
		typed.News = strip(typed.News)
	case *membershippb.Records:
		typed.Records = strip(typed.Records)
	}
}

// since returns the time from the fault in milliseconds, or a dash for a time that did not come.
func (z *missedZone) since(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprint(at.Sub(z.faultAt).Milliseconds())
}

// lastToKnow returns the member whose view held the victim dead last, or not at all.
func (z *missedZone) lastToKnow() *missedZoneMember {
	var last *missedZoneMember
	for _, member := range z.members {
		switch {
		case member == z.victim:
		case member.deadAt.IsZero():
			return member
		case last == nil || member.deadAt.After(last.deadAt):
			last = member
		}
	}
	return last
}

func (z *missedZone) describe(m *missedZoneMember) string {
	return fmt.Sprintf("%s, ms from the fault: silent since %s, suspected at %s, deadline %s, told of the suspicion %s, told of the death %s, dead at %s; first suspicion %s",
		m.protocol.self.ID, z.since(m.silentSince), z.since(m.suspectedAt), z.since(m.deadline), z.since(m.toldSuspect), z.since(m.toldDead), z.since(m.deadAt), z.since(z.firstSuspicion))
}

// Guards the bound on the time in which a death is known in its zone: a member that is not told of
// the suspicion while it is passed on must not declare the death later than the bound, whether a
// later probe of its own fails or it learns only from others.
func TestDeathIsKnownInTimeByWhoMissedTheSuspicion(t *testing.T) {
	for _, test := range []struct {
		name               string
		others             int
		misses, lateProbes bool
	}{
		{"nobody misses it", missedOtherMembers, false, false},
		{"nobody misses it, in a zone that is alone", 0, false, false},
		{"a later probe of its own fails", missedOtherMembers, true, true},
		{"it learns only from others", missedOtherMembers, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			late, longest := 0, time.Duration(0)
			for run := range missedZoneRuns {
				z := newMissedZone(run, test.others)
				if test.misses {
					z.setLate(run, test.lateProbes)
				}
				z.faultAt, z.victim.killed = z.now, true
				for z.lastToKnow().deadAt.IsZero() && z.now.Sub(z.faultAt) < 2*zoneLimit {
					z.advance()
				}
				last := z.lastToKnow()
				after := z.now.Sub(z.faultAt)
				longest = max(longest, after)
				if last.deadAt.IsZero() || after > zoneLimit {
					late++
					t.Errorf("run %d: dead in its zone after %s, limit %s; last to know %s", run, after, zoneLimit, z.describe(last))
				}
			}
			t.Logf("%d of %d runs late, longest %s", late, missedZoneRuns, longest)
		})
	}
}

// Guards a member that is paused for 2 s against a death by whatever makes a late member hear of a
// suspicion sooner: it must have time to refute at each member.
func TestPausedMemberLivesForWhoMissedTheSuspicion(t *testing.T) {
	for _, lateProbes := range []bool{true, false} {
		t.Run(fmt.Sprint("it probes itself: ", lateProbes), func(t *testing.T) {
			suspected := 0
			for run := range missedZoneRuns {
				z := newMissedZone(run, missedOtherMembers)
				z.setLate(run, lateProbes)
				z.faultAt, z.victim.paused = z.now, true
				for z.now.Sub(z.faultAt) < 2*time.Second {
					z.advance()
				}
				z.victim.paused = false
				z.queue, z.victim.held = z.victim.held, nil
				z.deliverAll()
				for z.now.Sub(z.faultAt) < 2*time.Second+2*zoneLimit {
					z.advance()
				}
				for _, member := range z.members {
					if !member.deadAt.IsZero() {
						t.Errorf("run %d: %s holds the paused member dead %s after its pause began; %s", run, member.protocol.self.ID, member.deadAt.Sub(z.faultAt), z.describe(member))
					}
					if held := member.protocol.records[z.victim.protocol.self.ID]; held.State != Alive {
						t.Errorf("run %d: %s holds the member %s after the pause", run, member.protocol.self.ID, held.State)
					}
				}
				if !z.late.suspectedAt.IsZero() {
					suspected++
				}
			}
			t.Logf("the late member suspected the paused one in %d of %d runs", suspected, missedZoneRuns)
		})
	}
}
