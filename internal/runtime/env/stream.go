package env

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNoData means that no unread data is available on a connection.
var ErrNoData = errors.New("no data available on connection")

// ReadAvailable reads from a stream without blocking. It returns ErrNoData if no data is
// available, and io.EOF if the peer has closed. Nobody else may read the stream at the
// same time, and its read deadline must not have passed. On a connection that supports no
// non-blocking read it returns ErrNoData.
func ReadAvailable(c net.Conn, b []byte) (int, error) {
	switch c := c.(type) {
	case interface{ ReadAvailable(b []byte) (int, error) }:
		return c.ReadAvailable(b)
	case syscall.Conn:
		return readAvailable(c, b)
	}
	return 0, ErrNoData
}

func readAvailable(c syscall.Conn, b []byte) (n int, readErr error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b)
		for readErr == syscall.EINTR {
			n, readErr = syscall.Read(int(fd), b)
		}
		return true // never wait for the descriptor to become readable
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, ErrNoData
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// WaitReadable blocks until a stream has data to read, and consumes none of it. It returns
// io.EOF if the peer has closed, an error of the stream, or a timeout if the read deadline
// passes, and ErrNoData at once on a connection that cannot be watched without reading it.
func WaitReadable(c net.Conn) error {
	switch c := c.(type) {
	case interface{ WaitReadable() error }:
		return c.WaitReadable()
	case syscall.Conn:
		return waitReadable(c)
	}
	return ErrNoData
}

func waitReadable(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return recvErr != syscall.EAGAIN && recvErr != syscall.EINTR
	})
	switch {
	case err != nil:
		return err
	case recvErr != nil:
		return recvErr
	case n == 0:
		return io.EOF
	}
	return nil
}

// SinceLastReceive returns the time since data last arrived on a TCP stream, or since the
// connection was established if none has. It uses the kernel's TCP_INFO, so it includes
// the time that data or the connection waited in kernel queues before being read. It
// returns false if the connection does not provide that information.
func SinceLastReceive(c net.Conn) (time.Duration, bool) {
	info := tcpInfo(c)
	if info == nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// SinceEstablished returns the time since a TCP stream was established on which nothing has been sent
// yet. Data that is unread may have arrived at any time since then. It returns false if the connection
// does not provide that information.
func SinceEstablished(c net.Conn) (time.Duration, bool) {
	info := tcpInfo(c)
	if info == nil {
		return 0, false
	}
	return time.Duration(max(info.Last_data_recv, info.Last_data_sent)) * time.Millisecond, true
}

// tcpInfo returns the kernel's TCP_INFO of a stream, nil if there is none.
func tcpInfo(c net.Conn) *unix.TCPInfo {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	var info *unix.TCPInfo
	withDescriptor(s, func(fd int) {
		if got, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	return info
}

// withDescriptor calls f with the descriptor of a connection. It returns false, without calling f, if the
// connection is closed.
func withDescriptor(c syscall.Conn, f func(fd int)) bool {
	raw, err := c.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// HasUnread reports whether a stream has bytes that can be read at once. It returns false if the
// connection does not tell.
func HasUnread(c net.Conn) bool {
	switch c := c.(type) {
	case interface{ HasUnread() bool }:
		return c.HasUnread()
	case syscall.Conn:
		return hasUnread(c)
	}
	return false
}

func hasUnread(c syscall.Conn) bool {
	unread := 0
	withDescriptor(c, func(fd int) { unread, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
	return unread > 0
}

// PeerState is what is known of the peer of a stream without reading from it.
type PeerState int

// States of a peer.
const (
	PeerUnknown PeerState = iota // unread data may precede the end of the stream
	PeerOpen                     // it has not ended its sending direction
	PeerClosed                   // it has ended it, or the connection is reset or closed
)

// PeerStateOf returns whether the peer has ended its sending direction. Unlike the functions
// that read, it may be called while another goroutine reads. A connection that tells nothing counts as
// open.
func PeerStateOf(c net.Conn) PeerState {
	switch c := c.(type) {
	case interface{ PeerState() PeerState }:
		return c.PeerState()
	case syscall.Conn:
		return peerState(c)
	}
	return PeerOpen
}

// Values of a TCP_INFO's State in which the peer has ended its sending direction (Linux,
// include/net/tcp_states.h).
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

func peerState(c syscall.Conn) PeerState {
	state := PeerUnknown
	if !withDescriptor(c, func(fd int) { state = socketPeerState(fd) }) {
		return PeerClosed // closed here
	}
	return state
}

// socketPeerState counts the unread bytes before it asks for the state: without any, the end of the
// stream can't be hidden by a closed receive window.
func socketPeerState(fd int) PeerState {
	unread, unreadErr := unix.IoctlGetInt(fd, unix.TIOCINQ)
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil {
		switch info.State {
		case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			return PeerClosed
		}
	}
	if unreadErr == nil && unread > 0 {
		return PeerUnknown
	}
	return PeerOpen
}

// CloseWrite shuts down the sending half of a stream and leaves the receiving half open. It
// returns false if the stream does not support that or if it failed.
func CloseWrite(c net.Conn) bool {
	closer, ok := c.(interface{ CloseWrite() error })
	return ok && closer.CloseWrite() == nil
}

// IsTimeout reports whether err is a network timeout, such as a deadline that has passed.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
