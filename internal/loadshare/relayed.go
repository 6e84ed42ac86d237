package loadshare

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"

	loadsharepb "github.com/sloelift/sloelift/api/proto/loadshare"
	"github.com/sloelift/sloelift/internal/clock"
	"github.com/sloelift/sloelift/internal/outcome"
	"github.com/sloelift/sloelift/internal/transport"
)

// handleRelayed registers what this node passes on to its exchange for nodes that reach none.
func (s *Service) handleRelayed(registrar transport.Registrar) {
	transport.Handle(registrar, methodAskFor, func() *loadsharepb.NodeLoad { return &loadsharepb.NodeLoad{} }, s.askFor)
	registrar.Handle(methodReportFor, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			if exchange, reached := s.reachedExchange(); reached {
				load.Reporter = from.String()
				s.sendReport(exchange, methodReport, load)
			}
			return nil, nil
		})
}

// askFor puts a question of another node to this node's exchange. A question is passed on once only: where this node reaches no exchange
// itself it says so at once, and the asker tries another way.
func (s *Service) askFor(ctx context.Context, from netip.AddrPort, load *loadsharepb.NodeLoad) (*loadsharepb.FleetLoad, error) {
	exchange, reached := s.reachedExchange()
	if !reached {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no exchange of the load is reached from here either")
	}
	load.Reporter = from.String()
	bounded, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer := &loadsharepb.FleetLoad{}
	if err := s.caller.Call(bounded, exchange, methodAsk, load, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// reachedExchange returns the exchange that this node uses; reached is false where it is another node's relay, or did not answer lately.
func (s *Service) reachedExchange() (exchange netip.AddrPort, reached bool) {
	place := s.place()
	used, known := s.questions.way(place, clock.Now())
	if !known || used.relayed || used.node == place.self || !s.questions.answered() {
		return netip.AddrPort{}, false
	}
	return used.node, true
}

// reporterOf returns the node that a load is of: the sender, or the node for which the sender passes it on.
func reporterOf(from netip.AddrPort, load *loadsharepb.NodeLoad) netip.AddrPort {
	if reporter, err := netip.ParseAddrPort(load.GetReporter()); err == nil {
		return reporter
	}
	return from
}
