package transport

import (
	"net"
	"time"
)

// keepAlive notices a vanished peer on a quiet connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// watchConnection makes the system end a connection whose peer vanished without a
// word. A connection that is not the system's own is left as it is.
func watchConnection(connection net.Conn) {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return
	}
	// Both are best effort: without them the calls' deadlines do the same, later.
	_ = tcp.SetKeepAliveConfig(keepAlive)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = setUserTimeout(raw)
	}
}
