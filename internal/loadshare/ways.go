package loadshare

import (
	"net/netip"
	"time"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/transport"
)

// movedLately says that this node changed its way to an exchange a short while ago.
func (s *Service) movedLately(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.movedAt.IsZero() && now.Sub(s.movedAt) < reportStale+relayStale
}

// chooseWay returns the way to an exchange to use. Where that is another one than before, the exchange before is sent an empty report, so
// that it does not count this node as well.
func (s *Service) chooseWay(place places, now time.Time) (used way, known bool) {
	used, known = s.questions.way(place, now)
	if !known {
		return used, false
	}
	s.mutex.Lock()
	before := s.way
	s.way = used
	moved := before.node.IsValid() && before != used
	if moved {
		s.movedAt = now
	}
	s.mutex.Unlock()
	if moved {
		s.logger.Info().Stringer("before", before.node).Stringer("exchange", used.node).Bool("relayed", used.relayed).Msg("exchange_changed")
		s.takeBack(before, place, now)
	}
	return used, true
}

// takeBack sends an exchange an empty report.
func (s *Service) takeBack(from way, place places, now time.Time) {
	s.deliver(from, place, &loadsharepb.NodeLoad{Origin: s.origin()}, now)
}

// deliver brings a report to the exchange at the end of a way, which may be this node itself.
func (s *Service) deliver(to way, place places, load *loadsharepb.NodeLoad, now time.Time) {
	if to.node == place.self {
		s.board.takeReport(to.node, load, now)
		return
	}
	method := methodReport
	if to.relayed {
		method = methodReportFor
	}
	s.sendReport(to.node, method, load)
}

func (s *Service) sendReport(to netip.AddrPort, method transport.Method, load *loadsharepb.NodeLoad) {
	if err := s.caller.Send(to, method, load); err != nil {
		s.logger.Debug().Err(err).Stringer("node", to).Msg("report_not_sent")
	}
}
