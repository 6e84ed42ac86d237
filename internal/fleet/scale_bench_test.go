package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
)

// BenchmarkControlSecond runs the control state of one node for seconds of virtual time in
// which every load changes at every poll, and reports the bytes that the node sends. A node
// receives the same amount on average.
func BenchmarkControlSecond(b *testing.B) {
	for _, size := range []struct{ zones, nodes, replicas int }{{3, 6, 12}, {4, 8, 18}, {7, 320, 1700}} {
		b.Run(fmt.Sprintf("%dnodes-%dreplicas", size.nodes, size.replicas), func(b *testing.B) {
			s, now := newState(DefaultOptions(), "n0", "z0"), time.Unix(1000, 0)
			view := &membership.View{Self: "n0"}
			for index := range size.nodes {
				view.Members = append(view.Members, membership.Member{
					ID: membership.NodeID(fmt.Sprint("n", index)), Zone: fmt.Sprint("z", index%size.zones),
					PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(index+1)),
				})
			}
			var machines []platform.Machine
			for index := range size.replicas {
				machines = append(machines, machine(fmt.Sprint("r", index), fmt.Sprint("z", index%size.zones), platform.MachineLive))
			}
			var polls setPolls
			handleActions := func(outputs []action) (bytes int) {
				for _, output := range outputs {
					switch typed := output.(type) {
					case setPolls:
						polls = typed
					case sendDelta:
						bytes += len(typed.to) * proto.Size(typed.delta)
					}
				}
				return bytes
			}
			handleActions(s.step(now, viewChanged{view: view}))
			handleActions(s.step(now, machinesListed{listing: platform.MachineListing{Version: 1, Machines: machines}}))
			bytes, polled := 0, 0
			sequence := uint64(0)
			for b.Loop() {
				for until := now.Add(time.Second); now.Before(until); now = now.Add(tickInterval) {
					bytes += handleActions(s.step(now, ticked{}))
					for id := range polls.endpoints {
						if now.Sub(s.replicas[id].HeardAt) < polls.interval {
							continue
						}
						sequence++
						polled++
						bytes += handleActions(s.step(now, loadPolled{replica: id, report: engine.LoadReport{
							Sequence: sequence, MeasuredAt: now, Running: int(sequence % 16), MaxRunning: 16,
							StepMicros: 4000, CacheBlocks: 4096, CacheUsed: 4000,
							Models: []engine.LoadedModel{{Model: "chat-model", Version: "2026-11", State: "ready"}},
						}}))
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "sent-bytes/s")
			b.ReportMetric(float64(polled)/float64(b.N), "polls/s")
			b.ReportMetric(float64(len(polls.endpoints)), "homed")
		})
	}
}
