//go:build review3

// Command standin3 plays one case of the third review against the program of the deploy file: storage nodes and edges run as separate
// processes, replicas, callers and the platform's store are stand-ins.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
	labplatform "github.com/sloelift/sloelift/lab/platform"
	wire "github.com/sloelift/sloelift/platform"
)

// Ports of a machine, and the path of the readiness check.
const (
	portCallers   = 8161
	portReadiness = 8162
	portAdmin     = 8166
	portPeers     = 7720
	portMetrics   = 7735
)

// machine runs one process of the program.
type machine struct {
	name, class, zone string
	ip                netip.Addr
	// caller is the name by which the stand-in of the store knows the machine. later is set for one that is added during the day.
	caller  string
	later   bool
	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) at(number int) string { return fmt.Sprintf("%s:%d", m.ip, number) }

// freeze stops the process, or continues it.
func (m *machine) freeze(stop bool) {
	signal := syscall.SIGCONT
	if stop {
		signal = syscall.SIGSTOP
	}
	_ = m.command.Process.Signal(signal)
}

// deployment is the processes, the store and the replicas of one run.
type deployment struct {
	folder   string
	platform *labplatform.Server
	store    port.KeyValue
	zones    map[string]string
	machines []*machine
	replicas []*replica
	record   *record
	version  int64
	spares   int
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// record is record.txt: one line for each thing sent, answered or run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// diskMegabytes is the size of a storage node's disk.
var diskMegabytes = 480

// plan is the size of a deployment: the zones of its storage nodes and of its edges, and the region of each zone. names are those of the
// storage nodes; by default they are numbered.
type plan struct {
	zones                map[string]string
	names, stores, edges []string
}

// newDeployment starts the store and the processes. Nothing is registered yet.
func newDeployment(planned plan, recorded *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "sloelift-review3-")
	if err != nil {
		return nil, err
	}
	created := &deployment{folder: folder, zones: planned.zones, record: recorded}
	for number, zone := range planned.stores {
		name := fmt.Sprintf("storage-%d", number+1)
		if len(planned.names) > number {
			name = planned.names[number]
		}
		created.add("storage", zone, name)
	}
	for number, zone := range planned.edges {
		created.add("edge", zone, fmt.Sprintf("edge-%d", number+1))
	}
	callers := []string{"operator", "spare-1", "spare-2"}
	for _, machine := range created.machines {
		callers = append(callers, machine.name)
	}
	created.platform = labplatform.NewServer(labplatform.Options{Seed: 1, Zones: callers})
	if err := created.platform.Start(); err != nil {
		return nil, err
	}
	created.store = created.platform.KeyValue("operator")
	return created, nil
}

func (d *deployment) add(class, zone, name string) *machine {
	number, pid := len(d.machines), os.Getpid()
	added := &machine{
		name: name, class: class, zone: zone, ip: netip.AddrFrom4([4]byte{127, 64 + byte(pid>>8&0x3f), byte(pid), byte(number + 1)}), caller: name,
	}
	d.machines = append(d.machines, added)
	return added
}

// spare adds a storage machine that start leaves out.
func (d *deployment) spare(name, zone string) {
	d.spares++
	added := d.add("storage", zone, name)
	added.caller, added.later = fmt.Sprintf("spare-%d", d.spares), true
}

