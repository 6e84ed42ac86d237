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
	// holdTime is how long a relay holds a question without news; its answer then is its sign of life.
	holdTime = 500 * time.Millisecond
	// answerSlack is how much longer an answer is waited for: a relay with part of a core that has just had many changes.
	answerSlack = 400 * time.Millisecond
	// probeTimeout bounds the first question to another relay, which does not hold it.
	probeTimeout = 300 * time.Millisecond
	// alonePatience is how long after its last answer a node asks relays before it reads the whole list itself. A node that reaches others which
	// follow relays as well waits for peersPatience: all relays were lost, and if all nodes read the whole list then, the new relays, which are
	// known after some seconds, would not get theirs.
	alonePatience = 3500 * time.Millisecond
	peersPatience = 12 * time.Second
	// roundPause is the wait after each relay was asked in vain, behindPause that before a relay is asked again that knew less than is known
	// here, or gets no answers of the key-value service.
	roundPause  = 150 * time.Millisecond
	behindPause = 100 * time.Millisecond
	// firstRelayAgain is how long after another relay stood in the first one is tried again.
	firstRelayAgain = 5 * time.Second
	// olderPatience is how long answers are refused that are older than what is known here: the key-value service never loses what it has
	// acknowledged, and one that was restored from a backup is followed after this time.
	olderPatience = 10 * time.Second
)

// End says why a node no longer follows its part at relays.
type End int

const (
	// EndStopped: the context has ended.
	EndStopped End = iota
	// EndShort: there are so few replicas that each node keeps all.
	EndShort
	// EndRelay: this node is a relay now.
	EndRelay
	// EndAlone: no relay answers.
	EndAlone
)

// FollowerOptions are what a Follower needs.
type FollowerOptions struct {
	Node   membership.NodeID
	Zone   string
	Caller transport.Caller
	Viewer membership.Viewer
	Keeper *Keeper
	// Seeds are nodes to ask at the start whether the list is long; none on a node that reads the first entries itself.
	Seeds  []netip.AddrPort
	Logger zerolog.Logger
}

// Follower follows a node's part of the list at the relays. It belongs to one goroutine, but for IsRelay, and for LongByRelay while Run does not run.
type Follower struct {
	options FollowerOptions
	relays  membership.PerView[zonerelay.Relays]
	growth  membership.Growth
	started time.Time

	// run and version name the last answer; version is 0 where the whole part is to be asked for. copied says that it was by a copy.
	run, version uint64
	copied       bool
	// revision is the newest that an answer had, tookAt when the last answer was taken, and olderSince since when answers were older; zero
	// where the last one was not.
	revision   int64
	tookAt     time.Time
	olderSince time.Time
	// attempt counts the relays that were given up one after another since movedAt.
	attempt int
	movedAt time.Time
	// staleAnswers counts those in a row of relays that get no answers of the key-value service.
	staleAnswers int
	// began is when the present Run began.
	began time.Time
	// reachedAt is when a node last answered that follows relays itself, or one that has still to learn that the list is long.
	reachedAt time.Time
}

// NewFollower returns a Follower that has asked nobody.
func NewFollower(options FollowerOptions) *Follower {
	follower := &Follower{options: options, started: clock.Now()}
	follower.growth.SettledFor(options.Viewer.View(), follower.started)
	return follower
}

// edgeRelayAfter is how long after its start a node without a data folder takes itself for a relay: until then it may not know those of its
// zone that have one.
const edgeRelayAfter = 5 * time.Second

// storeRelayAfter is the same for one with a data folder, which knows itself alone at first, and the time for which it has learnt of no further
// nodes; longestSettling bounds that wait. Else many of those that start at once would each read the whole list.
const (
	storeRelayAfter = 600 * time.Millisecond
	longestSettling = 2 * time.Second
)

// IsRelay says that this node is a relay by what it knows of the others.
func (f *Follower) IsRelay(now time.Time) bool {
	since := now.Sub(f.started)
	joining := f.growth.Joining(f.options.Viewer.View(), now, since, storeRelayAfter, longestSettling)
	chosen, hasStore := f.chosen()
	return chosen && !joining && (hasStore || since >= edgeRelayAfter)
}

// MayBeRelay says that this node, which has the list already, is to keep it: it has a data folder and is a relay by as many nodes as it knows. It
// saves those that start at once the wait for relays that know each other.
func (f *Follower) MayBeRelay() bool {
	chosen, hasStore := f.chosen()
	return chosen && hasStore
}

// chosen says that this node is one of the relays by the present view, and whether it has a data folder.
func (f *Follower) chosen() (chosen, hasStore bool) {
	view := f.options.Viewer.View()
	self, found := view.Find(view.Self)
	return found && f.relays.Of(view, zonerelay.Of).SelfIsRelay(), self.Store
}

// Run follows until there is no more reason to.
func (f *Follower) Run(ctx context.Context) End {
	f.began, f.attempt = clock.Now(), 0
	for ctx.Err() == nil {
		now := clock.Now()
		if f.IsRelay(now) {
			return EndRelay
		}
		if f.isAlone(now) {
			f.options.Logger.Warn().Int("attempts", f.attempt).Msg("no_relay_answers")
			return EndAlone
		}
		targets := f.targets()
		if len(targets) == 0 {
			pause.Sleep(ctx, roundPause)
			continue
		}
		if f.step(ctx, targets) {
			return EndShort
		}
	}
	return EndStopped
}

