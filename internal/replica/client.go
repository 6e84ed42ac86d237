package replica

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/network"
)

// Headers names the headers that callers, this system and replicas use with each other.
type Headers struct {
	RequestID      string
	Deadline       string
	ExpectInstance string
	NotRun         string
	Signature      string
	Load           string
	LastEventID    string
	PromptParts    string
	Wait           string
	// APIKey is what a caller proves itself with; replicas never get it. Tenant names the tenant that holds it, to replicas.
	APIKey string
	Tenant string
	// ColdFor says, in a replica's answers, how many ms longer it stays cold.
	ColdFor string
}

// ErrNotSent says that no byte of the request reached the replica.
var ErrNotSent = errors.New("request was not sent")

const (
	// connectTimeout bounds the making of a connection where the call names no time.
	connectTimeout = time.Second
	// pathTrusted is how long an answer from a replica's zone shows that kept connections there still lead to it. Behind a link that was cut
	// since, a request that may not be repeated is lost on one; a new connection shows it before anything is sent.
	pathTrusted = 500 * time.Millisecond
	// maxStrayAnswers bounds the answers to earlier requests that are passed over on one connection.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
	// maxInformational bounds the interim answers before the final one.
	maxInformational = 8
)

// Call is one request to a replica. Header is not changed.
type Call struct {
	Method string
	// Target is the request's path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is what the answer must carry.
	RequestID string
	// Fresh asks for a new connection in place of a kept one.
	Fresh bool
	// ConnectWithin bounds the making of a connection; 0 stands for connectTimeout.
	ConnectWithin time.Duration
	// AdmittedAt is when the request was counted against what a cold replica can take; zero stands for the time of the call.
	AdmittedAt time.Time
}

// Client calls replicas. It is safe for concurrent use.
type Client struct {
	network network.Network
	headers Headers
}

// NewClient returns a Client.
func NewClient(via network.Network, headers Headers) *Client {
	return &Client{network: via, headers: headers}
}

// Headers returns the names in use.
func (c *Client) Headers() Headers { return c.headers }

// Answer is the head of a replica's answer; its body is read from Body. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes; -1 where the answer does not name it.
	Length int64
	// Framed says that the body's end is known without the end of the connection.
	Framed bool
	Body   io.Reader

	finish func(whole bool)
	once   sync.Once
}

// Close ends the call. whole says that Body was read to its end without an error; only then can the connection be
// used again, else it is closed, at which the replica stops.
func (a *Answer) Close(whole bool) { a.once.Do(func() { a.finish(whole) }) }

// Do sends call to the replica and returns the head of its answer. When ctx ends, the connection is closed. An error
// that wraps ErrNotSent says that the request did not reach the replica; after any other the request may have run.
func (c *Client) Do(ctx context.Context, handle *Handle, call Call) (*Answer, error) {
	used, err := c.open(ctx, handle, call)
	if err != nil {
		return nil, err
	}
	stopWatching := context.AfterFunc(ctx, used.close)
	abandon := func() {
		stopWatching()
		used.close()
	}
	written, err := send(used, call)
	if err != nil {
		abandon()
		return nil, fmt.Errorf("write the request: %w", err)
	}
	response, err := c.receive(used, call)
	if err != nil {
		abandon()
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	handle.zone.NoteAnswer(clock.Now())
	if load, reported := parseLoad(response.Header.Get(c.headers.Load)); reported {
		handle.NoteLoad(load, clock.Now())
	}
	handle.noteCold(response.Header, c.headers.ColdFor, clock.Now())
	keep := keepFor(response)
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framed: isFramed(response), Body: response.Body}
	answer.finish = func(whole bool) {
		reusable := stopWatching() && whole && keep > 0 && written.done() && used.reader.Buffered() == 0
		if !reusable {
			used.close()
			return
		}
		used.idleUntil = clock.Now().Add(keep)
		handle.pool.put(used)
	}
	return answer, nil
}

// open returns a connection on which call may be sent now. Each of its errors wraps ErrNotSent.
func (c *Client) open(ctx context.Context, handle *Handle, call Call) (*connection, error) {
	if handle.Evacuated() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrEvacuated)
	}
	c.probeZones(ctx, handle)
	admittedAt := call.AdmittedAt
	if admittedAt.IsZero() {
		admittedAt = clock.Now()
	}
	used, err := c.connect(ctx, handle, call)
	if err != nil {
		return nil, err
	}
	if handle.Evacuated() {
		// The evacuation was asked for while the connection was made.
		used.close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrEvacuated)
	}
	if handle.staleAdmission(admittedAt, clock.Now()) {
		used.close()
		return nil, fmt.Errorf("%w: the connection to a cold replica took too long", ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		// The caller left meanwhile.
		used.close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return used, nil
}

// connect takes a kept connection to the replica or makes a new one. Each of its errors wraps ErrNotSent.
func (c *Client) connect(ctx context.Context, handle *Handle, call Call) (*connection, error) {
	now := clock.Now()
	if !call.Fresh && handle.zone.AnsweredWithin(pathTrusted, now) {
		if kept := handle.pool.take(now); kept != nil {
			return kept, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, cmp.Or(call.ConnectWithin, connectTimeout))
	defer cancel()
	raw, err := c.network.Dial(bounded, handle.Info().Address)
	if err != nil {
		if ctx.Err() == nil {
			// Refused ones count too: a zone that is cut off may reset what comes. Where two replicas of a zone just ended it is taken for cut off
			// until the next probe.
			handle.Silent()
		}
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, handle.Info().Address, err)
	}
	handle.zone.NoteAnswer(clock.Now())
	return newConnection(raw), nil
}

// receive reads the answer to call, past interim answers and answers to earlier requests.
func (c *Client) receive(used *connection, call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	stray, interim := 0, 0
	for {
		response, err := http.ReadResponse(used.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			interim++
			if interim > maxInformational || response.StatusCode == http.StatusSwitchingProtocols {
				return nil, fmt.Errorf("unexpected interim answer %d", response.StatusCode)
			}
			continue
		}
		err = c.check(response, call)
		if err == nil {
			return response, nil
		}
		stray++
		if stray > maxStrayAnswers || !isFramed(response) {
			return nil, err
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); err != io.EOF {
			return nil, errors.New("answer to another request has no end")
		}
	}
}

// check says whether the answer is one to call: it names the call's id, or is a failure that names none.
func (c *Client) check(response *http.Response, call Call) error {
	id := response.Header.Get(c.headers.RequestID)
	if id == call.RequestID {
		return nil
	}
	if id == "" && response.StatusCode >= http.StatusBadRequest {
		return nil
	}
	return fmt.Errorf("answer names request %q, not %q", id, call.RequestID)
}

// isFramed says that the end of the answer's body is known without the end of the connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
