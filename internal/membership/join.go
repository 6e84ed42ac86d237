package membership

import (
	"cmp"
	"net/netip"
	"slices"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

const (
	// zoneHubs is the number of members of a zone through which the others of the zone join.
	zoneHubs = 2
	// mostNamed bounds the members that a joining node of another zone is named: the hubs of its zone, and one more in case both are gone.
	mostNamed = zoneHubs + 1
)

// hubsOf returns the members of a zone through which the others join: those alive with a data folder before others, as they have the wider links,
// and of these the first on the ring.
func hubsOf(members []*record) []*record {
	var alive []*record
	for _, member := range members {
		if member.State == Alive {
			alive = append(alive, member)
		}
	}
	slices.SortFunc(alive, func(a, b *record) int {
		if a.Store != b.Store {
			if a.Store {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.idHash, b.idHash)
	})
	return alive[:min(zoneHubs, len(alive))]
}

// sendsToOwnZone answers the digest of a node of another zone that knows that zone alone, as one that joins does: it is named members of its zone,
// which know as much. Else all records would cross zones for each node that starts. It returns false where the digest is to be answered as any
// other: few records would be sent, or the node is itself one of those through which its zone joins.
func (p *protocol) sendsToOwnZone(from netip.AddrPort, message *membershippb.Digest) bool {
	if len(message.GetZones()) != 1 {
		return false
	}
	zone := zoneKey(message.GetZones()[0].GetZone())
	index := p.lookup()
	members := index.byZone[zone]
	if zone == p.self.zone || index.others-len(members) <= bulkRecords {
		return false
	}
	asker := NodeID(message.GetSender().GetId())
	isAsker := func(member *record) bool { return member.ID == asker }
	hubs := hubsOf(members)
	if len(hubs) == 0 || slices.ContainsFunc(hubs, isAsker) {
		return false
	}
	other := func(member *record) bool {
		return member.State == Alive && !isAsker(member) && !slices.Contains(hubs, member)
	}
	p.sendRecords(from, append(hubs, p.sample(members, mostNamed-len(hubs), other)...))
	return true
}

// compareWithOwnZone has a node that has just learnt of others compare its members with some of its own zone at once.
func (p *protocol) compareWithOwnZone() {
	for _, contact := range p.sample(p.lookup().byZone[p.self.zone], joinContacts, nil) {
		p.sendDigest(contact.PeerAddress)
	}
}
