//go:build !linux

package gateway

import "net"

// peerUser is not known on this system.
func peerUser(*net.UnixConn) (uint32, bool) { return 0, false }