// start starts all processes and waits until all edges are ready.
func (d *deployment) start(ctx context.Context) error {
	for _, machine := range d.machines {
		if machine.later {
			continue
		}
		if err := d.startMachine(machine); err != nil {
			return err
		}
	}
	for _, edge := range d.edges() {
		for !ready(edge) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", edge.name)
			case <-edge.ended:
				return fmt.Errorf("%s has ended", edge.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(edge *machine) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + edge.at(portReadiness) + wire.PathReady)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (d *deployment) edges() []*machine {
	var found []*machine
	for _, machine := range d.machines {
		if machine.class == "edge" {
			found = append(found, machine)
		}
	}
	return found
}

// startMachine fills the template of the deploy file and starts the program with its command.
func (d *deployment) startMachine(target *machine) error {
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return err
	}
	var seeds []string
	for _, machine := range d.machines {
		if machine.class == "storage" && !machine.later && len(seeds) < 3 {
			seeds = append(seeds, machine.at(portAdmin))
		}
	}
	regions := map[string]any{}
	for zone, region := range d.zones {
		regions[zone] = region
	}
	fields := map[string]any{
		"node": target.name, "machine_class": target.class, "region": d.zones[target.zone], "zone": target.zone, "ip": target.ip.String(),
		"zones": regions, "seeds": seeds, "ephemeral_ports": []string{fmt.Sprint(portPeers), fmt.Sprint(portMetrics)},
		"platform":        map[string]any{"address": d.platform.Address(target.caller).String()},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0},
		"bounds": map[string]any{
			"contact_ms": 3000, "grace_s": 8, "cancel_ms": 3000, "sync_s": 4.8, "poll_s": 120, "quota_burst": 0.1,
		},
	}
	limits := map[string]any{"memory_mb": 284, "disk_mb": 0, "max_fds": 4100}
	if target.class == "edge" {
		fields["bind"] = map[string]any{"http": target.at(portCallers), "readiness": target.at(portReadiness)}
	} else {
		limits = map[string]any{"memory_mb": 314, "disk_mb": diskMegabytes, "max_fds": 8200}
		data := filepath.Join(d.folder, target.name+".data")
		if err := os.MkdirAll(data, 0o755); err != nil {
			return err
		}
		fields["data_dir"] = data
	}
	fields["limits"] = limits
	settings := filepath.Join(d.folder, target.name+".conf")
	if err := os.WriteFile(settings, []byte(fill(string(template), fields, nil)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, target.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	target.command = exec.Command("target/sloelift", "serve", "--settings", settings)
	target.command.Stdout, target.command.Stderr = log, log
	target.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := target.command.Start(); err != nil {
		return err
	}
	target.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(target.command, target.ended)
	return nil
}

// close ends all processes that the run started and removes its folder.
func (d *deployment) close() {
	for _, machine := range d.machines {
		if machine.command != nil && machine.command.Process != nil {
			_ = machine.command.Process.Kill()
			<-machine.ended
		}
	}
	if d.stop != nil {
		d.stop()
	}
	for _, replica := range d.replicas {
		replica.listener.Close()
	}
	d.tasks.Wait()
	d.platform.Stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// endedByThemselves names the processes that are not running any more.
func (d *deployment) endedByThemselves() []string {
	var names []string
	for _, machine := range d.machines {
		select {
		case <-machine.ended:
			names = append(names, machine.name)
		default:
		}
	}
	return names
}

func (d *deployment) put(ctx context.Context, key string, value []byte, lease port.LeaseID) error {
	_, err := d.store.Commit(ctx, port.Transaction{Changes: []port.Change{{Key: key, Value: value, LeaseID: lease}}})
	return err
}

// configure writes the next version of the configuration, and returns once the store has acknowledged it.
func (d *deployment) configure(ctx context.Context, services []string, routes []wire.RouteEntry) error {
	d.version++
	configuration := wire.ConfigurationEntry{
		Version: d.version, Routes: routes,
		Limits: wire.LimitsEntry{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for _, name := range services {
		service := wire.ServiceEntry{Name: name, HealthPath: "/healthz", MaxConns: 370}
		service.Backend.Slots = replicaSlots
		configuration.Services = append(configuration.Services, service)
	}
	encoded, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	err = d.put(ctx, wire.Translator{}.ConfigurationKey(), encoded, 0)
	d.record.note("operator: configuration %d acknowledged (%d routes), error %v", d.version, len(routes), err)
	return err
}

// fill renders the template as the deploy page describes it. It supports what deploy/settings.tmpl uses.
func fill(template string, fields map[string]any, entry *section) string {
	var out strings.Builder
	for {
		text, rest, found := strings.Cut(template, "{{")
		out.WriteString(text)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		template = after
		switch {
		case strings.HasPrefix(name, "#"):
			inside, tail, _ := strings.Cut(after, "{{/"+name[1:]+"}}")
			template = tail
			entries := sections(find(fields, name[1:]))
			for _, next := range entries {
				out.WriteString(fill(inside, fields, &next))
			}
		case name == "@":
			out.WriteString(entry.key)
		case name == ".":
			out.WriteString(text0(entry.value))
		case name == ",":
			if !entry.last {
				out.WriteString(",")
			}
		default:
			out.WriteString(text0(find(fields, name)))
		}
	}
}

type section struct {
	key   string
	value any
	last  bool
}

func find(value any, name string) any {
	for _, step := range strings.Split(name, ".") {
		switch within := value.(type) {
		case map[string]any:
			value = within[step]
		case []string:
			var index int
			if _, err := fmt.Sscan(step, &index); err != nil || index >= len(within) {
				return nil
			}
			value = within[index]
		default:
			return nil
		}
	}
	return value
}

func sections(value any) []section {
	switch within := value.(type) {
	case nil:
		return nil
	case map[string]any:
		var found []section
		for key, element := range within {
			found = append(found, section{key: key, value: element})
		}
		found[len(found)-1].last = true
		return found
	default:
		return []section{{value: value, last: true}}
	}
}

func text0(value any) string {
	switch plain := value.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(plain, ",")
	default:
		return fmt.Sprint(plain)
	}
}

var errNotRun = errors.New("the case could not run")
