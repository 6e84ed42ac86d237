package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	quarantinepb "github.com/sloelift/sloelift/api/proto/quarantine"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/replica"
)

const (
	// maxAdmitWait bounds the wait of a suspected message for another run of it to end: most callers abandon a stream
	// that does not begin within two seconds.
	maxAdmitWait = time.Second
	// minBusyPause and maxBusyPause bound the backoff before a keeper that answered that another run is under way is
	// asked again.
	minBusyPause = 20 * time.Millisecond
	maxBusyPause = 160 * time.Millisecond
	// keeperTimeout is the timeout of a call to one keeper, maxKeepersTried the number of keepers tried in sequence: a
	// killed one refuses at once, and many may be killed together.
	keeperTimeout   = 150 * time.Millisecond
	maxKeepersTried = 6
	// unreachedTime is how long a keeper that did not answer is skipped.
	unreachedTime = time.Second
)

// errNoKeeper reports that no node that may keep a message was reached: this node may be partitioned from the others.
var errNoKeeper = errors.New("no keeper was reached")

// Admit implements Register.
func (s *Service) Admit(ctx context.Context, key Key, parts ...Key) Permit {
	return s.admit(ctx, key, parts, false)
}

// AdmitItem implements ItemRegister.
func (s *Service) AdmitItem(ctx context.Context, key Key, parts ...Key) Permit {
	admitted := s.admit(ctx, key, parts, true)
	admitted.item = true
	return admitted
}

// admit returns the permit of a message with the given parts of its prompt. For a suspected message it first waits until
// it is decided whether it may run; one with a rejected part does not wait.
func (s *Service) admit(ctx context.Context, key Key, parts []Key, item bool) *permit {
	current, inquired := s.currentPermit(key)
	if current.verdict == Allowed && !inquired || s.checkAdmitted(key, parts, item) == Rejected {
		return s.admitParts(current, parts, item)
	}
	bounded, cancel := context.WithTimeout(ctx, maxAdmitWait)
	defer cancel()
	admitted := s.admitParts(s.admitSuspect(bounded, key, item), parts, item)
	s.metrics.admitted.WithLabelValues(admitted.verdict.String()).Inc()
	return admitted
}

// checkAdmitted returns the current verdict on a message, or a batch item, with the given parts.
func (s *Service) checkAdmitted(key Key, parts []Key, item bool) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.checkWithParts(key, parts, item)
}

// currentPermit returns the permit that follows from what this node knows of a message now. inquired reports whether an
// inquiry into a replica where a run of the message was lost is under way.
func (s *Service) currentPermit(key Key) (current *permit, inquired bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.permitFor(key, s.evidence.verdict(key)), s.pendingInquiries[key] > 0
}

// permitFor returns a permit that takes into account all evidence known now. The mutex is held.
func (s *Service) permitFor(key Key, verdict Verdict) *permit {
	return &permit{service: s, key: key, verdict: verdict, knownIncidents: len(s.evidence.openIncidents(key))}
}

// permitAfterDecision returns the permit of a message on which the keeper has decided without a grant, and releases its
// queue.
func (s *Service) permitAfterDecision(key Key, verdict Verdict) *permit {
	s.releaseQueue(key)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.permitFor(key, verdict)
}

// admitSuspect waits until it is decided whether a suspected message may run.
func (s *Service) admitSuspect(ctx context.Context, key Key, item bool) *permit {
	for {
		s.mutex.Lock()
		verdict, inquired, waiting, changed := s.verdictOf(key, item, clock.Now()), s.pendingInquiries[key] > 0, s.queues[key], s.changed
		if !inquired && verdict == Apart && waiting == nil {
			s.queues[key] = make(chan struct{})
			s.mutex.Unlock()
			return s.requestGrant(ctx, key, item)
		}
		if !inquired && verdict != Apart {
			defer s.mutex.Unlock()
			return s.permitFor(key, verdict)
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-waiting:
		case <-ctx.Done():
			return s.permitAfterTimeout(key)
		case <-s.ctx.Done():
			return s.permitAfterTimeout(key)
		}
	}
}

// permitAfterTimeout returns the permit of a message for which no decision was reached in time. A suspected message is
// not sent without a grant. A message under which no replica is known to have ended is sent as usual, even if an
// inquiry into a replica is still under way.
func (s *Service) permitAfterTimeout(key Key) *permit {
	current, _ := s.currentPermit(key)
	if current.verdict == Apart {
		current.verdict = Rejected
	}
	return current
}

// releaseQueue lets the next caller on this node ask for the grant of a message.
func (s *Service) releaseQueue(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if queue := s.queues[key]; queue != nil {
		close(queue)
		delete(s.queues, key)
	}
}

