package scheduler

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

const (
	discoveryPath = "/discovery/hosts"
	// An open watch says something every 2 s: a message, or an empty line. One that has
	// said neither for so long has fallen silent and is opened anew; what is missed counts
	// as told 6 s after the silence began, so that one more may fall silent. Discovery
	// answers at once, if at all.
	watchSilenceTimeout  = 2700 * time.Millisecond
	watchResponseTimeout = 400 * time.Millisecond
	// A watch that ended is followed by the next after a pause, twice as long each time
	// that nothing came of it.
	minWatchBackoff = 50 * time.Millisecond
	maxWatchBackoff = 200 * time.Millisecond
	// maxMessageBytes bounds one message, bytes: a whole list of some thousand disk servers, indented.
	maxMessageBytes = 4 << 20
)

// discoveryClient follows discovery: one connection at a time, each from the version held on. After
// a message that could not be read it fetches the whole list first.
type discoveryClient struct {
	environment env.Environment
	onList      func(ServerList)
	onError     func(string, error)

	mu            sync.Mutex
	addr          string
	conn          net.Conn
	seq           uint64 // its goroutine's, as whole is
	needsFullList bool   // what is held may lack something
	backoff       time.Duration
	tasks         env.WaitGroup
	ended         env.Gate
	ctx           context.Context // of its dials
	cancelDial    context.CancelFunc
}

func newDiscoveryClient(w env.Environment, addr string, seq uint64, onList func(ServerList), onError func(string, error)) *discoveryClient {
	d := &discoveryClient{environment: w, onList: onList, onError: onError, addr: addr, seq: seq, backoff: minWatchBackoff}
	d.ctx, d.cancelDial = context.WithCancel(context.Background())
	d.tasks.Go(w, d.run)
	return d
}

// setAddress goes on at another address.
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

// unreadableError is a message of discovery that says nothing that can be taken.
type unreadableError struct{ err error }

func (e *unreadableError) Error() string { return "discovery: " + e.err.Error() }
func (e *unreadableError) Unwrap() error { return e.err }

func isUnreadable(err error) bool {
	var e *unreadableError
	return errors.As(err, &e)
}

// setConn keeps conn to be closed by a move; false if there was one already.
func (d *discoveryClient) setConn(addr string, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	return d.addr == addr && !d.ended.Opened()
}

// get sends a request and reads the head of its answer; what comes of it is read from the
// stream, until use returns.
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
		return fmt.Errorf("discovery answered %d", response.Status)
	}
	framing, err := response.Framing(http1.Limits{MaxBodyBytes: maxMessageBytes})
	if err != nil {
		return err
	}
	conn.SetReadDeadline(d.environment.Deadline(watchSilenceTimeout))
	return handle(conn, http1.NewStream(in, framing, messageLimits))
}

// fetchFullList brings the whole list.
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

// watch holds one watch until it ends.
func (d *discoveryClient) watch(addr string) error {
	target := fmt.Sprintf("%s?stream=1&index=%d", discoveryPath, d.seq)
	return d.get(addr, target, func(conn net.Conn, stream *http1.Stream) error {
		var objects objectReader
		received := false
		return objects.forEach(stream, func(item streamItem) (more bool, err error) {
			if item == itemPartial {
				return true, nil // half a message is no sign of life
			}
			conn.SetReadDeadline(d.environment.Deadline(watchSilenceTimeout))
			if item == itemObject {
				err = d.handleMessage(objects.bytes(), false)
			} else if !received {
				d.onList(ServerList{Seq: d.seq}) // nothing has changed
			}
			if err == nil {
				received, d.backoff = true, minWatchBackoff
			}
			return true, err
		})
	})
}

// handleMessage takes a handleMessage. One that goes back in the versions leaves open what is missing.
func (d *discoveryClient) handleMessage(data []byte, fetched bool) error {
	list, err := parseServerList(data)
	if err != nil {
		return &unreadableError{err}
	}
	if fetched && !list.Full {
		return &unreadableError{errors.New("the list is not whole")}
	}
	if !list.Full && list.Seq < d.seq {
		return &unreadableError{fmt.Errorf("version %d after %d", list.Seq, d.seq)}
	}
	if !list.Full && list.malformed {
		return &unreadableError{fmt.Errorf("version %d: %v", list.Seq, list.faults)}
	}
	d.seq, d.needsFullList = list.Seq, d.needsFullList && !list.Full
	d.onList(list)
	return nil
}
