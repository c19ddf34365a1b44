//go:build !linux

package gateway

import "net"

// peerUID is not known on this system.
func peerUID(*net.UnixConn) (uint32, bool) { return 0, false }
