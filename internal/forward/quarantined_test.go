package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sloelift/sloelift/internal/quarantine"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/replica/replicatest"
	"github.com/sloelift/sloelift/internal/route"
)

// fakeRegister returns the verdicts set by a test and records the endings reported to it.
type fakeRegister struct {
	// check is the verdict of Check; admit holds the verdicts of the next attempts, after which all are Allowed.
	check quarantine.Verdict
	admit []quarantine.Verdict
	// ended reports the replicas of lost runs as ended; cancelFirst cancels the first run after 10 ms.
	ended       bool
	cancelFirst bool
	// cancelBeforeSend cancels the first run before it is sent.
	cancelBeforeSend bool
	// endedFirst, if not 0, limits ended to that many of the first lost runs; lost counts the lost runs.
	endedFirst int
	lost       int

	mutex    sync.Mutex
	keys     []quarantine.Key
	endings  []quarantine.Ending
	released int
	begun    int
}

func (f *fakeRegister) Check(quarantine.Key, ...quarantine.Key) quarantine.Verdict { return f.check }

func (f *fakeRegister) Recall(quarantine.Key, []quarantine.RecordedEnd, int) {}

func (f *fakeRegister) Admit(_ context.Context, key quarantine.Key, _ ...quarantine.Key) quarantine.Permit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.keys = append(f.keys, key)
	verdict := quarantine.Allowed
	if len(f.admit) > 0 {
		verdict, f.admit = f.admit[0], f.admit[1:]
	}
	return &fakePermit{register: f, verdict: verdict}
}

type fakePermit struct {
	register *fakeRegister
	verdict  quarantine.Verdict
}

func (p *fakePermit) Verdict() quarantine.Verdict { return p.verdict }

func (p *fakePermit) Occupied() []*replica.Handle { return nil }

func (p *fakePermit) Release() {
	p.register.mutex.Lock()
	defer p.register.mutex.Unlock()
	p.register.released++
}

func (p *fakePermit) Begin(_ *replica.Handle, cancel func()) quarantine.Run {
	p.register.mutex.Lock()
	defer p.register.mutex.Unlock()
	p.register.begun++
	if p.register.cancelFirst && p.register.begun == 1 && cancel != nil {
		time.AfterFunc(10*time.Millisecond, cancel)
	}
	if p.register.cancelBeforeSend && p.register.begun == 1 && cancel != nil {
		cancel()
	}
	return p
}

func (p *fakePermit) Received(int) {}

func (p *fakePermit) Progress(int, int) {}

func (p *fakePermit) End(_ context.Context, ending quarantine.Ending) bool {
	p.register.mutex.Lock()
	defer p.register.mutex.Unlock()
	p.register.endings = append(p.register.endings, ending)
	if ending != quarantine.Lost && ending != quarantine.Interrupted || !p.register.ended {
		return false
	}
	p.register.lost++
	return p.register.endedFirst == 0 || p.register.lost <= p.register.endedFirst
}

func TestRejectedMessageIsAnsweredAtOnce(t *testing.T) {
	answer := replicatest.Answer(200, replicatest.Signed, "x")
	for name, register := range map[string]*fakeRegister{
		"known before":           {check: quarantine.Rejected},
		"known when it waited":   {admit: []quarantine.Verdict{quarantine.Rejected}},
		"after an ended attempt": {ended: true, admit: []quarantine.Verdict{quarantine.Allowed, quarantine.Rejected}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := map[string]replicatest.Script{"a": answer, "b": answer}
				sent := 0
				if register.ended {
					scripts["a"], sent = replicatest.Lose(), 1
				}
				edge := newEdgeUnderTest(t, route.Repeatable, false, scripts)
				edge.Handler.quarantine = register
				began := time.Now()
				recorded, _ := edge.call(nil)
				if recorded.Code != http.StatusBadGateway || recorded.Header().Get("Retry-After") != "" {
					t.Errorf("status %d, Retry-After %q: the message may have run, so no 503 and no Retry-After", recorded.Code, recorded.Header().Get("Retry-After"))
				}
				if requests := len(edge.replicas.Requests()); requests != sent {
					t.Errorf("%d attempts, want %d", requests, sent)
				}
				if waited := time.Since(began); waited > 50*time.Millisecond {
					t.Errorf("answered after %s", waited)
				}
				edge.replicas.CloseAll()
			})
		})
	}
}

func TestRetryAfterReplicaExitCostsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{
			"a": replicatest.Stream("s1", false, false, "id: 1\ndata: x\n\n"), "b": replicatest.Stream("s2", true, false, "id: 2\ndata: y\n\n"),
		})
		register := &fakeRegister{ended: true}
		edge.Handler.quarantine = register
		for edge.Handler.budget.take() {
		}
		edge.Handler.budget.limiter.SetLimit(0)
		edge.routes.Table().Routes[0].Attempts = 1
		recorded, aborted := edge.call(nil)
		if recorded.Code != http.StatusOK || aborted {
			t.Errorf("status %d, aborted %v: the request failed with its replica", recorded.Code, aborted)
		}
		if want := []quarantine.Ending{quarantine.Interrupted, quarantine.Other}; !slices.Equal(register.endings, want) {
			t.Errorf("endings %v, want %v: a resumed run is no evidence about the message", register.endings, want)
		}
		if register.released != 2 {
			t.Errorf("%d of 2 permits were released", register.released)
		}
		edge.replicas.CloseAll()
	})
}

func TestEndedReplicaCostsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{
			"a": replicatest.Lose(), "b": replicatest.Then(replicatest.Lose(), replicatest.Answer(200, replicatest.Signed, "x")),
		})
		third := netip.MustParseAddrPort("127.0.0.1:2000")
		edge.replicas.Scripts[third] = replicatest.Answer(200, replicatest.Signed, "x")
		added := replica.Info{ID: "c", Service: "s", Version: "v1", Zone: "far", Address: third, Slots: 1}
		edge.directory.Update([]replica.Info{added}, nil)
		edge.Handler.quarantine = &fakeRegister{ended: true, endedFirst: 1}
		if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK || len(edge.replicas.Requests()) != 3 {
			t.Errorf("status %d after %d attempts, want 200 after the third: one ended with its replica, and two are allowed", recorded.Code, len(edge.replicas.Requests()))
		}
		edge.replicas.CloseAll()
	})
}

func TestEndedReplicasOfOneRequestAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{"a": replicatest.Lose(), "b": replicatest.Lose()})
		var infos []replica.Info
		for number := range 6 {
			address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2000+number))
			edge.replicas.Scripts[address] = replicatest.Lose()
			infos = append(infos, replica.Info{ID: string(rune('c' + number)), Service: "s", Version: "v1", Zone: "near", Address: address, Slots: 8})
		}
		edge.directory.Replace(infos)
		edge.Handler.quarantine = &fakeRegister{ended: true}
		recorded, _ := edge.call(nil)
		if requests := len(edge.replicas.Requests()); requests != maxEndedReplicas+1 || recorded.Code != http.StatusBadGateway {
			t.Errorf("%d attempts, want %d; status %d", requests, maxEndedReplicas+1, recorded.Code)
		}
		edge.replicas.CloseAll()
	})
}

