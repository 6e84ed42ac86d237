package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReaderGivesWholeEventsOnly(t *testing.T) {
	for _, test := range []struct {
		name, stream, want, lastID string
		err                        error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", io.EOF},
		{"cut inside an event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1", io.ErrUnexpectedEOF},
		{"event without id", "id: 7\ndata: a\n\ndata: b\n\n", "id: 7\ndata: a\n\ndata: b\n\n", "7", io.EOF},
		{"empty", "", "", "", io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "1", io.EOF},
	} {
		for _, oneByte := range []bool{false, true} {
			source := io.Reader(strings.NewReader(test.stream))
			if oneByte {
				source = iotest.OneByteReader(source)
			}
			reader := NewReader(source)
			var got, lastID string
			var err error
			for err == nil {
				var events Events
				events, err = reader.Next()
				got += string(events.Bytes)
				if events.LastID != "" {
					lastID = events.LastID
				}
			}
			if got != test.want || lastID != test.lastID || !errors.Is(err, test.err) {
				t.Errorf("%s (one byte %t): got %q, id %q, %v; want %q, id %q, %v", test.name, oneByte, got, lastID, err, test.want, test.lastID, test.err)
			}
		}
	}
}

func TestAppendData(t *testing.T) {
	text := AppendData(nil, []byte("id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\ndata: c\n\n"))
	text = AppendData(text, []byte("id: 3\r\ndata: d\r\n\r\n"))
	if want := "a\nb\nc\nd"; string(text) != want {
		t.Errorf("text is %q, want %q", text, want)
	}
}
