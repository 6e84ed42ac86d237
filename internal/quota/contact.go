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
	// contactValidity is how long after a message from another edge this edge counts as connected. It is shorter than the time in which
	// membership detects a partition, which is at least 2.8 s.
	contactValidity = 500 * time.Millisecond
	// contactTimeout bounds the wait for an answer to a probe.
	contactTimeout = 30 * time.Millisecond
	// contactRetryInterval is the time between failed rounds of probes.
	contactRetryInterval = 300 * time.Millisecond
	// contactProbeCount is the number of other edges that are probed at once.
	contactProbeCount = 3
)

// contact tracks whether this edge is connected to other edges. An edge that is partitioned off does not learn so at once; without this check
// it would grant the whole limit in addition to the edge that the others ask by then. It is safe for concurrent use.
type contact struct {
	mutex       sync.Mutex
	lastContact time.Time
	failedAt    time.Time
}

// record notes a message from another edge.
func (c *contact) record(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.After(c.lastContact) {
		c.lastContact = now
	}
}

func (c *contact) recent(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.lastContact) <= contactValidity
}

func (c *contact) failedRecently(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Sub(c.failedAt) < contactRetryInterval
}

// established reports whether this edge is connected to another one, or knows of no other live edge. It probes some of them if there was
// no recent contact.
func (c *contact) established(ctx context.Context, service *Service, ranked ranking) bool {
	others := ranked.others()
	now := clock.Now()
	if len(others) == 0 || c.recent(now) {
		return true
	}
	if c.failedRecently(now) {
		return false
	}
	if service.anyAnswers(ctx, others[:min(contactProbeCount, len(others))]) {
		c.record(clock.Now())
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failedAt = clock.Now()
	return false
}

// anyAnswers reports whether one of peers answers within contactTimeout.
func (s *Service) anyAnswers(ctx context.Context, peers []membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	answered := make(chan bool, len(peers))
	for _, peer := range peers {
		go func() {
			// A release for an empty tenant name changes nothing.
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
