package gateway

import (
	"context"
	"sync"

	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/subscription"
)

// maxQueuedBytes bounds the text queued for a slow reader. Above it the engine's stream is not
// read until the caller has read more.
const maxQueuedBytes = 1 << 20

// chunkOverheadBytes is counted for each chunk in addition to its text.
const chunkOverheadBytes = 96

// chunkQueue passes chunks from the session to the writer of one answer.
type chunkQueue struct {
	mutex  sync.Mutex
	chunks []session.Chunk
	bytes  int
	ended  bool
	err    error
	// readable is signalled after a push or end, writable after a take.
	readable chan struct{}
	writable chan struct{}
}

func newChunkQueue() *chunkQueue {
	return &chunkQueue{readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// push adds a chunk. While the queue is full it blocks until ctx ends.
func (q *chunkQueue) push(ctx context.Context, chunk session.Chunk) error {
	for {
		if q.tryAdd(chunk) {
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

// tryAdd adds a chunk; it returns false if the queue is full.
func (q *chunkQueue) tryAdd(chunk session.Chunk) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.bytes > maxQueuedBytes {
		return false
	}
	q.chunks = append(q.chunks, chunk)
	q.bytes += len(chunk.Text) + chunkOverheadBytes
	return true
}

// end marks the end of the chunks; err is the error of the session, or nil.
func (q *chunkQueue) end(err error) {
	q.mutex.Lock()
	q.ended, q.err = true, err
	q.mutex.Unlock()
	subscription.Signal(q.readable)
}

// take returns all queued chunks and reuses spare's memory for the next ones. ended is true if no
// chunks follow; err is then the error of the session.
func (q *chunkQueue) take(spare []session.Chunk) (chunks []session.Chunk, ended bool, err error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	chunks = q.chunks
	q.chunks = spare[:0]
	q.bytes = 0
	subscription.Signal(q.writable)
	return chunks, q.ended, q.err
}
