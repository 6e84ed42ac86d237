package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// Without suspicions a node of a large fleet sends messages to some tens of other members only, so
// that its connections do not grow with the fleet.
func TestCalmNodeTalksToFew(t *testing.T) {
	const nodes, zones = 300, 5
	memberAt := func(number int) Member {
		return Member{
			ID: NodeID(fmt.Sprintf("n%03d", number)), Region: "r", Zone: fmt.Sprintf("z%d", number%zones), Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 200), byte(number%200 + 1)}), testPort),
		}
	}
	now := time.Unix(1_000_000, 0)
	own := newProtocol(memberAt(0), nil, DefaultTiming(), 1)
	byAddress := map[netip.AddrPort]Member{}
	var records []*membershippb.Record
	for number := 1; number < nodes; number++ {
		member := memberAt(number)
		byAddress[member.PeerAddress] = member
		records = append(records, newRecord(member).encode(now))
	}
	own.step(now, messageEvent{from: memberAt(1).PeerAddress, message: &membershippb.Records{
		Sender: &membershippb.Sender{Id: "n001", Incarnation: 1}, Records: records,
	}})
	addressed := map[netip.AddrPort]bool{}
	for range 1200 {
		now = now.Add(100 * time.Millisecond)
		actions := own.step(now, tickEvent{})
		for _, output := range actions {
			sent, is := output.(sendAction)
			if !is {
				continue
			}
			addressed[sent.to] = true
			if ping, is := sent.message.(*membershippb.Ping); is {
				answering := byAddress[sent.to]
				own.step(now, messageEvent{from: sent.to, message: &membershippb.Ack{
					Sender: &membershippb.Sender{Id: string(answering.ID), Incarnation: 1}, Sequence: ping.GetSequence(),
				}})
			}
		}
	}
	if most := ringSuccessors + zoneContacts + (zones-1)*remoteContacts; len(addressed) > most {
		t.Errorf("messages sent to %d members in two minutes without suspicions, want at most %d", len(addressed), most)
	}
	if len(addressed) < zoneContacts+remoteContacts {
		t.Errorf("messages sent to %d members only in two minutes, want at least zoneContacts+remoteContacts", len(addressed))
	}
}
