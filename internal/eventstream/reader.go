package eventstream

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// firstBufferBytes is the size of the buffer that most events fit in.
	firstBufferBytes = 4 << 10
)

// ErrTooLarge says that an event is over the bound.
var ErrTooLarge = errors.New("an event is too large")

// Events are one or more whole events as they came.
type Events struct {
	Bytes []byte
	// LastID is the id of the last event that has one.
	LastID string
	// Count is their number.
	Count int
}

// Reader splits a stream of events at their ends.
type Reader struct {
	source io.Reader
	// buffer[:filled] is read and not yet given out; given is what the last Next gave out.
	buffer []byte
	filled int
	given  int
}

// NewReader reads from source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: make([]byte, firstBufferBytes)}
}

// Next returns the events that have come whole, at least one unless err is set. Bytes are valid until the next call. io.EOF
// comes only where the stream ended between events; a part of an event at the end of the stream is io.ErrUnexpectedEOF.
func (r *Reader) Next() (Events, error) {
	copy(r.buffer, r.buffer[r.given:r.filled])
	r.filled -= r.given
	r.given = 0
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
		if errors.Is(err, io.EOF) && blank(r.buffer[end:r.filled]) {
			end = r.filled
		}
		if end > 0 {
			r.given = end
			if errors.Is(err, io.EOF) && end < r.filled {
				err = io.ErrUnexpectedEOF
			}
			return Events{Bytes: r.buffer[:end], LastID: lastEventID(r.buffer[:end]), Count: countEvents(r.buffer[:end])}, err
		}
		if errors.Is(err, io.EOF) && r.filled > 0 {
			return Events{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Events{}, err
		}
	}
}

// blank tells whether data is line ends only: behind an event they are part of no other.
func blank(data []byte) bool { return len(bytes.Trim(data, "\r\n")) == 0 }

// countEvents returns the number of whole events in data.
func countEvents(data []byte) int {
	return bytes.Count(data, []byte("\n\n")) + bytes.Count(data, []byte("\r\n\r\n"))
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

// AppendData appends the data of each event in events to text, with line feeds between the events, and returns it.
func AppendData(text []byte, events []byte) []byte {
	for len(events) > 0 {
		event := events
		if end := eventEnd(events); end > 0 {
			event = events[:end]
		}
		events = events[len(event):]
		data, found := dataOf(event)
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

// eventEnd returns the length of the first whole event in events; 0 where there is none.
func eventEnd(events []byte) int {
	end := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		at := bytes.Index(events, terminator)
		if at >= 0 && (end == 0 || at+len(terminator) < end) {
			end = at + len(terminator)
		}
	}
	return end
}

// dataOf joins the data lines of one event by line feeds.
func dataOf(event []byte) (data []byte, found bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, is := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("data:"))
		if !is {
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
