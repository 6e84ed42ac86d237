package roster

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/pause"
	"github.com/sloelift/sloelift/internal/replica"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/zonerelay"
)

const (
	// holdTime is how long a relay holds a poll without changes; its empty answer then shows that
	// it is alive.
	holdTime = 500 * time.Millisecond
	// responseMargin is how much longer than the hold an answer may take, for a relay that has
	// little CPU and has just had many changes to process.
	responseMargin = 400 * time.Millisecond
	// probeTimeout bounds the first poll of another relay, which does not hold it.
	probeTimeout = 300 * time.Millisecond
	// noAnswerTimeout is how long after the last answer a node polls relays before it reads the
	// whole list itself. It is noAnswerTimeoutWithPeers if the node reaches others that follow
	// relays as well: then all relays were lost, and if all nodes read the whole list at that
	// moment, the new relays, which are known after some seconds, would not get theirs.
	noAnswerTimeout          = 3500 * time.Millisecond
	noAnswerTimeoutWithPeers = 12 * time.Second
	// roundBackoff is the delay after all relays were polled without success. behindBackoff is the
	// delay after a relay that knew an older revision than this node, or that gets no answers of
	// the key-value service.
	roundBackoff  = 150 * time.Millisecond
	behindBackoff = 100 * time.Millisecond
	// firstRelayRetry is how long after switching to another relay the first one is tried again.
	firstRelayRetry = 5 * time.Second
	// olderRevisionTimeout is how long answers with an older revision than the known one are
	// refused. The key-value service never loses an acknowledged write, and one restored from a
	// backup is followed after this time.
	olderRevisionTimeout = 10 * time.Second
)

// End is the reason why a node no longer follows its part at relays.
type End int

const (
	// EndStopped: the context has ended.
	EndStopped End = iota
	// EndShort: there are so few replicas that each node keeps all of them.
	EndShort
	// EndRelay: this node has become a relay.
	EndRelay
	// EndNoRelay: no relay answers.
	EndNoRelay
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Node   membership.NodeID
	Zone   string
	Caller transport.Caller
	Viewer membership.Viewer
	Keeper *Keeper
	// Seeds are the nodes to ask at the start whether the list is long. It is empty on a node that
	// reads the first entries itself.
	Seeds  []netip.AddrPort
	Logger zerolog.Logger
}

// Follower follows a node's part of the list at the relays. It is used by one goroutine, except for
// IsRelay, and for LongByRelay while Run is not running.
type Follower struct {
	options     FollowerOptions
	relays      membership.ViewCache[zonerelay.Relays]
	joinTracker membership.JoinTracker
	started     time.Time

	// run and version identify the last answer; version is 0 if the whole part is to be requested.
	// copied reports whether the answer came from a saved copy of the list.
	run, version uint64
	copied       bool
	// revision is that of the last accepted answer, lastAnswerAt when it was accepted. olderSince
	// is since when answers have had an older revision; zero if the last one had not.
	revision     int64
	lastAnswerAt time.Time
	olderSince   time.Time
	// attempt counts the relays given up in a row since switchedAt.
	attempt    int
	switchedAt time.Time
	// staleAnswers counts the consecutive answers of relays that get no answers of the key-value
	// service.
	staleAnswers int
	// runStarted is when the current Run began.
	runStarted time.Time
	// peerAnsweredAt is when a node last answered that follows relays itself, or that has not
	// learnt yet that the list is long.
	peerAnsweredAt time.Time
}

// NewFollower returns a Follower that has not polled a relay yet.
func NewFollower(options FollowerOptions) *Follower {
	follower := &Follower{options: options, started: clock.Now()}
	follower.joinTracker.SettledFor(options.Viewer.View(), follower.started)
	return follower
}

// edgeRelayDelay is how long after its start a node without a data folder does not act as a relay:
// until then it may not know the members of its zone that have a data folder.
const edgeRelayDelay = 5 * time.Second

// storeRelayDelay is the same for a node with a data folder, which knows only itself at first, and
// also the time for which it must have learnt of no further nodes; maxJoinWait bounds that wait.
// Otherwise many nodes that start at once would each read the whole list.
const (
	storeRelayDelay = 600 * time.Millisecond
	maxJoinWait     = 2 * time.Second
)

