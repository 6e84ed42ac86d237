package discovery

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/evacuation"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/route"
)

const evacuationPrefix = "op/zone/"

func (plainTranslator) EvacuatedZone(key string) (zone string, found bool) {
	return strings.CutPrefix(key, evacuationPrefix)
}

// zonedTranslator decodes replica entries whose value is the replica's zone.
type zonedTranslator struct{ plainTranslator }

func (t zonedTranslator) Replica(key string, value []byte) (replica.Info, error) {
	return replica.Info{ID: t.ReplicaID(key), Service: "s", Zone: string(value)}, nil
}

// nodeUnderTest is a Service that follows a store and applies evacuations.
type nodeUnderTest struct {
	*Service
	store     *scriptedStore
	viewer    *fixedViewer
	routes    *route.Holder
	directory *replica.Directory
}

func newNodeUnderTest(t *testing.T, store *scriptedStore) *nodeUnderTest {
	t.Helper()
	node := &nodeUnderTest{store: store, viewer: &fixedViewer{}, routes: route.NewHolder(), directory: replica.NewDirectory()}
	node.Service = New(Options{
		Store: store, Translator: zonedTranslator{}, Routes: node.routes, Directory: node.directory,
		Viewer: node.viewer, Reporter: node.viewer, Logger: zerolog.Nop(),
	})
	metrics, err := evacuation.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	node.FollowOperators(evacuation.NewRegister(zonedTranslator{}, node.directory, metrics, zerolog.Nop()))
	return node
}

// evacuated returns the zones whose replica is evacuated, such as "east west".
func (n *nodeUnderTest) evacuated() string {
	var zones []string
	for _, id := range []string{"east", "west"} {
		if handle := n.directory.View().Find(id); handle != nil && handle.Evacuated() {
			zones = append(zones, id)
		}
	}
	return strings.Join(zones, " ")
}

func storeWithTwoZones() *scriptedStore {
	store := newScriptedStore()
	store.put("op/config", "1")
	store.put("replicas/east", "east")
	store.put("replicas/west", "west")
	return store
}

func TestEvacuationIsLearnt(t *testing.T) {
	const eastKey = evacuationPrefix + "east"
	for _, test := range []struct {
		name string
		// before runs before the node starts, after once it has the initial content. The evacuation must be in force as wanted within
		// the given time after that.
		before, after func(store *scriptedStore, viewer *fixedViewer)
		within        time.Duration
		want          string
	}{
		{"by a watch", nil, func(store *scriptedStore, _ *fixedViewer) { store.put(eastKey, "{}") }, time.Second, "east"},
		{"one is ended", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(eastKey, "{}")
			store.put(evacuationPrefix+"west", "{}")
			time.Sleep(time.Second)
			store.put(eastKey, "")
		}, time.Second, "west"},
		{"ended and requested again", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(eastKey, "{}")
			store.put(eastKey, "")
			store.put(eastKey, "{}")
		}, time.Second, "east"},
		{"both zones", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(eastKey, "{}")
			store.put(evacuationPrefix+"west", "{}")
		}, time.Second, "east west"},
		{"requested before the start", func(store *scriptedStore, _ *fixedViewer) { store.put(eastKey, "{}") }, nil, time.Second, "east"},
		{"the first listing is late", func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.down = true })
		}, func(store *scriptedStore, _ *fixedViewer) {
			store.put(eastKey, "{}")
			time.Sleep(5 * time.Second)
			store.set(func() { store.down = false })
		}, time.Second, "east"},
		{"the watch is cut", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.stalled = true })
			store.put(eastKey, "{}")
			store.set(func() { store.stalled, store.compacted = false, store.revision })
			store.cut(platform.KindUnavailable.New("cut"))
		}, 2 * time.Second, "east"},
		{"history is compacted, and another one ended meanwhile", func(store *scriptedStore, _ *fixedViewer) {
			store.put(evacuationPrefix+"west", "{}")
		}, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.stalled = true })
			store.put(eastKey, "{}")
			store.put(evacuationPrefix+"west", "")
			store.cut(platform.KindCompacted.New("gone"))
			store.set(func() { store.stalled = false })
		}, 2 * time.Second, "east"},
		{"the watch stalls, and another node knows", nil, func(store *scriptedStore, viewer *fixedViewer) {
			store.set(func() { store.stalled = true })
			store.put(eastKey, "{}")
			viewer.publish(membership.Revisions{Configuration: store.revision})
		}, time.Second, "east"},
		{"requested just before an outage of the service", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.stalled = true })
			store.put(eastKey, "{}")
			store.set(func() { store.down = true })
			store.cut(platform.KindUnavailable.New("down"))
			time.Sleep(10 * time.Second)
			store.set(func() { store.down, store.stalled, store.compacted = false, false, store.revision })
		}, 2500 * time.Millisecond, "east"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := storeWithTwoZones()
				node := newNodeUnderTest(t, store)
				if test.before != nil {
					test.before(store, node.viewer)
				}
				node.Start()
				defer node.Stop()
				synctest.Wait()
				if test.after != nil {
					test.after(store, node.viewer)
				}
				for start := time.Now(); node.evacuated() != test.want; time.Sleep(10 * time.Millisecond) {
					if time.Since(start) > test.within {
						t.Fatalf("zones %q are evacuated after %s, want %q", node.evacuated(), test.within, test.want)
					}
				}
				time.Sleep(time.Minute)
				if node.evacuated() != test.want {
					t.Errorf("zones %q are evacuated a minute later, want %q", node.evacuated(), test.want)
				}
			})
		})
	}
}

