package transport

import (
	"encoding/binary"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	transportpb "github.com/sloelift/sloelift/api/proto/transport"
)

const (
	// MaxFrameBytes bounds one encoded frame without its length prefix.
	MaxFrameBytes = 4 << 20
	// lengthPrefixBytes is the size of the big-endian length before each frame.
	lengthPrefixBytes = 4
	// maxDuration bounds durations read from the wire.
	maxDuration = 24 * time.Hour
)

// EncodeFrame returns the frame with its length prefix, ready for the wire.
// A frame over MaxFrameBytes is an error of KindTooLarge.
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

// ReadFrame reads one frame and its size on the wire. It returns io.EOF at a clean
// end between frames, KindMalformed for bytes that are no valid frame, and the
// reader's error otherwise. It never holds more than MaxFrameBytes.
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

// firstAllocation bounds the memory given to a frame whose bytes have not arrived yet.
const firstAllocation = 64 << 10

func readBody(reader io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, firstAllocation))
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

// decodeFrame decodes and checks what every frame of its kind must have.
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

func microseconds(count uint64) time.Duration {
	return time.Duration(min(count, uint64(maxDuration.Microseconds()))) * time.Microsecond
}
