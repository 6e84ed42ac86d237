package network

import (
	"net"
	"time"
)

const (
	// unackedTimeout ends a connection whose bytes the other end does not acknowledge. It is below the shortest time after which a
	// deployment counts on a machine again whose connections were lost (3 s), and above the pauses of a machine that has spent
	// its processor time (0.1 s) or whose link is full (over half a second).
	unackedTimeout = 2 * time.Second
	// A quiet connection whose other end is gone without a word ends after keepAliveIdle and keepAliveProbes unanswered probes, about
	// four seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// Watch makes the system end a connection whose other end vanished without a word. A connection that is not the system's own is left
// as it is.
func Watch(connection net.Conn, keepAlive net.KeepAliveConfig) {
	tcp, is := connection.(*net.TCPConn)
	if !is {
		return
	}
	// Both are best effort: without them the time-outs of the calls do the same, later.
	_ = tcp.SetKeepAliveConfig(keepAlive)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw)
	}
}
