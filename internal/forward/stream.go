package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sloelift/sloelift/internal/replica"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// passStream passes on events as they come, whole ones only, so that another replica can go on behind the last.
func (e *exchange) passStream(ctx context.Context, handle *replica.Handle, answer *replica.Answer, patience *silenceTimer) (result verdict, whole bool) {
	flusher := http.NewResponseController(e.writer)
	reader := NewEventReader(answer.Body)
	for {
		events, err := reader.Next()
		if len(events.Bytes) > 0 {
			patience.heard()
			e.sendHead(answer)
			if _, failure := e.writer.Write(events.Bytes); failure != nil {
				return callerGone, false
			}
			if failure := flusher.Flush(); failure != nil {
				return callerGone, false
			}
			if events.LastID != "" {
				e.lastEvent = events.LastID
			}
		}
		if errors.Is(err, io.EOF) {
			e.sendHead(answer)
			handle.Succeeded()
			return delivered, true
		}
		if err != nil {
			return e.failed(ctx, handle, err), false
		}
	}
}

// sendHead sends the head of the first replica's answer, once.
func (e *exchange) sendHead(answer *replica.Answer) {
	if e.headSent {
		return
	}
	e.headSent = true
	e.handler.metrics.firstEvent(e.route.Name, time.Since(e.arrived))
	copyHead(e.writer.Header(), answer.Header)
	e.writer.WriteHeader(answer.Status)
}

// Events are one or more whole events as they came.
type Events struct {
	Bytes []byte
	// LastID is the id of the last event that has one.
	LastID string
}

// EventReader splits a stream of events at their ends.
type EventReader struct {
	source io.Reader
	// buffer[:filled] is read and not yet given out; given is what the last Next gave out.
	buffer []byte
	filled int
	given  int
}

// NewEventReader reads from source.
func NewEventReader(source io.Reader) *EventReader {
	return &EventReader{source: source, buffer: make([]byte, 4<<10)}
}

var errEventTooLarge = errors.New("an event is too large")

// Next returns the events that have come whole, at least one unless err is set. Bytes are valid until the next call. io.EOF
// comes only where the stream ended between events; a part of an event at the end of the stream is io.ErrUnexpectedEOF.
func (r *EventReader) Next() (Events, error) {
	copy(r.buffer, r.buffer[r.given:r.filled])
	r.filled -= r.given
	r.given = 0
	for {
		if r.filled == len(r.buffer) {
			if len(r.buffer) >= maxEventBytes {
				return Events{}, errEventTooLarge
			}
			r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
		}
		count, err := r.source.Read(r.buffer[r.filled:])
		r.filled += count
		end := lastEventEnd(r.buffer[:r.filled])
		if end > 0 {
			r.given = end
			if errors.Is(err, io.EOF) && end < r.filled {
				err = io.ErrUnexpectedEOF
			}
			return Events{Bytes: r.buffer[:end], LastID: lastEventID(r.buffer[:end])}, err
		}
		if errors.Is(err, io.EOF) && r.filled > 0 {
			return Events{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Events{}, err
		}
	}
}

// lastEventEnd returns the length of all whole events in data.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// lastEventID returns the id of the last event in data that has one.
func lastEventID(data []byte) string {
	for len(data) > 0 {
		data = bytes.TrimRight(data, "\r\n")
		start := bytes.LastIndexByte(data, '\n') + 1
		if value, found := bytes.CutPrefix(data[start:], []byte("id:")); found {
			return string(bytes.TrimSpace(value))
		}
		data = data[:start]
	}
	return ""
}
