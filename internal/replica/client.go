package replica

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

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
	// ColdFor tells, in answers to health checks, how many ms longer a replica stays cold.
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
	// inlineBodyBytes is the size up to which a body is written before the answer is read.
	inlineBodyBytes = 16 << 10
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
	// AdmittedAt is when the request was counted against what a cold replica bears; zero stands for the time of the call.
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
	// Length is the body's length in bytes; -1 where it is not told.
	Length int64
	// Framed says that the body's end is told apart from the end of the connection.
	Framed bool
	Body   io.Reader

	finish func(whole bool)
	once   sync.Once
}

// Close ends the call. whole says that Body was read to its end without an error; only then can the connection be
// used again, else it is closed, which tells the replica to stop.
func (a *Answer) Close(whole bool) { a.once.Do(func() { a.finish(whole) }) }

// Do sends call to the replica and returns the head of its answer. When ctx ends, the connection is closed. An error
// that wraps ErrNotSent says that the request did not reach the replica; after any other the request may have run.
func (c *Client) Do(ctx context.Context, handle *Handle, call Call) (*Answer, error) {
	if handle.Evacuated() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrEvacuated)
	}
	c.probeZones(ctx, handle)
	admittedAt := call.AdmittedAt
	if admittedAt.IsZero() {
		admittedAt = time.Now()
	}
	used, err := c.connect(ctx, handle, call)
	if err != nil {
		return nil, err
	}
	if handle.Evacuated() {
		// That was asked while the connection was made.
		used.close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrEvacuated)
	}
	if handle.staleAdmission(admittedAt, time.Now()) {
		used.close()
		return nil, fmt.Errorf("%w: the connection to a cold replica took too long", ErrNotSent)
	}
	if err := ctx.Err(); err != nil {
		// The caller left meanwhile.
		used.close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
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
	handle.zone.NoteAnswer(time.Now())
	if load, told := parseLoad(response.Header.Get(c.headers.Load)); told {
		handle.Tell(load, time.Now())
	}
	handle.noteCold(response.Header, c.headers.ColdFor, time.Now())
	keep := keepFor(response)
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Framed: isFramed(response), Body: response.Body}
	answer.finish = func(whole bool) {
		reusable := stopWatching() && whole && keep > 0 && written.done() && used.reader.Buffered() == 0
		if !reusable {
			used.close()
			return
		}
		used.idleUntil = time.Now().Add(keep)
		handle.pool.put(used)
	}
	return answer, nil
}

func (c *Client) connect(ctx context.Context, handle *Handle, call Call) (*connection, error) {
	now := time.Now()
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
	handle.zone.NoteAnswer(time.Now())
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

// check tells whether the answer is one to call: it names the call's id, or is a failure that names none.
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

// sending is a request whose body may still be on its way.
type sending struct{ finished chan error }

func (s *sending) done() bool {
	select {
	case err := <-s.finished:
		s.finished <- err
		return err == nil
	default:
		return false
	}
}

// send writes call. A long body is written while the answer is awaited, since the answer may come before it is read.
func send(used *connection, call Call) (*sending, error) {
	var buffer bytes.Buffer
	writeHead(&buffer, call)
	result := &sending{finished: make(chan error, 1)}
	if len(call.Body) <= inlineBodyBytes {
		buffer.Write(call.Body)
		_, err := used.net.Write(buffer.Bytes())
		result.finished <- err
		return result, err
	}
	if _, err := used.net.Write(buffer.Bytes()); err != nil {
		return nil, err
	}
	go func() {
		_, err := used.net.Write(call.Body)
		result.finished <- err
	}()
	return result, nil
}

func writeHead(buffer *bytes.Buffer, call Call) {
	buffer.WriteString(call.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(call.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(call.Host)
	buffer.WriteString("\r\n")
	_ = call.Header.Write(buffer)
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(call.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
}

// parseLoad reads "running,waiting,slots".
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var numbers [3]int
	for index, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[index] = number
	}
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}, true
}

// LoadReport is how a replica is asked for its load.
type LoadReport struct {
	// Path is the target of the GET; Parse reads the answer's body.
	Path  string
	Parse func(body []byte) (Load, error)
}

// maxReportBytes bounds a load report.
const maxReportBytes = 256 << 10

// Ask asks a replica for its load and notes it.
func (c *Client) Ask(ctx context.Context, handle *Handle, report LoadReport) error {
	answer, err := c.Do(ctx, handle, Call{Method: http.MethodGet, Target: report.Path, Host: handle.Info().Address.String(), Header: http.Header{}})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	answer.Close(err == nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return fmt.Errorf("load report: status %d", answer.Status)
	}
	load, err := report.Parse(body)
	if err != nil {
		return err
	}
	load.Slots = handle.Info().Slots
	handle.Tell(load, time.Now())
	return nil
}
