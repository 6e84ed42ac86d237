package discovery

import (
	"context"
	"sync"

	"github.com/sloelift/sloelift/internal/replica"
)

// sharedRead shares the calls of read among concurrent callers. Each caller gets the result of a read that began after its own call.
type sharedRead struct {
	read func() ([]replica.Info, error)

	// mutex guards the fields below. next is the read that later callers wait for, nil if none is due.
	mutex   sync.Mutex
	running bool
	next    *pendingRead
}

// pendingRead is a read whose result is not known until done is closed.
type pendingRead struct {
	done   chan struct{}
	result []replica.Info
	err    error
}

// get returns the result of a read, or the error of ctx if it ends before.
func (s *sharedRead) get(ctx context.Context) ([]replica.Info, error) {
	joined := s.join()
	select {
	case <-joined.done:
		return joined.result, joined.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns the next read that begins, and has it made.
func (s *sharedRead) join() *pendingRead {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.next == nil {
		s.next = &pendingRead{done: make(chan struct{})}
	}
	if !s.running {
		s.running = true
		go s.run()
	}
	return s.next
}

// run makes reads, one after the other, until none is due.
func (s *sharedRead) run() {
	for {
		s.mutex.Lock()
		due := s.next
		s.next = nil
		s.running = due != nil
		s.mutex.Unlock()
		if due == nil {
			return
		}
		due.result, due.err = s.read()
		close(due.done)
	}
}