// TestEvacuationsAreInForceBeforeTheConfiguration checks that evacuations are in force when the configuration takes effect, since a node
// starts serving as soon as it has a configuration and replicas.
func TestEvacuationsAreInForceBeforeTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeWithTwoZones()
		store.put(evacuationPrefix+"east", "{}")
		node := newNodeUnderTest(t, store)
		node.directory.Replace([]replica.Info{{ID: "east", Service: "s", Zone: "east"}})
		var evacuated string
		node.routes.Subscribe(func(*route.Table) { evacuated = node.evacuated() })
		node.Start()
		defer node.Stop()
		synctest.Wait()
		if evacuated != "east" {
			t.Errorf("zones %q are evacuated when the configuration takes effect, want east", evacuated)
		}
	})
}

// TestAllThatOperatorsWriteIsOneWatch checks that evacuations and retirements cost no calls beyond those for the configuration and the
// replicas.
func TestAllThatOperatorsWriteIsOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeWithTwoZones()
		node := newNodeUnderTest(t, store)
		node.Start()
		defer node.Stop()
		synctest.Wait()
		if len(store.watches) != 2 || store.lists != 2 {
			t.Errorf("%d watches and %d listings, want one of each for operators and replicas", len(store.watches), store.lists)
		}
	})
}

// recordingReporter records the newest revision of the operators' prefix that the node reported.
type recordingReporter struct {
	mutex  sync.Mutex
	newest int64
}

func (r *recordingReporter) SetConfigRevision(revision int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newest = revision
}

func (*recordingReporter) SetReplicasRevision(int64) {}

func (r *recordingReporter) reported() int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.newest
}

// TestRequestsAreReportedByTheirOwnRevision checks that a request is reported by the revision at which it was written, so that a node whose
// watch stalls lists. A higher revision without a change by operators, or a deletion, is not reported, as it would make every node list.
func TestRequestsAreReportedByTheirOwnRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, reporter := storeWithTwoZones(), &recordingReporter{}
		node := New(Options{
			Store: store, Translator: zonedTranslator{}, Routes: route.NewHolder(), Directory: replica.NewDirectory(),
			Viewer: &fixedViewer{}, Reporter: reporter, Logger: zerolog.Nop(),
		})
		node.Start()
		defer node.Stop()
		for _, step := range []struct {
			name       string
			key, value string
			// reported is true if the revision of this step must be reported.
			reported bool
		}{
			{"a zone is evacuated", evacuationPrefix + "east", "{}", true},
			{"a replica changes", "replicas/east", "west", false},
			{"the evacuation is ended", evacuationPrefix + "east", "", false},
			{"it is requested again", evacuationPrefix + "east", "{}", true},
		} {
			before := reporter.reported()
			store.put(step.key, step.value)
			time.Sleep(time.Second)
			want := before
			if step.reported {
				want = store.revision
			}
			if got := reporter.reported(); got != want {
				t.Errorf("%s at revision %d: reported revision is %d, want %d", step.name, store.revision, got, want)
			}
		}
	})
}
