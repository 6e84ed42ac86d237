package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	modelengine "github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/settings"
	labengine "github.com/sloelift/sloelift/lab/engine"
	"github.com/sloelift/sloelift/lab/load"
	labplatform "github.com/sloelift/sloelift/lab/platform"
)

// Deployment is a running fleet of nodes and engines. It is safe for concurrent use.
type Deployment struct {
	options  Options
	Platform *labplatform.Server
	Replicas []*Replica
	Nodes    []*Node
	// Log records the runs of all engines.
	Log *labengine.RunLog
	// zoneOf maps the addresses of nodes and engines to their zones.
	zoneOf map[netip.AddrPort]string
	// proxies are in front of the platform and the engines if nodes are processes of their own.
	proxies []*proxy
}

// Start starts a deployment, applies its configuration and waits until it is ready. On
// an error it leaves nothing running.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	deployment := &Deployment{options: options, Log: labengine.NewRunLog(), zoneOf: map[netip.AddrPort]string{}}
	steps := []func(context.Context) error{
		deployment.startReplicas,
		deployment.startPlatform,
		deployment.startNodes,
		deployment.applyConfiguration,
		deployment.awaitReady,
		deployment.awaitLedger,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			deployment.Close()
			return nil, err
		}
	}
	return deployment, nil
}

func (d *Deployment) startReplicas(context.Context) error {
	profile := d.options.Profile
	for index := range profile.Replicas {
		id := fmt.Sprintf("%s-%d", profile.Service, index+1)
		engineOptions := labengine.DefaultOptions(id, profile.StepBase)
		engineOptions.Models = []modelengine.LoadedModel{{Model: profile.Model, Version: modelVersion, State: "ready"}}
		engineOptions.IsBatch = load.IsBatch
		engineOptions.Log, engineOptions.Seed = d.Log, d.options.Seed+uint64(index)
		if d.options.ChangeEngine != nil {
			d.options.ChangeEngine(&engineOptions)
		}
		replica := &Replica{ID: id, Zone: profile.Zones[index%len(profile.Zones)], Engine: labengine.New(engineOptions)}
		if err := replica.Engine.Start("127.0.0.1:0"); err != nil {
			return err
		}
		d.Replicas = append(d.Replicas, replica)
		d.zoneOf[replica.Engine.Address()] = replica.Zone
	}
	return nil
}

func (d *Deployment) startPlatform(context.Context) error {
	if err := d.planNodes(); err != nil {
		return err
	}
	profile := d.options.Profile
	var machines []platform.Machine
	for _, replica := range d.Replicas {
		machines = append(machines, platform.Machine{
			ID: replica.ID, Role: platform.RoleReplica, Region: profile.Region, Zone: replica.Zone,
			State: platform.MachineLive, Address: replica.Engine.Address(), Service: profile.Service,
		})
		if err := d.addProxy(&machines[len(machines)-1].Address); err != nil {
			return err
		}
	}
	for _, node := range d.Nodes {
		machines = append(machines, platform.Machine{
			ID: node.ID, Role: platform.RoleNode, Region: profile.Region, Zone: node.Zone,
			State: platform.MachineLive, Address: node.Settings.PeerAddress,
		})
	}
	d.Platform = labplatform.NewServer(labplatform.Options{
		Seed:           d.options.Seed,
		Zones:          profile.Zones,
		Machines:       machines,
		MachineListLag: d.options.MachineListLag,
		Weights: []platform.Weights{
			{Name: profile.Model, Version: modelVersion, Bytes: weightBytes},
			{Name: profile.Model, Version: nextVersion, Bytes: weightBytes},
		},
	})
	if err := d.Platform.Start(); err != nil {
		return err
	}
	byZone := map[string]netip.AddrPort{}
	for _, zone := range profile.Zones {
		address := d.Platform.Address(zone)
		if err := d.addProxy(&address); err != nil {
			return err
		}
		byZone[zone] = address
	}
	for _, node := range d.Nodes {
		address := byZone[node.Zone]
		node.Settings.Platform.KeyValue = []netip.AddrPort{address}
		node.Settings.Platform.MachineList, node.Settings.Platform.WeightStore = address, address
	}
	return nil
}

