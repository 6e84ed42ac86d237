package hollow

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	port "github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport/memory"
	"github.com/sloelift/sloelift/lab/platform"
)

// One-way delays of the in-memory network.
const (
	delayInZone       = 200 * time.Microsecond
	delayInRegion     = time.Millisecond
	delayAcrossRegion = 40 * time.Millisecond
)

// noRegion is the value of cutRegion while no region is isolated.
const noRegion = -1

// world holds all nodes with their network and the simulated services.
type world struct {
	options      Options
	network      *memory.Network
	platform     *platform.Server
	store        config.Store
	listing      port.MachineListing
	listingBytes int64
	nodes        []*node
	byAddress    map[netip.AddrPort]*node
	seeds        []netip.AddrPort
	// cutRegion is the region that is isolated from the others; lastCut is the time at which
	// an isolation last began or ended, in Unix nanoseconds.
	cutRegion atomic.Int32
	lastCut   atomic.Int64
	// cuts is used by the measuring goroutine only.
	cuts []cut

	// mutex guards applied.
	mutex   sync.Mutex
	applied []revisionAt
}

// cut is the period in which a region was isolated from the others.
type cut struct {
	region      int
	from, until time.Time
}

func newWorld(options Options) (*world, error) {
	w := &world{
		options:   options,
		network:   memory.NewNetwork(options.Seed),
		platform:  platform.NewServer(platform.Options{Seed: options.Seed}),
		listing:   buildListing(options),
		byAddress: make(map[netip.AddrPort]*node),
	}
	encoded, err := json.Marshal(w.listing)
	if err != nil {
		return nil, err
	}
	w.listingBytes = int64(len(encoded))
	w.store = config.NewStore(w.platform.KeyValue(platform.AnyZone), zerolog.Nop())
	w.cutRegion.Store(noRegion)
	for number := range options.Nodes {
		zone := number % options.Zones
		created := &node{world: w, number: number, zone: zone, region: zone % options.Regions, address: addressOf(number)}
		created.machines.world = w
		w.nodes = append(w.nodes, created)
		w.byAddress[created.address] = created
	}
	for _, seed := range w.nodes[:min(seedNodes, len(w.nodes))] {
		w.seeds = append(w.seeds, seed.address)
	}
	w.network.SetConditions(w.conditions)
	return w, nil
}

func (w *world) conditions(from, to netip.AddrPort) memory.Conditions {
	sender, receiver := w.byAddress[from], w.byAddress[to]
	conditions := memory.Conditions{Delay: delayInZone}
	switch {
	case sender.region != receiver.region:
		conditions.Delay = delayAcrossRegion
	case sender.zone != receiver.zone:
		conditions.Delay = delayInRegion
	}
	conditions.Jitter = conditions.Delay / 4
	cut := int(w.cutRegion.Load())
	conditions.Cut = sender.silent.Load() || receiver.silent.Load() ||
		cut != noRegion && (sender.region == cut) != (receiver.region == cut)
	return conditions
}

// startAll starts the nodes one after the other, evenly over StartOver.
func (w *world) startAll(ctx context.Context) error {
	began := time.Now()
	for number, member := range w.nodes {
		due := w.options.StartOver * time.Duration(number) / time.Duration(len(w.nodes))
		pause(ctx, due-time.Since(began))
		if err := member.start(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) stopAll() {
	var running sync.WaitGroup
	for _, member := range w.nodes {
		if up, _ := member.isUp(); up {
			running.Go(func() { member.end(member.membership.Kill) })
		}
	}
	running.Wait()
}

// upNodes returns the running nodes.
func (w *world) upNodes() []*node {
	var running []*node
	for _, member := range w.nodes {
		if up, _ := member.isUp(); up {
			running = append(running, member)
		}
	}
	return running
}

// applyBase applies the initial configuration with all tenants.
func (w *world) applyBase(ctx context.Context) error {
	var file strings.Builder
	for number := range w.options.Tenants {
		file.WriteString("---\n" + tenant(number, 0))
	}
	_, err := w.store.Apply(ctx, []byte(file.String()), config.AnyRevision)
	return err
}

// applyChange changes one tenant and records the revision.
func (w *world) applyChange(ctx context.Context, number int) error {
	result, err := w.store.Apply(ctx, []byte(tenant(number%w.options.Tenants, number+1)), config.AnyRevision)
	if err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.applied = append(w.applied, revisionAt{revision: result.Revision, at: time.Now()})
	return nil
}

func tenant(number, key int) string {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d/%d", number, key))
	return fmt.Sprintf("kind: Tenant\nname: tenant-%03d\nkeyDigests: [\"%x\"]\nrequestsPerSecond: 100\nburst: 20\n", number, digest)
}

// setCut isolates a region from the others and from the key-value service; noRegion ends the isolation.
func (w *world) setCut(region int) {
	before := int(w.cutRegion.Swap(int32(region)))
	now := time.Now()
	w.lastCut.Store(now.UnixNano())
	if region == noRegion {
		w.cuts[len(w.cuts)-1].until = now
	} else {
		w.cuts = append(w.cuts, cut{region: region, from: now, until: now})
	}
	for zone := range w.options.Zones {
		switch zone % w.options.Regions {
		case region:
			w.platform.Faults().Set(platform.Fault{Zone: zoneName(zone), Service: platform.KeyValue, Outage: platform.OutageRefuses})
		case before:
			w.platform.Faults().Clear(zoneName(zone), platform.KeyValue)
		}
	}
}

// quietFor reports whether no region has been isolated for duration.
func (w *world) quietFor(duration time.Duration) bool {
	return w.cutRegion.Load() == noRegion && time.Since(time.Unix(0, w.lastCut.Load())) > duration
}
