package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	modelengine "github.com/sloelift/sloelift/internal/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEngine(t *testing.T, change func(*Options)) *Engine {
	t.Helper()
	options := DefaultOptions("replica-1", time.Millisecond)
	if change != nil {
		change(&options)
	}
	started := New(options)
	if err := started.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		started.Kill()
		http.DefaultClient.CloseIdleConnections()
	})
	return started
}

// call sends a request and returns status, headers and body.
func call(t *testing.T, e *Engine, method, path, body string, headers ...string) (int, http.Header, string) {
	t.Helper()
	response := open(t, e, method, path, body, headers...)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, string(content)
}

func open(t *testing.T, e *Engine, method, path, body string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Address().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// textOf joins the text of a completion stream and returns the last finish reason.
func textOf(t *testing.T, stream string) (text, finish string) {
	t.Helper()
	scanner := bufio.NewScanner(strings.NewReader(stream))
	for scanner.Scan() {
		data, found := strings.CutPrefix(scanner.Text(), "data: ")
		if !found || data == "[DONE]" {
			continue
		}
		var chunk streamChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		text += *chunk.Choices[0].Text
		if chunk.Choices[0].FinishReason != nil {
			finish = *chunk.Choices[0].FinishReason
		}
	}
	return text, finish
}

const completions = "/v1/completions"

func TestStreamIsTheWholeAnswer(t *testing.T) {
	e := startEngine(t, nil)
	status, _, stream := call(t, e, "POST", completions, `{"model":"m","prompt":"hello","max_tokens":20}`, headerRequestID, "a")
	text, _ := textOf(t, stream)
	want := AnswerTo("hello", 20)
	if status != http.StatusOK || text != want.FullText() {
		t.Fatalf("status %d, text %q, want %q", status, text, want.FullText())
	}
	if !strings.Contains(stream, fmt.Sprintf("id: %d\n", want.Tokens)) || !strings.HasSuffix(stream, "data: [DONE]\n\n") {
		t.Fatalf("stream has no last id or no end: %s", stream)
	}
	record := e.Log().Records()["hello"]
	if record.Starts != 1 || record.Finished != 1 || record.Decoded != want.Tokens {
		t.Fatalf("log: %+v", record)
	}
}

func TestSecondRequestAttachesToTheRun(t *testing.T) {
	e := startEngine(t, nil)
	body := `{"model":"m","prompt":"hello","max_tokens":20}`
	call(t, e, "POST", completions, body, headerRequestID, "a")
	_, _, stream := call(t, e, "POST", completions, body, headerRequestID, "a", headerResumeOffset, "5")
	want := AnswerTo("hello", 20)
	if text, _ := textOf(t, stream); text != want.Text(5, want.Tokens) {
		t.Fatalf("text %q", text)
	}
	if starts := e.Log().Records()["hello"].Starts; starts != 1 {
		t.Fatalf("started %d times", starts)
	}
	status, _, _ := call(t, e, "POST", completions, body, headerRequestID, "b", headerAttachOnly, "true")
	if status != http.StatusNotFound {
		t.Fatalf("attach to an unknown run: %d", status)
	}
}

func TestResumeOnAnotherEngineComputesNoTokenTwice(t *testing.T) {
	e := startEngine(t, nil)
	want := AnswerTo("hello", 20)
	resume, _ := json.Marshal(want.Text(0, 7))
	body := fmt.Sprintf(`{"model":"m","prompt":"hello","max_tokens":20,"resume":{"offset":7,"text":%s}}`, resume)
	_, _, stream := call(t, e, "POST", completions, body, headerRequestID, "a", headerResumeOffset, "7")
	if text, _ := textOf(t, stream); text != want.Text(7, want.Tokens) {
		t.Fatalf("text %q", text)
	}
	if record := e.Log().Records()["hello"]; record.Decoded != want.Tokens-7 || record.ResumeMismatches != 0 {
		t.Fatalf("log: %+v", record)
	}
}

// firstEvent reads a stream up to its first token.
func firstEvent(t *testing.T, response *http.Response) {
	t.Helper()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "id: ") {
		t.Fatalf("line %q, error %v", line, err)
	}
}

