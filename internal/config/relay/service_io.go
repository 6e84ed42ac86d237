package relay

import (
	"context"
	"net/netip"

	configpb "github.com/sloelift/sloelift/api/proto/config"
	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/transport"
)

func (s *Service) register(registrar transport.Registrar) {
	transport.Handle(registrar, methodDelta, func() *configpb.Delta { return &configpb.Delta{} },
		func(ctx context.Context, from netip.AddrPort, message *configpb.Delta) (*configpb.Delta, error) {
			s.post(ctx, eventDelta{from: from, delta: decodeDelta(message)})
			return nil, nil
		})
	transport.Handle(registrar, methodDigest, func() *configpb.Digest { return &configpb.Digest{} },
		func(ctx context.Context, from netip.AddrPort, message *configpb.Digest) (*configpb.Digest, error) {
			s.post(ctx, eventDigest{from: from, digest: decodeDigest(message)})
			return nil, nil
		})
	transport.Handle(registrar, methodPull, func() *configpb.PullRequest { return &configpb.PullRequest{} },
		func(_ context.Context, _ netip.AddrPort, request *configpb.PullRequest) (*configpb.PullResponse, error) {
			return answerPull(s.latest.Load(), request), nil
		})
}

func (s *Service) list(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := s.options.KeyValue.List(limited, config.KeyPrefix)
	s.post(ctx, eventListed{listing: listing, err: err})
}

func (s *Service) readHead(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := s.options.KeyValue.Get(limited, config.KeyHead)
	var revision int64
	if err == nil && entry.ModRevision > 0 {
		revision, err = headRevision(entry.Value)
	}
	s.post(ctx, eventHeadRead{revision: revision, err: err})
}

// watch posts the events of one watch until it ends or is stopped.
func (s *Service) watch(ctx context.Context, command actionWatch) {
	ended := platform.WatchEvent{Err: platform.KindUnavailable.New("watch ended")}
	events, err := s.options.KeyValue.Watch(ctx, config.KeyPrefix, command.fromRevision)
	if err != nil {
		ended.Err = err
		s.post(ctx, eventWatched{watch: command.watch, changed: ended})
		return
	}
	for changed := range events {
		s.post(ctx, eventWatched{watch: command.watch, changed: changed})
		if changed.Err != nil {
			return
		}
	}
	s.post(ctx, eventWatched{watch: command.watch, changed: ended})
}

func (s *Service) sendDelta(command actionSendDelta) {
	message := encodeDelta(command.delta)
	for _, to := range command.to {
		// A lost delta is compensated by a digest and a pull.
		_ = s.options.Caller.Send(to, methodDelta, message)
	}
}

func (s *Service) pull(ctx context.Context, command actionPull) {
	limited, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	request := pullRequest(command)
	response := &configpb.PullResponse{}
	err := s.options.Caller.Call(limited, command.from, methodPull, request, response)
	s.post(ctx, pulledEvent(command.from, response, err))
}

func pullRequest(command actionPull) *configpb.PullRequest {
	return &configpb.PullRequest{Revision: command.revision, Known: command.known}
}

func pulledEvent(from netip.AddrPort, response *configpb.PullResponse, err error) eventPulled {
	pulled := eventPulled{from: from, err: err}
	if err != nil {
		return pulled
	}
	for _, message := range response.GetDeltas() {
		pulled.deltas = append(pulled.deltas, decodeDelta(message))
	}
	if response.GetDocument() != nil {
		received, valid := decodeDocument(response.GetDocument())
		if !valid {
			pulled.err = errDamaged
			return pulled
		}
		pulled.document = received
	}
	return pulled
}
