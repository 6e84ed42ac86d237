package eventstream

import (
	"bytes"
	"errors"
	"testing"
	"unicode/utf8"
)

func TestTextEndsBeforeAnEventThatIsNotText(t *testing.T) {
	for name, test := range map[string]struct {
		events, want, lastID string
		count                int
		notText              bool
	}{
		"text":                        {"id: 1\ndata: ä\n\nid: 2\ndata: b\n\n", "id: 1\ndata: ä\n\nid: 2\ndata: b\n\n", "2", 2, false},
		"data of the second":          {"id: 1\ndata: a\n\nid: 2\ndata: \xff\n\nid: 3\ndata: c\n\n", "id: 1\ndata: a\n\n", "1", 1, true},
		"id of the second":            {"id: 1\ndata: a\n\nid: \xff\ndata: b\n\n", "id: 1\ndata: a\n\n", "1", 1, true},
		"the first":                   {"data: \xc3\n\ndata: a\n\n", "", "", 0, true},
		"a character over two events": {"data: \xc3\n\ndata: \xa4\n\n", "", "", 0, true},
		"carriage returns":            {"id: 1\r\ndata: a\r\n\r\ndata: \xff\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "1", 1, true},
		"none":                        {"", "", "", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			received := Events{Bytes: []byte(test.events), LastID: lastEventID([]byte(test.events)), Count: countEvents([]byte(test.events))}
			got, err := received.Text()
			if string(got.Bytes) != test.want || got.LastID != test.lastID || got.Count != test.count || errors.Is(err, ErrNotText) != test.notText {
				t.Errorf("got %q, id %q, %d events, %v", got.Bytes, got.LastID, got.Count, err)
			}
		})
	}
}

// FuzzText checks that what is taken of any stream is a prefix of it that messages and records can contain.
func FuzzText(f *testing.F) {
	for _, seed := range []string{"", "id: 1\ndata: a\n\ndata: \xff\n\n", "data: \xc3\r\n\r\n", "\xff\n\n", "data: a\n\n\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := NewReader(bytes.NewReader(stream))
		for {
			received, err := reader.Next()
			text, notText := received.Text()
			if !bytes.HasPrefix(received.Bytes, text.Bytes) || notText == nil && len(text.Bytes) != len(received.Bytes) {
				t.Fatalf("%q of %q, %v", text.Bytes, received.Bytes, notText)
			}
			if data := AppendData(nil, text.Bytes); !utf8.Valid(data) || !utf8.ValidString(text.LastID) {
				t.Fatalf("data %q, id %q", data, text.LastID)
			}
			if err != nil || notText != nil {
				return
			}
		}
	})
}
