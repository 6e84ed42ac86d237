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

// Headers holds the names of the HTTP headers used between callers, this system and replicas.
type Headers struct {
	RequestID      string
	Deadline       string
	ExpectInstance string
	NotRun         string
	// Instance names, in a response to a request for another instance, the instance that responds.
	Instance    string
	Signature   string
	Load        string
	LastEventID string
	// Resumes names the request that brought the first event of the stream that a caller resumes.
	Resumes     string
	PromptParts string
	Wait        string
	// APIKey carries a caller's credential and is never forwarded to replicas; Tenant tells replicas which tenant the key belongs to.
	APIKey string
	Tenant string
	// ColdFor carries, in a replica's responses, the remaining time in milliseconds for which it is cold.
	ColdFor string
}

// ErrNotSent means that no byte of the request reached the replica, so that it is safe to send it elsewhere.
var ErrNotSent = errors.New("request was not sent")

// ErrLeaving means that the request was not sent because the replica takes no new requests any more: it is draining or gone. It is always
// wrapped together with ErrNotSent and does not mean that the replica has failed.
var ErrLeaving = errors.New("replica is leaving")

const (
	// connectTimeout is the default for Call.ConnectWithin.
	connectTimeout = time.Second
	// reuseWindow is how long after bytes from a replica's zone idle connections to the zone may be reused. If the link was cut since,
	// a request sent on an idle connection is lost, which is fatal for one that may not be repeated; a new connection fails before
	// anything is sent.
	reuseWindow = 500 * time.Millisecond
	// maxStrayAnswers limits the responses to earlier requests that are skipped on one connection.
	maxStrayAnswers = 3
	// maxStrayBytes limits the body of a skipped response.
	maxStrayBytes = 1 << 20
	// maxInformational limits the 1xx responses before the final one.
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
	// RequestID is the id that the response must carry.
	RequestID string
	// Probe is set if the call asks for the replica's state: it runs nothing, and its response is not signed.
	Probe bool
	// Fresh requires a new connection instead of an idle one from the pool.
	Fresh bool
	// ConnectWithin is the timeout for connecting; 0 means connectTimeout.
	ConnectWithin time.Duration
	// AdmittedAt is when the request was counted against a cold replica's rate limit; zero means the time of the call.
	AdmittedAt time.Time
}

// Client calls replicas. It is safe for concurrent use.
type Client struct {
	network network.Network
	headers Headers
}

// NewClient returns a Client that connects through via and uses the given header names.
func NewClient(via network.Network, headers Headers) *Client {
	return &Client{network: via, headers: headers}
}

// Headers returns the header names in use.
func (c *Client) Headers() Headers { return c.headers }

// Answer is a response that is proven to be the replica's: status and headers, with the body still to be read from Body. Close must be
// called.
type Answer struct {
	Status int
	// NotRun is true if the replica has not run the request and will not run it.
	NotRun bool
	Header http.Header
	// Length is the body's length in bytes; -1 if the response does not declare it.
	Length int64
	// Framed is true if the end of the body is recognizable without the connection being closed.
	Framed bool
	Body   io.Reader

	finish func(whole bool)
	once   sync.Once
}

// Close ends the call. whole reports that Body was read to its end without an error; only then can the connection be
// reused. Otherwise it is closed, which makes the replica stop working on the request.
func (a *Answer) Close(whole bool) { a.once.Do(func() { a.finish(whole) }) }

