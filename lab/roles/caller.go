package roles

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// callerTimeout is the caller's deadline for a request including its retries; maxRetries is the maximum number of retries.
	callerTimeout = 5 * time.Second
	maxRetries    = 1
	// defaultRetryDelay is used if the attempt got no response.
	defaultRetryDelay = 100 * time.Millisecond
	// minStreamEvents and defaultMaxStreamEvents bound the number of events of an online stream.
	minStreamEvents        = 3
	defaultMaxStreamEvents = 20
	// uploadEvery is the number of online requests of which one is long, where long ones are sent.
	uploadEvery = 4
	// maxUploadBytes is the maximum length of a long request, with room for the rest of its body.
	maxUploadBytes = maxWorkBytes - 1<<10
)

// onlineAttempt is one HTTP request of a caller and its result.
type onlineAttempt struct {
	id   string
	path string
	// mark is the mark of the request's work.
	mark string
	// edge is the machine that the request was sent to; status is 0 if there was no response.
	edge   string
	status int
	// complete is set if the response was read to its end; violation describes what was wrong with its content.
	complete  bool
	violation string
	// stream is nil for requests whose answer is not a stream.
	stream *streamAttempt
}

// callers simulates all callers of a run. It is safe for concurrent use.
type callers struct {
	fleet *fleet
	// reusing reuses connections; fresh opens a new one for each request.
	reusing, fresh *http.Client

	// mutex guards the fields below.
	mutex    sync.Mutex
	random   *rand.Rand
	attempts []*onlineAttempt
	sent     int
	served   int
	jobs     []*job
	// crashing holds the requests that crash every replica that runs them; it is read-only after newCallers.
	crashing []work
}

