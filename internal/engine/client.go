package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/network"
)

// Limits of the client.
const (
	dialTimeout        = time.Second
	idleTimeout        = 90 * time.Second
	idlePerEngine      = 256
	controlTimeout     = 5 * time.Second
	maxStreamLineBytes = 1 << 20
	maxErrorBodyBytes  = 4 << 10
	maxControlBytes    = 8 << 20
	maxCacheBytes      = 256 << 20
	streamBufferBytes  = 4 << 10
)

// keepAlive detects an engine that disappeared without closing its connections within about 12 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 6 * time.Second, Interval: 2 * time.Second, Count: 3}

// HTTPClient is a Client over HTTP/1.1 with pooled connections.
type HTTPClient struct {
	transport *http.Transport
	// silenceTimeout is defaultSilenceTimeout except in tests.
	silenceTimeout time.Duration
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool over the operating system's network.
// The caller must call Close.
func NewHTTPClient() *HTTPClient { return NewHTTPClientOver(network.System{}) }

// NewHTTPClientOver returns a client that dials through the given network.
func NewHTTPClientOver(dialer network.Network) *HTTPClient {
	dial := func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		address, err := netip.ParseAddrPort(hostPort)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dialer.Dial(ctx, address)
		network.DetectDeadPeer(conn, keepAlive)
		return conn, err
	}
	return &HTTPClient{silenceTimeout: defaultSilenceTimeout, transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      streamBufferBytes,
	}}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

func url(to Endpoint, path string) string {
	return "http://" + to.Address.String() + path
}
