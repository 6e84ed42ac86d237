package transport

import (
	"context"
	"net/netip"

	"golang.org/x/sync/semaphore"
)

const (
	// queueFrames and queueBytes bound what waits for one peer.
	queueFrames = 1024
	queueBytes  = 4 * MaxFrameBytes
)

// sendQueue is the bounded queue of frames for one peer. Writers wait for room:
// that is the flow control towards a slow peer.
type sendQueue struct {
	frames chan *Outgoing
	room   *semaphore.Weighted
}

func newSendQueue() *sendQueue {
	return &sendQueue{
		frames: make(chan *Outgoing, queueFrames),
		room:   semaphore.NewWeighted(queueBytes),
	}
}

// put queues frame, waiting for room until ctx or stop ends.
func (q *sendQueue) put(ctx context.Context, peer netip.AddrPort, frame *Outgoing) error {
	size := int64(len(frame.Encoded))
	if !q.room.TryAcquire(size) {
		if err := q.room.Acquire(ctx, size); err != nil {
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
		q.room.Release(size)
		return KindNotSent.Wrap(ctx.Err(), "queue for %s is full", peer)
	}
}

// taken gives back the room of a frame that left the queue.
func (q *sendQueue) taken(frame *Outgoing) { q.room.Release(int64(len(frame.Encoded))) }

// failAll empties the queue and fails what was in it.
func (q *sendQueue) failAll(cause error) {
	for {
		select {
		case frame := <-q.frames:
			q.taken(frame)
			frame.Fail(cause)
		default:
			return
		}
	}
}
