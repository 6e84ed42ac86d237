package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/balance"
	"github.com/sloelift/sloelift/internal/network/networktest"
	"github.com/sloelift/sloelift/internal/region"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// edgeUnderTest is a handler with two replicas, of which "a" is always preferred; "a" is in the region north, "b" in south.
type edgeUnderTest struct {
	*Handler
	replicas  *replicatest.Network
	silencer  *networktest.Silencer
	directory *replica.Directory
	routes    *route.Holder
}

// followedVersions are the SoleVersions of an edge whose list is never behind.
type followedVersions struct{ directory *replica.Directory }

func (v followedVersions) SoleVersion(_ context.Context, service string, window time.Duration) string {
	return v.directory.SoleVersion(service, window)
}

func newEdgeUnderTest(t *testing.T, kind route.Kind, resumable bool, scripts map[string]replicatest.Script) *edgeUnderTest {
	t.Helper()
	fake := &replicatest.Network{Scripts: map[netip.AddrPort]replicatest.Script{}}
	t.Cleanup(fake.CloseAll)
	silencer := networktest.NewSilencer(fake)
	directory := replica.NewDirectory()
	var infos []replica.Info
	for index, id := range []string{"a", "b"} {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+index))
		if scripts[id] != nil {
			fake.Scripts[address] = scripts[id]
		}
		infos = append(infos, replica.Info{ID: id, Service: "s", Version: "v1", Zone: map[string]string{"a": "near", "b": "far"}[id], Address: address, Slots: 8})
	}
	directory.Replace(infos)
	routes := route.NewHolder()
	routes.Offer(route.NewTable(1, []*route.Route{{
		Name: "r", Host: "h.example", Prefix: "/p/", Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 4 * time.Second,
		Objective: 200 * time.Millisecond, GapObjective: 250 * time.Millisecond, Backends: []route.Backend{{Service: "s", Weight: 1}},
	}}, nil, route.Limits{MaxBodyBytes: 1000}))
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	handler := NewHandler(Options{
		Routes: routes, Directory: directory,
		Picker: balance.NewPicker(directory, region.NewTopology(map[string]string{"near": "north", "far": "south"}), func() float64 { return 0 }),
		Client: replica.NewClient(silencer, replicatest.Headers), Zone: "near", Logger: zerolog.Nop(), Metrics: metrics, Versions: followedVersions{directory},
	})
	return &edgeUnderTest{Handler: handler, replicas: fake, silencer: silencer, directory: directory, routes: routes}
}

// call sends one request; aborted reports whether the answer was cut off.
func (e *edgeUnderTest) call(change func(*http.Request)) (recorded *httptest.ResponseRecorder, aborted bool) {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/p/x?q=1", strings.NewReader("body"))
	request.Header.Set("X-Id", "id-1")
	request.Header.Set("X-Deadline", "5000")
	if change != nil {
		change(request)
	}
	recorded = httptest.NewRecorder()
	defer func() {
		if failure := recover(); failure != nil {
			if failure != http.ErrAbortHandler {
				panic(failure)
			}
			aborted = true
		}
	}()
	e.ServeHTTP(recorded, request)
	return recorded, false
}
