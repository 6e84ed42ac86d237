package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// passLimiter admits requests to cold replicas by their passes alone.
type passLimiter struct{ taken int }

func (p *passLimiter) Take(handle *replica.Handle) bool {
	if !handle.Cold(time.Now()) {
		return true
	}
	admitted := handle.ColdPass() != nil && handle.ColdPass().Take(time.Now())
	if admitted {
		p.taken++
	}
	return admitted
}

func coldEdge(t *testing.T, scripts map[string]replicatest.Script, cold ...string) (*edgeUnderTest, *passLimiter) {
	t.Helper()
	edge := newEdgeUnderTest(t, route.Repeatable, false, scripts)
	limiter := &passLimiter{}
	edge.coldStarts = limiter
	for _, id := range cold {
		handle := edge.directory.View().Find(id)
		handle.SetColdBounded(true)
		handle.SetColdUntil(time.Now().Add(3 * time.Second))
	}
	return edge, limiter
}

var okAnswer = replicatest.Answer(http.StatusOK, replicatest.Signed, "body")

func TestRequestGoesPastAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge, _ := coldEdge(t, map[string]replicatest.Script{"a": okAnswer, "b": okAnswer}, "a")
		if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK {
			t.Errorf("status %d", recorded.Code)
		}
		if sent := edge.replicas.Requests(); len(sent) != 1 || sent[0].Header.Get("X-Instance") != "b" {
			t.Errorf("sent %d requests, want one to the warm replica", len(sent))
		}
	})
}

// TestRequestIsRefusedSoonWhereAllReplicasAreCold: the caller can then still be served on time by another node.
func TestRequestIsRefusedSoonWhereAllReplicasAreCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge, _ := coldEdge(t, map[string]replicatest.Script{"a": okAnswer, "b": okAnswer}, "a", "b")
		began := time.Now()
		recorded, _ := edge.call(nil)
		if recorded.Code != http.StatusServiceUnavailable || recorded.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", recorded.Code, recorded.Header().Get("Retry-After"))
		}
		if after := time.Since(began); after > 200*time.Millisecond/4 {
			t.Errorf("refused after %s, want at most a quarter of the objective of 200 ms", after)
		}
		if sent := edge.replicas.Requests(); len(sent) != 0 {
			t.Errorf("%d requests reached cold replicas", len(sent))
		}
	})
}

func TestRequestsTakeTheirPartOfAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge, limiter := coldEdge(t, map[string]replicatest.Script{"a": okAnswer, "b": okAnswer}, "a", "b")
		edge.directory.View().Find("a").SetColdPass(replica.NewColdPass(2, time.Now().Add(time.Second)))
		served := 0
		for range 5 {
			if recorded, _ := edge.call(nil); recorded.Code == http.StatusOK {
				served++
			}
		}
		if served != 2 || limiter.taken != 2 || len(edge.replicas.Requests()) != 2 {
			t.Errorf("served %d, taken %d, sent %d, want 2 each", served, limiter.taken, len(edge.replicas.Requests()))
		}
	})
}

// TestRetryCountsAtAColdReplica: the second attempt of a request is charged to the pass like the first.
func TestRetryCountsAtAColdReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge, limiter := coldEdge(t, map[string]replicatest.Script{"a": replicatest.Lose(), "b": okAnswer}, "a", "b")
		for _, id := range []string{"a", "b"} {
			edge.directory.View().Find(id).SetColdPass(replica.NewColdPass(1, time.Now().Add(time.Second)))
		}
		if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK {
			t.Errorf("status %d", recorded.Code)
		}
		if limiter.taken != 2 {
			t.Errorf("%d requests were taken from passes, want 2", limiter.taken)
		}
	})
}
