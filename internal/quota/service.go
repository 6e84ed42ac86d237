package quota

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	quotapb "github.com/sloelift/sloelift/api/proto/quota"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/tenant"
	"github.com/sloelift/sloelift/internal/transport"
	"github.com/sloelift/sloelift/internal/unreached"
)

// Transport methods between edges.
const (
	methodGrant   transport.Method = "quota.grant"
	methodRelease transport.Method = "quota.release"
	methodLend    transport.Method = "quota.lend"
)

// unreachedDuration is how long an edge that did not answer is skipped. A killed process is back within a second or two, and meanwhile one
// request per second and edge waits for an answer that does not come.
const unreachedDuration = time.Second

// Verdict is the decision whether a request may be sent to a replica.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
}

// Service enforces the limits of tenants together with the other edges. It is safe for concurrent use.
type Service struct {
	allowance Allowance
	viewer    membership.Viewer
	caller    transport.Caller
	logger    zerolog.Logger
	requests  *prometheus.CounterVec
	started   time.Time
	unreached *unreached.Peers
	// zones tracks the zones that are partitioned off. Without it, each edge of such a zone would delay its tenants' requests by askTimeout.
	zones      *unreached.Zones
	rankings   rankings
	contact    contact
	lender     *lender
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	// mutex guards the fields below. The keys of the maps are names of tenants.
	mutex sync.Mutex
	// grantStates and borrowers are the tenants that this node grants for, the latter from leased parts.
	grantStates map[string]*grantState
	borrowers   map[string]*borrower
	// initialLevelUsedAt is when this node last started a bucket with a part of the slack.
	initialLevelUsedAt map[string]time.Time
	// requesters are the tenants for whose requests this node asks for grants.
	requesters map[string]*requester
	stopped    bool
}

// NewService returns a Service and registers its transport methods and metrics.
func NewService(
	allowance Allowance, viewer membership.Viewer, caller transport.Caller, registrar transport.Registrar,
	registerer prometheus.Registerer, logger zerolog.Logger,
) *Service {
	service := &Service{
		allowance: allowance, viewer: viewer, caller: caller, started: clock.Now(),
		unreached: unreached.NewPeers(unreachedDuration), zones: unreached.NewZones(),
		logger: logger.With().Str(logging.FieldSlice, "quota").Logger(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_quota_requests_total", Help: "Requests of tenants with a limit, by verdict and by whether a grantor decided.",
		}, []string{"verdict", "decided_by"}),
		grantStates: map[string]*grantState{}, borrowers: map[string]*borrower{}, lender: newLender(clock.Now()),
		initialLevelUsedAt: map[string]time.Time{}, requesters: map[string]*requester{},
	}
	service.ctx, service.cancel = context.WithCancel(context.Background())
	registerer.MustRegister(service.requests)
	transport.Handle(registrar, methodGrant, func() *quotapb.GrantRequest { return &quotapb.GrantRequest{} },
		func(ctx context.Context, from netip.AddrPort, request *quotapb.GrantRequest) (*quotapb.GrantResponse, error) {
			service.noteContact(from)
			return service.grant(ctx, request), nil
		})
	transport.Handle(registrar, methodRelease, func() *quotapb.ReleaseRequest { return &quotapb.ReleaseRequest{} },
		func(_ context.Context, from netip.AddrPort, request *quotapb.ReleaseRequest) (*quotapb.ReleaseResponse, error) {
			service.noteContact(from)
			return service.handOver(request.GetTenant()), nil
		})
	transport.Handle(registrar, methodLend, func() *quotapb.LendRequest { return &quotapb.LendRequest{} },
		func(_ context.Context, from netip.AddrPort, request *quotapb.LendRequest) (*quotapb.LendResponse, error) {
			service.noteContact(from)
			return service.lendPart(request), nil
		})
	return service
}

// Stop cancels the calls in flight and waits for background work to end; pending requests are refused.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.background.Wait()
}

// Admit decides whether a request of the tenant holder may be sent, under the limit from the given version of the configuration. It returns a
// refusal as soon as ctx ends.
func (s *Service) Admit(ctx context.Context, holder *tenant.Tenant, version int64) Verdict {
	if holder.Limit.Unlimited() {
		return Verdict{Admitted: true}
	}
	return s.requesterOf(holder.Name).admit(ctx, holder.Limit, version)
}

// GiveBack returns the grant of an admitted request that no replica has run or will run.
func (s *Service) GiveBack(holder *tenant.Tenant) {
	if !holder.Limit.Unlimited() {
		s.requesterOf(holder.Name).giveBack()
	}
}

func (s *Service) requesterOf(tenantName string) *requester {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.requesters[tenantName]
	if current == nil {
		current = &requester{service: s, tenant: tenantName}
		s.requesters[tenantName] = current
	}
	return current
}

// noteContact records that another edge called: this node is connected, and that edge is reachable.
func (s *Service) noteContact(from netip.AddrPort) {
	s.contact.record(clock.Now())
	s.unreached.Forget(from)
}

// unreachable reports whether a peer recently did not answer, or is in a zone that is partitioned off. It starts a probe of such a zone when
// one is due. This node itself always counts as reachable, even if the rest of its zone is not: otherwise it would not lend itself its own
// part.
func (s *Service) unreachable(peer membership.Member, now time.Time) bool {
	if peer.ID == s.viewer.View().Self {
		return false
	}
	zone := s.zones.Get(peer.Zone)
	if zone.ProbeDue(now) {
		s.startBackground(func() { s.probeZone(peer.Zone) })
	}
	return zone.CutOff() || s.unreached.IsUnreached(peer.PeerAddress, now)
}

// probeZone probes whether another edge of a zone answers again. It leaves out this node: by its own answer a partitioned edge would count as
// connected, and grant in addition to the others. The probe is a release for an empty tenant name, which changes nothing.
func (s *Service) probeZone(zone string) {
	var edges []membership.Member
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.ID != view.Self && member.Zone == zone && !member.Store && member.State != membership.Dead {
			edges = append(edges, member)
		}
	}
	rand.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
	var calls sync.WaitGroup
	for _, edge := range edges[:min(contactProbeCount, len(edges))] {
		calls.Go(func() {
			err := s.callEdge(s.ctx, edge, methodRelease, &quotapb.ReleaseRequest{}, &quotapb.ReleaseResponse{}, askTimeout)
			s.logger.Debug().Str(logging.FieldPeer, string(edge.ID)).Err(err).Msg("zone_probed")
		})
	}
	calls.Wait()
}

func (s *Service) rankingOf(tenantName string) ranking {
	return s.rankings.get(s.viewer.View(), tenantName)
}

// startBackground runs work in the background. It returns false, without running it, once the Service has stopped.
func (s *Service) startBackground(work func()) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return false
	}
	s.background.Go(work)
	return true
}
