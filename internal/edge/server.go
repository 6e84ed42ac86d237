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
	"github.com/sloelift/sloelift/internal/pause"
)

const (
	// headerTimeout, maxHeaderBytes and idleTimeout are less strict than any configuration's limits
	// for callers.
	headerTimeout  = 15 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// notReadyDelay is how long a stopping process keeps accepting connections, so that load balancers
	// notice that it is not ready.
	notReadyDelay = 2500 * time.Millisecond
	// stopMargin is the time between the deadline for the last answer and the end of the grace
	// period.
	stopMargin = 700 * time.Millisecond
	// answerMargin is the time that the last answers have to reach their callers.
	answerMargin = 300 * time.Millisecond
	// drainCheckInterval is how often a stopping process checks whether requests are in flight.
	drainCheckInterval = 20 * time.Millisecond
	// defaultGracePeriod is the grace period if the settings have none.
	defaultGracePeriod = 30 * time.Second
)

// Server serves callers and reports whether it is ready for new ones.
type Server struct {
	handler     *forward.Handler
	logger      zerolog.Logger
	gracePeriod time.Duration

	callerServer    *http.Server
	readinessServer *http.Server
	listenNetwork   network.Network
	addresses       Addresses
	connections     *connectionLimit
	// callerListener is set by Start.
	callerListener net.Listener
	// stopping is set when a planned stop begins, refusing when no more requests are taken.
	stopping   atomic.Bool
	refusing   atomic.Bool
	serveLoops sync.WaitGroup
}

// Addresses of a Server.
type Addresses struct {
	Callers   netip.AddrPort
	Readiness netip.AddrPort
	// ReadyPath is the HTTP path of the readiness check.
	ReadyPath string
}

// Options of a Server.
type Options struct {
	Handler   *forward.Handler
	Logger    zerolog.Logger
	Network   network.Network
	Addresses Addresses
	// Grace is the time that Stop may take; 0 means defaultGracePeriod.
	Grace time.Duration
	// FileDescriptors is the number that the process may have open; 0 means no limit.
	FileDescriptors int
	// AddRoutes, if set, adds routes that take precedence over Handler.
	AddRoutes func(router *mux.Router)
}

// NewServer returns a Server. It does not listen before Start.
func NewServer(options Options) *Server {
	server := &Server{
		handler: options.Handler, listenNetwork: options.Network, addresses: options.Addresses,
		logger: options.Logger.With().Str(logging.FieldSlice, "edge").Logger(), gracePeriod: options.Grace,
	}
	if server.gracePeriod <= 0 {
		server.gracePeriod = defaultGracePeriod
	}
	server.connections = newConnectionLimit(options.FileDescriptors, func(waited time.Duration) {
		server.logger.Info().Dur("waited", waited).Msg("caller_connection_dropped")
	})
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	if options.AddRoutes != nil {
		options.AddRoutes(router)
	}
	router.NotFoundHandler = options.Handler
	router.MethodNotAllowedHandler = options.Handler
	server.callerServer = &http.Server{
		Handler:           server.connections.wrapHandler(server.refuseLate(router)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          logging.Discard(),
		ConnContext:       connectionContext,
		ConnState:         server.connections.connectionState,
	}
	readiness := mux.NewRouter()
	readiness.HandleFunc(options.Addresses.ReadyPath, server.serveReady).Methods(http.MethodGet)
	server.readinessServer = &http.Server{
		Handler: readiness, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: logging.Discard(),
	}
	return server
}

// Start listens and serves. It listens for callers before the readiness check, so that callers can
// connect once the process reports ready.
func (s *Server) Start(ctx context.Context) error {
	for _, endpoint := range []struct {
		server  *http.Server
		address netip.AddrPort
	}{{s.callerServer, s.addresses.Callers}, {s.readinessServer, s.addresses.Readiness}} {
		listener, err := s.listenNetwork.Listen(ctx, endpoint.address)
		if err != nil {
			return err
		}
		s.serve(endpoint.server, callerListener{listener})
		if endpoint.server == s.callerServer {
			s.callerListener = listener
		}
	}
	return nil
}

// refuseLate wraps handler to refuse the requests that come once the listener is closed.
func (s *Server) refuseLate(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if s.refusing.Load() {
			s.handler.RefuseLeaving(writer, request)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}

func (s *Server) serve(server *http.Server, listener net.Listener) {
	s.serveLoops.Go(func() {
		err := server.Serve(listener)
		closed := errors.Is(err, http.ErrServerClosed) || s.refusing.Load() && errors.Is(err, net.ErrClosed)
		if !closed {
			s.logger.Error().Err(err).Msg("listener_failed")
		}
	})
}

// Ready reports whether the process has the configuration that it needs to serve and is not
// stopping.
func (s *Server) Ready() bool {
	return !s.stopping.Load() && s.handler.Ready()
}

func (s *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Stop shuts the server down gracefully. It reports not ready and continues to serve for notReadyDelay (a third of the grace period at
// most). Then it accepts no more connections, refuses further requests, and waits for those in flight. Those that are left
// answerMargin before the deadline for the last answer are ended with an answer.
func (s *Server) Stop(ctx context.Context) {
	started := time.Now()
	s.stopping.Store(true)
	allowed := s.gracePeriod - stopMargin
	s.handler.Drain(allowed - answerMargin)
	graceContext, cancel := context.WithDeadline(ctx, started.Add(allowed))
	defer cancel()
	answerContext, cancelAnswers := context.WithDeadline(ctx, started.Add(allowed-answerMargin))
	defer cancelAnswers()
	pause.Sleep(answerContext, min(notReadyDelay, s.gracePeriod/3))
	s.refusing.Store(true)
	if s.callerListener != nil {
		// It fails only if the listener is closed already.
		_ = s.callerListener.Close()
	}
	for !s.connections.quiescent(time.Now()) && pause.Sleep(answerContext, drainCheckInterval) {
	}
	s.handler.EndRequests()
	err := s.callerServer.Shutdown(graceContext)
	s.logger.Info().Err(err).Dur("took", time.Since(started)).Msg("callers_served")
	_ = s.callerServer.Close()
	_ = s.readinessServer.Close()
	s.serveLoops.Wait()
}
