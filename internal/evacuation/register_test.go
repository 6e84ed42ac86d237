package evacuation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/replica"
)

const requestPrefix = "asked/zone/"

type plainTranslator struct{}

func (plainTranslator) EvacuatedZone(key string) (zone string, found bool) {
	return strings.CutPrefix(key, requestPrefix)
}

// testRegister is a Register for a directory with one replica in each of two zones.
type testRegister struct {
	*Register
	directory *replica.Directory
}

func newTestRegister(t *testing.T) *testRegister {
	t.Helper()
	directory := replica.NewDirectory()
	directory.Replace([]replica.Info{
		{ID: "east", Service: "s", Zone: "east", Slots: 1},
		{ID: "west", Service: "s", Zone: "west", Slots: 1},
	})
	metrics, err := NewMetrics(prometheus.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	return &testRegister{Register: NewRegister(plainTranslator{}, directory, metrics, zerolog.Nop()), directory: directory}
}

// usableZones returns the zones whose replicas may get requests, separated by spaces.
func (r *testRegister) usableZones() string {
	var zones []string
	for _, handle := range r.directory.View().ForService("s") {
		if handle.Usable() {
			zones = append(zones, handle.Info().Zone)
		}
	}
	return strings.Join(zones, " ")
}

// Evacuated returns the sorted evacuated zones.
func (r *testRegister) Evacuated() []string { return slices.Sorted(maps.Keys(r.evacuated)) }

func (r *testRegister) endedAt(zone string) time.Time {
	return r.directory.View().Find(zone).EvacuationEnded()
}

func request(zone string, revision int64) platform.Entry {
	return platform.Entry{Key: requestPrefix + zone, ModRevision: revision}
}

func listing(revision int64, entries ...platform.Entry) platform.Listing {
	return platform.Listing{Revision: revision, Entries: entries}
}

func TestRequestsInForce(t *testing.T) {
	other := platform.Entry{Key: "config", ModRevision: 1}
	for _, test := range []struct {
		name string
		act  func(register *testRegister)
		want string
	}{
		{"nothing is asked", func(r *testRegister) { r.Replace(listing(5, other)) }, "east west"},
		{"asked before the start", func(r *testRegister) { r.Replace(listing(5, other, request("east", 3))) }, "west"},
		{"asked later", func(r *testRegister) {
			r.Replace(listing(5))
			r.Update(6, []platform.Entry{request("east", 6)}, nil)
		}, "west"},
		{"two zones, one taken back", func(r *testRegister) {
			r.Replace(listing(5, request("east", 3)))
			r.Update(6, []platform.Entry{request("west", 6)}, nil)
			r.Update(7, nil, []string{requestPrefix + "east"})
		}, "east"},
		{"all zones", func(r *testRegister) { r.Replace(listing(5, request("east", 3), request("west", 4))) }, ""},
		{"taken back while changes were missed", func(r *testRegister) {
			r.Replace(listing(5, request("east", 3)))
			r.Replace(listing(9))
		}, "east west"},
		{"an older listing comes late", func(r *testRegister) {
			r.Replace(listing(5))
			r.Update(6, []platform.Entry{request("east", 6)}, nil)
			r.Replace(listing(5))
		}, "west"},
		{"an older change comes late", func(r *testRegister) {
			r.Replace(listing(9, request("east", 8)))
			r.Update(7, nil, []string{requestPrefix + "east"})
		}, "west"},
		{"an older request comes after it was taken back", func(r *testRegister) {
			r.Replace(listing(9))
			r.Update(8, []platform.Entry{request("east", 8)}, nil)
		}, "east west"},
		{"taken back and asked again in one answer", func(r *testRegister) {
			r.Replace(listing(5, request("east", 3)))
			r.Update(8, []platform.Entry{request("east", 8)}, nil)
		}, "west"},
		{"a zone that nobody knows", func(r *testRegister) { r.Replace(listing(5, request("north", 3))) }, "east west"},
		{"other keys are changed", func(r *testRegister) {
			r.Replace(listing(5, request("east", 3)))
			r.Update(6, []platform.Entry{other}, []string{"config"})
			r.Update(7, nil, nil)
		}, "west"},
	} {
		t.Run(test.name, func(t *testing.T) {
			register := newTestRegister(t)
			test.act(register)
			if got := register.usableZones(); got != test.want {
				t.Errorf("replicas of %q are usable, want %q", got, test.want)
			}
		})
	}
}

// TestEndOfAnEvacuationIsKnown: the end is recorded also for an evacuation that was over before this node learned of it. It is not recorded
// while the evacuation is in force, nor by the end of another zone's.
func TestEndOfAnEvacuationIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := newTestRegister(t)
		register.Replace(listing(5, request("east", 3)))
		time.Sleep(time.Second)
		if !register.endedAt("east").IsZero() {
			t.Error("an evacuation in force has an end")
		}
		register.Update(6, nil, []string{requestPrefix + "east"})
		ended := time.Now()
		time.Sleep(time.Second)
		register.Update(8, nil, []string{requestPrefix + "west"})
		if got := register.endedAt("east"); !got.Equal(ended) {
			t.Errorf("ended at %s, want %s", got, ended)
		}
		if got := register.endedAt("west"); !got.Equal(time.Now()) {
			t.Errorf("an evacuation that was never known ended at %s, want %s", got, time.Now())
		}
		register.directory.Update([]replica.Info{{ID: "late", Service: "s", Zone: "east"}}, nil)
		if got := register.endedAt("late"); !got.Equal(ended) {
			t.Errorf("for a replica added later it ended at %s, want %s", got, ended)
		}
	})
}

