package platform

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	probeTarget = "/probe"
	readTarget  = "/read"
)

// hedgedService is a service that is silent until a time, and answers calls that begin later after a latency. Calls that begin before are
// never answered.
type hedgedService struct {
	silentUntil time.Time
	latency     func(target string) time.Duration

	mutex sync.Mutex
	calls map[string]int
}

func (s *hedgedService) serve(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	s.calls[request.URL.Path]++
	s.mutex.Unlock()
	if time.Now().Before(s.silentUntil) {
		<-request.Context().Done()
		return
	}
	select {
	case <-time.After(s.latency(request.URL.Path)):
		writer.WriteHeader(http.StatusOK)
	case <-request.Context().Done():
	}
}

func (s *hedgedService) count(target string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[target]
}

// runHedged calls do in a bubble with an Exchanger of a service that is silent for silence.
func runHedged(t *testing.T, silence time.Duration, latency func(string) time.Duration, do func(*testing.T, *hedgedService, *Exchanger)) {
	synctest.Test(t, func(t *testing.T) {
		service := &hedgedService{silentUntil: time.Now().Add(silence), latency: latency, calls: map[string]int{}}
		server, wires := serveInMemory(t, service.serve)
		exchanger := NewExchanger(wires, serviceAddress)
		exchanger.ProbeBy(probeTarget)
		do(t, service, exchanger)
		exchanger.Close()
		_ = server.Close()
		time.Sleep(maxAnswerTimeout)
	})
}

func constantLatency(latency time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return latency }
}

// TestLostReadIsHedgedOnceTheServiceAnswersAgain: the timeout has grown during a silence, and a read begins right before its end. It is
// answered as soon as a probe shows the recovery, and each read draws one more call.
func TestLostReadIsHedgedOnceTheServiceAnswersAgain(t *testing.T) {
	const silence, latency = 10 * time.Second, 4 * time.Millisecond
	for _, hold := range []time.Duration{0, time.Second} {
		runHedged(t, silence, constantLatency(latency), func(t *testing.T, service *hedgedService, exchanger *Exchanger) {
			for range 2 {
				_, _, _ = exchanger.ReadLongPoll(t.Context(), http.MethodGet, readTarget, 0)
			}
			time.Sleep(time.Until(service.silentUntil) - overdueAfter - hold - 10*time.Millisecond)
			calls := service.count(readTarget)
			_, _, err := exchanger.ReadLongPoll(t.Context(), http.MethodGet, readTarget, hold)
			if took := time.Since(service.silentUntil); err != nil || took > ProbeInterval+2*latency {
				t.Errorf("hold %s: answered %s after the recovery, error %v", hold, took, err)
			}
			if made := service.count(readTarget) - calls; made != 2 {
				t.Errorf("hold %s: %d calls, want 2", hold, made)
			}
		})
	}
}

// TestReadThatBeganInDoubtIsHedged: a watch that began while another call was overdue is hedged at the recovery, before it is overdue
// itself.
func TestReadThatBeganInDoubtIsHedged(t *testing.T) {
	const silence, latency = 3 * time.Second, 4 * time.Millisecond
	runHedged(t, silence, constantLatency(latency), func(t *testing.T, service *hedgedService, exchanger *Exchanger) {
		exchanger.timeout.recordTimeout(maxAnswerTimeout)
		var calls sync.WaitGroup
		calls.Go(func() {
			_, _, _ = exchanger.ReadLongPoll(t.Context(), http.MethodGet, readTarget, silence-overdueAfter-500*time.Millisecond)
		})
		time.Sleep(silence - 100*time.Millisecond)
		_, _, err := exchanger.ReadLongPoll(t.Context(), http.MethodGet, readTarget, time.Second)
		if took := time.Since(service.silentUntil); err != nil || took > ProbeInterval+2*latency {
			t.Errorf("answered %s after the recovery, error %v", took, err)
		}
		calls.Wait()
	})
}

// TestSlowServiceAnswersTheFirstAttempt: an answer that takes seconds is accepted although probes are answered sooner, and a slow service
// gets few more calls than without hedges.
func TestSlowServiceAnswersTheFirstAttempt(t *testing.T) {
	const reads, slow = 5, 1500 * time.Millisecond
	latency := func(target string) time.Duration {
		if target == probeTarget {
			return 100 * time.Millisecond
		}
		return slow
	}
	runHedged(t, 0, latency, func(t *testing.T, service *hedgedService, exchanger *Exchanger) {
		exchanger.timeout.recordTimeout(2 * time.Second)
		start := time.Now()
		for range reads {
			if _, _, err := exchanger.Read(t.Context(), http.MethodGet, readTarget); err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(start); took != reads*slow {
			t.Errorf("%d reads took %s, want %s", reads, took, reads*slow)
		}
		if made := service.count(readTarget); made > reads*3 {
			t.Errorf("%d calls for %d reads", made, reads)
		}
	})
}

// TestAnswersOfVaryingLatencyDrawFewHedges: with latencies that vary a lot, each read still ends, and hedges at most double the calls.
func TestAnswersOfVaryingLatencyDrawFewHedges(t *testing.T) {
	const reads = 200
	random := rand.New(rand.NewPCG(1, 0))
	var mutex sync.Mutex
	latency := func(string) time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		return time.Duration(random.ExpFloat64() * float64(250*time.Millisecond))
	}
	runHedged(t, 0, latency, func(t *testing.T, service *hedgedService, exchanger *Exchanger) {
		for range reads {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			if _, _, err := exchanger.Read(ctx, http.MethodGet, readTarget); err != nil && ctx.Err() != nil {
				t.Error(err)
			}
			cancel()
		}
		if made := service.count(readTarget); made > 2*reads {
			t.Errorf("%d calls for %d reads", made, reads)
		}
		t.Logf("%d calls and %d probes for %d reads", service.count(readTarget), service.count(probeTarget), reads)
	})
}
