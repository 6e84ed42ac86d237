package routing

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fixedFleet is a fleet.Source whose directory never changes.
type fixedFleet struct{ directory *fleet.Directory }

func (f *fixedFleet) Directory() *fleet.Directory { return f.directory }

func (f *fixedFleet) Subscribe(func(*fleet.Directory)) (unsubscribe func()) { return func() {} }

// TestRouting runs the scripts in testdata. "fleet" sets the replicas, "options" the options,
// "start" adds a request to a replica, and "pick" prints the candidates with their costs and the
// replicas that were chosen in 200 picks.
func TestRouting(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) { // virtual time keeps the confidence constant
			table := &routingTable{options: DefaultOptions()}
			datadriven.RunTest(t, path, table.run)
		})
	})
}

type routingTable struct {
	options  Options
	replicas []fleet.Replica
	router   *Service
}

func (r *routingTable) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		r.replicas, r.router = nil, nil
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			r.replicas = append(r.replicas, parseReplica(t, line))
		}
		return ""
	case "options":
		r.options, r.router = DefaultOptions(), nil
		r.options.DisableLoad = d.HasArg("no-load")
		r.options.DisablePrefix = d.HasArg("no-prefix")
		r.options.DisableDistance = d.HasArg("no-distance")
		r.options.DisableOwnRequests = d.HasArg("no-own")
		if d.HasArg("static-split") {
			r.options.Policy = PolicyStaticSplit
		}
		return ""
	}
	if r.router == nil {
		source := &fixedFleet{directory: fleet.NewDirectory(1, r.replicas)}
		r.router = New(r.options, source, "r", "z1", prometheus.NewRegistry())
	}
	request := parseRequest(t, d)
	switch d.Cmd {
	case "start":
		var replica string
		d.ScanArgs(t, "on", &replica)
		r.router.Started(replica, request)
		return ""
	case "pick":
		return r.pick(request)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (r *routingTable) pick(request Request) string {
	var lines []string
	for _, c := range r.router.candidates(time.Now(), r.router.source.Directory(), &request) {
		lines = append(lines, fmt.Sprintf("%s cost=%s blocks=%d", c.replica.ID, c.cost.Round(100*time.Microsecond), c.expectedBlocks))
	}
	chosen := make(map[string]bool)
	for range 200 {
		candidates := r.router.candidates(time.Now(), r.router.source.Directory(), &request)
		if len(candidates) == 0 {
			_, _, err := r.router.Pick(request)
			return fmt.Sprintf("error: %s retry after %s\n", err, outcome.As(err).RetryAfter)
		}
		chosen[r.router.pick(&request, candidates).replica.ID] = true
	}
	var names []string
	for id := range chosen {
		names = append(names, id)
	}
	slices.Sort(names)
	return strings.Join(lines, "\n") + "\nchosen: " + strings.Join(names, " ") + "\n"
}

func parseReplica(t *testing.T, line string) fleet.Replica {
	fields := strings.Fields(line)
	replica := fleet.Replica{
		ID: fields[0], Service: "chat", Region: "r", Zone: "z1", HasLoad: true, HeardAt: time.Now(),
		Endpoint: engine.Endpoint{Replica: fields[0], Address: netip.MustParseAddrPort("127.0.0.1:1")},
		Load: engine.LoadReport{
			MaxRunning: 16, StepMicros: 4000, MeasuredAt: time.Now(), Models: []engine.LoadedModel{{Model: "m", State: "ready"}},
		},
	}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		var number int
		_, _ = fmt.Sscan(value, &number)
		switch name {
		case "leaving":
			replica.Leaving = true
		case "failed":
			replica.Failed = true
		case "unheard":
			replica.HasLoad, replica.Load = false, engine.LoadReport{}
		case "running":
			replica.Load.Running = number
		case "batch":
			replica.Load.RunningBatch = number
		case "waiting":
			replica.Load.Waiting = number
		case "prefill":
			replica.Load.QueuedPrefill = number
		case "zone":
			replica.Zone = value
		case "region":
			replica.Region = value
		case "model":
			model, state, _ := strings.Cut(value, ":")
			replica.Load.Models = []engine.LoadedModel{{Model: model, State: state, Adapters: []string{"a"}}}
		default:
			t.Fatalf("unknown field %s", field)
		}
	}
	return replica
}

func parseRequest(t *testing.T, d *datadriven.TestData) Request {
	request := Request{Service: "chat", Model: "m", Batch: d.HasArg("batch"), Exclude: make(map[string]bool)}
	if d.HasArg("adapter") {
		d.ScanArgs(t, "adapter", &request.Adapter)
	}
	if d.HasArg("exclude") {
		var id string
		d.ScanArgs(t, "exclude", &id)
		request.Exclude[id] = true
	}
	if d.HasArg("blocks") {
		var count int
		d.ScanArgs(t, "blocks", &count)
		for block := range count {
			request.PrefixBlocks = append(request.PrefixBlocks, uint64(block)+100)
		}
	}
	return request
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{12, 18, 1700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var replicas []fleet.Replica
			for index := range count {
				replicas = append(replicas, fleet.Replica{
					ID: fmt.Sprintf("replica-%04d", index), Service: "chat", Zone: fmt.Sprintf("z%d", index%7),
					HasLoad: true, HeardAt: time.Now(),
					Load: engine.LoadReport{MaxRunning: 16, Running: index % 16, StepMicros: 4000, MeasuredAt: time.Now()},
				})
			}
			router := New(DefaultOptions(), &fixedFleet{directory: fleet.NewDirectory(1, replicas)}, "r", "z1", prometheus.NewRegistry())
			blocks := engine.PrefixBlocks("m", "", strings.Repeat("x", 2048))
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				_, done, err := router.Pick(Request{Service: "chat", PrefixBlocks: blocks})
				if err != nil {
					b.Fatal(err)
				}
				done()
			}
		})
	}
}
