package transport

import (
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

// setUserTimeout sets unackedTimeout on a socket.
func setUserTimeout(raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
