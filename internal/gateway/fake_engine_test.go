package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/sloelift/sloelift/internal/engine"
)

// fakeEngine answers every prompt with the same tokens, over the engine protocol. Its runs advance
// as they are read; hold can block them at each token, once for all readers of a run.
type fakeEngine struct {
	server *httptest.Server
	tokens int
	// token returns the text of one token.
	token func(index int) string

	mutex   sync.Mutex
	started map[string]bool
	cancels map[string]bool
	// hold, if set, is received from before each token is generated.
	hold chan struct{}
	runs map[string]*fakeRun
	// pace is the time between tokens, for benchmarks.
	pace time.Duration
	// refuse makes the engine answer every new run with 429 and X-Not-Run.
	refuse bool
	// cutAt is the token before which the connection is closed, once; 0 means never.
	cutAt int
}

// fakeRun counts the tokens generated; changed is closed and replaced with each.
type fakeRun struct {
	generated int
	changed   chan struct{}
}

func newFakeEngine(t testing.TB, tokens int) *fakeEngine {
	e := &fakeEngine{
		tokens: tokens, started: map[string]bool{}, cancels: map[string]bool{}, runs: map[string]*fakeRun{},
		token: func(index int) string { return "t" + strconv.Itoa(index) + " " },
	}
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", e.generate)
	router.HandleFunc("/v1/completions", e.generate)
	router.HandleFunc("/v1/requests/{id}", e.cancel).Methods(http.MethodDelete)
	e.server = httptest.NewServer(router)
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *fakeEngine) endpoint(replica string) engine.Endpoint {
	return engine.Endpoint{Replica: replica, Address: netip.MustParseAddrPort(e.server.Listener.Addr().String())}
}

func (e *fakeEngine) text(from int) string {
	var text strings.Builder
	for index := from; index < e.tokens; index++ {
		text.WriteString(e.token(index))
	}
	return text.String()
}

func (e *fakeEngine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cancels[mux.Vars(r)["id"]] = true
	fmt.Fprint(w, `{"state":"cancelled"}`)
}

func (e *fakeEngine) cancelled(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.cancels[id]
}

func (e *fakeEngine) starts() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.started)
}

// open records the run; it returns false if the request was refused.
func (e *fakeEngine) open(w http.ResponseWriter, r *http.Request) bool {
	id := r.Header.Get(engine.HeaderRequestID)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	switch {
	case r.Header.Get(engine.HeaderAttachOnly) == "true" && !e.started[id]:
		http.Error(w, "no such run", http.StatusNotFound)
		return false
	case e.refuse && !e.started[id]:
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "full", http.StatusTooManyRequests)
		return false
	}
	e.started[id] = true
	if e.runs[id] == nil {
		e.runs[id] = &fakeRun{changed: make(chan struct{})}
	}
	return true
}

func (e *fakeEngine) generate(w http.ResponseWriter, r *http.Request) {
	var body struct{ Stream bool }
	if json.NewDecoder(r.Body).Decode(&body) != nil || !body.Stream {
		http.Error(w, "stream must be true", http.StatusBadRequest)
		return
	}
	if !e.open(w, r) {
		return
	}
	offset, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for index := offset; index < e.tokens; index++ {
		if e.hold != nil && !e.awaitToken(r, index) {
			return
		}
		if e.pace > 0 {
			time.Sleep(e.pace)
		}
		if e.takeCut(index) {
			panic(http.ErrAbortHandler)
		}
		e.event(w, r, index)
		if flusher.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// awaitToken waits until the token is generated for this or another reader of the run; it returns
// false if the reader has disconnected.
func (e *fakeEngine) awaitToken(r *http.Request, index int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	run := e.runs[r.Header.Get(engine.HeaderRequestID)]
	for run.generated <= index {
		changed := run.changed
		e.mutex.Unlock()
		released := false
		select {
		case <-e.hold:
			released = true
		case <-changed:
		case <-r.Context().Done():
		}
		e.mutex.Lock()
		if released {
			run.generated++
			close(run.changed)
			run.changed = make(chan struct{})
		} else if r.Context().Err() != nil {
			return false
		}
	}
	return true
}

func (e *fakeEngine) takeCut(index int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.cutAt == 0 || index != e.cutAt {
		return false
	}
	e.cutAt = 0
	return true
}

func (e *fakeEngine) event(w http.ResponseWriter, r *http.Request, index int) {
	text, _ := json.Marshal(e.token(index))
	content := `"text":` + string(text)
	if r.URL.Path == string(engine.OperationChat) {
		content = `"delta":{"content":` + string(text) + `}`
	}
	end := "null}]}"
	if index == e.tokens-1 {
		end = fmt.Sprintf(`"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":2}}}`, e.tokens)
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{%s,\"finish_reason\":%s\n\n", index+1, r.Header.Get(engine.HeaderRequestID), content, end)
}
