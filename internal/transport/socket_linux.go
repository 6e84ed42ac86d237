package transport

import (
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 18
	// unackedTimeout ends a connection whose bytes the peer does not acknowledge, so
	// that a healed network is used by a fresh connection at once.
	unackedTimeout = 8 * time.Second
)

// keepAlive notices a vanished peer on a quiet connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// setUserTimeout sets unackedTimeout on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