// requestGrant asks the keeper until it grants the run or decides on the message, or ctx ends. The queue of the message
// stays held until the permit is released.
func (s *Service) requestGrant(ctx context.Context, key Key, item bool) *permit {
	// 0 is reserved for "no run".
	run := max(1, rand.Uint64())
	s.rememberRun(run)
	pause := minBusyPause
	for {
		response, keeper, err := s.askKeepers(ctx, key, run, item)
		if err != nil {
			s.logger.Info().Stringer("digest", key).Err(err).Msg("suspect_not_decided")
			return s.permitAfterDecision(key, Rejected)
		}
		s.logDisagreement(key, keeper, response.GetVerdict())
		switch response.GetVerdict() {
		case quarantinepb.Verdict_VERDICT_GRANTED:
			return s.grantedPermit(key, run, keeper, item)
		case quarantinepb.Verdict_VERDICT_ALLOWED:
			allowed := s.permitAfterDecision(key, Allowed)
			allowed.allowedByKeeper = true
			return allowed
		case quarantinepb.Verdict_VERDICT_BUSY:
		default:
			return s.permitAfterDecision(key, Rejected)
		}
		if !s.waitUnlessDecided(ctx, key, pause) {
			s.releaseQueue(key)
			return s.permitAfterTimeout(key)
		}
		pause = min(2*pause, maxBusyPause)
	}
}

// rememberRun notes that this node requested, or holds, the grant of a run.
func (s *Service) rememberRun(run uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requestedRuns[run] = clock.Now()
}

// logDisagreement logs if a keeper decided otherwise on a message that is still Apart by this node's evidence.
func (s *Service) logDisagreement(key Key, keeper membership.Member, decided quarantinepb.Verdict) {
	if decided == quarantinepb.Verdict_VERDICT_GRANTED || decided == quarantinepb.Verdict_VERDICT_BUSY {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.evidence.verdict(key)
	if own != Apart {
		return
	}
	s.logger.Info().Stringer("digest", key).Stringer(logging.FieldPeer, keeper.PeerAddress).
		Stringer("keeper_verdict", decided).Stringer("own_verdict", own).
		Strs("evidence", s.evidence.describeEvidence(key, clock.Now())).Msg("keeper_decided_otherwise")
}

// waitUnlessDecided waits for pause and returns true. It returns false as soon as the message is no longer Apart or one
// of the contexts ends.
func (s *Service) waitUnlessDecided(ctx context.Context, key Key, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		verdict, changed := s.evidence.verdict(key), s.changed
		s.mutex.Unlock()
		if verdict != Apart {
			return false
		}
		select {
		case <-timer.C:
			return true
		case <-changed:
		case <-ctx.Done():
			return false
		case <-s.ctx.Done():
			return false
		}
	}
}

// grantedPermit returns the permit of a run that the keeper has granted. The grant is renewed until the permit is
// released.
func (s *Service) grantedPermit(key Key, run uint64, keeper membership.Member, item bool) *permit {
	renewing, stop := context.WithCancel(s.ctx)
	granted := &permit{service: s, key: key, verdict: Apart, item: item, grantedRun: run, keeper: keeper, replicaChosen: make(chan struct{}, 1), stopRenewing: stop}
	s.mutex.Lock()
	granted.retry = s.evidence.verdict(key) == Rejected
	s.mutex.Unlock()
	s.inBackground(func() { s.renewGrant(renewing, granted) })
	return granted
}

// renewGrant renews a grant until ctx ends. It also renews at once when the run is sent to a replica, so that the
// keeper knows which replica to inquire into if the grant lapses. A failed renewal is only logged, since the next one
// may still arrive in time.
func (s *Service) renewGrant(ctx context.Context, granted *permit) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-granted.replicaChosen:
		case <-ctx.Done():
			return
		}
		s.rememberRun(granted.grantedRun)
		if _, err := s.askKeeper(
			ctx, granted.key, granted.grantedRun, replica.Key(granted.replicaKey.Load()), granted.item, granted.keeper,
		); err != nil && ctx.Err() == nil {
			s.logger.Info().Stringer("digest", granted.key).Err(err).Msg("grant_not_renewed")
		}
	}
}

// askKeepers asks the keeper of a message for a grant. If it is not reached, the next nodes in rank are asked, unless
// one more ended replica would reject the message: two keepers could each grant such a run. For an item they are not asked
// either, since nobody waits for its answer: the keeper may be paused while a run that it granted is under way.
func (s *Service) askKeepers(ctx context.Context, key Key, run uint64, item bool) (*quarantinepb.GrantResponse, membership.Member, error) {
	view := s.viewer.View()
	ranked := keepers(view, key)
	if len(ranked) < 2 && len(view.Members) > 1 {
		return nil, membership.Member{}, errNoKeeper
	}
	s.mutex.Lock()
	firstKeeperOnly := item || s.evidence.nextEndRejects(key)
	s.mutex.Unlock()
	remaining := maxKeepersTried
	if firstKeeperOnly {
		remaining = 1
	}
	for _, keeper := range ranked {
		if !firstKeeperOnly && s.unreached.IsUnreached(keeper.PeerAddress, clock.Now()) {
			continue
		}
		if remaining--; remaining < 0 {
			break
		}
		if keeper.ID == view.Self && !s.reachesNextKeeper(ctx, key, ranked) {
			break
		}
		response, err := s.askKeeper(ctx, key, run, 0, item, keeper)
		if err == nil {
			return response, keeper, nil
		}
		s.abandonGrant(key, run, keeper)
		if ctx.Err() != nil {
			break
		}
		s.unreached.MarkUnreached(keeper.PeerAddress, clock.Now())
	}
	return nil, membership.Member{}, errNoKeeper
}