// addProxy replaces address with that of a new proxy to it if nodes are processes of their own.
func (d *Deployment) addProxy(address *netip.AddrPort) error {
	if d.options.Program == "" {
		return nil
	}
	started, err := startProxy(*address)
	if err != nil {
		return err
	}
	d.proxies = append(d.proxies, started)
	*address = started.address()
	return nil
}

// SilenceConnections silences all open connections between nodes and the platform or engines and returns their number. It affects only
// nodes that are processes of their own.
func (d *Deployment) SilenceConnections() int {
	count := 0
	for _, running := range d.proxies {
		count += running.silence()
	}
	return count
}

// weightBytes is the size of one version of the model's weights.
const weightBytes = 1 << 30

// addressesPerNode is the number of addresses of a node: caller, admin and peer.
const addressesPerNode = 3

// planNodes creates the nodes with their settings and addresses. wantedStores of them,
// spread over the zones, get a data folder and are stores.
func (d *Deployment) planNodes() error {
	profile := d.options.Profile
	total := nodesPerZone * len(profile.Zones)
	addresses, err := freeAddresses(total * addressesPerNode)
	if err != nil {
		return err
	}
	for index := range total {
		zone := profile.Zones[index%len(profile.Zones)]
		own := settings.Defaults()
		own.Node, own.Region, own.Zone = fmt.Sprintf("%s-%d", zone, index/len(profile.Zones)+1), profile.Region, zone
		first := index * addressesPerNode
		own.CallerAddress, own.AdminAddress, own.PeerAddress = addresses[first], addresses[first+1], addresses[first+2]
		own.Ledger = settings.Ledger{Partitions: partitions, Replicas: wantedStores, WriteQuorum: writeQuorum}
		own.LogLevel = d.options.NodeLogLevel
		if index < wantedStores {
			own.DataFolder = filepath.Join(d.options.Folder, own.Node)
			if err := os.MkdirAll(own.DataFolder, 0o755); err != nil {
				return err
			}
		}
		for _, address := range addresses[first : first+addressesPerNode] {
			d.zoneOf[address] = zone
		}
		d.Nodes = append(d.Nodes, &Node{ID: own.Node, Zone: zone, Settings: own, options: d.options.NodeOptions, logger: d.options.Logger,
			program: d.options.Program, folder: d.options.Folder})
	}
	seeds := []netip.AddrPort{d.Nodes[0].Settings.PeerAddress, d.Nodes[1].Settings.PeerAddress}
	for _, node := range d.Nodes {
		node.Settings.SeedPeers = seeds
	}
	return nil
}

func (d *Deployment) startNodes(ctx context.Context) error {
	return d.forEachNode(func(node *Node) error { return node.start(ctx) })
}

// forEachNode runs act for all nodes concurrently.
func (d *Deployment) forEachNode(act func(*Node) error) error {
	failures := make([]error, len(d.Nodes))
	var wait sync.WaitGroup
	for index, node := range d.Nodes {
		wait.Go(func() { failures[index] = act(node) })
	}
	wait.Wait()
	return errors.Join(failures...)
}

// Targets returns the callers' addresses of the nodes in service.
func (d *Deployment) Targets() []netip.AddrPort {
	var targets []netip.AddrPort
	for _, node := range d.Nodes {
		if node.IsServing() {
			targets = append(targets, node.Settings.CallerAddress)
		}
	}
	return targets
}

// Close kills all nodes and engines and stops the platform.
func (d *Deployment) Close() {
	_ = d.forEachNode(func(node *Node) error { node.kill(); return nil })
	for _, running := range d.proxies {
		running.close()
	}
	if d.Platform != nil {
		d.Platform.Stop()
	}
	for _, replica := range d.Replicas {
		replica.Engine.Kill()
	}
}
