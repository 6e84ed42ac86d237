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
	// roleInterval is how often a node that keeps a long list looks whether it is still a relay.
	roleInterval = 500 * time.Millisecond
	// askRelaysAfter is how long a node that starts waits for the store before it asks relays whether the list is long, and how often it does
	// so then.
	askRelaysAfter = 300 * time.Millisecond
	// shortestAlone is how long a node that reaches no relay keeps the list itself before it asks relays again, longestAlone bounds that time,
	// which doubles while none answers.
	shortestAlone = 5 * time.Second
	longestAlone  = 40 * time.Second
)

// followReplicas follows the replicas until ctx ends: all of them at the store while there are few, or where this node is a relay, and else
// its part at relays.
func (s *Service) followReplicas(ctx context.Context) {
	if s.relays != nil && s.relays.LongBySeeds(ctx) {
		s.roster.SetLong(true)
	}
	alone := shortestAlone
	for ctx.Err() == nil {
		if s.keepsAll() {
			s.followAll(ctx)
			continue
		}
		s.leaveList()
		switch s.relays.Run(ctx) {
		case roster.EndShort:
			s.roster.SetLong(false)
			alone = shortestAlone
		case roster.EndAlone:
			s.followAlone(ctx, alone)
			alone = min(longestAlone, 2*alone)
		case roster.EndRelay, roster.EndStopped:
			alone = shortestAlone
		}
	}
}

// keepsAll says that this node is to keep the whole list.
func (s *Service) keepsAll() bool {
	return !s.keepsPart() || s.relays.IsRelay(clock.Now()) || s.roster.Loaded() && s.relays.MayBeRelay()
}

// leaveList drops the whole list, which this node no longer keeps.
func (s *Service) leaveList() {
	s.roster.Forget()
	if s.copies != nil {
		s.copies.Settle(s.translator.ReplicaPrefix())
	}
}

// followAll follows all replicas at the store for as long as this node is to keep them.
func (s *Service) followAll(ctx context.Context) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	var running sync.WaitGroup
	defer running.Wait()
	follower := s.allFollower(leave)
	follower.Long = s.keepsPart()
	if s.relays != nil {
		running.Go(func() { s.leaveUnlessRelay(ctx, leave) })
	}
	if s.relays != nil && !follower.Long {
		follower.MostEntries = roster.MostKeptByEach
		running.Go(func() { s.askRelays(ctx, leave) })
	}
	platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), follower)
	leave()
}

// leaveUnlessRelay calls leave once this node is no longer to keep the whole list.
func (s *Service) leaveUnlessRelay(ctx context.Context, leave func()) {
	pause.Every(ctx, roleInterval, func(time.Time) {
		if !s.keepsAll() {
			leave()
		}
	})
}

// followAlone follows all replicas at the store for a while, on a node that reaches no relay.
func (s *Service) followAlone(ctx context.Context, span time.Duration) {
	ctx, leave := context.WithTimeout(ctx, span)
	defer leave()
	follower := s.allFollower(func() {})
	follower.Long = true
	platform.Follow(ctx, s.store, s.translator.ReplicaPrefix(), follower)
}

// allFollower takes in all replicas; leave is called once this node is no longer to keep them.
func (s *Service) allFollower(leave func()) platform.Follower {
	leaveIfLong := func() {
		if !s.keepsAll() {
			leave()
		}
	}
	return platform.Follower{
		Replace: func(listing platform.Listing) {
			s.replaceReplicas(listing)
			leaveIfLong()
		},
		Update: func(revision int64, changed []platform.Entry, deleted []string) {
			s.updateReplicas(revision, changed, deleted)
			leaveIfLong()
		},
		Failed: s.replicasFailed,
		Behind: s.replicas.behind,
	}
}

// replicasFailed takes in why the replicas could not be followed.
func (s *Service) replicasFailed(err error) {
	if errorx.IsOfType(err, platform.KindTooLong) {
		s.roster.SetLong(true)
	}
	s.logger.Warn().Err(err).Msg("replicas_not_followed")
}

// askRelays asks relays whether the list is long while the store has not listed it, so that a node that starts while the store does not
// answer gets its part; leave is called once that is known.
func (s *Service) askRelays(ctx context.Context, leave func()) {
	for attempt := 0; pause.Sleep(ctx, askRelaysAfter); attempt++ {
		if s.roster.Listed() {
			return
		}
		if s.relays.LongByRelay(ctx, attempt) {
			s.roster.SetLong(true)
			leave()
			return
		}
	}
}
