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
	"github.com/sloelift/sloelift/internal/session"
	"github.com/sloelift/sloelift/internal/settings"
)

const (
	maxHeaderBytes = 32 << 10
	idleTimeout    = 2 * time.Minute
	closeTimeout   = 2 * time.Second
)

// Dependencies of a Server.
type Dependencies struct {
	Address       netip.AddrPort
	Limits        settings.Limits
	Configuration config.Source
	Runner        session.Runner
	Jobs          job.Service
	Files         job.FileStore
	Registerer    prometheus.Registerer
	Logger        zerolog.Logger
}

// Server is the callers' interface of one node.
type Server struct {
	address       netip.AddrPort
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
	served   chan struct{}
}

// NewServer returns a Server that does not listen yet.
func NewServer(d Dependencies) *Server {
	s := &Server{
		address:       d.Address,
		limits:        d.Limits,
		configuration: d.Configuration,
		runner:        d.Runner,
		jobs:          d.Jobs,
		files:         d.Files,
		logger:        d.Logger.With().Str(logging.FieldSlice, "gateway").Logger(),
		bodies:        newBodyReader(d.Limits.MaxBodyBytes, d.Limits.BodyTimeout),
		drain:         newDrain(),
		slots:         make(chan struct{}, d.Limits.MaxConnections),
		served:        make(chan struct{}),
	}
	s.metrics = newMetrics(d.Registerer, s)
	s.server = &http.Server{
		Handler:           markServing(s.routes()),
		ConnContext:       withConnection,
		ReadHeaderTimeout: d.Limits.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Start listens and serves.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	s.listener = &boundedListener{Listener: listener, slots: s.slots}
	s.listening.Store(true)
	go func() {
		defer close(s.served)
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Err(err).Msg("callers are not served any more")
		}
	}()
	s.logger.Info().Stringer("address", s.listener.Addr()).Msg("callers are served")
	return nil
}

// Address is where Start listens.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

func (s *Server) connections() int { return len(s.slots) }

// Ready says whether new requests are taken.
func (s *Server) Ready() bool {
	return s.listening.Load() && !s.drain.isDraining() && s.configuration.Current().Revision > 0
}

// Drain stops taking new requests, which are told that they did not run, and returns when
// those in progress have ended or ctx has. It may be called more than once.
func (s *Server) Drain(ctx context.Context) error {
	s.drain.start()
	s.server.SetKeepAlivesEnabled(false)
	return s.drain.wait(ctx)
}

// Stop drains until ctx ends, then closes what is left.
func (s *Server) Stop(ctx context.Context) error {
	if !s.listening.Load() {
		return nil
	}
	err := s.Drain(ctx)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if shutdownError := s.server.Shutdown(closing); shutdownError != nil {
		_ = s.server.Close()
	}
	<-s.served
	return err
}
