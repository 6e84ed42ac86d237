//go:build !linux

package network

import "syscall"

// setUserTimeout does nothing on systems other than Linux.
func setUserTimeout(_ syscall.RawConn) error { return nil }
