package roles

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	wire "github.com/sloelift/sloelift/platform"
)

const (
	// patience is how long a caller waits for an answer, retries is how often it comes back.
	patience = 5 * time.Second
	retries  = 1
	// pauseBeforeRetry is waited where the answer names no time.
	pauseBeforeRetry = 100 * time.Millisecond
)

// onlineAttempt is one request of a caller as it went.
type onlineAttempt struct {
	id   string
	path string
	// mark is that of the work.
	mark string
	// edge is the machine that got it; status is 0 where no answer came.
	edge   string
	status int
	// whole says that the answer came to its end; fault is what was wrong with it.
	whole bool
	fault string
}

// callers are all callers of a run. It is safe for concurrent use.
type callers struct {
	fleet *fleet
	// keeping keeps connections, fresh makes one for each request.
	keeping, fresh *http.Client

	// mutex guards all below.
	mutex    sync.Mutex
	random   *rand.Rand
	attempts []*onlineAttempt
	sent     int
	served   int
	jobs     []*job
	// crashing are the requests that crash each replica on which they run; they do not change.
	crashing []work
}

func newCallers(of *fleet, seed uint64) *callers {
	return &callers{
		fleet: of, random: rand.New(rand.NewPCG(seed, 0xca11)), crashing: newCrashingWorks(rand.New(rand.NewPCG(seed, 0xc4a5)), of.options.CrashingRequests),
		keeping: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		fresh:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

func (c *callers) close() { c.keeping.CloseIdleConnections() }

// draw uses the random numbers, which are shared.
func draw[Value any](c *callers, from func(random *rand.Rand) Value) Value {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return from(c.random)
}

// every calls begin at random times, on average perSecond, until ctx ends, and returns once all that it began has ended.
func (c *callers) every(ctx context.Context, perSecond float64, begin func()) {
	var begun sync.WaitGroup
	for perSecond > 0 && ctx.Err() == nil {
		wait := draw(c, func(random *rand.Rand) float64 { return random.ExpFloat64() / perSecond })
		pause.Sleep(ctx, time.Duration(wait*float64(time.Second)))
		if ctx.Err() == nil {
			begun.Go(begin)
		}
	}
	begun.Wait()
}

// onlinePaths are drawn with these weights.
var onlinePaths = []string{pathAsk, pathAsk, pathAsk, pathAsk, pathAsk, pathDigest, pathLook, pathChange}

// ask makes one request and its retries. Callers that have an open connection use it on until it ends.
func (c *callers) ask(ctx context.Context) {
	path := draw(c, func(random *rand.Rand) string { return onlinePaths[random.IntN(len(onlinePaths))] })
	asked := draw(c, func(random *rand.Rand) work { return work{Events: 3 + random.IntN(18), Mark: newID(random)} })
	deadline := time.Now().Add(patience)
	c.note(func() { c.sent++ })
	for try := 0; try <= retries; try++ {
		client := c.fresh
		if try == 0 && draw(c, func(random *rand.Rand) bool { return random.IntN(2) == 0 }) {
			client = c.keeping
		}
		went, after := c.attempt(ctx, client, path, asked, deadline)
		if went.whole && went.status == http.StatusOK {
			c.note(func() { c.served++ })
			return
		}
		if !mayComeBack(path, went.status) || time.Until(deadline) < after {
			return
		}
		pause.Sleep(ctx, after)
	}
}

// promises are the statuses that say that the request has not run and never will.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func mayComeBack(path string, status int) bool {
	return promises(status) || path == pathLook && status != http.StatusOK
}

// attempt makes one request to one edge and judges its answer; after is when to come back.
func (c *callers) attempt(ctx context.Context, client *http.Client, path string, asked work, deadline time.Time) (went *onlineAttempt, after time.Duration) {
	edge := draw(c, c.fleet.ready.pick)
	went = &onlineAttempt{id: draw(c, newID), path: path, mark: asked.Mark, edge: edge.name}
	c.note(func() { c.attempts = append(c.attempts, went) })
	bounded, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, "http://"+edge.at(portCallers).String()+path+"1", bytes.NewReader(asked.encode()))
	if err != nil {
		panic("make a request: " + err.Error())
	}
	request.Host = hostOnline
	request.Header.Set(wire.Headers.RequestID, went.id)
	request.Header.Set(wire.Headers.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if asked.EndsReplicaAt > 0 {
		request.Header.Set(wire.Headers.PromptParts, c.promptParts())
	}
	isStream := path == pathAsk || path == pathDigest
	if !isStream {
		request.Header.Set("Accept", acceptWhole)
	}
	answer, err := client.Do(request)
	if err != nil {
		return went, pauseBeforeRetry
	}
	defer answer.Body.Close()
	went.status = answer.StatusCode
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		after = min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3)
	}
	if answer.StatusCode != http.StatusOK {
		_, err = io.Copy(io.Discard, answer.Body)
		went.whole = err == nil
		return went, after
	}
	if got := answer.Header.Get(wire.Headers.Signature); !strings.HasSuffix(got, "."+went.id) {
		went.fault = fmt.Sprintf("the answer is signed %q", got)
	}
	if isStream {
		c.readStream(answer.Body, asked, went)
	} else {
		c.readWhole(answer.Body, asked, went)
	}
	return went, after
}

func (c *callers) readWhole(body io.Reader, asked work, went *onlineAttempt) {
	content, err := io.ReadAll(body)
	went.whole = err == nil
	if went.whole && string(content) != asked.text() {
		went.fault = "the answer is not that to the request"
	}
}

// readStream reads events and checks that each comes once, in order and whole.
func (c *callers) readStream(body io.Reader, asked work, went *onlineAttempt) {
	lines := bufio.NewScanner(body)
	number := 0
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			next, err := strconv.Atoi(value)
			if err != nil || next != number+1 {
				went.fault = fmt.Sprintf("event %q follows event %d", value, number)
				return
			}
			number = next
		case "data":
			if value != asked.event(number) {
				went.fault = fmt.Sprintf("event %d is not that of the request", number)
				return
			}
		}
	}
	went.whole = lines.Err() == nil
	if went.whole && number < asked.Events {
		went.fault = fmt.Sprintf("the stream ends as whole after %d of %d events", number, asked.Events)
	}
}

func (c *callers) note(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}
