package scheduler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

const (
	discoveryPath = "/discovery/hosts"
	// Discovery sends a message or an empty line on an open watch every 2 s. A watch that is
	// silent for watchSilenceTimeout is reopened. Discovery takes a change as delivered 6 s after
	// the silence began, which leaves time for a second watch to fall silent.
	// watchResponseTimeout bounds the dial, and then the time to the head of the response:
	// discovery answers at once, or not at all.
	watchSilenceTimeout  = 2700 * time.Millisecond
	watchResponseTimeout = 400 * time.Millisecond
	// Backoff between watches: it doubles with each watch that brings nothing.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 200 * time.Millisecond
	// maxMessageBytes bounds a message: the full list of several thousand disk servers, indented.
	maxMessageBytes = 4 << 20
)

// discoveryClient follows the changes of the disk server list. It holds one watch at a time, which
// starts at the last version received. After an unreadable message it fetches the full list first.
type discoveryClient struct {
	environment env.Environment
	onList      func(ServerList)
	onError     func(string, error)

	mu            locks.Mutex
	addr          string
	conn          net.Conn
	seq           uint64 // version of the last list; used by its goroutine only, as is needsFullList
	needsFullList bool   // changes may have been missed
	backoff       time.Duration
	tasks         env.WaitGroup
	ended         env.Gate
	ctx           context.Context // for dials
	cancelDial    context.CancelFunc
}

func newDiscoveryClient(w env.Environment, addr string, seq uint64, onList func(ServerList), onError func(string, error)) *discoveryClient {
	d := &discoveryClient{environment: w, onList: onList, onError: onError, addr: addr, seq: seq, backoff: minWatchBackoff}
	d.ctx, d.cancelDial = context.WithCancel(context.Background())
	d.tasks.Go(w, d.run)
	return d
}

// setAddress changes the address of discovery; an open watch at the old one is closed.
func (d *discoveryClient) setAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	if d.conn != nil {
		d.conn.Close()
	}
}

func (d *discoveryClient) close() {
	d.ended.Open()
	d.cancelDial()
	d.mu.Lock()
	if d.conn != nil {
		d.conn.Close()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.environment)
}

func (d *discoveryClient) run() {
	for !d.ended.Opened() {
		d.mu.Lock()
		addr := d.addr
		d.mu.Unlock()
		var err error
		if d.needsFullList {
			err = d.fetchFullList(addr)
		}
		if err == nil {
			err = d.watch(addr)
		}
		if d.ended.Opened() {
			return
		}
		d.needsFullList = d.needsFullList || isUnreadable(err)
		d.onError("watch ended", err)
		env.Sleep(d.environment, d.backoff, &d.ended)
		d.backoff = min(2*d.backoff, maxWatchBackoff)
	}
}

// unreadableError reports a message of discovery that cannot be applied.
type unreadableError struct{ err error }

func (e *unreadableError) Error() string { return "discovery: " + e.err.Error() }
func (e *unreadableError) Unwrap() error { return e.err }

func isUnreadable(err error) bool {
	var e *unreadableError
	return errors.As(err, &e)
}

// setConn records conn so that setAddress and close can close it. It returns false if the address
// has changed meanwhile or the client has ended.
func (d *discoveryClient) setConn(addr string, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	return d.addr == addr && !d.ended.Opened()
}

// get sends a GET request, reads the head of the response and passes the body to handle as a stream.
// The connection is closed when handle returns.
func (d *discoveryClient) get(addr, target string, handle func(net.Conn, *http1.Stream) error) error {
	conn, err := d.environment.Dial(d.ctx, "tcp", addr, watchResponseTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !d.setConn(addr, conn) {
		return nil
	}
	conn.SetDeadline(d.environment.Deadline(watchResponseTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, http1.Fields{{Name: "Host", Value: addr}}, nil)); err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, readBufferBytes)
	response, err := http1.ReadResponse(in, messageLimits)
	if err != nil {
		return err
	}
	if response.Status != 200 {
		return fmt.Errorf("discovery returned status %d, want 200", response.Status)
	}
	framing, err := response.Framing(http1.Limits{MaxBodyBytes: maxMessageBytes})
	if err != nil {
		return err
	}
	conn.SetReadDeadline(d.environment.Deadline(watchSilenceTimeout))
	return handle(conn, http1.NewStream(in, framing, messageLimits))
}

// fetchFullList requests the full list and applies it.
func (d *discoveryClient) fetchFullList(addr string) error {
	return d.get(addr, discoveryPath, func(_ net.Conn, stream *http1.Stream) error {
		var objects objectReader
		return objects.forEach(stream, func(item streamItem) (more bool, err error) {
			if item != itemObject {
				return true, nil
			}
			return false, d.handleMessage(objects.bytes(), true)
		})
	})
}

// watch opens a watch and applies its messages until it ends.
func (d *discoveryClient) watch(addr string) error {
	target := fmt.Sprintf("%s?stream=1&index=%d", discoveryPath, d.seq)
	return d.get(addr, target, func(conn net.Conn, stream *http1.Stream) error {
		var objects objectReader
		received := false
		return objects.forEach(stream, func(item streamItem) (more bool, err error) {
			if item == itemPartial {
				return true, nil // an incomplete message does not extend the read deadline
			}
			conn.SetReadDeadline(d.environment.Deadline(watchSilenceTimeout))
			if item == itemObject {
				err = d.handleMessage(objects.bytes(), false)
			} else if !received {
				d.onList(ServerList{Seq: d.seq}) // an empty line first: nothing has changed since seq
			}
			if err == nil {
				received, d.backoff = true, minWatchBackoff
			}
			return true, err
		})
	})
}

// handleMessage decodes and applies a message. A partial list with an older version is rejected,
// since changes would be missing.
func (d *discoveryClient) handleMessage(data []byte, fetched bool) error {
	list, err := parseServerList(data)
	if err != nil {
		return &unreadableError{err}
	}
	if fetched && !list.Full {
		return &unreadableError{errors.New("got a partial list, want the full list")}
	}
	if !list.Full && list.Seq < d.seq {
		return &unreadableError{fmt.Errorf("list version went back: got %d after %d", list.Seq, d.seq)}
	}
	if !list.Full && list.malformed {
		return &unreadableError{fmt.Errorf("invalid entries in list version %d: %v", list.Seq, list.faults)}
	}
	d.seq, d.needsFullList = list.Seq, d.needsFullList && !list.Full
	d.onList(list)
	return nil
}
