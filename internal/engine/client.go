package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sloelift/sloelift/internal/network"
)

// Bounds of the client.
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

// keepAlive finds an engine that vanished without closing its connections in about 12 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 6 * time.Second, Interval: 2 * time.Second, Count: 3}

// HTTPClient is the Client over HTTP/1.1 with pooled connections.
type HTTPClient struct {
	transport *http.Transport
	// quietLimit is defaultQuietLimit; tests set it.
	quietLimit time.Duration
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with its own connection pool, over the operating system's network; Close frees it.
func NewHTTPClient() *HTTPClient { return NewHTTPClientOver(network.System{}) }

// NewHTTPClientOver returns a client that dials through the given network.
func NewHTTPClientOver(via network.Network) *HTTPClient {
	dial := func(ctx context.Context, _, hostPort string) (net.Conn, error) {
		address, err := netip.ParseAddrPort(hostPort)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := via.Dial(ctx, address)
		network.Watch(conn, keepAlive)
		return conn, err
	}
	return &HTTPClient{quietLimit: defaultQuietLimit, transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      streamBufferBytes,
	}}
}

// Close drops the idle connections.
func (c *HTTPClient) Close() { c.transport.CloseIdleConnections() }

func url(to Endpoint, path string) string {
	return "http://" + to.Address.String() + path
}
