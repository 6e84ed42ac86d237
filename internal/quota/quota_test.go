package quota

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/tenant"
)

func limitedTenant() *tenant.Tenant {
	return &tenant.Tenant{Name: "hot", Limit: tenant.Limit{RequestsPerSecond: 100, Burst: 100}}
}

func TestLimitHoldsOverAllEdges(t *testing.T) {
	for _, test := range []struct {
		name            string
		perSecond       int
		maxRefusedShare float64
		minAdmitted     int
		unlimited       bool
		duration        time.Duration
	}{
		{"below the limit nothing is refused", 90, 0, 900, false, 10 * time.Second},
		{"far above it the limit is used up", 700, 1, 1000, false, 10 * time.Second},
		{"no limit", 700, 0, 7000, true, 10 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, 9)
			holder := limitedTenant()
			if test.unlimited {
				holder.Limit = tenant.Limit{}
			}
			cluster.load(holder, 1, test.perSecond, test.duration)
			if len(cluster.admitted) < test.minAdmitted || float64(cluster.refused) > test.maxRefusedShare*float64(test.perSecond)*test.duration.Seconds() {
				t.Errorf("%s: %d admitted, %d refused", test.name, len(cluster.admitted), cluster.refused)
			}
			if !test.unlimited {
				cluster.checkWindows(holder.Limit)
			}
			cluster.stop()
		})
	}
}

// TestRefusalTellsWhenToComeBack: the retry delay of a refused caller allows for the callers refused before it to be served first.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	now := time.Now()
	bucket := newBucket(tenant.Limit{RequestsPerSecond: 10, Burst: 5}, 1, 5, now)
	if taken, wait := bucket.take(8, 1, now); taken != 5 || wait != 300*time.Millisecond {
		t.Errorf("took %d, wait %s, want 5 and 300ms", taken, wait)
	}
	if taken, wait := bucket.take(2, 1, now); taken != 0 || wait != 500*time.Millisecond {
		t.Errorf("took %d, wait %s, want 0 and 500ms", taken, wait)
	}
	if taken, _ := bucket.take(9, 1, now.Add(500*time.Millisecond)); taken != 5 {
		t.Errorf("took %d after 500ms, want 5", taken)
	}
}

// TestGrantorHandsOver: an edge that joins and ranks first continues with the level of the previous grantor.
func TestGrantorHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 9)
		holder := limitedTenant()
		first := cluster.grantorOf(holder)
		cluster.kill(first)
		cluster.updateViews()
		cluster.load(holder, 1, 700, 4*time.Second)
		cluster.start(first)
		cluster.updateViews()
		// The part of the edge that has just started, a ninth of the limit, is not lent in full for a second.
		for _, minAdmitted := range []int{85, 97} {
			before := len(cluster.admitted)
			cluster.load(holder, 1, 700, time.Second)
			if more := len(cluster.admitted) - before; more < minAdmitted || more > 115 {
				t.Errorf("%d requests in a second after the handover, want %d to 115", more, minAdmitted)
			}
		}
		cluster.checkWindows(holder.Limit)
		cluster.stop()
	})
}

// TestNextEdgeStandsIn: while the grantor is down and its death is not detected, the next edge grants only what the slack allows, since the
// grantor may be on the other side of a partition. Once the death is known, no request below the limit is refused.
func TestNextEdgeStandsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 9)
		holder := limitedTenant()
		cluster.load(holder, 1, 80, 3*time.Second)
		cluster.kill(cluster.grantorOf(holder))
		before := len(cluster.admitted)
		cluster.load(holder, 1, 80, 3*time.Second)
		if admitted := len(cluster.admitted) - before; admitted < 30 {
			t.Errorf("%d requests in 3 s before the death is known, want 30 or more", admitted)
		}
		cluster.updateViews()
		cluster.load(holder, 1, 80, detectionTime-2*time.Second)
		refused := cluster.refused
		cluster.load(holder, 1, 80, 3*time.Second)
		if cluster.refused > refused {
			t.Errorf("%d requests refused below the limit after the death is known", cluster.refused-refused)
		}
		cluster.checkWindows(holder.Limit)
		cluster.stop()
	})
}

// TestRestartGrantsNothingTwice: requests granted before all edges were killed are not granted again after their restart.
func TestRestartGrantsNothingTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 9)
		holder := limitedTenant()
		cluster.load(holder, 1, 700, 3*time.Second)
		for _, killed := range cluster.edges {
			cluster.kill(killed)
		}
		for _, restarted := range cluster.edges {
			cluster.start(restarted)
		}
		// At first each edge knows only itself.
		cluster.load(holder, 1, 700, 300*time.Millisecond)
		cluster.updateViews()
		cluster.load(holder, 1, 700, 4*time.Second)
		cluster.checkWindows(holder.Limit)
		cluster.stop()
	})
}

// TestCutEdgesSpendTheirShare: edges that reach no other edge admit few requests until they detect the partition, and their share of the
// limit from then on.
func TestCutEdgesSpendTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 10)
		holder := limitedTenant()
		cluster.load(holder, 1, 700, 4*time.Second)
		cluster.isolate(cluster.edges[:4]...)
		cluster.load(holder, 1, 700, 2500*time.Millisecond)
		cluster.updateViews()
		before := len(cluster.admitted)
		cluster.load(holder, 1, 700, 6*time.Second)
		if more := len(cluster.admitted) - before; more < 510 {
			t.Errorf("%d requests in 6 s on both sides, want 510 or more: 360 by the larger side, 160 by the isolated edges, which started with slack", more)
		}
		cluster.isolate()
		cluster.updateViews()
		cluster.load(holder, 1, 700, 4*time.Second)
		cluster.checkWindows(holder.Limit)
		cluster.stop()
	})
}

