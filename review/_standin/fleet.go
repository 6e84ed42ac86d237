package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	labplatform "github.com/sloelift/sloelift/lab/platform"
	"github.com/sloelift/sloelift/lab/process"
)

// Ports of a machine. Every machine has a loopback address of its own, so that the ports are alike on all machines.
const (
	portCallers   = 8161
	portReadiness = 8162
	portAdmin     = 8166
	portPeers     = 7720
	portMetrics   = 7735
)

const region = "region-1"

// restartDelay is the delay after which the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// machine runs one process of the program.
type machine struct {
	name, zone string
	storage    bool
	ip         netip.Addr
	folder     string

	mutex   sync.Mutex
	running *process.Process
	// ends are the times at which the process ended by itself.
	ends []time.Time
}

func (m *machine) address(port uint16) string { return netip.AddrPortFrom(m.ip, port).String() }

// fleet is the deployment: the store stand-in, the processes of the program and the replica stand-ins.
type fleet struct {
	program  string
	folder   string
	zones    []string
	store    *labplatform.Server
	machines []*machine
	record   *record
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
}

func newFleet(program string, zones, edges, stores int, log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "sloelift-review-")
	if err != nil {
		return nil, err
	}
	created := &fleet{program: program, folder: folder, record: log}
	created.ctx, created.cancel = context.WithCancel(context.Background())
	for number := range zones {
		created.zones = append(created.zones, fmt.Sprintf("zone-%d", number+1))
	}
	pid := os.Getpid()
	add := func(class string, number int, storage bool) {
		created.machines = append(created.machines, &machine{
			name: fmt.Sprintf("%s-%d", class, number+1), zone: created.zones[number%zones], storage: storage, folder: folder,
			ip: netip.AddrFrom4([4]byte{127, 64 + byte(pid>>8&0x3f), byte(pid), byte(len(created.machines) + 1)}),
		})
	}
	for number := range stores {
		add("storage", number, true)
	}
	for number := range edges {
		add("edge", number, false)
	}
	storeZones := []string{"platform"}
	for _, machine := range created.machines {
		storeZones = append(storeZones, machine.name)
	}
	created.store = labplatform.NewServer(labplatform.Options{Seed: 1, Zones: storeZones})
	return created, created.store.Start()
}

// settings returns the content of deploy/settings.tmpl for a machine, with the bounds of a small deployment.
func (f *fleet) settings(target *machine) string {
	var text strings.Builder
	class := "edge"
	if target.storage {
		class = "storage"
	}
	fmt.Fprintf(&text, "node: %s\nrole: %s\nregion: %s\nzone: %s\n", target.name, class, region, target.zone)
	if !target.storage {
		fmt.Fprintf(&text, "callerAddress: %s\nreadinessAddress: %s\n", target.address(portCallers), target.address(portReadiness))
	}
	fmt.Fprintf(&text, "peerAddress: %s\nadminAddress: %s\n", target.address(portPeers), target.address(portMetrics))
	if target.storage {
		fmt.Fprintf(&text, "dataFolder: %s\n", filepath.Join(f.folder, target.name+".data"))
	}
	var zones, seeds []string
	for _, zone := range f.zones {
		zones = append(zones, fmt.Sprintf("{ name: %s, region: %s }", zone, region))
	}
	for _, machine := range f.machines {
		if machine.storage && len(seeds) < 3 {
			seeds = append(seeds, machine.address(portAdmin))
		}
	}
	fmt.Fprintf(&text, "zones: [%s]\nseedMachines: [%s]\n", strings.Join(zones, ","), strings.Join(seeds, ","))
	fmt.Fprintf(&text, "platform:\n  metadataStore: %s\n", f.store.Address(target.name))
	disk := 0
	if target.storage {
		disk = 480
	}
	fmt.Fprintf(&text, "limits:\n  memoryMegabytes: 314\n  diskMegabytes: %d\n  fileDescriptors: 4100\n", disk)
	text.WriteString("ledger:\n  partitions: 4\n  survivesMachines: 1\n  survivesZones: 0\n  ownersOnStores: true\n  membersDecide: true\n")
	text.WriteString("bounds:\n  contact: 3000ms\n  grace: 8s\n  cancel: 3000ms\n  sync: 4.8s\n  poll: 120s\n  quotaTolerance: 0.1\n")
	return text.String()
}

// start starts all processes, each of which is started again after it has ended by itself, and waits until every edge is ready.
func (f *fleet) start(ctx context.Context) error {
	for _, machine := range f.machines {
		if err := os.WriteFile(f.path(machine, ".conf"), []byte(f.settings(machine)), 0o644); err != nil {
			return err
		}
		if machine.storage {
			if err := os.MkdirAll(f.path(machine, ".data"), 0o755); err != nil {
				return err
			}
		}
		if err := f.startProcess(machine); err != nil {
			return err
		}
		f.tasks.Go(func() { f.keepRunning(machine) })
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, machine := range f.machines {
		for !machine.storage {
			response, err := client.Get("http://" + machine.address(portReadiness) + "/sloelift/ready")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if !sleep(ctx, 50*time.Millisecond) {
				return errors.New("the edges are not ready in time")
			}
		}
	}
	return nil
}

func (f *fleet) path(machine *machine, suffix string) string {
	return filepath.Join(f.folder, machine.name+suffix)
}

func (f *fleet) startProcess(target *machine) error {
	started, err := process.Start(f.program, f.path(target, ".log"), "serve", "--settings", f.path(target, ".conf"))
	if err != nil {
		return err
	}
	target.mutex.Lock()
	target.running = started
	target.mutex.Unlock()
	return nil
}

// keepRunning does as the platform does: it starts a process again a short while after it has ended.
func (f *fleet) keepRunning(target *machine) {
	for {
		target.mutex.Lock()
		running := target.running
		target.mutex.Unlock()
		select {
		case <-running.Ended():
		case <-f.ctx.Done():
			return
		}
		if f.ctx.Err() != nil {
			return
		}
		target.mutex.Lock()
		target.ends = append(target.ends, time.Now())
		target.mutex.Unlock()
		f.record.note("process of %s ended by itself", target.name)
		if !sleep(f.ctx, restartDelay) || f.startProcess(target) != nil {
			return
		}
	}
}

// stop ends all processes and removes the folder.
func (f *fleet) stop(keep bool) {
	f.cancel()
	f.tasks.Wait()
	var wait sync.WaitGroup
	for _, machine := range f.machines {
		if machine.running != nil {
			wait.Go(machine.running.Kill)
		}
	}
	wait.Wait()
	f.store.Stop()
	if !keep {
		os.RemoveAll(f.folder)
	}
}

func sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// listen listens at address, again for a while if the address is still in use.
func listen(address string) (net.Listener, error) {
	for tries := 0; ; tries++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || tries > 50 || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}
