//go:build !linux

package transport

import (
	"net"
	"syscall"
	"time"
)

// keepAlive notices a vanished peer on a quiet connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// setUserTimeout does nothing where the system has no such timeout.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
