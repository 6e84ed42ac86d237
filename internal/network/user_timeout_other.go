//go:build !linux

package network

import "syscall"

// setUserTimeout does nothing where the system has no such timeout.
func setUserTimeout(_ syscall.RawConn) error { return nil }
