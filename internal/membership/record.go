package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// zoneKey identifies a zone of a region in digests.
type zoneKey uint32

// record is the protocol's state of a member, or of this node.
type record struct {
	Member
	zone zoneKey
	// idHash is the member's position on its zone's ring; its lower 32 bits identify the member in
	// summaries.
	idHash uint64
	// leaving reports whether the member announced in this incarnation that it leaves, even if it
	// is suspected since.
	leaving bool
	// left reports whether the member itself announced its stop.
	left bool
	// lastHeard is when this node last heard from the member itself in this incarnation.
	lastHeard time.Time
	// roundTrip is that of the member's latest direct answer; 0 before the first.
	roundTrip time.Duration
	// Set while State is Suspect: since when the member is silent, when the suspicion began, and
	// when the member is declared dead.
	silentSince   time.Time
	suspectedAt   time.Time
	deadline      time.Time
	newsRenewed   bool // the suspicion was queued as news once more, RenewedNewsLead before deadline
	finalPingSent bool // the ping shortly before deadline was sent
	// diedAt is set while State is Dead.
	diedAt time.Time
}

func newRecord(member Member) *record {
	return &record{
		Member:  member,
		zone:    keyOfZone(member.Region, member.Zone),
		idHash:  xxhash.Sum64String(string(member.ID)),
		leaving: member.State == Leaving,
	}
}

func keyOfZone(region, zone string) zoneKey {
	return zoneKey(xxhash.Sum64String(region + "/" + zone))
}

// stateHash returns the hash of the state that digests compare. Suspicion is left out because it is
// transient.
func (r *record) stateHash() uint64 {
	var bytes [17]byte
	binary.LittleEndian.PutUint64(bytes[:], r.idHash)
	binary.LittleEndian.PutUint64(bytes[8:], r.Incarnation)
	if r.leaving {
		bytes[16] = 1
	}
	return xxhash.Sum64(bytes[:])
}

// key identifies the member in summaries.
func (r *record) key() uint32 { return uint32(r.idHash) }

// summary returns the member's entry in a ZoneSummary.
func (r *record) summary() uint64 { return uint64(r.key())<<32 | r.stateHash()&0xffffffff }

// encode returns the record's wire form at time now.
func (r *record) encode(now time.Time) *membershippb.Record {
	wire := &membershippb.Record{Id: string(r.ID), Incarnation: r.Incarnation}
	switch r.State {
	case Suspect:
		wire.State = membershippb.State_STATE_SUSPECT
		wire.SilentMillis = uint32(max(now.Sub(r.silentSince).Milliseconds(), 0))
		return wire
	case Dead:
		wire.State = membershippb.State_STATE_DEAD
		wire.Left = r.left
		return wire
	case Leaving:
		wire.State = membershippb.State_STATE_LEAVING
	}
	wire.Attributes = &membershippb.Attributes{
		Region:           r.Region,
		Zone:             r.Zone,
		PeerAddress:      encodeAddress(r.PeerAddress),
		AdminAddress:     encodeAddress(r.AdminAddress),
		Store:            r.Store,
		StoreIncarnation: r.StoreIncarnation,
		ConfigRevision:   r.Revisions.Configuration,
		ReplicasRevision: r.Revisions.Replicas,
	}
	return wire
}

// decodeMember decodes an alive or leaving member. It returns false if the record is invalid.
func decodeMember(wire *membershippb.Record) (Member, bool) {
	attributes := wire.GetAttributes()
	peer, valid := decodeAddress(attributes.GetPeerAddress())
	if !valid || wire.GetId() == "" {
		return Member{}, false
	}
	// A node without an admin address is a valid member.
	admin, _ := decodeAddress(attributes.GetAdminAddress())
	member := Member{
		ID:               NodeID(wire.GetId()),
		Incarnation:      wire.GetIncarnation(),
		Region:           attributes.GetRegion(),
		Zone:             attributes.GetZone(),
		PeerAddress:      peer,
		AdminAddress:     admin,
		Store:            attributes.GetStore(),
		StoreIncarnation: attributes.GetStoreIncarnation(),
		Revisions:        Revisions{Configuration: attributes.GetConfigRevision(), Replicas: attributes.GetReplicasRevision()},
	}
	if wire.GetState() == membershippb.State_STATE_LEAVING {
		member.State = Leaving
	}
	return member, true
}

func encodeAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	encoded, err := address.MarshalBinary()
	if err != nil {
		return nil
	}
	return encoded
}

func decodeAddress(encoded []byte) (netip.AddrPort, bool) {
	var address netip.AddrPort
	if len(encoded) == 0 || address.UnmarshalBinary(encoded) != nil {
		return netip.AddrPort{}, false
	}
	return address, address.IsValid() && address.Port() != 0
}