func TestEndingsOfRuns(t *testing.T) {
	whole := replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n")
	for _, test := range []struct {
		name   string
		first  replicatest.Script
		change func(*http.Request)
		want   quarantine.Ending
	}{
		{"whole", whole, nil, quarantine.Whole},
		{"whole behind an event", whole, resume("id-0"), quarantine.Other},
		{"lost before the answer", replicatest.Lose(), nil, quarantine.Lost},
		{"lost within the answer", replicatest.Stream("s", false, false, "id: 1\ndata: x\n\n"), nil, quarantine.Interrupted},
		{"not run", replicatest.Refuse(), nil, quarantine.Other},
		{"silent", replicatest.Hang(), nil, quarantine.Aborted},
		{"failed", replicatest.Answer(500, replicatest.Signed, "sorry"), nil, quarantine.Other},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": test.first, "b": whole})
				register := &fakeRegister{}
				edge.Handler.quarantine = register
				edge.origins = &fakeOrigins{recorded: map[string]replica.Origin{"id-0": {Service: "s", Version: "v1"}}}
				edge.call(test.change)
				if len(register.endings) == 0 || register.endings[0] != test.want {
					t.Errorf("endings %v, want %v first", register.endings, test.want)
				}
				edge.replicas.CloseAll()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestUnsignedAnswerIsALostRun: the replica may have ended while it sent the header.
func TestUnsignedAnswerIsALostRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unsigned := func(connection net.Conn, request *http.Request) bool {
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n", request.Header.Get("X-Id"))
			return false
		}
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": unsigned, "b": unsigned})
		register := &fakeRegister{}
		edge.Handler.quarantine = register
		edge.call(nil)
		if want := []quarantine.Ending{quarantine.Lost, quarantine.Lost}; !slices.Equal(register.endings, want) {
			t.Errorf("endings %v, want %v", register.endings, want)
		}
		edge.replicas.CloseAll()
	})
}

func TestRunThatIsCutOffRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := func(connection net.Conn, request *http.Request) bool { return replicatest.Hang()(connection, request) }
		edge := newEdgeUnderTest(t, route.Stream, true, map[string]replicatest.Script{"a": hang, "b": replicatest.Stream("s", true, false, "id: 1\ndata: x\n\n")})
		register := &fakeRegister{cancelFirst: true}
		edge.Handler.quarantine = register
		recorded, _ := edge.call(nil)
		if recorded.Code != http.StatusOK {
			t.Errorf("status %d", recorded.Code)
		}
		if want := []quarantine.Ending{quarantine.Aborted, quarantine.Whole}; !slices.Equal(register.endings, want) {
			t.Errorf("endings %v, want %v", register.endings, want)
		}
		if edge.directory.View().Find("a").Avoided(time.Now()) {
			t.Error("the replica is avoided after a run that this node cancelled")
		}
		edge.replicas.CloseAll()
		time.Sleep(time.Second)
	})
}

// TestRunThatIsCutOffBeforeItIsSentCostsNoAttempt: no replica has received that run.
func TestRunThatIsCutOffBeforeItIsSentCostsNoAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		whole := replicatest.Answer(200, replicatest.Signed, "x")
		edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{"a": whole, "b": whole})
		edge.routes.Table().Routes[0].Attempts = 1
		register := &fakeRegister{cancelBeforeSend: true}
		edge.Handler.quarantine = register
		if recorded, _ := edge.call(nil); recorded.Code != http.StatusOK || len(edge.replicas.Requests()) != 1 {
			t.Errorf("status %d after %d attempts, want 200 after one", recorded.Code, len(edge.replicas.Requests()))
		}
		if want := []quarantine.Ending{quarantine.Other, quarantine.Whole}; !slices.Equal(register.endings, want) {
			t.Errorf("endings %v, want %v", register.endings, want)
		}
		edge.replicas.CloseAll()
	})
}

func TestAttemptsOfOneMessageHaveOneKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newEdgeUnderTest(t, route.Repeatable, false, map[string]replicatest.Script{"a": replicatest.Answer(200, replicatest.Signed, "x")})
		register := &fakeRegister{}
		edge.Handler.quarantine = register
		edge.call(nil)
		edge.call(func(request *http.Request) {
			request.Header.Set("X-Id", "id-2")
			request.Header.Set("Last-Event-Id", "4")
			request.Header.Set("X-Deadline", "900")
		})
		edge.call(func(request *http.Request) { request.Header.Set("X-Parts", "a:5") })
		edge.call(func(request *http.Request) { request.Body = io.NopCloser(strings.NewReader("BODY")) })
		if len(register.keys) != 4 || register.keys[0] != register.keys[1] || register.keys[0] != register.keys[2] || register.keys[0] == register.keys[3] {
			t.Errorf("keys %v: the first three are attempts of one message, the fourth is another", register.keys)
		}
		edge.replicas.CloseAll()
	})
}
