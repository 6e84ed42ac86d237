package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	"github.com/sloelift/sloelift/lab/process"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	service   = "assist"
	heartbeat = 1200 * time.Millisecond
)

// machine is one machine of the deployment with its process.
type machine struct {
	name, class, zone string
	ip                netip.Addr
	folder            string
	memoryMB          int
	mutex             sync.Mutex
	running           *process.Process
}

// fleet is a deployment: storage nodes and edges as processes, the store and the replicas in this one.
type fleet struct {
	program, template, folder string
	platform                  *labplatform.Server
	store                     port.KeyValue
	record                    *record
	storage, edges            []*machine
	ctx                       context.Context
	cancel                    context.CancelFunc
	background                sync.WaitGroup
}

func newFleet(program, template, folder string, stores, edges int, written *record) (*fleet, error) {
	created := &fleet{program: program, template: template, folder: folder, record: written}
	created.ctx, created.cancel = context.WithCancel(context.Background())
	pid := os.Getpid()
	add := func(class string, number, memory int) *machine {
		ip := netip.AddrFrom4([4]byte{127, 64 + byte(pid>>8&0x3f), byte(pid), byte(len(created.storage) + len(created.edges) + 1)})
		return &machine{name: fmt.Sprintf("%s-%d", class, number+1), class: class, zone: fmt.Sprintf("zone-%d", number%3+1), ip: ip, folder: folder, memoryMB: memory}
	}
	zones := []string{"platform"}
	for number := range stores {
		created.storage = append(created.storage, add("storage", number, 314))
	}
	for number := range edges {
		created.edges = append(created.edges, add("edge", number, 284))
	}
	for _, each := range created.machines() {
		zones = append(zones, each.name)
	}
	created.platform = labplatform.NewServer(labplatform.Options{Seed: 1, Zones: zones})
	if err := created.platform.Start(); err != nil {
		return nil, err
	}
	created.store = created.platform.KeyValue("platform")
	return created, nil
}

func (f *fleet) machines() []*machine { return append(append([]*machine{}, f.storage...), f.edges...) }

func (m *machine) address(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }

func (m *machine) dataFolder() string { return filepath.Join(m.folder, m.name+".data") }

func (f *fleet) writeSettings(target *machine) (string, error) {
	var seeds []string
	for _, store := range f.storage[:min(3, len(f.storage))] {
		seeds = append(seeds, store.address(8166))
	}
	with := fields{
		values: map[string]string{
			"node": target.name, "machine_class": target.class, "region": "region-1", "zone": target.zone, "ip": target.ip.String(),
			"ephemeral_ports.0": "7720", "ephemeral_ports.1": "7735", "seeds": strings.Join(seeds, ","), "seeds.0": seeds[0],
			"platform.address": f.platform.Address(target.name).String(),
			"limits.memory_mb": strconv.Itoa(target.memoryMB), "limits.disk_mb": "480", "limits.max_fds": "8200",
			"fault_tolerance.machines": "1", "fault_tolerance.zones": "0",
			"bounds.contact_ms": "3000", "bounds.grace_s": "8", "bounds.cancel_ms": "3000", "bounds.sync_s": "4.8", "bounds.poll_s": "120",
			"bounds.quota_burst": "0.1",
		},
		lists: map[string][]field{"zones": {{"zone-1", "region-1"}, {"zone-2", "region-1"}, {"zone-3", "region-1"}}},
	}
	if target.class == "edge" {
		with.values["bind.http"], with.values["bind.readiness"] = target.address(8161), target.address(8162)
		with.values["limits.disk_mb"] = "0"
	} else {
		with.values["data_dir"] = target.dataFolder()
	}
	content, err := fillTemplate(f.template, with)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.folder, target.name+".conf")
	return path, os.WriteFile(path, []byte(content), 0o644)
}

func (f *fleet) start(target *machine) error {
	path, err := f.writeSettings(target)
	if err != nil {
		return err
	}
	if target.class == "storage" {
		if err := os.MkdirAll(target.dataFolder(), 0o755); err != nil {
			return err
		}
	}
	started, err := process.Start(f.program, filepath.Join(f.folder, target.name+".log"), "serve", "--settings", path)
	if err != nil {
		return err
	}
	target.mutex.Lock()
	target.running = started
	target.mutex.Unlock()
	f.record.note("%s started", target.name)
	return nil
}

// kill ends a machine's process at once.
func (m *machine) kill() {
	m.mutex.Lock()
	ended := m.running
	m.running = nil
	m.mutex.Unlock()
	if ended != nil {
		ended.Kill()
	}
}

// put writes a key as the operator or a replica does.
func (f *fleet) put(key string, value []byte, lease port.LeaseID) error {
	_, err := f.store.Commit(f.ctx, port.Transaction{Changes: []port.Change{{Key: key, Value: value, LeaseID: lease}}})
	return err
}

// register keeps a replica's entry in the store.
func (f *fleet) register(owner *replica) error {
	lease, err := f.store.GrantLease(f.ctx, 3*heartbeat)
	if err != nil {
		return err
	}
	if err := f.put(wire.Translator{}.ReplicaPrefix()+owner.id, owner.entry(), lease); err != nil {
		return err
	}
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		for f.ctx.Err() == nil {
			_, _ = f.store.KeepAlive(f.ctx, lease)
			select {
			case <-time.After(heartbeat):
			case <-f.ctx.Done():
			}
		}
	}()
	return nil
}

func (f *fleet) configure(configuration wire.ConfigurationEntry) error {
	encoded, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	return f.put(wire.Translator{}.ConfigurationKey(), encoded, 0)
}

// awaitReady returns once all edges are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	client := http.Client{Timeout: time.Second}
	for _, edge := range f.edges {
		for {
			response, err := client.Get("http://" + edge.address(8162) + wire.PathReady)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", edge.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) close() {
	f.cancel()
	for _, each := range f.machines() {
		each.kill()
	}
	f.background.Wait()
	f.platform.Stop()
}
