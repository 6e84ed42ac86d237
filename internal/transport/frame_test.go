package transport

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
)

func FuzzReadFrame(f *testing.F) {
	for _, frame := range []*transportpb.Frame{
		{Kind: transportpb.Frame_KIND_HELLO, Payload: []byte("hello")},
		{Kind: transportpb.Frame_KIND_REQUEST, RequestId: 7, Method: "slice.verb", TimeoutMicros: 1 << 40, Payload: []byte{1}},
		{Kind: transportpb.Frame_KIND_RESPONSE, RequestId: 7, Error: &transportpb.Error{Outcome: "not_run", RetryAfterMicros: 1}},
		{Kind: transportpb.Frame_KIND_ONE_WAY, Method: "slice.verb"},
		{Kind: transportpb.Frame_KIND_CANCEL, RequestId: 7},
		{Kind: transportpb.Frame_KIND_REQUEST},
	} {
		encoded, err := EncodeFrame(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
		f.Add(encoded[:len(encoded)-1])
		f.Add(append(encoded, encoded...))
	}
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 2, 8, 99})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bytes.NewReader(stream)
		for {
			frame, size, err := ReadFrame(reader)
			if err != nil {
				checkReadError(t, err)
				return
			}
			checkRoundTrip(t, frame, size)
		}
	})
}

func checkReadError(t *testing.T, err error) {
	t.Helper()
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errorx.IsOfType(err, KindMalformed) {
		t.Fatalf("unexpected error %v", err)
	}
}

// checkRoundTrip checks that an accepted frame has a kind and is the same after encoding and reading it again.
func checkRoundTrip(t *testing.T, frame *transportpb.Frame, size int) {
	t.Helper()
	if size <= lengthPrefixBytes || size > lengthPrefixBytes+MaxFrameBytes {
		t.Fatalf("size %d", size)
	}
	if frame.GetKind() == transportpb.Frame_KIND_UNSPECIFIED {
		t.Fatal("a frame without a kind was accepted")
	}
	encoded, err := EncodeFrame(frame)
	if err != nil {
		t.Fatal(err)
	}
	again, _, err := ReadFrame(bytes.NewReader(encoded))
	if err != nil || !proto.Equal(frame, again) {
		t.Fatalf("frame %v reads back as %v: %v", frame, again, err)
	}
}

// fillReader returns count bytes and records the largest buffer it was given.
type fillReader struct {
	count, largest int
}

func (r *fillReader) Read(buffer []byte) (int, error) {
	r.largest = max(r.largest, len(buffer))
	if r.count == 0 {
		return 0, io.EOF
	}
	given := min(r.count, len(buffer))
	r.count -= given
	return given, nil
}

func TestLengthPrefixAllocatesNoMemoryInAdvance(t *testing.T) {
	reader := &fillReader{count: 100}
	if _, err := readBody(reader, MaxFrameBytes); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
	if reader.largest > maxInitialAllocationBytes {
		t.Fatalf("allocated a buffer of %d bytes before the data arrived", reader.largest)
	}
	if body, err := readBody(&fillReader{count: MaxFrameBytes}, MaxFrameBytes); err != nil || len(body) != MaxFrameBytes {
		t.Fatalf("complete frame: read %d bytes, error %v", len(body), err)
	}
}
