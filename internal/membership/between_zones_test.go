package membership

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// TestTrafficBetweenZonesDoesNotGrow: what the members of one calm zone send to other zones in a second does not grow with their number.
func TestTrafficBetweenZonesDoesNotGrow(t *testing.T) {
	const (
		span  = 10 * time.Second
		small = 100
	)
	sent := map[int]int{}
	for _, members := range []int{small, 1000, 2000} {
		sent[members] = bytesBetweenZones(members, span)
		t.Logf("%d members: %d bytes a second from one zone to the others", members, sent[members]/int(span/time.Second))
	}
	// All members of a small zone do in each period what is bounded by probesBetweenZones members of a large one.
	const inSmallZone = small / joinZones
	for members, bytes := range sent {
		if bytes*inSmallZone > probesBetweenZones*sent[small] {
			t.Errorf("%d members: %d bytes, %d with %d members", members, bytes, sent[small], small)
		}
	}
}

// bytesBetweenZones plays the members of one zone, which all know all, and counts what they send to other zones, where nobody needs to answer
// differently than by what is equal.
func bytesBetweenZones(members int, span time.Duration) (bytes int) {
	began := time.Unix(1_000_000, 0)
	var records []*membershippb.Record
	for number := range members {
		records = append(records, newRecord(joinMember(number)).encode(began))
	}
	for number := 0; number < members; number += joinZones {
		node := newProtocol(joinMember(number), nil, DefaultTiming(), uint64(number))
		sender := &membershippb.Sender{Id: string(joinMember((number + 1) % members).ID), Incarnation: 1}
		node.step(began, messageEvent{from: joinMember((number + 1) % members).PeerAddress, message: &membershippb.Records{Sender: sender, Records: records}})
		for now := began; now.Before(began.Add(span)); now = now.Add(DefaultTiming().Tick) {
			for _, output := range node.step(now, tickEvent{}) {
				typed, is := output.(sendAction)
				if !is {
					continue
				}
				target := node.atAddress(typed.to)
				if target.Zone != node.self.Zone {
					bytes += proto.Size(typed.message)
				}
				if ping, is := typed.message.(*membershippb.Ping); is {
					node.step(now, messageEvent{from: typed.to, message: &membershippb.Ack{
						Sender: &membershippb.Sender{Id: string(target.ID), Incarnation: 1}, Sequence: ping.GetSequence(),
					}})
				}
			}
		}
	}
	return bytes
}

// atAddress returns the member at an address.
func (p *protocol) atAddress(address netip.AddrPort) *record {
	for _, held := range p.sorted {
		if held.PeerAddress == address {
			return held
		}
	}
	return nil
}
