package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/config"
	"github.com/sloelift/sloelift/internal/job"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/settings"
)

const (
	maxHeaderBytes   = 32 << 10
	idleTimeout      = 2 * time.Minute
	closeTimeout     = 2 * time.Second
	stopDrainTimeout = 2 * time.Second
)

// Dependencies are the collaborators and settings of a Server.
type Dependencies struct {
	Address       netip.AddrPort
	Limits        settings.Limits
	Configuration config.Source
	Runner        session.Runner
	Jobs          job.Service
	Files         job.FileStore
	Registerer    prometheus.Registerer
	Logger        zerolog.Logger
	// Network is the network to listen on; nil means the operating system's.
	Network network.Network
}

// Server is the HTTP server of one node for callers.
type Server struct {
	address       netip.AddrPort
	network       network.Network
	limits        settings.Limits
	configuration config.Source
	runner        session.Runner
	jobs          job.Service
	files         job.FileStore
	logger        zerolog.Logger
	bodies        *bodyReader
	drain         *drain
	listening     atomic.Bool
	metrics       *metrics
	// slots holds one value for each open connection.
	slots    chan struct{}
	listener net.Listener
	server   *http.Server
	// serveDone is closed when the serving goroutine has ended.
	serveDone chan struct{}
}

// NewServer returns a Server that does not listen yet.
func NewServer(d Dependencies) *Server {
	s := &Server{
		address:       d.Address,
		network:       d.Network,
		limits:        d.Limits,
		configuration: d.Configuration,
		runner:        d.Runner,
		jobs:          d.Jobs,
		files:         d.Files,
		logger:        d.Logger.With().Str(logging.FieldSlice, "gateway").Logger(),
		bodies:        newBodyReader(d.Limits.MaxBodyBytes, d.Limits.BodyTimeout),
		drain:         newDrain(),
		slots:         make(chan struct{}, d.Limits.MaxConnections),
		serveDone:     make(chan struct{}),
	}
	s.metrics = newMetrics(d.Registerer, s)
	s.server = &http.Server{
		Handler:           markServing(s.routes()),
		ConnContext:       connectionContext,
		ReadHeaderTimeout: d.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Start listens at the configured address and serves in the background.
func (s *Server) Start() error {
	if s.network == nil {
		s.network = network.System{}
	}
	listener, err := s.network.Listen(context.Background(), s.address)
	if err != nil {
		return err
	}
	s.listener = &boundedListener{Listener: listener, slots: s.slots}
	s.listening.Store(true)
	go func() {
		defer close(s.serveDone)
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Err(err).Msg("callers are not served any more")
		}
	}()
	s.logger.Info().Stringer("address", s.listener.Addr()).Msg("callers are served")
	return nil
}

// Address returns the address on which Start listens.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) connections() int { return len(s.slots) }

// Ready reports whether the node accepts new requests: it listens, is not draining and has a
// configuration.
func (s *Server) Ready() bool {
	return s.listening.Load() && !s.drain.isDraining() && s.configuration.Current().Revision > 0
}

// Drain stops accepting new requests, which get the outcome not_run, and returns when the requests
// in flight have ended, or with ctx's error. It may be called more than once.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.start()
	s.server.SetKeepAlivesEnabled(false)
	return s.drain.wait(ctx)
}

// Stop drains for stopDrainTimeout at most, then closes the remaining connections. A planned stop has
// called Drain before, with its own timeout; Stop must not use up the time in which the other
// components stop.
func (s *Server) Stop(ctx context.Context) error {
	if !s.listening.Load() {
		return nil
	}
	drainContext, cancelDrain := context.WithTimeout(ctx, stopDrainTimeout)
	defer cancelDrain()
	err := s.Drain(drainContext)
	closeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if shutdownError := s.server.Shutdown(closeContext); shutdownError != nil {
		_ = s.server.Close()
	}
	<-s.serveDone
	return err
}