// IsRelay reports whether this node is a relay according to its current view.
func (f *Follower) IsRelay(now time.Time) bool {
	uptime := now.Sub(f.started)
	joining := f.joinTracker.Joining(f.options.Viewer.View(), now, uptime, storeRelayDelay, maxJoinWait)
	chosen, hasStore := f.selfChosen()
	return chosen && !joining && (hasStore || uptime >= edgeRelayDelay)
}

// MayBeRelay reports whether this node, which holds the list already, should keep it: it has a data
// folder and is a relay among the nodes known so far. It saves nodes that start at once the wait
// until the relays know each other.
func (f *Follower) MayBeRelay() bool {
	chosen, hasStore := f.selfChosen()
	return chosen && hasStore
}

// selfChosen reports whether this node is a relay in the current view, and whether it has a data
// folder.
func (f *Follower) selfChosen() (chosen, hasStore bool) {
	view := f.options.Viewer.View()
	self, found := view.Find(view.Self)
	return found && f.relays.Get(view, zonerelay.Select).SelfIsRelay(), self.Store
}

// Run follows the relays until ctx ends or another End applies.
func (f *Follower) Run(ctx context.Context) End {
	f.runStarted, f.attempt = clock.Now(), 0
	for ctx.Err() == nil {
		now := clock.Now()
		if f.IsRelay(now) {
			return EndRelay
		}
		if f.relaysTimedOut(now) {
			f.options.Logger.Warn().Int("attempts", f.attempt).Msg("no_relay_answers")
			return EndNoRelay
		}
		targets := f.targets()
		if len(targets) == 0 {
			pause.Sleep(ctx, roundBackoff)
			continue
		}
		if f.pollRelay(ctx, targets) {
			return EndShort
		}
	}
	return EndStopped
}

// relaysTimedOut reports whether no relay has answered for too long.
func (f *Follower) relaysTimedOut(now time.Time) bool {
	last := f.runStarted
	if f.lastAnswerAt.After(last) {
		last = f.lastAnswerAt
	}
	timeout := noAnswerTimeout
	if f.peerAnsweredAt.After(last) {
		timeout = noAnswerTimeoutWithPeers
	}
	return now.Sub(last) >= timeout
}

// pollRelay polls one relay and applies its answer. short reports whether the list is so short that
// each node keeps all replicas.
func (f *Follower) pollRelay(ctx context.Context, targets []netip.AddrPort) (short bool) {
	if f.attempt > 0 && clock.Since(f.switchedAt) >= firstRelayRetry {
		f.attempt, f.switchedAt = 0, clock.Now()
	}
	hold := holdTime
	if f.version == 0 || f.attempt > 0 && f.switchedAt.After(f.lastAnswerAt) {
		hold = 0
	}
	response, err := f.askFor(ctx, targets[f.attempt%len(targets)], hold, f.acceptsStale(len(targets)))
	switch {
	case err != nil:
		f.switchRelay(ctx, len(targets), 0)
	case response.GetKeptElsewhere():
		f.peerAnsweredAt = clock.Now()
		f.switchRelay(ctx, len(targets), 0)
	case response.GetShort() && f.relayMayBeBehind(clock.Now()):
		f.peerAnsweredAt = clock.Now()
		f.switchRelay(ctx, len(targets), behindBackoff)
	case response.GetShort():
		return true
	case f.refusesOlder(response, clock.Now()):
		f.switchRelay(ctx, len(targets), behindBackoff)
	default:
		f.apply(response)
		f.afterAnswer(ctx, response.GetStale(), len(targets))
	}
	return false
}

// relayMayBeBehind reports whether a relay that knows a short list may not have learnt yet of the
// long one because of which this node polls it. If all nodes read the store again after such an
// answer, the relays would not get their lists.
func (f *Follower) relayMayBeBehind(now time.Time) bool {
	return f.lastAnswerAt.Before(f.runStarted) && now.Sub(f.runStarted) < olderRevisionTimeout
}

