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

// zonedTranslator reads replicas that lie in the zone named by their value.
type zonedTranslator struct{ plainTranslator }

func (t zonedTranslator) Replica(key string, value []byte) (replica.Info, error) {
	return replica.Info{ID: t.ReplicaID(key), Service: "s", Zone: string(value)}, nil
}

// nodeUnderTest follows a store, with evacuations.
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
		Store: store, Translator: zonedTranslator{}, Routes: node.routes, Directory: node.directory, Viewer: node.viewer, Reporter: node.viewer,
		Logger: zerolog.Nop(),
	})
	metrics, err := evacuation.NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	node.FollowOperators(evacuation.NewRegister(zonedTranslator{}, node.directory, metrics, zerolog.Nop()))
	return node
}

// evacuated says whether the replicas of both zones are, as "east west".
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
	const asked = evacuationPrefix + "east"
	for _, test := range []struct {
		name string
		// before happens before the node starts, after when it has what there is.
		before, after func(store *scriptedStore, viewer *fixedViewer)
		most          time.Duration
		want          string
	}{
		{"a watch tells", nil, func(store *scriptedStore, _ *fixedViewer) { store.put(asked, "{}") }, time.Second, "east"},
		{"it is taken back", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(asked, "{}")
			store.put(evacuationPrefix+"west", "{}")
			time.Sleep(time.Second)
			store.put(asked, "")
		}, time.Second, "west"},
		{"taken back and asked again", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(asked, "{}")
			store.put(asked, "")
			store.put(asked, "{}")
		}, time.Second, "east"},
		{"both zones", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.put(asked, "{}")
			store.put(evacuationPrefix+"west", "{}")
		}, time.Second, "east west"},
		{"asked before the start", func(store *scriptedStore, _ *fixedViewer) { store.put(asked, "{}") }, nil, time.Second, "east"},
		{"the first listing comes late", func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.down = true })
		}, func(store *scriptedStore, _ *fixedViewer) {
			store.put(asked, "{}")
			time.Sleep(5 * time.Second)
			store.set(func() { store.down = false })
		}, time.Second, "east"},
		{"the watch is cut", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.mute = true })
			store.put(asked, "{}")
			store.set(func() { store.mute, store.compacted = false, store.revision })
			store.cut(platform.KindUnavailable.New("cut"))
		}, 2 * time.Second, "east"},
		{"history is gone, and it was taken back meanwhile", func(store *scriptedStore, _ *fixedViewer) {
			store.put(evacuationPrefix+"west", "{}")
		}, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.mute = true })
			store.put(asked, "{}")
			store.put(evacuationPrefix+"west", "")
			store.cut(platform.KindCompacted.New("gone"))
			store.set(func() { store.mute = false })
		}, 2 * time.Second, "east"},
		{"a mute watch, and another node knows", nil, func(store *scriptedStore, viewer *fixedViewer) {
			store.set(func() { store.mute = true })
			store.put(asked, "{}")
			viewer.tell(membership.Revisions{Configuration: store.revision})
		}, time.Second, "east"},
		{"asked just before the service goes away", nil, func(store *scriptedStore, _ *fixedViewer) {
			store.set(func() { store.mute = true })
			store.put(asked, "{}")
			store.set(func() { store.down = true })
			store.cut(platform.KindUnavailable.New("down"))
			time.Sleep(10 * time.Second)
			store.set(func() { store.down, store.mute, store.compacted = false, false, store.revision })
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
				for began := time.Now(); node.evacuated() != test.want; time.Sleep(10 * time.Millisecond) {
					if time.Since(began) > test.most {
						t.Fatalf("%q evacuated after %s, want %q", node.evacuated(), test.most, test.want)
					}
				}
				time.Sleep(time.Minute)
				if node.evacuated() != test.want {
					t.Errorf("%q evacuated a minute later, want %q", node.evacuated(), test.want)
				}
			})
		})
	}
}

// TestEvacuationsAreInForceBeforeTheConfiguration: a node serves once it knows a configuration and replicas; it knows then which zones are
// evacuated.
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
			t.Errorf("%q evacuated as the configuration came in force, want east", evacuated)
		}
	})
}

// TestAllThatOperatorsWriteIsOneWatch: evacuations and retirements cost no call beyond those of the configuration and the replicas.
func TestAllThatOperatorsWriteIsOneWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := storeWithTwoZones()
		node := newNodeUnderTest(t, store)
		node.Start()
		defer node.Stop()
		synctest.Wait()
		if len(store.watches) != 2 || store.lists != 2 {
			t.Errorf("%d watches and %d listings, want one each of operators and replicas", len(store.watches), store.lists)
		}
	})
}

// recordingReporter holds the newest revision of what operators write that this node reported.
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

// TestRequestsAreReportedByTheirOwnRevision: so that a node whose watch is mute lists. What was only read again, or moved on without a
// change of the operators, is not reported: each node would list.
func TestRequestsAreReportedByTheirOwnRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, reporter := storeWithTwoZones(), &recordingReporter{}
		node := New(Options{
			Store: store, Translator: zonedTranslator{}, Routes: route.NewHolder(), Directory: replica.NewDirectory(), Viewer: &fixedViewer{},
			Reporter: reporter, Logger: zerolog.Nop(),
		})
		node.Start()
		defer node.Stop()
		for _, step := range []struct {
			name       string
			key, value string
			// reported says that the revision of this step is reported.
			reported bool
		}{
			{"a zone is evacuated", evacuationPrefix + "east", "{}", true},
			{"a replica changes", "replicas/east", "west", false},
			{"the zone is taken back", evacuationPrefix + "east", "", false},
			{"it is asked again", evacuationPrefix + "east", "{}", true},
		} {
			before := reporter.reported()
			store.put(step.key, step.value)
			time.Sleep(time.Second)
			want := before
			if step.reported {
				want = store.revision
			}
			if got := reporter.reported(); got != want {
				t.Errorf("%s at %d: %d is reported, want %d", step.name, store.revision, got, want)
			}
		}
	})
}