func TestCancelAndRevive(t *testing.T) {
	e := startEngine(t, func(options *Options) { options.StepBase = 5 * time.Millisecond })
	body := `{"model":"m","prompt":"hello","max_tokens":400}`
	response := open(t, e, "POST", completions, body, headerRequestID, "a", headerPriority, "900")
	defer response.Body.Close()
	firstEvent(t, response)
	_, _, answer := call(t, e, "DELETE", "/v1/requests/a", "")
	var cancelled runStatus
	if err := json.Unmarshal([]byte(answer), &cancelled); err != nil || cancelled.State != stateCancelled {
		t.Fatalf("cancel: %s", answer)
	}
	want := AnswerTo("hello", 400)
	_, _, stream := call(t, e, "POST", completions, body, headerRequestID, "a")
	text, finish := textOf(t, stream)
	if finish != finishCancelled || text != want.Text(0, cancelled.Offset) {
		t.Fatalf("attached to a cancelled run: finish %q, text %q", finish, text)
	}
	e.Slow(0.01)
	prior, _ := json.Marshal(want.Text(0, cancelled.Offset))
	revive := fmt.Sprintf(`{"model":"m","prompt":"hello","max_tokens":400,"resume":{"offset":%d,"text":%s}}`, cancelled.Offset, prior)
	_, _, stream = call(t, e, "POST", completions, revive, headerRequestID, "a", headerResumeOffset, fmt.Sprint(cancelled.Offset))
	if text, _ := textOf(t, stream); text != want.Text(cancelled.Offset, want.Tokens) {
		t.Fatalf("revived run made %q", text)
	}
	if record := e.Log().Records()["hello"]; record.Decoded != want.Tokens || record.FreshStarts != 1 {
		t.Fatalf("log: %+v", record)
	}
}

func TestLeavingRefusesNewRunsOnly(t *testing.T) {
	e := startEngine(t, nil)
	body := `{"model":"m","prompt":"hello","max_tokens":20}`
	call(t, e, "POST", completions, body, headerRequestID, "a")
	e.Leave()
	status, _, _ := call(t, e, "POST", completions, body, headerRequestID, "a")
	if status != http.StatusOK {
		t.Fatalf("attach while leaving: %d", status)
	}
	status, header, _ := call(t, e, "POST", completions, body, headerRequestID, "b")
	if status != http.StatusServiceUnavailable || header.Get(headerNotRun) != "true" {
		t.Fatalf("new run while leaving: %d, %v", status, header)
	}
}

func TestKillLosesStateAndCutsStreams(t *testing.T) {
	e := startEngine(t, func(options *Options) { options.StepBase = 5 * time.Millisecond })
	response := open(t, e, "POST", completions, `{"model":"m","prompt":"hello","max_tokens":400}`, headerRequestID, "a", headerPriority, "900")
	defer response.Body.Close()
	firstEvent(t, response)
	e.Kill()
	content, err := io.ReadAll(response.Body)
	if err == nil && bytes.Contains(content, []byte("[DONE]")) {
		t.Fatal("the stream of a killed engine ended as if complete")
	}
	if err := e.Start(""); err != nil {
		t.Fatal(err)
	}
	status, _, _ := call(t, e, "GET", "/v1/requests/a", "")
	if status != http.StatusNotFound {
		t.Fatalf("a killed engine still knows the run: %d", status)
	}
}

func TestOrdersAreFenced(t *testing.T) {
	e := startEngine(t, func(options *Options) {
		options.Models = []modelengine.LoadedModel{{Model: "m", Version: "1", State: modelReady}}
	})
	order := func(fence int, kind, rest string) int {
		status, _, _ := call(t, e, "POST", "/orders", fmt.Sprintf(`{"fence":%d,"kind":%q,%s}`, fence, kind, rest))
		return status
	}
	if status := order(5, "unload_model", `"model":"m"`); status != http.StatusOK {
		t.Fatalf("order: %d", status)
	}
	if status := order(4, "load_model", `"model":"m","version":"1"`); status != http.StatusConflict {
		t.Fatalf("stale order: %d", status)
	}
	status, header, _ := call(t, e, "POST", completions, `{"model":"m","prompt":"hello"}`, headerRequestID, "a")
	if status != http.StatusNotFound || header.Get(headerNotRun) != "true" {
		t.Fatalf("unloaded model: %d", status)
	}
}

func TestCacheIsSharedBoundedAndPublished(t *testing.T) {
	e := startEngine(t, func(options *Options) { options.CacheEventLag, options.CacheBlocks = 0, 8 })
	prompt := strings.Repeat("x", 6*modelengine.PrefixBlockBytes)
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":4}`, prompt)
	call(t, e, "POST", completions, body, headerRequestID, "a")
	_, _, stream := call(t, e, "POST", completions, body, headerRequestID, "b")
	if !strings.Contains(stream, `"cached_tokens":96`) {
		t.Fatalf("no cached tokens in %s", stream)
	}
	other := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":4}`, strings.Repeat("y", 6*modelengine.PrefixBlockBytes))
	call(t, e, "POST", completions, other, headerRequestID, "c")
	_, _, content := call(t, e, "GET", "/cache/events?from=0", "")
	var page modelengine.CacheEvents
	if err := json.Unmarshal([]byte(content), &page); err != nil {
		t.Fatal(err)
	}
	held := 0
	for _, event := range page.Events {
		switch event.Kind {
		case eventStored:
			held += len(event.Blocks)
		case eventEvicted:
			held -= len(event.Blocks)
		}
	}
	if held != 8 {
		t.Fatalf("events leave %d blocks, want 8", held)
	}
}
