package roster

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	rosterpb "github.com/sloelift/sloelift/api/proto/roster"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport"
)

const (
	methodFollow transport.Method = "roster.follow"
	// maxHold bounds how long a poll is held, whatever the node requests.
	maxHold = time.Second
	// maxWidth bounds the width of a part that a node may request.
	maxWidth = 1 << 16
)

// Relay answers the polls of nodes that follow their part of the list. It is safe for concurrent
// use.
type Relay struct {
	roster *Roster
	// stale reports whether the key-value service does not answer this node at present.
	stale func() bool
	run   uint64

	mutex       sync.Mutex
	version     uint64
	lastAnswers *lastAnswers
}

// NewRelay returns a Relay that serves roster, and registers its method.
func NewRelay(roster *Roster, stale func() bool, registrar transport.Registrar) *Relay {
	relay := &Relay{roster: roster, stale: stale, run: rand.Uint64(), lastAnswers: newLastAnswers(clock.Now())}
	transport.Handle(registrar, methodFollow, func() *rosterpb.FollowRequest { return &rosterpb.FollowRequest{} },
		func(ctx context.Context, _ netip.AddrPort, request *rosterpb.FollowRequest) (*rosterpb.FollowResponse, error) {
			return relay.answer(ctx, request)
		})
	return relay
}

// answer holds a poll until the node's part has changed or the hold is over.
func (r *Relay) answer(ctx context.Context, request *rosterpb.FollowRequest) (*rosterpb.FollowResponse, error) {
	hold := min(maxHold, time.Duration(request.GetHoldMicros())*time.Microsecond)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for expired := false; ; {
		changed := r.roster.Changed()
		if response, sendNow := r.currentAnswer(request); sendNow || expired && response != nil {
			return response, nil
		}
		if expired {
			return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the list of replicas is not known here yet")
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// currentAnswer returns the answer to a poll at this moment, nil if there is none. sendNow
// reports whether it must be sent at once rather than at the end of the hold.
func (r *Relay) currentAnswer(request *rosterpb.FollowRequest) (response *rosterpb.FollowResponse, sendNow bool) {
	loaded, long := r.roster.Loaded(), r.roster.Long()
	switch {
	case loaded && long:
		return r.partAnswer(request, clock.Now())
	case loaded:
		return &rosterpb.FollowResponse{Short: true}, true
	case long:
		return &rosterpb.FollowResponse{KeptElsewhere: true}, true
	default:
		return nil, false
	}
}

// partAnswer returns the change of the node's part since its last answer. sendNow reports
// whether it must be sent at once.
func (r *Relay) partAnswer(request *rosterpb.FollowRequest, now time.Time) (response *rosterpb.FollowResponse, sendNow bool) {
	part := Part{Node: request.GetNode(), Zone: request.GetZone(), Width: min(maxWidth, max(1, int(request.GetWidth())))}
	wanted := r.roster.selectPart(part)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	response = &rosterpb.FollowResponse{
		Run:       r.run,
		Version:   request.GetKnownVersion(),
		Revision:  wanted.revision,
		Elsewhere: encodeElsewhere(wanted.elsewhere),
		Stale:     r.stale(),
		Copied:    wanted.copied,
	}
	var known *lastAnswer
	if request.GetKnownRun() == r.run {
		known = r.lastAnswers.lookup(part.Node, request.GetKnownVersion(), now)
	}
	if known == nil {
		response.Whole = true
		known = &lastAnswer{}
	}
	delta := diffParts(known.sent, wanted.entries)
	if delta.empty() && !response.Whole {
		return response, response.Stale && !request.GetAcceptStale()
	}
	r.version++
	response.Version = r.version
	r.lastAnswers.set(part.Node, wanted.entries, r.version, now)
	for _, changed := range delta.changed {
		response.Replicas = append(response.Replicas, encode(changed.Info))
	}
	for _, id := range delta.removed {
		if _, listed := r.roster.Find(id); listed {
			response.PassedOver = append(response.PassedOver, id)
		} else {
			response.Gone = append(response.Gone, id)
		}
	}
	return response, true
}
