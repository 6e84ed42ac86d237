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

// registerRelayHandlers registers the methods by which this node relays queries and reports of nodes that reach no exchange.
func (s *Service) registerRelayHandlers(registrar transport.Registrar) {
	transport.Handle(registrar, methodAskFor, func() *loadsharepb.NodeLoad { return &loadsharepb.NodeLoad{} }, s.relayQuery)
	registrar.Handle(methodReportFor, func() proto.Message { return &loadsharepb.NodeLoad{} },
		func(_ context.Context, from netip.AddrPort, message proto.Message) (proto.Message, error) {
			load := message.(*loadsharepb.NodeLoad)
			if exchange, reached := s.reachableExchange(); reached {
				load.Reporter = from.String()
				s.sendReport(exchange, methodReport, load)
			}
			return nil, nil
		})
}

// relayQuery relays another node's query to this node's exchange. A query is relayed only once: if this node reaches no exchange directly,
// it returns an unavailable error at once, and the querying node tries another route.
func (s *Service) relayQuery(ctx context.Context, from netip.AddrPort, load *loadsharepb.NodeLoad) (*loadsharepb.FleetLoad, error) {
	exchange, reached := s.reachableExchange()
	if !reached {
		return nil, outcome.New(outcome.NotRun, outcome.ReasonUnavailable, "no exchange of the load is reached from here either")
	}
	load.Reporter = from.String()
	callCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer := &loadsharepb.FleetLoad{}
	if err := s.caller.Call(callCtx, exchange, methodAsk, load, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// reachableExchange returns the exchange that this node queries directly. reachable is false if this node uses a relay or is itself the
// exchange, or if its first route has not answered lately.
func (s *Service) reachableExchange() (exchange netip.AddrPort, reachable bool) {
	topo := s.currentTopology()
	chosen, known := s.queries.route(topo, clock.Now())
	if !known || chosen.relayed || chosen.node == topo.self || !s.queries.ownExchangeAnswers() {
		return netip.AddrPort{}, false
	}
	return chosen.node, true
}

// reporterOf returns the node whose load a message carries: the sender, or the node that the sender relays for.
func reporterOf(from netip.AddrPort, load *loadsharepb.NodeLoad) netip.AddrPort {
	if reporter, err := netip.ParseAddrPort(load.GetReporter()); err == nil {
		return reporter
	}
	return from
}
