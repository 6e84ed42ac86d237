package admission

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/outcome"
)

// fixedSlots is a SlotCounter with a fixed number of slots, of which own are in use by this node.
type fixedSlots struct{ total, own, usable int }

func (f *fixedSlots) OnlineSlots(string, int) (free, usable, own int) {
	return f.total - f.own, f.usable, f.own
}

type limiterHarness struct {
	t        *testing.T
	slots    *fixedSlots
	limiter  *RequestLimiter
	service  *config.Service
	admitted []string
	releases []func()
}

func newLimiterHarness(t *testing.T, total, queue int) *limiterHarness {
	slots := &fixedSlots{total: total, usable: 1}
	return &limiterHarness{
		t: t, slots: slots, limiter: NewRequestLimiter(slots, prometheus.NewRegistry()),
		service: &config.Service{Name: "chat", MaxConcurrentPerReplica: total, QueueLimit: queue},
	}
}

func (h *limiterHarness) request(tenant *config.Tenant, rank int) OnlineRequest {
	return OnlineRequest{Tenant: tenant, Service: h.service, Priority: &config.Priority{Rank: rank, Online: true}}
}

// start calls Admit in the background, on the virtual time of synctest, and waits until the call
// has returned or is blocked in the queue.
func (h *limiterHarness) start(ctx context.Context, name string, tenant *config.Tenant, rank int) <-chan error {
	result := make(chan error, 1)
	go func() {
		release, err := h.limiter.Admit(ctx, h.request(tenant, rank))
		if err == nil {
			h.admitted = append(h.admitted, name)
			h.releases = append(h.releases, release)
		}
		result <- err
	}()
	synctest.Wait()
	return result
}

// release ends the running request that was admitted first.
func (h *limiterHarness) release() {
	release := h.releases[0]
	h.releases = h.releases[1:]
	release()
	synctest.Wait()
}

func expectRefusal(t *testing.T, err error, reason outcome.Reason) {
	t.Helper()
	refused := outcome.As(err)
	if err == nil || refused.Outcome != outcome.NotRun || refused.Reason != reason || refused.RetryAfter <= 0 {
		t.Fatalf("got %v (retry after %s), want not_run/%s with RetryAfter", err, refused.RetryAfter, reason)
	}
}

func TestLimiterAdmitsByRankThenFairShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLimiterHarness(t, 3, 20)
		heavy := &config.Tenant{Name: "heavy", Weight: 1}
		double := &config.Tenant{Name: "double", Weight: 2}
		for index := range 3 {
			h.start(t.Context(), fmt.Sprintf("first%d", index), heavy, 10)
		}
		for index := range 3 {
			h.start(t.Context(), fmt.Sprintf("heavy%d", index), heavy, 10)
		}
		for index := range 3 {
			h.start(t.Context(), fmt.Sprintf("double%d", index), double, 10)
		}
		h.start(t.Context(), "urgent", heavy, 20)
		for range 7 {
			h.release()
		}
		got := h.admitted[3:]
		// heavy has 2 in flight when a slot becomes free; double gets two slots for each one of heavy.
		want := []string{"urgent", "double0", "double1", "heavy0", "double2", "heavy1", "heavy2"}
		if !slices.Equal(got, want) {
			t.Fatalf("admitted %v, want %v", got, want)
		}
	})
}

func TestLimiterRefusesAtOnceWhenFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLimiterHarness(t, 1, 2)
		tenant := &config.Tenant{Name: "office"}
		h.start(t.Context(), "running", tenant, 10)
		h.start(t.Context(), "waiting", tenant, 10)
		low := h.start(t.Context(), "low", tenant, 5)
		expectRefusal(t, <-h.start(t.Context(), "same", tenant, 5), outcome.ReasonOverloaded)
		high := h.start(t.Context(), "high", tenant, 20)
		expectRefusal(t, <-low, outcome.ReasonOverloaded)
		h.release()
		if err := <-high; err != nil {
			t.Fatal(err)
		}
		h.release()
		if want := []string{"running", "high", "waiting"}; !slices.Equal(h.admitted, want) {
			t.Fatalf("admitted %v, want %v", h.admitted, want)
		}
		h.release()
		h.slots.usable = 0
		expectRefusal(t, <-h.start(t.Context(), "none", tenant, 5), outcome.ReasonUnavailable)
	})
}

func TestLimiterRefusesWhatWouldMissItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLimiterHarness(t, 1, 10)
		tenant := &config.Tenant{Name: "office"}
		h.start(t.Context(), "first", tenant, 10)
		time.Sleep(4 * time.Second) // sets the mean service time to 4 s
		h.release()
		h.start(t.Context(), "second", tenant, 10)
		soon, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		started := time.Now()
		expectRefusal(t, <-h.start(soon, "hopeless", tenant, 10), outcome.ReasonOverloaded)
		if waited := time.Since(started); waited != 0 {
			t.Fatalf("refused after %s", waited)
		}
		later, cancelLater := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancelLater()
		expectRefusal(t, <-h.start(later, "expired", tenant, 10), outcome.ReasonDeadline)
		left, leave := context.WithCancel(t.Context())
		gone := h.start(left, "gone", tenant, 10)
		leave()
		if err := <-gone; outcome.Of(err) != outcome.NotRun || !errors.Is(err, context.Canceled) {
			t.Fatalf("a cancelled caller got %v, want not_run and context.Canceled", err)
		}
		h.release()
		if queue := h.limiter.services["chat"].queue; queue.inFlight != 0 || len(queue.waiting) != 0 {
			t.Fatalf("%d in flight, %d waiting at the end", queue.inFlight, len(queue.waiting))
		}
	})
}

func TestLimiterKeepsTenantsToTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLimiterHarness(t, 100, 10)
		limited := &config.Tenant{Name: "limited", RequestsPerSecond: 2, Burst: 2}
		for range 2 {
			if err := <-h.start(t.Context(), "in rate", limited, 10); err != nil {
				t.Fatal(err)
			}
		}
		err := <-h.start(t.Context(), "over rate", limited, 10)
		expectRefusal(t, err, outcome.ReasonRateLimited)
		time.Sleep(outcome.As(err).RetryAfter)
		if err := <-h.start(t.Context(), "when told", limited, 10); err != nil {
			t.Fatalf("refused again after RetryAfter: %v", err)
		}
		narrow := &config.Tenant{Name: "narrow", MaxConcurrent: 1}
		h.releases = nil
		h.start(t.Context(), "one", narrow, 10)
		expectRefusal(t, <-h.start(t.Context(), "two", narrow, 10), outcome.ReasonRateLimited)
		h.release()
		if err := <-h.start(t.Context(), "three", narrow, 10); err != nil {
			t.Fatal(err)
		}
	})
}
