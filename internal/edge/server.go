package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/forward"
	"github.com/sloelift/sloelift/internal/logging"
	"github.com/sloelift/sloelift/internal/network"
)

const (
	// headerTimeout, maxHeaderBytes and idleTimeout are wider than what any configuration asks of callers.
	headerTimeout  = 15 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// leaveNotice is how long a process that stops keeps its connections open, so that those who give them out hear of it.
	leaveNotice = 2500 * time.Millisecond
	// stopMargin is kept between the end of the last answer and the end of the process's time.
	stopMargin = 700 * time.Millisecond
	// defaultGrace holds where the settings name no time to stop in.
	defaultGrace = 30 * time.Second
)

// Server serves callers and tells whether it takes new ones.
type Server struct {
	handler *forward.Handler
	logger  zerolog.Logger
	grace   time.Duration

	callers   *http.Server
	readiness *http.Server
	via       network.Network
	addresses Addresses
	leaving   atomic.Bool
	serving   sync.WaitGroup
}

// Addresses of a Server.
type Addresses struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	// ReadyPath is where readiness is asked for.
	ReadyPath string
}

// Options of a Server. Calls adds routes that stand before all others.
type Options struct {
	Handler   *forward.Handler
	Logger    zerolog.Logger
	Network   network.Network
	Addresses Addresses
	Grace     time.Duration
	// FileDescriptors is what the process may have open; 0 is no bound.
	FileDescriptors int
	Calls           func(router *mux.Router)
}

// NewServer returns a Server; nothing listens before Start.
func NewServer(options Options) *Server {
	server := &Server{
		handler: options.Handler, via: options.Network, addresses: options.Addresses,
		logger: options.Logger.With().Str(logging.FieldSlice, "edge").Logger(), grace: options.Grace,
	}
	if server.grace <= 0 {
		server.grace = defaultGrace
	}
	limit := newConnectionLimit(options.FileDescriptors, func(waited time.Duration) {
		server.logger.Info().Dur("waited", waited).Msg("caller_connection_dropped")
	})
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if options.Calls != nil {
		options.Calls(router)
	}
	router.NotFoundHandler = options.Handler
	router.MethodNotAllowedHandler = options.Handler
	server.callers = &http.Server{
		Handler: limit.serve(router), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: logging.Discard(), ConnContext: withCaller, ConnState: limit.change,
	}
	readiness := mux.NewRouter()
	readiness.HandleFunc(options.Addresses.ReadyPath, server.serveReady).Methods(http.MethodGet)
	server.readiness = &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: logging.Discard()}
	return server
}

// Start listens, for callers first: where readiness answers that the process is ready, callers can connect to it.
func (s *Server) Start(ctx context.Context) error {
	for _, each := range []struct {
		server  *http.Server
		address netip.AddrPort
	}{{s.callers, s.addresses.Callers}, {s.readiness, s.addresses.Readiness}} {
		listener, err := s.via.Listen(ctx, each.address)
		if err != nil {
			return err
		}
		s.serve(each.server, callerListener{listener})
	}
	return nil
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	s.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Err(err).Msg("listener_failed")
		}
	})
}

// Ready says that the process knows what it needs to serve and does not stop.
func (s *Server) Ready() bool {
	return !s.leaving.Load() && s.handler.Known()
}

func (s *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Stop is the planned stop: the process calls itself not ready, serves on until that is known, then closes idle
// connections and waits for the answers under way.
func (s *Server) Stop(ctx context.Context) {
	began := time.Now()
	s.leaving.Store(true)
	s.handler.Leave()
	bounded, cancel := context.WithDeadline(ctx, began.Add(s.grace-stopMargin))
	defer cancel()
	select {
	case <-time.After(min(leaveNotice, s.grace/3)):
	case <-bounded.Done():
	}
	err := s.callers.Shutdown(bounded)
	s.logger.Info().Err(err).Dur("took", time.Since(began)).Msg("callers_served")
	_ = s.callers.Close()
	_ = s.readiness.Close()
	s.serving.Wait()
}
