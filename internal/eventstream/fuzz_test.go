package eventstream

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// readAll returns all bytes that a Reader returns from source, and the id of the last event that has
// one.
func readAll(source io.Reader) (returned []byte, lastID string, err error) {
	reader := NewReader(source)
	for {
		events, err := reader.Next()
		returned = append(returned, events.Bytes...)
		if events.LastID != "" {
			lastID = events.LastID
		}
		if err != nil {
			return returned, lastID, err
		}
	}
}

// FuzzReader checks for any stream that the Reader returns its events unchanged, and the same ones
// however the bytes are split over reads.
func FuzzReader(f *testing.F) {
	for _, seed := range []string{
		"",
		"\n",
		"\n\n",
		"id: 1\ndata: a\n\n",
		"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r",
		"data\n\n:comment\n\n",
		"id:\n\nid: 3\n\n\n\n",
		"data: a\r\r\n\n",
		"id: 1\x00\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		returned, lastID, err := readAll(bytes.NewReader(stream))
		if !bytes.HasPrefix(stream, returned) {
			t.Fatalf("returned %q, which is no prefix of %q", returned, stream)
		}
		if err == io.EOF && len(returned) != len(stream) {
			t.Fatalf("a stream of %d bytes ended with io.EOF after %d", len(stream), len(returned))
		}
		bytewise, bytewiseID, bytewiseErr := readAll(iotest.OneByteReader(bytes.NewReader(stream)))
		// Line ends after an event belong to no event; how many of them are returned with it is not
		// specified.
		if !bytes.Equal(bytes.TrimRight(returned, "\r\n"), bytes.TrimRight(bytewise, "\r\n")) || lastID != bytewiseID || err != bytewiseErr {
			t.Fatalf("at once %q, %q, %v; byte by byte %q, %q, %v", returned, lastID, err, bytewise, bytewiseID, bytewiseErr)
		}
		AppendData(nil, returned)
	})
}
