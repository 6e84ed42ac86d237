package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/sloelift/sloelift/internal/network"
)

const chatStream = `{"model":"clerk","stream":true,"messages":[{"role":"user","content":"x"}]%s}`

// openStream sends a streamed chat request and returns the answer.
func openStream(t *testing.T, node *testNode, key, extraFields string, headers ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, node.url+"/v1/chat/completions",
		strings.NewReader(fmt.Sprintf(chatStream, extraFields)))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// readEvents reads count events, or all if count is 0, and returns their text and last id. complete is
// true if the end of the answer was read.
func readEvents(t *testing.T, events *bufio.Reader, count int) (text, lastID string, complete bool) {
	t.Helper()
	var read strings.Builder
	for seen := 0; count == 0 || seen < count; {
		line, err := events.ReadString('\n')
		if err != nil {
			return read.String(), lastID, false
		}
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return read.String(), lastID, true
		}
		seen++
		read.WriteString(chunkText(t, data))
	}
	return read.String(), lastID, false
}

func chunkText(t *testing.T, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   *struct{ Message string }
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Error != nil {
		t.Fatal(data, err)
	}
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func (e *fakeEngine) release(tokens int) {
	for range tokens {
		e.hold <- struct{}{}
	}
}

// TestReconnectToAnotherNode checks that a caller which lost its connection can resume the stream at
// another node, and that another tenant cannot.
func TestReconnectToAnotherNode(t *testing.T) {
	fake := newFakeEngine(t, 8)
	fake.hold = make(chan struct{})
	cluster := newTestCluster(fake)
	first, second := cluster.start(t), cluster.start(t)
	response := make(chan *http.Response, 1)
	go func() { response <- openStream(t, first, registryKey, "", headerReconnect, "true") }()
	fake.release(3)
	lost := <-response
	head, lastID, _ := readEvents(t, bufio.NewReader(lost.Body), 3)
	lost.Body.Close()

	if refused := openStream(t, second, tidewaterKey, "", headerLastEventID, lastID); refused.StatusCode != http.StatusBadRequest {
		t.Fatal("another tenant got", refused.Status)
	}
	go func() { response <- openStream(t, second, registryKey, "", headerLastEventID, lastID) }()
	fake.release(5)
	tail, _, complete := readEvents(t, bufio.NewReader((<-response).Body), 0)
	if !complete || head+tail != fake.text(0) || fake.starts() != 1 {
		t.Fatalf("%q + %q, whole %t, %d starts", head, tail, complete, fake.starts())
	}
}

// TestReconnectAfterTheEngineIsGone checks that a stream whose engine died is resumed on another
// engine with the text that the caller sends.
func TestReconnectAfterTheEngineIsGone(t *testing.T) {
	dead, fake := newFakeEngine(t, 8), newFakeEngine(t, 8)
	cluster := newTestCluster(dead, fake)
	node := cluster.start(t)
	first := openStream(t, node, registryKey, "", headerReconnect, "true")
	head, lastID, _ := readEvents(t, bufio.NewReader(first.Body), 3)
	first.Body.Close()
	dead.server.CloseClientConnections()
	dead.server.Close()
	prior, _ := json.Marshal(head)
	again := openStream(t, node, registryKey, `,"resume":{"text":`+string(prior)+`}`, headerLastEventID, lastID)
	tail, _, complete := readEvents(t, bufio.NewReader(again.Body), 0)
	if !complete || head+tail != fake.text(0) {
		t.Fatalf("%q + %q, whole %t", head, tail, complete)
	}
}

func TestCallerThatGoesAwayCancelsTheRun(t *testing.T) {
	fake := newFakeEngine(t, 8)
	fake.hold = make(chan struct{})
	node := newTestCluster(fake).start(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	var seen http.Header
	go func() {
		client := clientOf(node, registryKey)
		stream := client.Chat.Completions.NewStreaming(ctx, chatOf("clerk"), option.WithMiddleware(
			func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
				response, err := next(r)
				if err == nil {
					seen = response.Header
				}
				return response, err
			}))
		stream.Next()
		cancel()
		ended <- stream.Close()
	}()
	fake.release(1)
	<-ended
	// Draining waits until the gateway's handler has ended.
	if err := node.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	node.runner.Wait()
	if !fake.cancelled(seen.Get(headerRequestID)) {
		t.Fatal("the run was not cancelled")
	}
}

// TestSlowReader has an answer larger than all buffers, and a caller that reads nothing until the
// engine has generated a large part of it. The caller must get the whole answer in order.
func TestSlowReader(t *testing.T) {
	const tokens, tokenBytes = 6_000, 1000
	fake := newFakeEngine(t, tokens)
	fake.token = func(index int) string { return fmt.Sprintf("%0*d", tokenBytes, index) }
	fake.hold = make(chan struct{})
	node := newTestCluster(fake).start(t)
	response := make(chan *http.Response, 1)
	go func() { response <- openStream(t, node, registryKey, "") }()
	fake.release(1)
	opened := <-response
	// The gateway reads from the engine while the caller reads nothing: these tokens are within
	// maxQueuedBytes.
	fake.release(maxQueuedBytes / tokenBytes / 2)
	go func() {
		for range tokens - 1 - maxQueuedBytes/tokenBytes/2 {
			fake.hold <- struct{}{}
		}
	}()
	events := bufio.NewReader(opened.Body)
	text, _, complete := readEvents(t, events, 0)
	if !complete || text != fake.text(0) {
		t.Fatalf("%d bytes of %d, whole %t", len(text), tokens*tokenBytes, complete)
	}
}

// TestDrainCutsNothing drains a node while a stream runs: new requests are rejected, and the stream
// completes.
func TestDrainCutsNothing(t *testing.T) {
	fake := newFakeEngine(t, 8)
	fake.hold = make(chan struct{})
	node := newTestCluster(fake).start(t)
	response := make(chan *http.Response, 1)
	go func() { response <- openStream(t, node, registryKey, "") }()
	fake.release(1)
	running := <-response
	drained := make(chan error, 1)
	node.drain.start()
	go func() { drained <- node.Drain(t.Context()) }()

	refused := openStream(t, node, registryKey, "")
	body, _ := io.ReadAll(refused.Body)
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Retry-After") != "1" ||
		!strings.Contains(string(body), `"code":"leaving","outcome":"not_run"`) {
		t.Fatal(refused.Status, string(body))
	}
	ready, err := http.Get(node.url + "/readyz")
	if err != nil || ready.StatusCode != http.StatusServiceUnavailable || node.Ready() {
		t.Fatal(ready, err)
	}
	ready.Body.Close()
	select {
	case <-drained:
		t.Fatal("drained while a stream runs")
	default:
	}
	fake.release(7)
	if text, _, complete := readEvents(t, bufio.NewReader(running.Body), 0); !complete || text != fake.text(0) {
		t.Fatal(text)
	}
	if err := <-drained; err != nil {
		t.Fatal(err)
	}
}

func TestDrainEndsWithItsContext(t *testing.T) {
	fake := newFakeEngine(t, 8)
	fake.hold = make(chan struct{})
	node := newTestCluster(fake).start(t)
	response := make(chan *http.Response, 1)
	go func() { response <- openStream(t, node, registryKey, "") }()
	fake.release(1)
	running := <-response
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := node.Drain(ended); err == nil {
		t.Fatal("drained while a stream runs")
	}
	running.Body.Close()
}

func TestConnectionsAreBounded(t *testing.T) {
	cluster := newTestCluster()
	cluster.limits.MaxConnections = 1
	node := cluster.start(t)
	first, err := net.Dial("tcp", node.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	// The first connection certainly has its slot once it got an answer.
	if _, err := io.WriteString(first, "GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || answer.StatusCode != http.StatusOK {
		t.Fatal(answer, err)
	}
	second, err := net.Dial("tcp", node.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	answer, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(answer, err)
	}
	if body, _ := io.ReadAll(answer.Body); !strings.Contains(string(body), `"outcome":"not_run"`) {
		t.Fatal(string(body))
	}
}

// TestNotRepeatableByHTTP sends a non-repeatable request twice; it runs once, and both callers get
// its answer.
func TestNotRepeatableByHTTP(t *testing.T) {
	fake := newFakeEngine(t, 5)
	client := clientOf(newTestCluster(fake).start(t), registryKey,
		option.WithHeader(headerNotRepeatable, "true"), option.WithHeader(headerIdempotencyKey, "certificate-17"))
	var answers []*openai.ChatCompletion
	for range 2 {
		answer, err := client.Chat.Completions.New(t.Context(), chatOf("clerk"))
		if err != nil || answer.Choices[0].Message.Content != fake.text(0) {
			t.Fatal(answer, err)
		}
		answers = append(answers, answer)
	}
	if fake.starts() != 1 || answers[0].ID == answers[1].ID {
		t.Fatal(fake.starts(), "starts")
	}
}

func TestConnectionsEndWithTheNodesNetwork(t *testing.T) {
	severable := network.NewSeverable(network.System{})
	cluster := newTestCluster()
	cluster.network = severable
	node := cluster.start(t)
	connection, err := net.Dial("tcp", node.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	severable.Sever()
	if _, err := connection.Read(make([]byte, 1)); err == nil {
		t.Fatal("a severed node wrote to its caller")
	}
	if _, err := net.Dial("tcp", node.Address().String()); err == nil {
		t.Fatal("a severed node accepted a connection")
	}
}