// Do sends call to the replica and returns once the response headers have been read. When ctx ends, the connection is
// closed. An error that wraps ErrNotSent means that the request did not reach the replica; after any other error, one that wraps
// ErrUnproven among them, the request may have run.
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
	response, found, err := c.receive(used, call)
	if err != nil {
		abandon()
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	handle.zone.NoteAnswer(clock.Now())
	if load, reported := parseLoad(response.Header.Get(c.headers.Load)); reported {
		handle.NoteLoad(load, clock.Now())
	}
	handle.noteCold(response.Header, c.headers.ColdFor, clock.Now())
	keep := idleTimeout(response)
	answer := &Answer{
		Status: response.StatusCode,
		NotRun: found.notRun,
		Header: response.Header,
		Length: response.ContentLength,
		Framed: isFramed(response),
		Body:   response.Body,
	}
	if !answer.Framed {
		answer.Body = &closeDelimitedBody{Reader: response.Body, request: written}
	}
	answer.finish = func(whole bool) {
		reusable := stopWatching() && whole && found.identified && keep > 0 && written.done() && used.reader.Buffered() == 0
		if !reusable {
			used.close()
			return
		}
		used.idleUntil = clock.Now().Add(keep)
		handle.pool.put(used)
	}
	return answer, nil
}

// open returns a connection on which call may be sent now. Every error wraps ErrNotSent.
func (c *Client) open(ctx context.Context, handle *Handle, call Call) (*connection, error) {
	if err := handle.refusal(); err != nil {
		return nil, err
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
	// The replica may have begun to leave while the connection was being made.
	if err := handle.refusal(); err != nil {
		used.close()
		return nil, err
	}
	if handle.admissionExpired(admittedAt, clock.Now()) {
		used.close()
		return nil, fmt.Errorf("%w: the connection to a cold replica took too long", ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		// The caller disconnected while the connection was being made.
		used.close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return used, nil
}

// refusal returns the error, which wraps ErrNotSent, for a request to a replica that takes no new ones; nil if it does.
func (h *Handle) refusal() error {
	switch {
	case h.Evacuated():
		return fmt.Errorf("%w: %w", ErrNotSent, ErrEvacuated)
	case !h.Usable():
		return fmt.Errorf("%w: %w", ErrNotSent, ErrLeaving)
	default:
		return nil
	}
}

// connect takes an idle connection to the replica from the pool or makes a new one. Every error wraps ErrNotSent.
func (c *Client) connect(ctx context.Context, handle *Handle, call Call) (*connection, error) {
	now := clock.Now()
	if !call.Fresh && handle.zone.AnsweredWithin(reuseWindow, now) {
		if kept := handle.pool.take(now); kept != nil {
			return kept, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, cmp.Or(call.ConnectWithin, connectTimeout))
	defer cancel()
	raw, err := c.network.Dial(bounded, handle.Info().Address)
	if err != nil {
		if ctx.Err() == nil {
			// A refused connection counts too, since a partitioned zone may reset incoming connections. Two replicas of a zone that have
			// just ended therefore make the zone count as unreachable until the next probe.
			handle.NoteSilence()
		}
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, handle.Info().Address, err)
	}
	handle.zone.NoteAnswer(clock.Now())
	return newConnection(raw), nil
}

// receive reads the response to call and what it shows. It skips 1xx responses and responses to earlier requests on the connection.
func (c *Client) receive(used *connection, call Call) (*http.Response, evidence, error) {
	request := &http.Request{Method: call.Method}
	stray, interim := 0, 0
	for {
		response, err := used.readHead(request)
		if err != nil {
			return nil, evidence{}, err
		}
		if response.StatusCode < http.StatusOK {
			interim++
			if interim > maxInformational || response.StatusCode == http.StatusSwitchingProtocols {
				return nil, evidence{}, fmt.Errorf("unexpected interim response with status %d", response.StatusCode)
			}
			continue
		}
		found, err := c.headers.examine(response, call)
		if !errors.Is(err, errOtherRequest) {
			return response, found, err
		}
		stray++
		if stray > maxStrayAnswers || !isFramed(response) {
			return nil, evidence{}, err
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxStrayBytes); err != io.EOF {
			return nil, evidence{}, errors.New("body of a response to another request is truncated or too long to skip")
		}
	}
}

// isFramed reports whether the end of the body is recognizable without the connection being closed.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
