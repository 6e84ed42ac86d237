package placement

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/engine"
	"github.com/sloelift/sloelift/internal/fleet"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/membership"
	"github.com/sloelift/sloelift/internal/platform"
	"github.com/sloelift/sloelift/internal/routing"
)

const eventQueueLength = 256

// Log fields of this package.
const (
	fieldService = "service"
	fieldOrder   = "order"
	fieldFence   = "fence"
	fieldModel   = "model"
	fieldVersion = "version"
	fieldAdapter = "adapter"
)

// Dependencies are the interfaces that a Service uses.
type Dependencies struct {
	Node    string
	Fleet   fleet.Source
	Viewer  membership.Viewer
	Config  config.Source
	Engines engine.Client
	Store   platform.KeyValue
	Weights platform.WeightStore
	Logger  zerolog.Logger
}

// Service sends the orders for the services whose orderer this node is.
type Service struct {
	Dependencies
	options Options
	orders  *prometheus.CounterVec
	events  chan event
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// NewService returns a Service that is not started.
func NewService(options Options, dependencies Dependencies, registerer prometheus.Registerer) *Service {
	dependencies.Logger = dependencies.Logger.With().Str(logging.FieldSlice, "placement").Logger()
	service := &Service{
		Dependencies: dependencies, options: options, events: make(chan event, eventQueueLength),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sloelift_placement_orders_total", Help: "Orders given to engines, by kind and result.",
		}, []string{"kind", "result"}),
	}
	registerer.MustRegister(service.orders)
	return service
}

// Start starts the control goroutine.
func (s *Service) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { s.control(ctx) })
}

// Stop ends the goroutines and waits for them. Orders already sent stay in effect.
func (s *Service) Stop() {
	if s.cancel != nil {
		s.cancel()
		s.running.Wait()
	}
}

func (s *Service) control(ctx context.Context) {
	state := newState(s.options)
	ticker := time.NewTicker(s.options.ObserveInterval)
	defer ticker.Stop()
	for {
		var input event
		select {
		case <-ctx.Done():
			return
		case input = <-s.events:
		case <-ticker.C:
			input = s.observe()
		}
		for _, output := range state.step(time.Now(), input) {
			s.running.Go(func() { s.perform(ctx, output) })
		}
	}
}

// observe returns the current state of all declared services.
func (s *Service) observe() observed {
	snapshot := s.Config.Current()
	directory := s.Fleet.Directory()
	members := s.Viewer.View().Members
	services := make(map[string]serviceView, len(snapshot.Services))
	for name, declared := range snapshot.Services {
		orderer, ok := fleet.Home(members, "placement\x00"+name, "")
		view := serviceView{orderer: ok && string(orderer.ID) == s.Node, desired: desiredOf(snapshot, declared)}
		if view.orderer {
			for _, index := range directory.ByService[name] {
				replica := directory.Replicas[index]
				view.replicas = append(view.replicas, observation{
					replica:    replica,
					measuredAt: routing.MeasuredAt(replica.Load.MeasuredAt, replica.HeardAt, s.options.MaxLag),
				})
			}
		}
		services[name] = view
	}
	return observed{services: services}
}

func (s *Service) push(ctx context.Context, input event) {
	select {
	case s.events <- input:
	case <-ctx.Done():
	}
}

func (s *Service) perform(ctx context.Context, output action) {
	callContext, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	switch typed := output.(type) {
	case takeFence:
		token, err := raiseFence(callContext, s.Store, s.Node, typed)
		s.Logger.Info().Err(err).Str(fieldService, typed.service).Uint64(fieldFence, token).Msg("fence token taken")
		s.push(ctx, fenceTaken{service: typed.service, token: token, revision: typed.revision})
	case sendOrder:
		result := s.send(callContext, typed)
		s.push(ctx, orderAnswered{service: typed.service, replica: typed.to.Replica, order: typed.order, result: result})
	case reserveFetch:
		err := s.Weights.ReserveFetch(callContext, typed.fetch.name, typed.fetch.version, typed.replica)
		if err != nil {
			s.Logger.Warn().Err(err).Str(logging.FieldReplica, typed.replica).Str(fieldModel, typed.fetch.name).
				Str(fieldVersion, typed.fetch.version).Msg("fetch not reserved")
		}
		s.push(ctx, fetchReserved{service: typed.service, replica: typed.replica, fetch: typed.fetch, granted: err == nil})
	}
}

func (s *Service) send(ctx context.Context, sent sendOrder) orderResult {
	err := s.Engines.Order(ctx, sent.to, sent.order)
	result, name := orderAccepted, "accepted"
	switch {
	case errorx.IsOfType(err, engine.KindFenced):
		result, name = orderFenced, "fenced"
	case err != nil:
		result, name = orderFailed, "failed"
	}
	s.orders.WithLabelValues(string(sent.order.Kind), name).Inc()
	s.Logger.Info().Err(err).Str(logging.FieldReplica, sent.to.Replica).Str(fieldService, sent.service).
		Str(fieldOrder, string(sent.order.Kind)).Str(fieldModel, sent.order.Model).Str(fieldVersion, sent.order.Version).
		Str(fieldAdapter, sent.order.Adapter).Uint64(fieldFence, sent.order.Fence).Str(logging.FieldOutcome, name).Msg("order")
	return result
}
