package roster

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
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
	// witnesses is how many nodes that are no relays are asked in each round, to know whether others are reached.
	witnesses = 2
	// roundPause is the wait after each relay was asked in vain, behindPause that before a relay is asked again that knew less than is known
	// here, or gets no answers of the key-value service.
	roundPause  = 150 * time.Millisecond
	behindPause = 100 * time.Millisecond
	// seedHold is how long nodes of the settings are asked at a start whether the list is long: those with a data folder, which start with this
	// node, have read the first entries by then. seedTimeout bounds the wait for their answers, seedPatience that for one that knows.
	seedHold     = 250 * time.Millisecond
	seedTimeout  = 300 * time.Millisecond
	seedPatience = 2 * time.Second
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

// Follower follows a node's part of the list at the relays. It belongs to one goroutine, but for IsRelay and Longer.
type Follower struct {
	options FollowerOptions
	relays  zonerelay.Cache
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
	// reachedAt is when a node last answered that follows relays itself.
	reachedAt time.Time
}

// NewFollower returns a Follower that has asked nobody.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{options: options, started: time.Now()}
}

// edgeRelayAfter is how long after its start a node without a data folder takes itself for a relay: until then it may not know those of its
// zone that have one.
const edgeRelayAfter = 5 * time.Second

// storeRelayAfter is the same for one with a data folder, which knows itself alone at first.
const storeRelayAfter = 600 * time.Millisecond

// IsRelay says that this node is a relay by what it knows of the others.
func (f *Follower) IsRelay(now time.Time) bool {
	view := f.options.Viewer.View()
	self, found := view.Find(view.Self)
	patience := edgeRelayAfter
	if self.Store {
		patience = storeRelayAfter
	}
	return found && now.Sub(f.started) >= patience && f.relays.Of(view).SelfIsRelay()
}

// LongBySeeds asks the seeds whether the list is too long for each node to keep all; false where none says so in time. It spares the key-value
// service the first entries for each node of a large fleet that starts at once. Seeds that start as well are asked again for a while.
func (f *Follower) LongBySeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedPatience)
	defer cancel()
	for ctx.Err() == nil {
		response, starting := f.askSeeds(ctx)
		if response != nil {
			return !response.GetShort()
		}
		if !starting {
			break
		}
	}
	return false
}

// askSeeds asks all seeds at once and returns the first answer; starting says that one answers and does not know yet.
func (f *Follower) askSeeds(ctx context.Context) (response *rosterpb.FollowResponse, starting bool) {
	type answer struct {
		response *rosterpb.FollowResponse
		err      error
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answers := make(chan answer, len(f.options.Seeds))
	for _, seed := range f.options.Seeds {
		go func() {
			response, err := f.ask(ctx, seed, seedHold)
			answers <- answer{response, err}
		}()
	}
	for range f.options.Seeds {
		each := <-answers
		if each.err == nil {
			return each.response, false
		}
		var refused *transport.RemoteError
		starting = starting || errors.As(each.err, &refused)
	}
	return nil, starting
}

// LongByRelay asks one relay, another one with each attempt, whether the list is too long for each node to keep all.
func (f *Follower) LongByRelay(ctx context.Context, attempt int) bool {
	targets := f.targets()
	if len(targets) == 0 {
		return false
	}
	response, err := f.ask(ctx, targets[attempt%len(targets)], 0)
	return err == nil && !response.GetShort()
}

// Run follows until there is no more reason to.
func (f *Follower) Run(ctx context.Context) End {
	began := time.Now()
	f.attempt = 0
	for ctx.Err() == nil {
		now := time.Now()
		if f.IsRelay(now) {
			return EndRelay
		}
		if f.isAlone(began, now) {
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
func (f *Follower) isAlone(began, now time.Time) bool {
	last := began
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
	if f.attempt > 0 && time.Since(f.movedAt) >= firstRelayAgain {
		f.attempt, f.movedAt = 0, time.Now()
	}
	hold := holdTime
	if f.version == 0 || f.attempt > 0 && f.movedAt.After(f.tookAt) {
		hold = 0
	}
	response, err := f.ask(ctx, targets[f.attempt%len(targets)], hold)
	switch {
	case err != nil:
		f.giveUp(ctx, len(targets), 0)
	case response.GetKeptElsewhere():
		f.reachedAt = time.Now()
		f.giveUp(ctx, len(targets), 0)
	case response.GetShort():
		return true
	case f.isOlder(response, time.Now()):
		f.giveUp(ctx, len(targets), behindPause)
	default:
		f.take(response)
		if response.GetStale() {
			f.giveUp(ctx, len(targets), behindPause)
		}
	}
	return false
}

// giveUp has the next relay asked, after a pause.
func (f *Follower) giveUp(ctx context.Context, relays int, wait time.Duration) {
	if f.attempt == 0 {
		f.movedAt = time.Now()
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

// ask puts a question to a relay.
func (f *Follower) ask(ctx context.Context, relay netip.AddrPort, hold time.Duration) (*rosterpb.FollowResponse, error) {
	timeout := probeTimeout
	if hold > 0 {
		timeout = hold + answerSlack
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response := &rosterpb.FollowResponse{}
	err := f.options.Caller.Call(bounded, relay, methodFollow, &rosterpb.FollowRequest{
		Node: string(f.options.Node), Zone: f.options.Zone, Width: uint32(f.options.Keeper.Width(time.Now())),
		KnownRun: f.run, KnownVersion: f.version, HoldMicros: hold.Microseconds(),
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
	f.tookAt = time.Now()
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

// targets returns whom this node asks, in this order: the relays of its zone, those of other zones, each in an order that differs from node to
// node, and some nodes that are no relays.
func (f *Follower) targets() []netip.AddrPort {
	view := f.options.Viewer.View()
	relays := f.relays.Of(view)
	targets := f.inOrder(relays.InZone(f.options.Zone))
	var others []membership.Member
	for _, zone := range relays.Zones() {
		if zone != f.options.Zone {
			others = append(others, relays.InZone(zone)...)
		}
	}
	targets = append(targets, f.inOrder(others)...)
	return append(targets, f.witnesses(view, relays)...)
}

// witnesses draws some nodes that are no relays.
func (f *Follower) witnesses(view *membership.View, relays zonerelay.Relays) []netip.AddrPort {
	var found []netip.AddrPort
	for range witnesses {
		member := view.Members[rand.N(len(view.Members))]
		if member.ID != f.options.Node && member.State == membership.Alive && !relays.IsRelay(member.ID) {
			found = append(found, member.PeerAddress)
		}
	}
	return found
}

func (f *Follower) inOrder(relays []membership.Member) []netip.AddrPort {
	rank := func(member membership.Member) uint64 {
		return xxhash.Sum64String(string(f.options.Node) + "\x00" + string(member.ID))
	}
	ordered := slices.SortedFunc(slices.Values(relays), func(one, other membership.Member) int { return cmp.Compare(rank(one), rank(other)) })
	var addresses []netip.AddrPort
	for _, relay := range ordered {
		if relay.ID != f.options.Node {
			addresses = append(addresses, relay.PeerAddress)
		}
	}
	return addresses
}