// afterAnswer switches to the next relay if this one gets no answers of the key-value service. Once
// all relays report that, the service itself is down, and the first relay is used.
func (f *Follower) afterAnswer(ctx context.Context, stale bool, relays int) {
	if !stale {
		f.staleAnswers = 0
		return
	}
	f.staleAnswers++
	if f.acceptsStale(relays) {
		f.attempt = 0
		return
	}
	f.switchRelay(ctx, relays, behindBackoff)
}

// acceptsStale reports whether all relays get no answers of the key-value service.
func (f *Follower) acceptsStale(relays int) bool { return f.staleAnswers >= relays }

// switchRelay switches to the next relay after a delay of at least wait.
func (f *Follower) switchRelay(ctx context.Context, relays int, wait time.Duration) {
	if f.attempt == 0 {
		f.switchedAt = clock.Now()
	}
	f.attempt++
	if f.attempt%relays == 0 {
		wait = max(wait, roundBackoff)
	}
	pause.Sleep(ctx, wait)
}

// refusesOlder reports whether an answer is to be refused because its revision is older than the
// known one.
func (f *Follower) refusesOlder(response *rosterpb.FollowResponse, now time.Time) bool {
	if response.GetRevision() >= f.revision {
		f.olderSince = time.Time{}
		return false
	}
	if f.olderSince.IsZero() {
		f.olderSince = now
	}
	return now.Sub(f.olderSince) < olderRevisionTimeout
}

// ask polls a node.
func (f *Follower) ask(ctx context.Context, node netip.AddrPort, hold time.Duration) (*rosterpb.FollowResponse, error) {
	return f.askFor(ctx, node, hold, false)
}

// askFor polls a relay. With acceptStale the relay holds the poll even if it gets no answers of the
// key-value service.
func (f *Follower) askFor(ctx context.Context, relay netip.AddrPort, hold time.Duration, acceptStale bool) (*rosterpb.FollowResponse, error) {
	timeout := probeTimeout
	if hold > 0 {
		timeout = hold + responseMargin
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := &rosterpb.FollowResponse{}
	err := f.options.Caller.Call(bounded, relay, methodFollow, &rosterpb.FollowRequest{
		Node:         string(f.options.Node),
		Zone:         f.options.Zone,
		Width:        uint32(f.options.Keeper.Width(clock.Now())),
		KnownRun:     f.run,
		KnownVersion: f.version,
		HoldMicros:   hold.Microseconds(),
		AcceptStale:  acceptStale,
	}, response)
	if err != nil {
		f.options.Logger.Debug().Err(err).Stringer(logging.FieldPeer, relay).Msg("relay_not_answering")
		return nil, err
	}
	return response, nil
}

// apply applies an answer to the keeper.
func (f *Follower) apply(response *rosterpb.FollowResponse) {
	replicas, err := decodeAll(response.GetReplicas())
	if err != nil {
		// The other replicas are valid; those that could not be decoded are treated as missing.
		f.options.Logger.Error().Err(err).Msg("replicas_of_relay_not_read")
	}
	elsewhere := decodeElsewhere(response.GetElsewhere())
	if response.GetWhole() {
		f.options.Keeper.Replace(replicas, elsewhere, response.GetCopied())
		f.options.Logger.Info().
			Int("replicas", len(replicas)).
			Int64(logging.FieldRevision, response.GetRevision()).
			Bool("copied", response.GetCopied()).
			Msg("part_of_replicas_taken")
	} else {
		f.options.Keeper.Update(replicas, response.GetGone(), response.GetPassedOver(), elsewhere)
	}
	f.run, f.version, f.revision = response.GetRun(), response.GetVersion(), response.GetRevision()
	if f.copied && !response.GetCopied() && !response.GetWhole() {
		// The key-value service has confirmed the copy: request the whole part, to replace the
		// copied one.
		f.version = 0
	}
	f.copied = response.GetCopied()
	f.lastAnswerAt = clock.Now()
}

func decodeAll(messages []*rosterpb.Replica) (replicas []replica.Info, errs error) {
	for _, message := range messages {
		info, err := decode(message)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		replicas = append(replicas, info)
	}
	return replicas, errs
}
