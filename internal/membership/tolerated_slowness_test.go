package membership

import (
	"fmt"
	"testing"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// earlierDeath is how long before the victim another member of its zone is killed, so that its
// failed probes slow the others when they hear of the victim.
const earlierDeath = 300 * time.Millisecond

// Guards the bound on the time in which a death is known in its zone: slowness within the tolerated
// bound must not delay the death, whether the suspicion that arrives late is the first that this
// node hears or one of a longer silence than its own.
func TestToleratedSlownessDoesNotDelayADeath(t *testing.T) {
	timing := DefaultTiming()
	const toldAt = 1600 * time.Millisecond // of silence: when renewed news arrives
	for slowness := range toleratedSlowness + 1 {
		for _, suspectedBefore := range []bool{false, true} {
			t.Run(fmt.Sprintf("slowness %d, suspected before: %t", slowness, suspectedBefore), func(t *testing.T) {
				began := time.Unix(1_000_000, 0)
				self, victim, teller := memberOfZone(1), memberOfZone(2), memberOfZone(3)
				tested := newProtocol(self, nil, timing, 1)
				member := newRecord(victim)
				tested.now = began.Add(toldAt)
				tested.insert(member)
				tested.insert(newRecord(teller))
				tested.slowness = slowness
				if suspectedBefore {
					tested.suspect(member, began.Add(time.Second))
				}
				tested.step(tested.now, messageEvent{from: teller.PeerAddress, message: &membershippb.Ping{
					Sender: &membershippb.Sender{Id: string(teller.ID), Incarnation: teller.Incarnation},
					News: []*membershippb.Record{{
						Id: string(victim.ID), Incarnation: victim.Incarnation,
						State: membershippb.State_STATE_SUSPECT, SilentMillis: uint32(toldAt.Milliseconds()),
					}},
				}})
				if after := member.deadline.Sub(began); member.State != Suspect || after != timing.ZoneDeathAfter {
					t.Errorf("state %s, dead after %s of silence, want %s", member.State, after, timing.ZoneDeathAfter)
				}
			})
		}
	}
}

// Guards the same bound in a zone in which two members die shortly after each other.
func TestSecondDeathIsKnownInTimeByWhoMissedTheSuspicion(t *testing.T) {
	late, longest := 0, time.Duration(0)
	for run := range missedZoneRuns {
		z := newMissedZone(run, missedOtherMembers)
		z.setLate(run, false)
		for number := range z.members {
			earlier := z.members[(run+5+number)%missedZoneMembers]
			if earlier != z.victim && earlier != z.late {
				earlier.killed, earlier.deadAt = true, z.now // the time is not counted
				break
			}
		}
		for end := z.now.Add(earlierDeath); z.now.Before(end); {
			z.advance()
		}
		z.faultAt, z.victim.killed = z.now, true
		for z.lastToKnow().deadAt.IsZero() && z.now.Sub(z.faultAt) < 2*zoneLimit {
			z.advance()
		}
		last := z.lastToKnow()
		after := z.now.Sub(z.faultAt)
		longest = max(longest, after)
		if after > zoneLimit {
			late++
			t.Errorf("run %d: dead in its zone after %s, limit %s; last to know %s", run, after, zoneLimit, z.describe(last))
		}
	}
	t.Logf("%d of %d runs late, longest %s", late, missedZoneRuns, longest)
}
