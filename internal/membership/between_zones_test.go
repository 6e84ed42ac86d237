package membership

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// The bytes that the members of one zone without suspicions send to other zones per second do not
// grow with the number of members.
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
	// All members of a small zone send in each period; in a large one crossZoneProbers members do.
	const inSmallZone = small / joinZones
	for members, bytes := range sent {
		if bytes*inSmallZone > crossZoneProbers*sent[small] {
			t.Errorf("%d members: %d bytes sent to other zones, compared with %d bytes for %d members", members, bytes, sent[small], small)
		}
	}
}

// bytesBetweenZones simulates the members of one zone, which all know all members, and returns the
// bytes that they send to other zones during span. Every ping is acknowledged; other messages are
// not answered, as the receivers hold the same state.
func bytesBetweenZones(members int, span time.Duration) (bytes int) {
	began := time.Unix(1_000_000, 0)
	var records []*membershippb.Record
	for number := range members {
		records = append(records, newRecord(joinMember(number)).encode(began))
	}
	for number := 0; number < members; number += joinZones {
		node := newProtocol(joinMember(number), nil, DefaultTiming(), uint64(number))
		sender := &membershippb.Sender{Id: string(joinMember((number + 1) % members).ID), Incarnation: 1}
		node.step(began, messageEvent{
			from:    joinMember((number + 1) % members).PeerAddress,
			message: &membershippb.Records{Sender: sender, Records: records},
		})
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

// atAddress returns the member with the given peer address, or nil.
func (p *protocol) atAddress(address netip.AddrPort) *record {
	for _, member := range p.sorted {
		if member.PeerAddress == address {
			return member
		}
	}
	return nil
}