// TestManyCutEdgesBeginWithTheirShare: each edge that is isolated from all others becomes its own grantor. The initial levels of their buckets
// together do not exceed the slack.
func TestManyCutEdgesBeginWithTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 40)
		holder := limitedTenant()
		// The load leaves the burst available in full.
		cluster.load(holder, 1, 20, 3*time.Second)
		cluster.isolate(cluster.edges[:16]...)
		cluster.load(holder, 1, 900, 2800*time.Millisecond)
		cluster.updateViews()
		cluster.load(holder, 1, 900, 6*time.Second)
		cluster.checkWindows(holder.Limit)
		cluster.stop()
	})
}

// TestSidesOfACutGrantTheLimitOnce: the side with the grantor continues; what the other side grants until it detects the partition is covered
// by the slack.
func TestSidesOfACutGrantTheLimitOnce(t *testing.T) {
	for _, count := range []int{10, 20, 30} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, 40)
			holder := limitedTenant()
			cluster.load(holder, 1, 20, 3*time.Second)
			cluster.partition(cluster.edges[:count]...)
			cluster.load(holder, 1, 900, 2500*time.Millisecond)
			// One side detects the partition before the other.
			cluster.updateViews(cluster.edges[count:]...)
			cluster.load(holder, 1, 900, 1200*time.Millisecond)
			cluster.updateViews()
			cluster.load(holder, 1, 900, 5*time.Second)
			cluster.checkWindows(holder.Limit)
			cluster.stop()
		})
	}
}

// TestLevelOfEarlierPartitionIsNotGrantedAgain: the level that an edge had left from an earlier partition is not granted again in addition to
// what the grantor on the other side of the current partition grants.
func TestLevelOfEarlierPartitionIsNotGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 10)
		holder := limitedTenant()
		limit := holder.Limit
		previous := &grantState{ready: make(chan struct{})}
		previous.activate(newBucket(limit, 1, limit.Burst, time.Now()), false)
		request := &quotapb.GrantRequest{Tenant: holder.Name, Rate: limit.RequestsPerSecond, Burst: limit.Burst, ConfigVersion: 1}
		for share, maxLevel := range map[float64]float64{1: limit.Burst, 0.5: 0.5 * testAllowance.initialLevel(limit)} {
			service := cluster.edges[0].service
			bucket, _ := service.takeOver(
				t.Context(), request,
				ranking{liveShare: share, knownCount: 10, edges: service.rankingOf(holder.Name).edges[:1]}, previous,
			)
			if level := bucket.level; level > maxLevel {
				t.Errorf("with %.1f of the edges alive the level is %.1f, want %.1f at most", share, level, maxLevel)
			}
		}
		cluster.stop()
	})
}

// TestNewestConfigurationDecidesLimit: the grantor uses the limit of the newest configuration that any edge sends.
func TestNewestConfigurationDecidesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 9)
		holder := limitedTenant()
		cluster.load(holder, 1, 700, 3*time.Second)
		lower := &tenant.Tenant{Name: holder.Name, Limit: tenant.Limit{RequestsPerSecond: 10, Burst: 10}}
		cluster.load(lower, 2, 9, time.Second)
		before := len(cluster.admitted)
		cluster.load(holder, 1, 700, 2*time.Second)
		cluster.load(lower, 2, 700, 3*time.Second)
		if more := len(cluster.admitted) - before; more > 70 {
			t.Errorf("%d requests in 5 s, want about 60", more)
		}
		cluster.stop()
	})
}

// TestUnsentRequestsAreGivenBack: an admitted request that no replica ran does not count against the limit.
func TestUnsentRequestsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 3)
		holder := &tenant.Tenant{Name: "small", Limit: tenant.Limit{RequestsPerSecond: 0.01, Burst: 5}}
		service := cluster.edges[0].service
		for number := range 40 {
			if !service.Admit(t.Context(), holder, 1).Admitted {
				t.Fatalf("request %d is refused", number)
			}
			service.GiveBack(holder)
		}
		cluster.stop()
	})
}

// TestLimitHoldsWhateverFails: with kills, restarts, partitions, stale views and handovers in random order, no window exceeds the limit by
// more than the allowance.
func TestLimitHoldsWhateverFails(t *testing.T) {
	for seed := range uint64(24) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			cluster := newCluster(t, 8)
			holder := limitedTenant()
			cluster.load(holder, 1, 500, 4*time.Second)
			for range 6 {
				victim := cluster.edges[random.IntN(len(cluster.edges))]
				switch random.IntN(3) {
				case 0:
					if victim.up {
						cluster.kill(victim)
					}
				case 1:
					cluster.isolate(victim)
				case 2:
					cluster.isolate()
				}
				for _, member := range cluster.edges {
					if !member.up && random.IntN(2) == 0 {
						cluster.start(member)
					}
				}
				cluster.load(holder, 1, 500, time.Duration(200+random.IntN(800))*time.Millisecond)
				cluster.updateViews()
				cluster.load(holder, 1, 500, time.Duration(500+random.IntN(2000))*time.Millisecond)
			}
			maxAdmitted := cluster.checkWindows(holder.Limit)
			t.Logf("seed %d: %d at most, %d admitted, %d refused", seed, maxAdmitted, len(cluster.admitted), cluster.refused)
			cluster.stop()
		})
	}
}
