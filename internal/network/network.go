package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Network listens and dials over TCP by IP address. It is safe for concurrent use.
type Network interface {
	// Listen opens a listener at address.
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
	// Dial opens a connection to address.
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
}

// DialTimeout bounds one connection attempt of System.
const DialTimeout = 2 * time.Second

// System is the operating system's network.
type System struct{}

// Listen opens a listener.
func (System) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

// Dial opens a connection.
func (System) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	DetectDeadPeer(connection, net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes})
	return connection, nil
}

// HTTPTransport returns an http.Transport that dials through network. URLs must have IP
// addresses; dialing a host name is an error.
func HTTPTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, hostPort string) (net.Conn, error) {
			address, err := netip.ParseAddrPort(hostPort)
			if err != nil {
				return nil, err
			}
			return network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
	}
}
