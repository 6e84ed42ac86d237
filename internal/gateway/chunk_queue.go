package gateway

import (
	"context"
	"sync"

	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/subscription"
)

// maxQueuedBytes bounds the text that waits for a slow reader. Above it the engine's
// stream is not read until the caller has caught up.
const maxQueuedBytes = 1 << 20

// chunkOverheadBytes is counted for each chunk beside its text.
const chunkOverheadBytes = 96

// chunkQueue carries chunks from the session to the writer of one answer.
type chunkQueue struct {
	mutex  sync.Mutex
	chunks []session.Chunk
	bytes  int
	ended  bool
	err    error
	// readable and writable each hold a token after a change that the other side may wait for.
	readable chan struct{}
	writable chan struct{}
}

func newChunkQueue() *chunkQueue {
	return &chunkQueue{readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// push adds a chunk; it waits while the queue is full, until ctx ends.
func (q *chunkQueue) push(ctx context.Context, chunk session.Chunk) error {
	for {
		if q.add(chunk) {
			subscription.Signal(q.readable)
			return nil
		}
		select {
		case <-q.writable:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (q *chunkQueue) add(chunk session.Chunk) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes > maxQueuedBytes {
		return false
	}
	q.chunks = append(q.chunks, chunk)
	q.bytes += len(chunk.Text) + chunkOverheadBytes
	return true
}

// end says that no chunk follows.
func (q *chunkQueue) end(err error) {
	q.mutex.Lock()
	q.ended, q.err = true, err
	q.mutex.Unlock()
	subscription.Signal(q.readable)
}

// take returns what waits, in spare's memory; ended is true when nothing follows.
func (q *chunkQueue) take(spare []session.Chunk) (chunks []session.Chunk, ended bool, err error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	chunks = q.chunks
	q.chunks = spare[:0]
	q.bytes = 0
	subscription.Signal(q.writable)
	return chunks, q.ended, q.err
}
