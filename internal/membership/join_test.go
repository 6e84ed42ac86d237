package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// joinExchange delivers messages between protocols at once, and counts the records that each zone sent to one node.
type joinExchange struct {
	now   time.Time
	nodes map[netip.AddrPort]*protocol
	to    netip.AddrPort
	// sent counts the records that were sent to the node, by the sender's zone, answers those who sent some.
	sent    map[string]int
	answers map[string]int
}

func (e *joinExchange) step(node *protocol, input event) {
	for _, output := range node.step(e.now, input) {
		typed, is := output.(sendAction)
		if !is {
			continue
		}
		if records, is := typed.message.(*membershippb.Records); is && typed.to == e.to {
			e.sent[node.self.Zone] += len(records.GetRecords())
			e.answers[node.self.Zone]++
		}
		if receiver := e.nodes[typed.to]; receiver != nil {
			e.step(receiver, messageEvent{from: node.self.PeerAddress, message: proto.Clone(typed.message)})
		}
	}
}

const (
	joinZones = 5
	// joinHubs is how many of each zone's first members have a data folder.
	joinHubs = 3
)

func joinMember(number int) Member {
	return Member{
		ID: NodeID(fmt.Sprintf("n%04d", number)), Region: "r", Zone: fmt.Sprintf("z%d", number%joinZones), Incarnation: 1, Store: number < joinHubs*joinZones,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 200), byte(number%200 + 1)}), testPort),
	}
}

// joinFleet returns an exchange in which all members but the last, which joins through one of another zone, run and know each other. Only those
// are played that can have a part in that.
func joinFleet(members int) (fleet *joinExchange, joiner *protocol) {
	fleet = &joinExchange{now: time.Unix(1_000_000, 0), nodes: map[netip.AddrPort]*protocol{}, sent: map[string]int{}, answers: map[string]int{}}
	own := joinMember(members - 1)
	fleet.to = own.PeerAddress
	seed := joinMember(members - 2)
	var records []*membershippb.Record
	for number := range members - 1 {
		records = append(records, newRecord(joinMember(number)).encode(fleet.now))
	}
	for number := range members - 1 {
		member := joinMember(number)
		if member.Zone != own.Zone && member.ID != seed.ID {
			continue
		}
		node := newProtocol(member, nil, DefaultTiming(), uint64(number))
		node.step(fleet.now, messageEvent{from: seed.PeerAddress, message: &membershippb.Records{Sender: &membershippb.Sender{Id: "n0000", Incarnation: 1}, Records: records}})
		fleet.nodes[member.PeerAddress] = node
	}
	joiner = newProtocol(own, []netip.AddrPort{seed.PeerAddress}, DefaultTiming(), 7)
	fleet.nodes[own.PeerAddress] = joiner
	return fleet, joiner
}

// TestJoinGoesThroughTheOwnZone: a node that joins through one of another zone knows all after one tick, and what crossed zones for that does not
// grow with the number of members.
func TestJoinGoesThroughTheOwnZone(t *testing.T) {
	for _, members := range []int{100, 1000, 2000} {
		fleet, joiner := joinFleet(members)
		fleet.step(joiner, tickEvent{})
		if known := len(joiner.records); known != members {
			t.Errorf("%d of %d members are known", known, members)
		}
		seed, own := joinMember(members-2).Zone, joinMember(members-1).Zone
		if sent := fleet.sent[seed]; sent == 0 || sent > mostNamed {
			t.Errorf("%d members: %d records came from another zone, want 1 to %d", members, sent, mostNamed)
		}
		if answered := fleet.answers[own]; answered > joinContacts*(2+members/recordsPerMessage) {
			t.Errorf("%d members: %d messages of records came from the own zone", members, answered)
		}
	}
}

// TestJoinWithoutOwnZone: where none of the joining node's zone is known, and for those through which its zone joins, the other zone sends all.
func TestJoinWithoutOwnZone(t *testing.T) {
	const members = 300
	for name, alone := range map[string]bool{"no member of the zone lives": true, "the first of its zone": false} {
		t.Run(name, func(t *testing.T) {
			fleet, joiner := joinFleet(members)
			own := joinMember(members - 1)
			seed := fleet.nodes[joinMember(members-2).PeerAddress]
			for _, held := range seed.records {
				if held.Zone != own.Zone {
					continue
				}
				if delete(fleet.nodes, held.PeerAddress); alone {
					seed.declareDead(held, changeDead)
				}
			}
			if !alone {
				// The zone's first by rank starts again.
				first := hubsOf(seed.lookup().byZone[keyOfZone(own.Region, own.Zone)])[0]
				member := first.Member
				member.Incarnation = 2
				joiner = newProtocol(member, []netip.AddrPort{seed.self.PeerAddress}, DefaultTiming(), 7)
			}
			fleet.nodes[joiner.self.PeerAddress] = joiner
			fleet.to = joiner.self.PeerAddress
			fleet.step(joiner, tickEvent{})
			others := 0
			for _, held := range joiner.records {
				if held.Zone != own.Zone {
					others++
				}
			}
			if want := members * (joinZones - 1) / joinZones; others != want {
				t.Errorf("%d members of other zones are known, want %d", others, want)
			}
		})
	}
}
