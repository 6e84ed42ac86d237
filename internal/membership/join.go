package membership

import (
	"cmp"
	"net/netip"
	"slices"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

const (
	// zoneHubs is the number of members of a zone through which its other members join.
	zoneHubs = 2
	// maxRedirectRecords bounds the members that a joining node is redirected to in its own zone:
	// the hubs, and one more in case both hubs are down.
	maxRedirectRecords = zoneHubs + 1
)

// hubsOf returns the members of a zone through which its other members join: live members with a
// data folder first, because they have more network bandwidth, and among these the first on the
// ring.
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

// redirectToOwnZone answers the digest of a joining node of another zone, which names its own zone
// only, with a few members of that zone. The joining node gets all other records from them, so that
// these do not cross zones for each node that starts. It returns false if the digest is to be
// answered in full: few records would be sent, no live member of that zone is known, or the sender
// is itself a hub of its zone.
func (p *protocol) redirectToOwnZone(from netip.AddrPort, message *membershippb.Digest) bool {
	if len(message.GetZones()) != 1 {
		return false
	}
	zone := zoneKey(message.GetZones()[0].GetZone())
	index := p.lookup()
	members := index.byZone[zone]
	if zone == p.self.zone || index.others-len(members) <= bulkThreshold {
		return false
	}
	sender := NodeID(message.GetSender().GetId())
	isSender := func(member *record) bool { return member.ID == sender }
	hubs := hubsOf(members)
	if len(hubs) == 0 || slices.ContainsFunc(hubs, isSender) {
		return false
	}
	other := func(member *record) bool {
		return member.State == Alive && !isSender(member) && !slices.Contains(hubs, member)
	}
	p.sendRecords(from, append(hubs, p.sample(members, maxRedirectRecords-len(hubs), other)...))
	return true
}

// compareWithOwnZone sends digests to some members of this node's zone, once the first other
// members are known.
func (p *protocol) compareWithOwnZone() {
	for _, contact := range p.sample(p.lookup().byZone[p.self.zone], joinContacts, nil) {
		p.sendDigest(contact.PeerAddress)
	}
}
