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

// Methods between edges.
const (
	methodGrant   transport.Method = "quota.grant"
	methodRelease transport.Method = "quota.release"
	methodLend    transport.Method = "quota.lend"
)

// unreachedFor is how long an edge that gave no answer is passed over. A killed process is back within a second or two, and one request
// a second and edge waits for an answer that does not come.
const unreachedFor = time.Second

// Verdict says whether a request may be sent to a replica.
type Verdict struct {
	Admitted bool
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Service keeps the limits of tenants together with the other edges. It is safe for concurrent use.
type Service struct {
	allowance Allowance
	viewer    membership.Viewer
	caller    transport.Caller
	logger    zerolog.Logger
	requests  *prometheus.CounterVec
	started   time.Time
	unreached *unreached.Peers
	// zones are those whose edges are not reached: of a zone that is cut off each edge would cost the requests of its tenants askTimeout.
	zones    *unreached.Zones
	rankings rankings
	contact  contact
	lender   *lender
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// mutex guards the fields below: the tenants that this node grants for, and those whose requests it asks for.
	mutex     sync.Mutex
	granting  map[string]*grants
	borrowing map[string]*borrower
	// begun is when this node last began to grant for a tenant with a part of the slack.
	begun   map[string]time.Time
	asking  map[string]*requester
	stopped bool
}

// NewService returns a Service and registers its methods.
func NewService(allowance Allowance, viewer membership.Viewer, caller transport.Caller, registrar transport.Registrar, registerer prometheus.Registerer, logger zerolog.Logger) *Service {
	service := &Service{
		allowance: allowance, viewer: viewer, caller: caller, started: clock.Now(), unreached: unreached.NewPeers(unreachedFor), zones: unreached.NewZones(),
		logger: logger.With().Str(logging.FieldSlice, "quota").Logger(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_quota_requests_total", Help: "Requests of tenants with a limit, by verdict and by whether a grantor decided.",
		}, []string{"verdict", "decided_by"}),
		granting: map[string]*grants{}, borrowing: map[string]*borrower{}, lender: newLender(clock.Now()), begun: map[string]time.Time{}, asking: map[string]*requester{},
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

// Stop ends the questions under way; requests that wait for them are refused.
func (s *Service) Stop() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.cancel()
	s.running.Wait()
}

// Admit says whether a request of holder may be sent, by the configuration of that version. It returns at once where ctx ends.
func (s *Service) Admit(ctx context.Context, holder *tenant.Tenant, version int64) Verdict {
	if holder.Limit.Unlimited() {
		return Verdict{Admitted: true}
	}
	return s.requesterOf(holder.Name).admit(ctx, holder.Limit, version)
}

// GiveBack returns an admitted request that no replica has run or will run.
func (s *Service) GiveBack(holder *tenant.Tenant) {
	if !holder.Limit.Unlimited() {
		s.requesterOf(holder.Name).giveBack()
	}
}

func (s *Service) requesterOf(tenantName string) *requester {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := s.asking[tenantName]
	if found == nil {
		found = &requester{service: s, tenant: tenantName}
		s.asking[tenantName] = found
	}
	return found
}

// noteContact takes in that an edge called: this node is in touch, and that edge is there.
func (s *Service) noteContact(from netip.AddrPort) {
	s.contact.note(clock.Now())
	s.unreached.Forget(from)
}

// notReached says that a peer gave no answer a short while ago, or that its zone is cut off. It has a zone that is cut off probed.
// This node itself is always reached, also where the rest of its zone is not: else it would not lend itself its own part.
func (s *Service) notReached(peer membership.Member, now time.Time) bool {
	if peer.ID == s.viewer.View().Self {
		return false
	}
	zone := s.zones.Of(peer.Zone)
	if zone.ProbeDue(now) {
		s.begin(func() { s.probe(peer.Zone) })
	}
	return zone.CutOff() || s.unreached.Recent(peer.PeerAddress, now)
}

// probe looks whether some other edge of a zone answers again: by an answer of its own an edge that is cut off would count as in touch, and
// grant beside the others. A release of no tenant changes nothing.
func (s *Service) probe(zone string) {
	var edges []membership.Member
	view := s.viewer.View()
	for _, member := range view.Members {
		if member.ID != view.Self && member.Zone == zone && !member.Store && member.State != membership.Dead {
			edges = append(edges, member)
		}
	}
	rand.Shuffle(len(edges), func(i, j int) { edges[i], edges[j] = edges[j], edges[i] })
	var asked sync.WaitGroup
	for _, edge := range edges[:min(contactsAsked, len(edges))] {
		asked.Go(func() {
			err := s.callEdge(s.ctx, edge, methodRelease, &quotapb.ReleaseRequest{}, &quotapb.ReleaseResponse{}, askTimeout)
			s.logger.Debug().Str(logging.FieldPeer, string(edge.ID)).Err(err).Msg("zone_probed")
		})
	}
	asked.Wait()
}

func (s *Service) rankingOf(tenantName string) ranking {
	return s.rankings.of(s.viewer.View(), tenantName)
}

// begin runs work in the background unless the Service has stopped.
func (s *Service) begin(work func()) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return false
	}
	s.running.Go(work)
	return true
}
