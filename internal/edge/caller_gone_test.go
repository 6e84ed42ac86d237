package edge

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/route"
)

// TestReplicaStopsForACallerWhoLeft: whatever its request is doing at a replica, that ends by itself once the caller has left.
func TestReplicaStopsForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(net.Conn, *http.Request)
		// events are those that the caller reads before it leaves, runs are the replicas that its request comes to.
		events int
		runs   int
	}{
		{"waiting for the first event", silentScript, 0, 1},
		{"streaming", firstEvent, 1, 1},
		{"resumed elsewhere", eventThenBreak, 1, 2},
	} {
		for way, leave := range waysToLeave {
			t.Run(test.name+", "+way, func(t *testing.T) {
				gone := newGoneTest(t, test.script, nil)
				caller := gone.send("a", 0)
				for range test.runs {
					gone.expectArrival("a")
				}
				readEvents(t, caller, test.events)
				leave(caller)
				for range test.runs {
					gone.expectEnd("a")
				}
			})
		}
	}
}

// TestReplicaStopsForACallerWhoSentMoreAndLeft: the same where the caller has sent its next request, or a part of it, behind the one that is
// served, so that the end of its connection lies behind bytes that nobody reads yet.
func TestReplicaStopsForACallerWhoSentMoreAndLeft(t *testing.T) {
	for name, behind := range map[string]string{
		"a part":  "POST /p/y HTTP/1.1\r\nHost: h.example\r\n",
		"a whole": "GET /p/y HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Id: behind\r\n\r\n",
	} {
		for way, leave := range waysToLeave {
			t.Run(name+", "+way, func(t *testing.T) {
				gone := newGoneTest(t, firstEvent, nil)
				caller := gone.send("a", 0)
				gone.expectArrival("a")
				readEvents(t, caller, 1)
				if _, err := io.WriteString(caller, behind); err != nil {
					t.Fatal(err)
				}
				leave(caller)
				gone.expectEnd("a")
			})
		}
	}
}

// TestNothingIsSentForACallerWhoLeft: a caller who leaves before its request was sent to a replica has nothing run there.
func TestNothingIsSentForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare has requests wait in this state until their caller is gone, and calls reached.
		prepare func(gone *goneTest, options *forward.Options, reached func())
	}{
		{"choosing a replica", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Refresh = func(ctx context.Context) {
				reached()
				<-ctx.Done()
			}
		}},
		{"waiting for the tenant's limit", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Quota = waitingQuota{asked: reached}
		}},
		{"connecting", func(gone *goneTest, _ *forward.Options, reached func()) {
			gone.via.dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				reached()
				<-ctx.Done()
				// The connection is there all the same.
				return gone.via.System.Dial(context.Background(), address)
			}
		}},
		{"held by the gate", func(_ *goneTest, options *forward.Options, reached func()) {
			options.Gate = forward.NewGate(options.Directory, fullDemand{reached: reached})
		}},
	} {
		for way, leave := range waysToLeave {
			t.Run(test.name+", "+way, func(t *testing.T) {
				reached := make(chan struct{}, 64)
				gone := newGoneTest(t, silentScript, func(made *goneTest, options *forward.Options) {
					test.prepare(made, options, func() {
						select {
						case reached <- struct{}{}:
						default:
						}
					})
				})
				if test.name == "held by the gate" {
					gone.send("before", 0)
					gone.expectArrival("before")
				}
				caller := gone.send("a", 0)
				await(t, reached, "the request to come so far")
				leave(caller)
				gone.awaitLog(`"request":"a"`)
				gone.expectNoArrival("a")
			})
		}
	}
}

// TestNothingIsSentWithoutTheWholeBody: a caller who leaves while it sends its body has nothing run.
func TestNothingIsSentWithoutTheWholeBody(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			gone := newGoneTest(t, silentScript, nil)
			caller := gone.send("a", 2)
			leave(caller)
			_, _ = io.Copy(io.Discard, caller)
			gone.send("after", 0)
			gone.expectArrival("after")
			gone.expectNoArrival("a")
		})
	}
}

// TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration: a request waits at a process that has just started until that knows its routes.
func TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration(t *testing.T) {
	for way, leave := range waysToLeave {
		t.Run(way, func(t *testing.T) {
			gone := newGoneTest(t, silentScript, func(made *goneTest, options *forward.Options) {
				made.routes = route.NewHolder()
				options.Routes = made.routes
			})
			leave(gone.send("a", 0))
			gone.awaitLog(`"request":"a"`)
			gone.routes.Offer(goneTable(1))
			gone.send("after", 0)
			gone.expectArrival("after")
			gone.expectNoArrival("a")
		})
	}
}
