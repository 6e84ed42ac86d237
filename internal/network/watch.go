package network

import (
	"net"
	"time"
)

const (
	// unackedTimeout is the time after which a connection with unacknowledged data is closed. It is below the shortest time after
	// which a deployment relies again on a machine whose connections were lost (3 s), and above the pauses of a machine that has
	// used up its CPU quota (0.1 s) or whose link is saturated (over half a second).
	unackedTimeout = 2 * time.Second
	// An idle connection whose other end vanished silently is closed after keepAliveIdle and keepAliveProbes unanswered probes, about
	// four seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// DetectDeadPeer makes the operating system close a TCP connection whose other end vanished silently: idle connections by keepAlive probes,
// others after unackedTimeout. Connections that are not TCP connections of the operating system are left unchanged.
func DetectDeadPeer(connection net.Conn, keepAlive net.KeepAliveConfig) {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	// Both are best effort: without them the calls' own timeouts detect the loss later.
	_ = tcp.SetKeepAliveConfig(keepAlive)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw)
	}
}
