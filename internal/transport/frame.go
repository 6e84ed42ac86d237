package transport

import (
	"encoding/binary"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
)

const (
	// MaxFrameBytes bounds one encoded frame, excluding its length prefix.
	MaxFrameBytes = 4 << 20
	// lengthPrefixBytes is the size of the big-endian length that precedes each frame.
	lengthPrefixBytes = 4
	// maxWireDuration caps durations read from the wire.
	maxWireDuration = 24 * time.Hour
)

// EncodeFrame returns the frame with its length prefix, ready for the wire.
// A frame larger than MaxFrameBytes is an error of KindTooLarge.
func EncodeFrame(frame *transportpb.Frame) ([]byte, error) {
	size := proto.Size(frame)
	if size > MaxFrameBytes {
		return nil, KindTooLarge.New("frame of %d bytes is over the limit of %d", size, MaxFrameBytes)
	}
	buffer := make([]byte, lengthPrefixBytes, lengthPrefixBytes+size)
	binary.BigEndian.PutUint32(buffer, uint32(size))
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buffer, frame)
	if err != nil {
		return nil, KindTooLarge.Wrap(err, "encode frame")
	}
	return encoded, nil
}

// ReadFrame reads one frame and returns it with its size on the wire in bytes. It returns
// io.EOF at a clean end between frames, KindMalformed for bytes that are not a valid frame,
// io.ErrUnexpectedEOF if reading fails within a frame's body, and the reader's error
// otherwise. It never buffers more than MaxFrameBytes.
func ReadFrame(reader io.Reader) (*transportpb.Frame, int, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size == 0 || size > MaxFrameBytes {
		return nil, 0, KindMalformed.New("frame length %d is outside 1..%d", size, MaxFrameBytes)
	}
	body, err := readBody(reader, int(size))
	if err != nil {
		return nil, 0, err
	}
	frame, err := decodeFrame(body)
	return frame, lengthPrefixBytes + int(size), err
}

// maxInitialAllocationBytes bounds the memory allocated for a frame before its bytes have arrived.
const maxInitialAllocationBytes = 64 << 10

// readBody reads size bytes. Its buffer grows with the bytes that arrive, so that a large length
// prefix alone allocates little.
func readBody(reader io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, maxInitialAllocationBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			grown := make([]byte, len(body), min(size, 2*cap(body)))
			copy(grown, body)
			body = grown
		}
		count, err := io.ReadFull(reader, body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return body, nil
}

// decodeFrame decodes a frame and checks the fields that its kind requires.
func decodeFrame(body []byte) (*transportpb.Frame, error) {
	frame := &transportpb.Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, KindMalformed.New("frame is not valid protobuf: %s", err.Error())
	}
	valid := false
	switch frame.GetKind() {
	case transportpb.Frame_KIND_HELLO:
		valid = true
	case transportpb.Frame_KIND_REQUEST:
		valid = frame.GetRequestId() != 0 && frame.GetMethod() != ""
	case transportpb.Frame_KIND_RESPONSE, transportpb.Frame_KIND_CANCEL:
		valid = frame.GetRequestId() != 0
	case transportpb.Frame_KIND_ONE_WAY:
		valid = frame.GetMethod() != ""
	}
	if !valid {
		return nil, KindMalformed.New("frame of kind %d lacks a required field", frame.GetKind())
	}
	return frame, nil
}

// microseconds converts a duration from the wire, capped at maxWireDuration.
func microseconds(count uint64) time.Duration {
	return time.Duration(min(count, uint64(maxWireDuration.Microseconds()))) * time.Microsecond
}
