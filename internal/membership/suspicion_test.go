package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// Guards the bound on the time in which a death is known: a node whose own probe failed later than
// that of another must declare the death at the same time as the others.
func TestLongestSilenceDecidesADeath(t *testing.T) {
	timing := DefaultTiming()
	for name, test := range map[string]struct {
		// toldAt is when news of another node's suspicion arrives, silentAt since when the suspect
		// is silent according to it. Both, and wantAt, count from this node's own failed probe.
		toldAt, silentAt, wantAt time.Duration
	}{
		"an earlier probe":            {500 * time.Millisecond, -400 * time.Millisecond, timing.ZoneDeathAfter - 400*time.Millisecond},
		"a later probe":               {500 * time.Millisecond, 200 * time.Millisecond, timing.ZoneDeathAfter},
		"an earlier probe, told late": {2 * time.Second, -time.Second, timing.ZoneDeathAfter},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1_000_000, 0)
			self, victim, teller := memberOfZone(1), memberOfZone(2), memberOfZone(3)
			tested := newProtocol(self, nil, timing, 1)
			member := newRecord(victim)
			tested.now = began
			tested.insert(member)
			tested.insert(newRecord(teller))
			tested.suspect(member, began)
			told := false
			for now := began; member.State == Suspect; now = now.Add(timing.Tick) {
				if !told && now.Sub(began) >= test.toldAt {
					told = true
					silence := now.Sub(began.Add(test.silentAt))
					news := &membershippb.Record{
						Id: string(victim.ID), Incarnation: victim.Incarnation,
						State: membershippb.State_STATE_SUSPECT, SilentMillis: uint32(silence.Milliseconds()),
					}
					tested.step(now, messageEvent{from: teller.PeerAddress, message: &membershippb.Ping{
						Sender: &membershippb.Sender{Id: string(teller.ID), Incarnation: teller.Incarnation}, News: []*membershippb.Record{news},
					}})
				}
				tested.step(now, tickEvent{})
			}
			if at := member.diedAt.Sub(began); member.State != Dead || at < test.wantAt || at > test.wantAt+timing.Tick {
				t.Errorf("state %s after %s, want dead after %s", member.State, at, test.wantAt)
			}
		})
	}
}

// memberOfZone returns a member of a fixed zone.
func memberOfZone(number int) Member {
	made := newSimulation(nil, 0).nodes[0].member
	made.ID = NodeID(fmt.Sprint("member-", number))
	made.Incarnation = 1
	return made
}

// Repeats the zone part of TestDeadNodeIsKnownInTime with other network seeds and other victims.
func TestDeadNodeIsKnownInTimeWhateverTheSeed(t *testing.T) {
	const kills = 8
	for seed := uint64(100); seed < 104; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 70, 7, 3, seed)
				defer c.stopAll()
				c.awaitAll(10 * time.Second)
				for kill := range kills {
					number := (int(seed)*13 + kill*11) % len(c.nodes)
					victim := c.nodes[number]
					time.Sleep(time.Duration(137*number%1000) * time.Millisecond)
					c.kill(victim)
					c.awaitDeadInZone(victim)
					c.start(victim)
					c.awaitAll(10 * time.Second)
				}
			})
		})
	}
}