func TestGaugeOfAZone(t *testing.T) {
	register := newTestRegister(t)
	register.Replace(listing(5, request("east", 3)))
	register.Update(6, []platform.Entry{request("west", 6)}, []string{requestPrefix + "east"})
	for zone, want := range map[string]float64{"east": 0, "west": 1} {
		if got := testutil.ToFloat64(register.metrics.evacuated.WithLabelValues(zone)); got != want {
			t.Errorf("the gauge of %s is %g, want %g", zone, got, want)
		}
	}
}

// TestOlderRevisionsAreIgnoredInAnyOrder: listings and changes arrive late, repeatedly and out of order. The newest state that has arrived is
// always in force, and the last state in the end.
func TestOlderRevisionsAreIgnoredInAnyOrder(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	for range 300 {
		register := newTestRegister(t)
		states := []map[string]int64{{}}
		for revision := int64(1); revision <= 30; revision++ {
			next := maps.Clone(states[len(states)-1])
			zone := []string{"east", "west"}[random.IntN(2)]
			if _, requested := next[zone]; requested {
				delete(next, zone)
			} else {
				next[zone] = revision
			}
			states = append(states, next)
		}
		newest := int64(0)
		for step := range 40 {
			revision := int64(random.IntN(len(states)))
			if step == 39 {
				revision = int64(len(states) - 1)
			}
			if random.IntN(2) == 0 || revision != newest+1 {
				register.Replace(listing(revision, entriesOf(states[revision])...))
			} else {
				changed, deleted := difference(states[revision-1], states[revision])
				register.Update(revision, changed, deleted)
			}
			newest = max(newest, revision)
			if got, want := register.Evacuated(), len(states[newest]); len(got) != want {
				t.Fatalf("at revision %d %v are evacuated, want %v", newest, got, states[newest])
			}
			for _, zone := range register.Evacuated() {
				if register.directory.View().Find(zone).Usable() || states[newest][zone] == 0 {
					t.Fatalf("at revision %d %s is evacuated, want %v", newest, zone, states[newest])
				}
			}
		}
	}
}

func entriesOf(state map[string]int64) []platform.Entry {
	var entries []platform.Entry
	for zone, revision := range state {
		entries = append(entries, request(zone, revision))
	}
	return entries
}

func difference(before, after map[string]int64) (changed []platform.Entry, deleted []string) {
	for zone, revision := range after {
		if before[zone] != revision {
			changed = append(changed, request(zone, revision))
		}
	}
	for zone := range before {
		if after[zone] == 0 {
			deleted = append(deleted, requestPrefix+zone)
		}
	}
	return changed, deleted
}

// TestListingEndsACopy: a node that started from a copy accepts the service's own listing, even if the service was restored to an older
// revision. After that it ignores older listings.
func TestListingEndsACopy(t *testing.T) {
	register := newTestRegister(t)
	register.ReplaceByCopy(listing(9, request("east", 9)))
	register.ReplaceByCopy(listing(8, request("west", 8)))
	if got := register.Evacuated(); len(got) != 1 || got[0] != "east" {
		t.Fatalf("%v evacuated by copies, want the newest one's", got)
	}
	register.Replace(listing(5, request("west", 5)))
	register.Replace(listing(4))
	if got := register.Evacuated(); len(got) != 1 || got[0] != "west" {
		t.Errorf("%v evacuated, want what the service lists", got)
	}
}
