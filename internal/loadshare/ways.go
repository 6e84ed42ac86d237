package loadshare

import (
	"net/netip"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/transport"
)

// routeChangedRecently reports whether this node changed its route so recently that its previous exchange, or another that this one relays
// to, may still count its reports.
func (s *Service) routeChangedRecently(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.routeChangedAt.IsZero() && now.Sub(s.routeChangedAt) < reportStaleAfter+relayStaleAfter
}

// chooseRoute returns the route to use. When the route changes, it sends an empty report over the previous one, so that the previous exchange
// does not count this node in addition.
func (s *Service) chooseRoute(topo topology, now time.Time) (chosen route, known bool) {
	chosen, known = s.queries.route(topo, now)
	if !known {
		return chosen, false
	}
	s.mutex.Lock()
	previous := s.route
	s.route = chosen
	changed := previous.node.IsValid() && previous != chosen
	if changed {
		s.routeChangedAt = now
	}
	s.mutex.Unlock()
	if changed {
		s.logger.Info().Stringer("before", previous.node).Stringer("exchange", chosen.node).Bool("relayed", chosen.relayed).
			Msg("exchange_changed")
		s.withdrawReport(previous, topo, now)
	}
	return chosen, true
}

// withdrawReport sends an empty report over the previous route.
func (s *Service) withdrawReport(previous route, topo topology, now time.Time) {
	s.deliverReport(previous, topo, &loadsharepb.NodeLoad{Origin: s.origin()}, now)
}

// deliverReport sends a report over a route, or records it if this node is the exchange itself.
func (s *Service) deliverReport(target route, topo topology, load *loadsharepb.NodeLoad, now time.Time) {
	if target.node == topo.self {
		s.board.recordReport(target.node, load, now)
		return
	}
	method := methodReport
	if target.relayed {
		method = methodReportFor
	}
	s.sendReport(target.node, method, load)
}

func (s *Service) sendReport(to netip.AddrPort, method transport.Method, load *loadsharepb.NodeLoad) {
	if err := s.caller.Send(to, method, load); err != nil {
		s.logger.Debug().Err(err).Stringer("node", to).Msg("report_not_sent")
	}
}
