package gateway

import (
	"net"
	"syscall"
)

// peerUID returns the user id of the process at the other end of a Unix socket (SO_PEERCRED,
// unix(7)), and whether it is known.
func peerUID(c *net.UnixConn) (uint32, bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	var cred *syscall.Ucred
	if controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); controlErr != nil || err != nil {
		return 0, false
	}
	return cred.Uid, true
}
