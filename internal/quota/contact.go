package quota

import (
	"context"
	"sync"
	"time"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/membership"
)

const (
	// contactFor is how long a message of another edge shows that this one is not cut off. It is shorter than the time in which a cut
	// becomes known to membership, 2.8 s and more.
	contactFor = 500 * time.Millisecond
	// contactTimeout bounds the wait for a sign of another edge, contactAgain is the time between two tries that fail.
	contactTimeout = 30 * time.Millisecond
	contactAgain   = 300 * time.Millisecond
	// contactsAsked is the number of other edges that are asked for a sign at once.
	contactsAsked = 3
)

// contact says whether this edge is in touch with others. One that is cut off does not know so at once, and would grant
// the whole limit beside the edge that the others ask by then. It is safe for concurrent use.
type contact struct {
	mutex    sync.Mutex
	last     time.Time
	failedAt time.Time
}

// note takes in a message of another edge.
func (c *contact) note(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.After(c.last) {
		c.last = now
	}
}

func (c *contact) recent(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.last) <= contactFor
}

func (c *contact) failedRecently(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.failedAt) < contactAgain
}

// established says that this edge is in touch with another one, or knows of none that lives. It asks some for a sign where none came
// lately.
func (c *contact) established(ctx context.Context, service *Service, ranked ranking) bool {
	others := ranked.others()
	now := clock.Now()
	if len(others) == 0 || c.recent(now) {
		return true
	}
	if c.failedRecently(now) {
		return false
	}
	if service.anyAnswers(ctx, others[:min(contactsAsked, len(others))]) {
		c.note(clock.Now())
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failedAt = clock.Now()
	return false
}

// anyAnswers says that one of peers answers.
func (s *Service) anyAnswers(ctx context.Context, peers []membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	answered := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			// A release of no tenant changes nothing.
			err := s.caller.Call(ctx, peer.PeerAddress, methodRelease, &quotapb.ReleaseRequest{}, &quotapb.ReleaseResponse{})
			answered <- err == nil
		}()
	}
	for range peers {
		if <-answered {
			return true
		}
	}
	return false
}
