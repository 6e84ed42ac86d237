package network

import "syscall"

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 18

// setUserTimeout sets a socket's TCP user timeout to unackedTimeout.
func setUserTimeout(raw syscall.RawConn) error {
	var optionError error
	err := raw.Control(func(descriptor uintptr) {
		optionError = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionError
}