// abandonGrant releases, in the background, a grant that a keeper may have given in an answer that was not received: a
// grant that lapses counts as the end of a replica.
func (s *Service) abandonGrant(key Key, run uint64, keeper membership.Member) {
	request := &quarantinepb.ReleaseRequest{Message: keyBytes(key), Run: run}
	s.inBackground(func() { s.sendRelease(keeper.PeerAddress, request) })
}

// reachesNextKeeper reports whether this node, being the keeper itself, reaches one of the next nodes in rank. A
// partitioned node would otherwise grant itself a run that the keeper of the other nodes grants as well. The call
// carries the evidence on the message, since the next node in rank becomes its keeper if this node fails.
func (s *Service) reachesNextKeeper(ctx context.Context, key Key, ranked []membership.Member) bool {
	now, self := clock.Now(), s.viewer.View().Self
	// Run 0 releases no grant.
	request := s.releaseRequest(key, 0, now)
	remaining := maxKeepersTried
	for _, other := range ranked {
		if other.ID == self || s.unreached.IsUnreached(other.PeerAddress, now) {
			continue
		}
		if remaining--; remaining < 0 || ctx.Err() != nil {
			return false
		}
		bounded, cancel := context.WithTimeout(ctx, keeperTimeout)
		err := s.caller.Call(bounded, other.PeerAddress, methodRelease, request, &quarantinepb.ReleaseResponse{})
		cancel()
		if err == nil {
			return true
		}
		s.unreached.MarkUnreached(other.PeerAddress, clock.Now())
	}
	return len(ranked) == 1
}

// askKeeper asks one keeper for a grant, or renews the grant of a run at the replica with the given key, and merges the
// evidence that the keeper returns.
func (s *Service) askKeeper(
	ctx context.Context, key Key, run uint64, replicaKey replica.Key, item bool, keeper membership.Member,
) (*quarantinepb.GrantResponse, error) {
	now := clock.Now()
	s.mutex.Lock()
	request := &quarantinepb.GrantRequest{
		Message:   keyBytes(key),
		Run:       run,
		Incidents: s.evidence.encodeIncidents(key, now),
		Losses:    s.evidence.losses.encode(key, now),
		Replica:   uint64(replicaKey),
		Item:      item,
	}
	s.mutex.Unlock()
	if keeper.ID == s.viewer.View().Self {
		return s.handleGrant(request, now), nil
	}
	bounded, cancel := context.WithTimeout(ctx, keeperTimeout)
	defer cancel()
	response := &quarantinepb.GrantResponse{}
	if err := s.caller.Call(bounded, keeper.PeerAddress, methodGrant, request, response); err != nil {
		return nil, err
	}
	s.join(response, clock.Now())
	return response, nil
}

// releaseRequest returns the request that releases the grant of a run, with this node's evidence on the message.
func (s *Service) releaseRequest(key Key, run uint64, now time.Time) *quarantinepb.ReleaseRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &quarantinepb.ReleaseRequest{
		Message:   keyBytes(key),
		Run:       run,
		Incidents: s.evidence.encodeIncidents(key, now),
		Losses:    s.evidence.losses.encode(key, now),
	}
}

// releaseGrant releases a grant; a remote keeper is told in the background. If no call succeeds, the grant lapses.
func (s *Service) releaseGrant(key Key, run uint64, keeper membership.Member) {
	s.releaseQueue(key)
	now := clock.Now()
	request := s.releaseRequest(key, run, now)
	if keeper.ID == s.viewer.View().Self {
		s.handleRelease(request, now)
		return
	}
	s.inBackground(func() { s.sendRelease(keeper.PeerAddress, request) })
}

// sendRelease tells a keeper that a grant is released. While this node stops, only one call is made: it spares the next
// run the wait for the grant to lapse.
func (s *Service) sendRelease(to netip.AddrPort, request *quarantinepb.ReleaseRequest) {
	// tries is the number of calls; if none succeeds, the grant lapses within grantDuration.
	const tries = 3
	for range tries {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), keeperTimeout)
		err := s.caller.Call(bounded, to, methodRelease, request, &quarantinepb.ReleaseResponse{})
		cancel()
		if err == nil {
			return
		}
		s.logger.Info().Stringer(logging.FieldPeer, to).Err(err).Msg("grant_not_released")
		if s.ctx.Err() != nil {
			return
		}
	}
}
