package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// joinExchange delivers messages between protocols without delay, and counts the records that the
// nodes of each zone send to one node.
type joinExchange struct {
	now   time.Time
	nodes map[netip.AddrPort]*protocol
	to    netip.AddrPort
	// sent is the number of records sent to the node, answers the number of messages with records,
	// by the sender's zone.
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
	// joinHubs is the number of members of each zone that have a data folder.
	joinHubs = 3
)

func joinMember(number int) Member {
	return Member{
		ID: NodeID(fmt.Sprintf("n%04d", number)), Region: "r", Zone: fmt.Sprintf("z%d", number%joinZones),
		Incarnation: 1, Store: number < joinHubs*joinZones,
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 200), byte(number%200 + 1)}), testPort),
	}
}

// joinFleet returns an exchange in which all members but the last run and know each other. The last
// one joins through a seed of another zone. Only the nodes that can take part in its join are
// simulated.
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
		node.step(fleet.now, messageEvent{from: seed.PeerAddress, message: &membershippb.Records{
			Sender: &membershippb.Sender{Id: "n0000", Incarnation: 1}, Records: records,
		}})
		fleet.nodes[member.PeerAddress] = node
	}
	joiner = newProtocol(own, []netip.AddrPort{seed.PeerAddress}, DefaultTiming(), 7)
	fleet.nodes[own.PeerAddress] = joiner
	return fleet, joiner
}

// A node that joins through a seed of another zone knows all members after one tick, and the number
// of records that cross zones for it does not grow with the number of members.
func TestJoinGoesThroughTheOwnZone(t *testing.T) {
	for _, members := range []int{100, 1000, 2000} {
		fleet, joiner := joinFleet(members)
		fleet.step(joiner, tickEvent{})
		if known := len(joiner.records); known != members {
			t.Errorf("joining node knows %d of %d members", known, members)
		}
		seed, own := joinMember(members-2).Zone, joinMember(members-1).Zone
		if sent := fleet.sent[seed]; sent == 0 || sent > maxRedirectRecords {
			t.Errorf("%d members: %d records sent from another zone, want 1 to %d", members, sent, maxRedirectRecords)
		}
		if answered := fleet.answers[own]; answered > joinContacts*(2+members/maxRecordsPerMessage) {
			t.Errorf("%d members: %d messages with records sent from the own zone", members, answered)
		}
	}
}

// The seed's zone sends all records if no member of the joining node's zone is known, or if the
// joining node is a hub of its zone.
func TestJoinWithoutOwnZone(t *testing.T) {
	const members = 300
	for name, alone := range map[string]bool{"no member of the zone lives": true, "the first of its zone": false} {
		t.Run(name, func(t *testing.T) {
			fleet, joiner := joinFleet(members)
			own := joinMember(members - 1)
			seed := fleet.nodes[joinMember(members-2).PeerAddress]
			for _, known := range seed.records {
				if known.Zone != own.Zone {
					continue
				}
				if delete(fleet.nodes, known.PeerAddress); alone {
					seed.declareDead(known, changeDead)
				}
			}
			if !alone {
				// The first hub of the zone restarts.
				first := hubsOf(seed.lookup().byZone[keyOfZone(own.Region, own.Zone)])[0]
				member := first.Member
				member.Incarnation = 2
				joiner = newProtocol(member, []netip.AddrPort{seed.self.PeerAddress}, DefaultTiming(), 7)
			}
			fleet.nodes[joiner.self.PeerAddress] = joiner
			fleet.to = joiner.self.PeerAddress
			fleet.step(joiner, tickEvent{})
			others := 0
			for _, known := range joiner.records {
				if known.Zone != own.Zone {
					others++
				}
			}
			if want := members * (joinZones - 1) / joinZones; others != want {
				t.Errorf("joining node knows %d members of other zones, want %d", others, want)
			}
		})
	}
}
