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

// TestReplicaStopsForACallerWhoLeft checks that a request ends at its replica after the caller has
// disconnected, whatever the state of the request.
func TestReplicaStopsForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name   string
		script func(net.Conn, *http.Request)
		// eventsRead is the number of events that the caller reads before it disconnects, replicas the
		// number of replicas that receive its request.
		eventsRead int
		replicas   int
	}{
		{"waiting for the first event", silentScript, 0, 1},
		{"streaming", firstEvent, 1, 1},
		{"resumed elsewhere", eventThenBreak, 1, 2},
	} {
		for way, disconnect := range waysToDisconnect {
			t.Run(test.name+", "+way, func(t *testing.T) {
				harness := newEdgeHarness(t, test.script, nil)
				caller := harness.send("a", 0)
				for range test.replicas {
					harness.expectArrival("a")
				}
				readEvents(t, caller, test.eventsRead)
				disconnect(caller)
				for range test.replicas {
					harness.expectEnd("a")
				}
			})
		}
	}
}

// TestHalfClosedCallerGetsNoSuccess: a caller that had closed its connection for writing got a 200 of nobody, without signature and body.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	harness := newEdgeHarness(t, silentScript, nil)
	caller := harness.send("a", 0)
	harness.expectArrival("a")
	waysToDisconnect["half closed"](caller)
	answer, err := io.ReadAll(caller)
	if len(answer) > 0 {
		t.Errorf("answer %q, error %v; want none", answer, err)
	}
}

// TestReplicaStopsForACallerWhoSentMoreAndLeft checks the same if the caller has pipelined its next
// request, or a part of it, so that the end of the connection follows bytes that are not read yet.
func TestReplicaStopsForACallerWhoSentMoreAndLeft(t *testing.T) {
	for name, pipelined := range map[string]string{
		"a part":  "POST /p/y HTTP/1.1\r\nHost: h.example\r\n",
		"a whole": "GET /p/y HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Id: behind\r\n\r\n",
	} {
		for way, disconnect := range waysToDisconnect {
			t.Run(name+", "+way, func(t *testing.T) {
				harness := newEdgeHarness(t, firstEvent, nil)
				caller := harness.send("a", 0)
				harness.expectArrival("a")
				readEvents(t, caller, 1)
				if _, err := io.WriteString(caller, pipelined); err != nil {
					t.Fatal(err)
				}
				disconnect(caller)
				harness.expectEnd("a")
			})
		}
	}
}

// TestNothingIsSentForACallerWhoLeft checks that a request is not sent to a replica if the caller
// disconnected before.
func TestNothingIsSentForACallerWhoLeft(t *testing.T) {
	for _, test := range []struct {
		name string
		// prepare blocks requests in this state until the caller has disconnected, and calls reached
		// for each.
		prepare func(harness *edgeHarness, options *forward.Options, reached func())
	}{
		{"choosing a replica", func(_ *edgeHarness, options *forward.Options, reached func()) {
			options.Refresh = func(ctx context.Context) {
				reached()
				<-ctx.Done()
			}
		}},
		{"waiting for the tenant's limit", func(_ *edgeHarness, options *forward.Options, reached func()) {
			options.Quota = waitingQuota{asked: reached}
		}},
		{"connecting", func(harness *edgeHarness, _ *forward.Options, reached func()) {
			harness.network.dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				reached()
				<-ctx.Done()
				// Connect even though the context has ended.
				return harness.network.System.Dial(context.Background(), address)
			}
		}},
		{"held by the gate", func(_ *edgeHarness, options *forward.Options, reached func()) {
			options.Gate = forward.NewGate(options.Directory, fullDemand{reached: reached})
		}},
	} {
		for way, disconnect := range waysToDisconnect {
			t.Run(test.name+", "+way, func(t *testing.T) {
				reached := make(chan struct{}, 64)
				harness := newEdgeHarness(t, silentScript, func(configured *edgeHarness, options *forward.Options) {
					test.prepare(configured, options, func() {
						select {
						case reached <- struct{}{}:
						default:
						}
					})
				})
				if test.name == "held by the gate" {
					harness.send("before", 0)
					harness.expectArrival("before")
				}
				caller := harness.send("a", 0)
				await(t, reached, "the request to come so far")
				disconnect(caller)
				harness.awaitLog(`"request":"a"`)
				harness.expectNoArrival("a")
			})
		}
	}
}

// TestNothingIsSentWithoutTheWholeBody checks that a request is not sent to a replica if the caller
// disconnects while it sends the body.
func TestNothingIsSentWithoutTheWholeBody(t *testing.T) {
	for way, disconnect := range waysToDisconnect {
		t.Run(way, func(t *testing.T) {
			harness := newEdgeHarness(t, silentScript, nil)
			caller := harness.send("a", 2)
			disconnect(caller)
			_, _ = io.Copy(io.Discard, caller)
			harness.send("after", 0)
			harness.expectArrival("after")
			harness.expectNoArrival("a")
		})
	}
}

// TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration has the caller disconnect while its
// request waits at a process that has just started and has no routes yet.
func TestNothingIsSentForACallerWhoLeftBeforeTheConfiguration(t *testing.T) {
	for way, disconnect := range waysToDisconnect {
		t.Run(way, func(t *testing.T) {
			harness := newEdgeHarness(t, silentScript, func(configured *edgeHarness, options *forward.Options) {
				configured.routes = route.NewHolder()
				options.Routes = configured.routes
			})
			disconnect(harness.send("a", 0))
			harness.awaitLog(`"request":"a"`)
			harness.routes.Offer(harnessTable(1))
			harness.send("after", 0)
			harness.expectArrival("after")
			harness.expectNoArrival("a")
		})
	}
}
