package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sloelift/sloelift/internal/engine"
	port "github.com/sloelift/sloelift/internal/platform"
)

// httpBytes is the estimated size of a request line, its headers and the response's headers.
const httpBytes = 300

// engines simulates all replicas for one node: their load changes over time and they have
// no cache events. Generations are not supported.
type engines struct {
	engine.Client // nil, since methods that are not overridden are never called
	sequence      atomic.Uint64
	bytes         atomic.Int64
	calls         atomic.Int64
}

// Load returns a report whose counts change over time.
func (e *engines) Load(_ context.Context, to engine.Endpoint) (engine.LoadReport, error) {
	now := time.Now()
	step := uint64(now.UnixMilli()/200) + uint64(to.Address.Port())*2654435761
	report := engine.LoadReport{
		Sequence:   e.sequence.Add(1),
		MeasuredAt: now,
		Running:    int(step % 64), RunningBatch: int(step / 7 % 32),
		Waiting: int(step / 3 % 4), WaitingBatch: int(step / 5 % 8), MaxRunning: 96,
		CacheBlocks: 65536, CacheUsed: int(step % 65536), StepMicros: 3500,
		Models: []engine.LoadedModel{{Model: "model-0", Version: "v1", State: "ready"}},
		Role:   "mixed", QueuedPrefill: int(step % 4096),
	}
	e.count(report)
	return report, nil
}

// CacheEvents returns no events.
func (e *engines) CacheEvents(_ context.Context, _ engine.Endpoint, from uint64) (engine.CacheEvents, error) {
	page := engine.CacheEvents{Next: from}
	e.count(page)
	return page, nil
}

func (e *engines) count(body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // Encoding these types never fails.
	}
	e.bytes.Add(int64(len(encoded)) + httpBytes)
	e.calls.Add(1)
}

// machineList simulates the machine list for one node and counts its traffic.
type machineList struct {
	world *world
	bytes atomic.Int64
}

// List returns the initial machines; it never reflects faults.
func (l *machineList) List(context.Context) (port.MachineListing, error) {
	l.bytes.Add(l.world.listingBytes + httpBytes)
	return l.world.listing, nil
}

// addressOf returns a unique address for each machine; the numbers of replicas follow those of nodes.
func addressOf(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), uint16(1024+number%60000))
}

func buildListing(options Options) port.MachineListing {
	listing := port.MachineListing{Version: 1}
	for number := range options.Nodes {
		listing.Machines = append(listing.Machines, port.Machine{
			ID: nodeName(number), Role: port.RoleNode, State: port.MachineLive, Address: addressOf(number),
			Zone: zoneName(number % options.Zones), Region: regionName(number % options.Zones % options.Regions),
		})
	}
	for number := range options.Replicas {
		listing.Machines = append(listing.Machines, port.Machine{
			ID: fmt.Sprintf("replica-%04d", number), Role: port.RoleReplica, State: port.MachineLive,
			Address: addressOf(options.Nodes + number), Service: fmt.Sprintf("service-%d", number%5),
			Zone: zoneName(number % options.Zones), Region: regionName(number % options.Zones % options.Regions),
		})
	}
	return listing
}

func nodeName(number int) string   { return fmt.Sprintf("node-%03d", number) }
func zoneName(number int) string   { return fmt.Sprintf("zone-%d", number) }
func regionName(number int) string { return fmt.Sprintf("region-%d", number) }
