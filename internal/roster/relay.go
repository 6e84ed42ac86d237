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
	// longestHold bounds how long an answer is held whatever the asking node wants.
	longestHold = time.Second
	// widest bounds the part that a node may ask for.
	widest = 1 << 16
)

// Relay answers the nodes that follow their part of the list. It is safe for concurrent use.
type Relay struct {
	roster *Roster
	// stale says that the key-value service does not answer this node at present.
	stale func() bool
	run   uint64

	mutex     sync.Mutex
	version   uint64
	bookmarks *bookmarks
}

// NewRelay returns a Relay of what roster holds, and registers its method.
func NewRelay(roster *Roster, stale func() bool, registrar transport.Registrar) *Relay {
	relay := &Relay{roster: roster, stale: stale, run: rand.Uint64(), bookmarks: newBookmarks(clock.Now())}
	transport.Handle(registrar, methodFollow, func() *rosterpb.FollowRequest { return &rosterpb.FollowRequest{} },
		func(ctx context.Context, _ netip.AddrPort, request *rosterpb.FollowRequest) (*rosterpb.FollowResponse, error) {
			return relay.answer(ctx, request)
		})
	return relay
}

// answer holds a question until something of the asking node's part has changed, or its time is over.
func (r *Relay) answer(ctx context.Context, request *rosterpb.FollowRequest) (*rosterpb.FollowResponse, error) {
	hold := min(longestHold, time.Duration(request.GetHoldMicros())*time.Microsecond)
	over := time.NewTimer(hold)
	defer over.Stop()
	for held := false; ; {
		changed := r.roster.Changed()
		if response, news := r.present(request); news || held && response != nil {
			return response, nil
		}
		if held {
			return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "the list of replicas is not known here yet")
		}
		select {
		case <-changed:
		case <-over.C:
			held = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// present returns the answer that can be given now, nil where there is none; news says that it is more than a sign of life.
func (r *Relay) present(request *rosterpb.FollowRequest) (response *rosterpb.FollowResponse, news bool) {
	loaded, long := r.roster.Loaded(), r.roster.Long()
	switch {
	case loaded && long:
		return r.compare(request, clock.Now())
	case loaded:
		return &rosterpb.FollowResponse{Short: true}, true
	case long:
		return &rosterpb.FollowResponse{KeptElsewhere: true}, true
	default:
		return nil, false
	}
}

// compare returns what the asking node is to be sent now; news says that this is more than a sign of life.
func (r *Relay) compare(request *rosterpb.FollowRequest, now time.Time) (response *rosterpb.FollowResponse, news bool) {
	part := Part{Node: request.GetNode(), Zone: request.GetZone(), Width: min(widest, max(1, int(request.GetWidth())))}
	wanted := r.roster.selects(part)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	response = &rosterpb.FollowResponse{
		Run: r.run, Version: request.GetKnownVersion(), Revision: wanted.revision, Elsewhere: encodeElsewhere(wanted.elsewhere), Stale: r.stale(), Copied: wanted.copied,
	}
	var known *bookmark
	if request.GetKnownRun() == r.run {
		known = r.bookmarks.of(part.Node, request.GetKnownVersion(), now)
	}
	if known == nil {
		response.Whole = true
		known = &bookmark{}
	}
	found := differs(known.sent, wanted.entries)
	if found.empty() && !response.Whole {
		return response, response.Stale && !request.GetAcceptStale()
	}
	r.version++
	response.Version = r.version
	r.bookmarks.set(part.Node, wanted.entries, r.version, now)
	for _, each := range found.changed {
		response.Replicas = append(response.Replicas, encode(each.Info))
	}
	for _, id := range found.left {
		if _, lives := r.roster.Find(id); lives {
			response.PassedOver = append(response.PassedOver, id)
		} else {
			response.Gone = append(response.Gone, id)
		}
	}
	return response, true
}
