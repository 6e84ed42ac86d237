package membership

import (
	"net/netip"
	"testing"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// A node that knows no other member and has backed off asks an added contact at the next tick. A
// contact is kept once, and at most maxSeeds are kept.
func TestAddedContactIsAskedAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	contact := netip.MustParseAddrPort("10.0.0.9:7")
	own := newProtocol(Member{ID: "self", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1}, nil, DefaultTiming(), 1)
	for range 100 {
		now = now.Add(DefaultTiming().Tick)
		own.step(now, tickEvent{})
	}
	own.step(now, contactEvent{address: contact})
	own.step(now, contactEvent{address: contact})
	if len(own.seeds) != 1 {
		t.Errorf("%d seeds after adding one contact twice, want 1", len(own.seeds))
	}
	asked := false
	for _, output := range own.step(now.Add(DefaultTiming().Tick), tickEvent{}) {
		sent, is := output.(sendAction)
		if is && sent.to == contact {
			_, asked = sent.message.(*membershippb.Digest)
		}
	}
	if !asked {
		t.Error("no digest was sent to the added contact at the next tick")
	}
	for port := range uint16(100) {
		own.step(now, contactEvent{address: netip.AddrPortFrom(contact.Addr(), 1000+port)})
	}
	if len(own.seeds) != maxSeeds {
		t.Errorf("%d seeds after adding many contacts, want %d", len(own.seeds), maxSeeds)
	}
}

// A node keeps sending digests to seeds that it does not know, even if it knows other members.
// Otherwise nodes that join in two separate groups, for example through a machine list that names
// only some of them, would never merge.
func TestUnknownSeedIsAskedWhileOthersAreKnown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	seed := netip.MustParseAddrPort("10.0.0.9:7")
	own := newProtocol(Member{
		ID: "self", Zone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1,
	}, []netip.AddrPort{seed}, DefaultTiming(), 1)
	other := newRecord(Member{ID: "other", Zone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.2:7"), Incarnation: 1})
	own.step(now, messageEvent{from: other.PeerAddress, message: &membershippb.Records{
		Sender: &membershippb.Sender{Id: "other", Incarnation: 1}, Records: []*membershippb.Record{other.encode(now)},
	}})
	asked := 0
	for until := now.Add(3 * DefaultTiming().HealPeriod); now.Before(until); now = now.Add(DefaultTiming().Tick) {
		for _, output := range own.step(now, tickEvent{}) {
			sent, is := output.(sendAction)
			if _, digest := sent.message.(*membershippb.Digest); is && digest && sent.to == seed {
				asked++
			}
		}
	}
	if asked < 2 {
		t.Errorf("%d digests sent to the unknown seed in three heal periods, want at least 2", asked)
	}
}
