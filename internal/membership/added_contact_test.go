package membership

import (
	"net/netip"
	"testing"
	"time"

	membershippb "github.com/sloelift/sloelift/api/proto/membership"
)

// TestAddedContactIsAskedAtOnce: a node that knows nobody and has asked in vain for long asks a contact at the next tick; contacts are
// kept once, and not without bound.
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
		t.Errorf("%d seeds, want one", len(own.seeds))
	}
	asked := false
	for _, output := range own.step(now.Add(DefaultTiming().Tick), tickEvent{}) {
		sent, is := output.(sendAction)
		if is && sent.to == contact {
			_, asked = sent.message.(*membershippb.Digest)
		}
	}
	if !asked {
		t.Error("the contact is not asked at the next tick")
	}
	for port := range uint16(100) {
		own.step(now, contactEvent{address: netip.AddrPortFrom(contact.Addr(), 1000+port)})
	}
	if len(own.seeds) != maxSeeds {
		t.Errorf("%d seeds, want %d at most", len(own.seeds), maxSeeds)
	}
}

// TestUnknownSeedIsAskedWhileOthersAreKnown: of nodes that find each other in two groups, as through a list that holds some of them alone, each asks
// the seeds that it does not know, and so the groups find each other.
func TestUnknownSeedIsAskedWhileOthersAreKnown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	seed := netip.MustParseAddrPort("10.0.0.9:7")
	own := newProtocol(Member{ID: "self", Zone: "z", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7"), Incarnation: 1}, []netip.AddrPort{seed}, DefaultTiming(), 1)
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
		t.Errorf("the seed was asked %d times in three periods", asked)
	}
}
