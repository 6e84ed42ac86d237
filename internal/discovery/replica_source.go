package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/roster"
)

const (
	// roleCheckInterval is how often a node that keeps a long list checks whether it is still a relay.
	roleCheckInterval = 500 * time.Millisecond
	// relayQueryInterval is how long a starting node waits for the store before it asks relays whether the list is long, and the interval
	// of further queries.
	relayQueryInterval = 300 * time.Millisecond
	// minDirectFollow is how long a node that reaches no relay follows the whole list at the store before it asks relays again. The time
	// doubles, up to maxDirectFollow, while none responds.
	minDirectFollow = 5 * time.Second
	maxDirectFollow = 40 * time.Second
)

// followReplicas follows the replicas until ctx ends: all of them at the store if the list is short or this node is a relay, otherwise this
// node's part of the list at relays.
func (s *Service) followReplicas(ctx context.Context) {
	if s.relays != nil && s.relays.LongBySeeds(ctx) {
		s.roster.SetLong(true)
	}
	directFollow := minDirectFollow
	for ctx.Err() == nil {
		if s.keepsWholeList() {
			s.followAll(ctx)
			continue
		}
		s.dropList()
		switch s.relays.Run(ctx) {
		case roster.EndShort:
			s.roster.SetLong(false)
			directFollow = minDirectFollow
		case roster.EndNoRelay:
			s.followDirectly(ctx, directFollow)
			directFollow = min(maxDirectFollow, 2*directFollow)
		case roster.EndRelay, roster.EndStopped:
			directFollow = minDirectFollow
		}
	}
}

// keepsWholeList reports whether this node has to keep the whole list.
func (s *Service) keepsWholeList() bool {
	return !s.keepsPart() || s.relays.IsRelay(clock.Now()) || s.roster.Loaded() && s.relays.MayBeRelay()
}

// dropList drops the whole list, which this node no longer has to keep, and ends the supply of copies of it.
func (s *Service) dropList() {
	s.roster.Forget()
	if s.copies != nil {
		s.copies.DropCopies(s.translator.ReplicaPrefix())
	}
}

// followAll follows all replicas at the store for as long as this node has to keep the whole list.
func (s *Service) followAll(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	follower := s.wholeListFollower(stop)
	follower.LongListTimeout = s.keepsPart()
	if s.relays != nil {
		running.Go(func() { s.stopUnlessListKept(ctx, stop) })
	}
	if s.relays != nil && !follower.LongListTimeout {
		follower.MaxEntries = roster.MaxFullList
		running.Go(func() { s.queryRelays(ctx, stop) })
	}
	platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), follower)
	stop()
}

// stopUnlessListKept calls stop once this node no longer has to keep the whole list.
func (s *Service) stopUnlessListKept(ctx context.Context, stop func()) {
	pause.Every(ctx, roleCheckInterval, func(time.Time) {
		if !s.keepsWholeList() {
			stop()
		}
	})
}

// followDirectly follows all replicas at the store for the given duration, on a node that reaches no relay.
func (s *Service) followDirectly(ctx context.Context, duration time.Duration) {
	ctx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	follower := s.wholeListFollower(func() {})
	follower.LongListTimeout = true
	platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), follower)
}

// wholeListFollower returns the follower of all replicas. It calls stop once this node no longer has to keep the whole list.
func (s *Service) wholeListFollower(stop func()) platform.Follower {
	stopUnlessListKept := func() {
		if !s.keepsWholeList() {
			stop()
		}
	}
	return platform.Follower{
		Replace: func(listing platform.Listing) {
			s.replaceReplicas(listing)
			stopUnlessListKept()
		},
		Update: func(revision int64, changed []platform.Entry, deleted []string) {
			s.updateReplicas(revision, changed, deleted)
			stopUnlessListKept()
		},
		OnError:       s.replicasFailed,
		ChangesMissed: s.replicas.behind,
		RetryNow:      s.retryNow(s.translator.ReplicaPrefix()),
	}
}

// replicasFailed handles an error in following the replicas. KindTooLong means that the list is long.
func (s *Service) replicasFailed(err error) {
	if errorx.IsOfType(err, platform.KindTooLong) {
		s.roster.SetLong(true)
	}
	s.logger.Warn().Err(err).Msg("replicas_not_followed")
}

// queryRelays asks relays whether the list is long until the store has listed it, so that a node that starts during an outage of the store
// gets its part. It calls stop once the list is known to be long.
func (s *Service) queryRelays(ctx context.Context, stop func()) {
	for attempt := 0; pause.Sleep(ctx, relayQueryInterval); attempt++ {
		if s.roster.Listed() {
			return
		}
		if s.relays.LongByRelay(ctx, attempt) {
			s.roster.SetLong(true)
			stop()
			return
		}
	}
}
