package eventstream

import (
	"bytes"
	"errors"
	"io"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxEventBytes is the maximum size of the buffer, and thus of an event.
	maxEventBytes = 1 << 20
	// maxIDBytes is the maximum length of an event's id, which a resumed request carries in a header.
	maxIDBytes = 1 << 10
	// initialBufferBytes is the initial size of the buffer, which is enough for most events.
	initialBufferBytes = 4 << 10
)

// ErrTooLarge is the error for an event that exceeds the maximum size.
var ErrTooLarge = errors.New("an event is too large")

// ErrInvalidID is the error for an event whose id a header cannot carry.
var ErrInvalidID = errors.New("an event has an invalid id")

// Events holds one or more whole events as received.
type Events struct {
	Bytes []byte
	// LastID is the id of the last event that has one.
	LastID string
	// Count is the number of events.
	Count int
}

// Reader reads whole events from a stream.
type Reader struct {
	source io.Reader
	// buffer[:filled] holds the bytes read from source, of which the last Next returned
	// buffer[:returned].
	buffer   []byte
	filled   int
	returned int
}

// NewReader returns a Reader that reads from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: make([]byte, initialBufferBytes)}
}

// Next returns the events received completely, at least one unless the error is set. Their bytes are
// valid until the next call. The error is io.EOF if the stream ended between events, and
// io.ErrUnexpectedEOF if it ended within an event.
func (r *Reader) Next() (Events, error) {
	copy(r.buffer, r.buffer[r.returned:r.filled])
	r.filled -= r.returned
	r.returned = 0
	for {
		if r.filled == len(r.buffer) {
			if len(r.buffer) >= maxEventBytes {
				return Events{}, ErrTooLarge
			}
			r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
		}
		count, err := r.source.Read(r.buffer[r.filled:])
		r.filled += count
		end := lastEventEnd(r.buffer[:r.filled])
		if errors.Is(err, io.EOF) && onlyLineEnds(r.buffer[end:r.filled]) {
			end = r.filled
		}
		if end > 0 {
			r.returned = end
			if errors.Is(err, io.EOF) && end < r.filled {
				err = io.ErrUnexpectedEOF
			}
			id := lastEventID(r.buffer[:end])
			if len(id) > maxIDBytes || !httpguts.ValidHeaderFieldValue(id) {
				return Events{}, ErrInvalidID
			}
			return Events{Bytes: r.buffer[:end], LastID: id, Count: countEvents(r.buffer[:end])}, err
		}
		if errors.Is(err, io.EOF) && r.filled > 0 {
			return Events{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Events{}, err
		}
	}
}

// onlyLineEnds reports whether data consists only of line ends; after an event these belong to no other
// event.
func onlyLineEnds(data []byte) bool { return len(bytes.Trim(data, "\r\n")) == 0 }

// countEvents returns the number of whole events in data.
func countEvents(data []byte) int {
	return bytes.Count(data, []byte("\n\n")) + bytes.Count(data, []byte("\r\n\r\n"))
}

// lastEventEnd returns the total length of the whole events in data.
func lastEventEnd(data []byte) int {
	end := 0
	if index := bytes.LastIndex(data, []byte("\n\n")); index >= 0 {
		end = index + 2
	}
	if index := bytes.LastIndex(data, []byte("\r\n\r\n")); index >= 0 {
		end = max(end, index+4)
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

// AppendData appends the data of each event in events to text, separated by line feeds, and returns
// the extended text.
func AppendData(text []byte, events []byte) []byte {
	for len(events) > 0 {
		event := events
		if end := eventEnd(events); end > 0 {
			event = events[:end]
		}
		events = events[len(event):]
		data, found := eventData(event)
		if !found {
			continue
		}
		if len(text) > 0 {
			text = append(text, '\n')
		}
		text = append(text, data...)
	}
	return text
}

// eventEnd returns the length of the first whole event in events, or 0 if there is none.
func eventEnd(events []byte) int {
	end := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		index := bytes.Index(events, terminator)
		if index >= 0 && (end == 0 || index+len(terminator) < end) {
			end = index + len(terminator)
		}
	}
	return end
}

// eventData returns the data lines of one event, joined by line feeds. found is false if there are
// none.
func eventData(event []byte) (data []byte, found bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("data:"))
		if !ok {
			continue
		}
		if found {
			data = append(data, '\n')
		}
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		found = true
	}
	return data, found
}