// isAlone says that no relay has answered for long.
func (f *Follower) isAlone(now time.Time) bool {
	last := f.began
	if f.tookAt.After(last) {
		last = f.tookAt
	}
	patience := alonePatience
	if f.reachedAt.After(last) {
		patience = peersPatience
	}
	return now.Sub(last) >= patience
}

// step asks one relay and takes its answer; short says that each node keeps all replicas.
func (f *Follower) step(ctx context.Context, targets []netip.AddrPort) (short bool) {
	if f.attempt > 0 && clock.Since(f.movedAt) >= firstRelayAgain {
		f.attempt, f.movedAt = 0, clock.Now()
	}
	hold := holdTime
	if f.version == 0 || f.attempt > 0 && f.movedAt.After(f.tookAt) {
		hold = 0
	}
	response, err := f.askFor(ctx, targets[f.attempt%len(targets)], hold, f.acceptsStale(len(targets)))
	switch {
	case err != nil:
		f.giveUp(ctx, len(targets), 0)
	case response.GetKeptElsewhere():
		f.reachedAt = clock.Now()
		f.giveUp(ctx, len(targets), 0)
	case response.GetShort() && f.mayBeBehind(clock.Now()):
		f.reachedAt = clock.Now()
		f.giveUp(ctx, len(targets), behindPause)
	case response.GetShort():
		return true
	case f.isOlder(response, clock.Now()):
		f.giveUp(ctx, len(targets), behindPause)
	default:
		f.take(response)
		f.afterAnswer(ctx, response.GetStale(), len(targets))
	}
	return false
}

// mayBeBehind says that a relay which knows a short list may still have to learn of the long one for which this node asks it. If all nodes read the store
// again for such an answer, the relays would not get their lists.
func (f *Follower) mayBeBehind(now time.Time) bool {
	return f.tookAt.Before(f.began) && now.Sub(f.began) < olderPatience
}

// afterAnswer has another relay asked where this one gets no answers of the key-value service, until all have said so: then the service is down,
// and the first relay is as good as any.
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
	f.giveUp(ctx, relays, behindPause)
}

// acceptsStale says that all relays get no answers of the key-value service.
func (f *Follower) acceptsStale(relays int) bool { return f.staleAnswers >= relays }

// giveUp has the next relay asked, after a pause.
func (f *Follower) giveUp(ctx context.Context, relays int, wait time.Duration) {
	if f.attempt == 0 {
		f.movedAt = clock.Now()
	}
	f.attempt++
	if f.attempt%relays == 0 {
		wait = max(wait, roundPause)
	}
	pause.Sleep(ctx, wait)
}

// isOlder says that an answer is to be refused, for it is older than what is known.
func (f *Follower) isOlder(response *rosterpb.FollowResponse, now time.Time) bool {
	if response.GetRevision() >= f.revision {
		f.olderSince = time.Time{}
		return false
	}
	if f.olderSince.IsZero() {
		f.olderSince = now
	}
	return now.Sub(f.olderSince) < olderPatience
}

// ask puts a question to a node.
func (f *Follower) ask(ctx context.Context, node netip.AddrPort, hold time.Duration) (*rosterpb.FollowResponse, error) {
	return f.askFor(ctx, node, hold, false)
}

// askFor puts a question to a relay; acceptStale has it hold the answer though the key-value service does not answer it.
func (f *Follower) askFor(ctx context.Context, relay netip.AddrPort, hold time.Duration, acceptStale bool) (*rosterpb.FollowResponse, error) {
	timeout := probeTimeout
	if hold > 0 {
		timeout = hold + answerSlack
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := &rosterpb.FollowResponse{}
	err := f.options.Caller.Call(bounded, relay, methodFollow, &rosterpb.FollowRequest{
		Node: string(f.options.Node), Zone: f.options.Zone, Width: uint32(f.options.Keeper.Width(clock.Now())),
		KnownRun: f.run, KnownVersion: f.version, HoldMicros: hold.Microseconds(), AcceptStale: acceptStale,
	}, response)
	if err != nil {
		f.options.Logger.Debug().Err(err).Stringer(logging.FieldPeer, relay).Msg("relay_not_answering")
		return nil, err
	}
	return response, nil
}

// take takes in an answer.
func (f *Follower) take(response *rosterpb.FollowResponse) {
	replicas, err := decodeAll(response.GetReplicas())
	if err != nil {
		// The rest holds; what could not be read is as good as not there.
		f.options.Logger.Error().Err(err).Msg("replicas_of_relay_not_read")
	}
	elsewhere := decodeElsewhere(response.GetElsewhere())
	if response.GetWhole() {
		f.options.Keeper.Replace(replicas, elsewhere, response.GetCopied())
		f.options.Logger.Info().Int("replicas", len(replicas)).Int64(logging.FieldRevision, response.GetRevision()).Bool("copied", response.GetCopied()).
			Msg("part_of_replicas_taken")
	} else {
		f.options.Keeper.Update(replicas, response.GetGone(), response.GetPassedOver(), elsewhere)
	}
	f.run, f.version, f.revision = response.GetRun(), response.GetVersion(), response.GetRevision()
	if f.copied && !response.GetCopied() && !response.GetWhole() {
		// The key-value service has confirmed the copy: the whole part is to be taken as confirmed.
		f.version = 0
	}
	f.copied = response.GetCopied()
	f.tookAt = clock.Now()
}

func decodeAll(messages []*rosterpb.Replica) (replicas []replica.Info, failures error) {
	for _, message := range messages {
		info, err := decode(message)
		if err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		replicas = append(replicas, info)
	}
	return replicas, failures
}
