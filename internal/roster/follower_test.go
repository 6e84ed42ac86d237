package roster

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/membership/membershiptest"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
)

// lateRelay is a relay that knows a short list until longAt, a part of a long one until shortAt,
// and a short list again after that.
type lateRelay struct {
	longAt, shortAt time.Time
	asked           int
}

func (l *lateRelay) Call(_ context.Context, _ netip.AddrPort, _ transport.Method, request, response proto.Message) error {
	time.Sleep(time.Millisecond + time.Duration(request.(*rosterpb.FollowRequest).GetHoldMicros())*time.Microsecond)
	l.asked++
	answer := response.(*rosterpb.FollowResponse)
	answer.Short = time.Now().Before(l.longAt) || time.Now().After(l.shortAt)
	answer.Whole, answer.Run, answer.Version, answer.Revision = !answer.Short, 1, 1, 1
	return nil
}

func (*lateRelay) Send(netip.AddrPort, transport.Method, proto.Message) error { return nil }

// When the list of a fleet has just become long, nodes know it before their relays do. An answer of
// such a relay must not send all nodes to the store to read the whole list.
func TestRelayThatIsBehindSendsNoNodeBackToTheStore(t *testing.T) {
	const never = 24 * time.Hour
	for name, test := range map[string]struct {
		longAfter, shortAfter time.Duration
		wantAfter             time.Duration
	}{
		"behind for a while, then short":  {2 * time.Second, 30 * time.Second, 30 * time.Second},
		"the list has become short again": {never, never, olderRevisionTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				relay := &lateRelay{longAt: began.Add(test.longAfter), shortAt: began.Add(test.shortAfter)}
				members := []membership.Member{
					{ID: "edge", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")},
					{ID: "relay-1", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"), Store: true},
					{ID: "relay-2", Zone: "z", PeerAddress: netip.MustParseAddrPort("127.0.0.1:3"), Store: true},
				}
				follower := NewFollower(FollowerOptions{
					Node: "edge", Zone: "z", Caller: relay, Viewer: membershiptest.NewViewer(&membership.View{Self: "edge", Members: members}),
					Keeper: NewKeeper(replica.NewDirectory()), Logger: zerolog.Nop(),
				})
				if end := follower.Run(t.Context()); end != EndShort {
					t.Errorf("Run returned %d, want EndShort", end)
				}
				if after := time.Since(began); after < test.wantAfter || after > test.wantAfter+time.Second {
					t.Errorf("Run returned after %s, want %s", after, test.wantAfter)
				}
				const mostPerSecond = 10
				if most := mostPerSecond * int(test.wantAfter/time.Second); relay.asked > most {
					t.Errorf("relays were polled %d times, want at most %d", relay.asked, most)
				}
			})
		})
	}
}
