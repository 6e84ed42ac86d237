package operator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/sloelift/sloelift/internal/network"
	"github.com/sloelift/sloelift/internal/settings"
)

// Server serves the admin interface on the admin address.
type Server struct {
	settings  settings.Settings
	network   network.Network
	server    *http.Server
	listener  net.Listener
	readiness *Readiness
	logger    zerolog.Logger
}

// idleTimeout is how long connections without requests are kept open.
const idleTimeout = 2 * time.Minute

func newServer(own settings.Settings, network network.Network, routes http.Handler, readiness *Readiness, logger zerolog.Logger) *Server {
	return &Server{
		settings:  own,
		network:   network,
		server:    &http.Server{Handler: routes, ReadHeaderTimeout: own.Limits.HeaderTimeout, IdleTimeout: idleTimeout},
		readiness: readiness,
		logger:    logger,
	}
}

// Start listens, serves in the background until Stop, and turns the readiness on.
func (s *Server) Start(ctx context.Context) error {
	listener, err := s.network.Listen(ctx, s.settings.AdminAddress)
	if err != nil {
		return fmt.Errorf("listen for operators on %s: %w", s.settings.AdminAddress, err)
	}
	s.listener = listener
	go func() {
		if err := s.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Err(err).Msg("admin_server_failed")
		}
	}()
	s.readiness.turnOnAfterStart()
	s.logger.Info().Str("address", listener.Addr().String()).Msg("admin_server_started")
	return nil
}

// Stop turns the readiness off and waits for requests in flight until ctx ends; it then
// closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	s.readiness.TurnOff(ReasonStopping)
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}

// Address returns the address of the listener. It is valid after Start.
func (s *Server) Address() net.Addr { return s.listener.Addr() }
