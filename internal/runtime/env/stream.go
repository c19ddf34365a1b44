package env

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNoData says that nothing has come on a connection that was not read already.
var ErrNoData = errors.New("nothing has come")

// ReadAvailable reads what has come on a stream and waits for nothing: ErrNothing where nothing
// has, io.EOF where its other end has closed. Nobody else reads the stream meanwhile, and
// its deadline for reading is not over.
func ReadAvailable(c net.Conn, b []byte) (int, error) {
	switch c := c.(type) {
	case interface{ ReadAvailable(b []byte) (int, error) }:
		return c.ReadAvailable(b)
	case syscall.Conn:
		return readAvailable(c, b)
	}
	return 0, ErrNoData
}

func readAvailable(c syscall.Conn, b []byte) (n int, fault error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	err = raw.Read(func(fd uintptr) bool {
		n, fault = syscall.Read(int(fd), b)
		for fault == syscall.EINTR {
			n, fault = syscall.Read(int(fd), b)
		}
		return true // whatever it was: never wait
	})
	switch {
	case err != nil:
		return 0, err
	case fault == syscall.EAGAIN:
		return 0, ErrNoData
	case fault != nil:
		return 0, fault
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// WaitReadable waits until bytes have come on a stream, which it leaves there: nil. The error is
// the stream's end, io.EOF where the other end has closed, or a deadline for reading.
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
	var fault error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, fault = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return fault != syscall.EAGAIN && fault != syscall.EINTR
	})
	switch {
	case err != nil:
		return err
	case fault != nil:
		return fault
	case n == 0:
		return io.EOF
	}
	return nil
}

// SinceLastReceive is how long ago the last bytes came on a stream, or the stream itself if none have:
// what lay in a listener's queue, or with the kernel, is older than the moment in which it is
// read. False where that can't be known.
func SinceLastReceive(c net.Conn) (time.Duration, bool) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var fault error
	err = raw.Control(func(fd uintptr) { info, fault = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || fault != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// CloseWrite ends what this side sends and leaves the stream open for what comes. It tells
// whether the stream can do that.
func CloseWrite(c net.Conn) bool {
	half, ok := c.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// IsTimeout tells whether an error of a connection only says that its deadline has passed.
func IsTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}