func newCallers(deployed *fleet, seed uint64) *callers {
	return &callers{
		fleet:    deployed,
		random:   rand.New(rand.NewPCG(seed, 0xca11)),
		crashing: newCrashingRequests(rand.New(rand.NewPCG(seed, 0xc4a5)), deployed.options.CrashingRequests),
		reusing:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		fresh:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *callers) close() { c.reusing.CloseIdleConnections() }

// draw calls sample with the shared random source while holding the mutex.
func draw[Value any](c *callers, sample func(random *rand.Rand) Value) Value {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return sample(c.random)
}

// startAtRate calls start in new goroutines, as a Poisson process with a mean rate of perSecond, until ctx ends. It waits for all of them.
func (c *callers) startAtRate(ctx context.Context, perSecond float64, start func()) {
	var started sync.WaitGroup
	for perSecond > 0 && ctx.Err() == nil {
		wait := draw(c, func(random *rand.Rand) float64 { return random.ExpFloat64() / perSecond })
		pause.Sleep(ctx, time.Duration(wait*float64(time.Second)))
		if ctx.Err() == nil {
			started.Go(start)
		}
	}
	started.Wait()
}

// onlinePaths are the paths that online requests are drawn from; repeated paths have a higher weight.
var onlinePaths = []string{pathAsk, pathAsk, pathAsk, pathAsk, pathAsk, pathDigest, pathLook, pathChange}

// sendOnline sends one random online request and its retries. Half of the first attempts reuse a connection.
func (c *callers) sendOnline(ctx context.Context) {
	path := draw(c, func(random *rand.Rand) string { return onlinePaths[random.IntN(len(onlinePaths))] })
	payload := draw(c, c.newWork)
	deadline := time.Now().Add(callerTimeout)
	c.update(func() { c.sent++ })
	read := &streamRead{}
	for try := 0; ; try++ {
		client := c.fresh
		if try == 0 && draw(c, func(random *rand.Rand) bool { return random.IntN(2) == 0 }) {
			client = c.reusing
		}
		sent, retryAfter := c.attempt(ctx, client, path, payload, deadline, read)
		if sent.complete && sent.status == http.StatusOK {
			c.update(func() { c.served++ })
			return
		}
		if !mayTryAgain(sent, read, try) || time.Until(deadline) <= retryAfter {
			return
		}
		pause.Sleep(ctx, retryAfter)
	}
}

// newWork draws the body of an online request.
func (c *callers) newWork(random *rand.Rand) work {
	events := minStreamEvents + random.IntN(cmp.Or(c.fleet.options.StreamEvents, defaultMaxStreamEvents)-minStreamEvents+1)
	drawn := work{Events: events, Mark: newID(random)}
	if bytes := c.fleet.options.UploadBytes; bytes > 0 && random.IntN(uploadEvery) == 0 {
		drawn.Padding = strings.Repeat("p", bytes)
	}
	return drawn
}

// mayTryAgain reports whether the caller makes another attempt after try others: it takes up a stream that has begun, and sends any other
// request again if it may be repeated.
func mayTryAgain(sent *onlineAttempt, read *streamRead, try int) bool {
	if sent.path == pathAsk && read.began() {
		return try < maxTakeUps
	}
	return try < maxRetries && mayRetry(sent.path, sent.status)
}

// guaranteesNotRun reports whether status guarantees that the request has not run and will not run.
func guaranteesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// mayRetry reports whether a caller may retry a request to path that ended with status.
func mayRetry(path string, status int) bool {
	return guaranteesNotRun(status) || path == pathLook && status != http.StatusOK
}

// attempt sends one request to a random edge and checks its response; retryAfter is the delay before a retry.
func (c *callers) attempt(
	ctx context.Context, client *http.Client, path string, payload work, deadline time.Time, read *streamRead,
) (sent *onlineAttempt, retryAfter time.Duration) {
	edge := draw(c, c.fleet.ready.pick)
	sent = &onlineAttempt{id: draw(c, newID), path: path, mark: payload.Mark, edge: edge.name}
	isStream := path == pathAsk || path == pathDigest
	breakOffAfter := 0
	if isStream {
		sent.stream = read.newAttempt()
		defer sent.stream.end(c.fleet.versionServes(read.version), c.fleet.versionServes)
	}
	if path == pathAsk {
		breakOffAfter = c.drawBreakOff(payload, read)
	}
	c.update(func() { c.attempts = append(c.attempts, sent) })
	bounded, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := c.newRequest(bounded, edge, sent, payload, deadline)
	read.addTo(request.Header)
	response, err := client.Do(request)
	if err != nil {
		return sent, defaultRetryDelay
	}
	defer response.Body.Close()
	sent.status = response.StatusCode
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3)
	}
	if response.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, response.Body)
		sent.complete = err == nil
		return sent, retryAfter
	}
	if got := response.Header.Get(wire.Headers.Signature); !strings.HasSuffix(got, "."+sent.id) {
		sent.violation = fmt.Sprintf("the answer is signed %q", got)
	}
	if isStream {
		c.readStream(response.Body, payload, sent, read, breakOffAfter)
	} else {
		c.readWhole(response.Body, payload, sent)
	}
	return sent, retryAfter
}

// newRequest returns the HTTP request of an attempt.
func (c *callers) newRequest(ctx context.Context, edge *machine, sent *onlineAttempt, payload work, deadline time.Time) *http.Request {
	target := "http://" + edge.address(portCallers).String() + sent.path + "1"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(payload.encode()))
	if err != nil {
		panic("create online request: " + err.Error())
	}
	request.Host = hostOnline
	request.Header.Set(wire.Headers.RequestID, sent.id)
	request.Header.Set(wire.Headers.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if payload.EndsReplicaAt > 0 {
		request.Header.Set(wire.Headers.PromptParts, c.promptParts())
	}
	if sent.stream == nil {
		request.Header.Set("Accept", acceptWhole)
	}
	return request
}

// drawBreakOff draws after how many events of an attempt the caller closes the connection, 0 for never.
func (c *callers) drawBreakOff(payload work, read *streamRead) int {
	left := payload.Events - read.lastEvent
	if left < 2 || c.fleet.options.BreakOffs == 0 {
		return 0
	}
	return draw(c, func(random *rand.Rand) int {
		if random.Float64() >= c.fleet.options.BreakOffs {
			return 0
		}
		return 1 + random.IntN(left-1)
	})
}

func (c *callers) readWhole(body io.Reader, payload work, sent *onlineAttempt) {
	content, err := io.ReadAll(body)
	sent.complete = err == nil
	if sent.complete && !slices.ContainsFunc(c.fleet.options.versions(), func(version string) bool { return string(content) == payload.text(version) }) {
		sent.violation = "the answer is not that to the request"
	}
}

func (c *callers) update(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}
