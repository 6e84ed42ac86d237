package transport

import (
	"context"
	"net/netip"

	"golang.org/x/sync/semaphore"
)

const (
	// queueFrames and queueBytes bound the frames queued for one peer.
	queueFrames = 1024
	queueBytes  = 4 * MaxFrameBytes
)

// sendQueue is a bounded queue of frames for one peer. Enqueuers wait for space, which
// gives flow control towards a slow peer.
type sendQueue struct {
	frames    chan *Outgoing
	freeBytes *semaphore.Weighted
}

func newSendQueue() *sendQueue {
	return &sendQueue{
		frames:    make(chan *Outgoing, queueFrames),
		freeBytes: semaphore.NewWeighted(queueBytes),
	}
}

// put queues frame, waiting for space until ctx ends; KindNotSent then.
func (q *sendQueue) put(ctx context.Context, peer netip.AddrPort, frame *Outgoing) error {
	size := int64(len(frame.Encoded))
	if !q.freeBytes.TryAcquire(size) {
		if err := q.freeBytes.Acquire(ctx, size); err != nil {
			return KindNotSent.Wrap(err, "queue for %s is full", peer)
		}
	}
	select {
	case q.frames <- frame:
		return nil
	default:
	}
	select {
	case q.frames <- frame:
		return nil
	case <-ctx.Done():
		q.freeBytes.Release(size)
		return KindNotSent.Wrap(ctx.Err(), "queue for %s is full", peer)
	}
}

// releaseBytes frees the bytes of a frame that left the queue.
func (q *sendQueue) releaseBytes(frame *Outgoing) { q.freeBytes.Release(int64(len(frame.Encoded))) }

// failAll empties the queue and fails its frames.
func (q *sendQueue) failAll(cause error) {
	for {
		select {
		case frame := <-q.frames:
			q.releaseBytes(frame)
			frame.Fail(cause)
		default:
			return
		}
	}
}
