package platform

import (
	"context"
	"time"

	"github.com/sloelift/sloelift/internal/pause"
	port "github.com/sloelift/sloelift/internal/platform"
)

// client is the in-process key-value service for the callers of one zone. The HTTP handlers serve
// through it, so that faults are applied and calls are counted in one place.
type client struct {
	server *Server
	zone   string
}

var _ port.KeyValue = (*client)(nil)

// enter counts a call and applies the faults to it before it takes effect.
func (s *Server) enter(ctx context.Context, zone string, service Service, operation Operation) (loseAnswer bool, err error) {
	effect := s.faults.effectOn(zone, service)
	refused := effect.outage != NoOutage || effect.limited
	s.counters.add(operation, refused)
	if effect.delay > 0 {
		if !pause.Sleep(ctx, effect.delay) {
			return false, errDropped.Wrap(ctx.Err(), "caller gave up")
		}
	}
	switch {
	case effect.outage == OutageHangs:
		s.hang(ctx, zone, service)
		return false, errDropped.New("connection closed after a long time")
	case effect.outage == OutageLoses:
		<-ctx.Done()
		return false, errDropped.Wrap(ctx.Err(), "caller gave up")
	case effect.outage == OutageDrops:
		return false, errDropped.New("connection closed")
	case effect.outage == OutageRefuses:
		return false, port.KindUnavailable.New("no leader")
	case effect.limited:
		return false, port.KindRateLimited.New("too many requests")
	}
	return effect.loseAnswer, nil
}

// hang waits until the outage is over or the caller gives up.
func (s *Server) hang(ctx context.Context, zone string, service Service) {
	for {
		outage, changed := s.faults.outage(zone, service)
		if outage != OutageHangs {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// errDropped means that the caller gets no response to a change, so that its outcome is unknown.
var errDropped = port.KindUnknownOutcome.NewSubtype("dropped")

// read applies the faults to a call without side effects.
func (c *client) read(ctx context.Context, operation Operation) error {
	return c.server.enterRead(ctx, c.zone, KeyValue, operation)
}

// Get reads one key.
func (c *client) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := c.read(ctx, OperationGet); err != nil {
		return port.Entry{}, err
	}
	listing := c.server.store.list(key, true)
	if len(listing.Entries) == 0 {
		return port.Entry{Key: key}, nil
	}
	return listing.Entries[0], nil
}

// List reads all keys below prefix.
func (c *client) List(ctx context.Context, prefix string) (port.Listing, error) {
	if err := c.read(ctx, OperationList); err != nil {
		return port.Listing{}, err
	}
	return c.server.store.list(prefix, false), nil
}

// Commit applies one transaction.
func (c *client) Commit(ctx context.Context, transaction port.Transaction) (port.CommitResult, error) {
	loseAnswer, err := c.server.enter(ctx, c.zone, KeyValue, OperationCommit)
	if err != nil {
		return port.CommitResult{}, err
	}
	result, err := c.server.store.commit(transaction)
	if loseAnswer && err == nil {
		return port.CommitResult{}, errDropped.New("answer lost")
	}
	return result, err
}

// GrantLease creates a lease.
func (c *client) GrantLease(ctx context.Context, timeToLive time.Duration) (port.LeaseID, error) {
	loseAnswer, err := c.server.enter(ctx, c.zone, KeyValue, OperationGrant)
	if err != nil {
		return 0, err
	}
	granted := c.server.store.grant(timeToLive)
	if loseAnswer {
		return 0, errDropped.New("answer lost")
	}
	return granted, nil
}

// KeepAlive renews a lease.
func (c *client) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	if err := c.read(ctx, OperationKeepAlive); err != nil {
		return 0, err
	}
	return c.server.store.keepAlive(lease)
}

// RevokeLease ends a lease.
func (c *client) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	loseAnswer, err := c.server.enter(ctx, c.zone, KeyValue, OperationRevoke)
	if err != nil {
		return err
	}
	err = c.server.store.revoke(lease)
	if loseAnswer && err == nil {
		return errDropped.New("answer lost")
	}
	return err
}
