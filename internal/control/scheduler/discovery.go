package scheduler

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/hedge"
	"merlinhitch/internal/runtime/locks"
)

const (
	discoveryPath = "/discovery/hosts"
	// maxMessageBytes bounds a message: the full list of several thousand disk servers, indented.
	maxMessageBytes = 4 << 20
)

// discoveryCalls has the times of calls to discovery, which sends a message or an empty line on an open
// watch every 2 s. It takes a change as delivered 6 s after it could be reached, which is the sum of
// Patience and PatientInterval.
var discoveryCalls = hedge.Config{
	Silence:         2300 * time.Millisecond,
	Patience:        4 * time.Second,
	PatientInterval: 2 * time.Second,
	MinLongPatience: 8 * time.Second,
	MaxLongPatience: time.Minute,
	MinInterval:     500 * time.Millisecond,
	MaxInterval:     time.Second,
	MinBackoff:      50 * time.Millisecond,
	MaxBackoff:      200 * time.Millisecond,
	MaxOpen:         6,
	MaxHeldBytes:    maxMessageBytes,
}

// discoveryClient follows the changes of the disk server list over a watch, which starts at the last
// version received. After an unreadable message it fetches the full list first.
type discoveryClient struct {
	follower *hedge.Follower
	onList   func(ServerList) // called for one list at a time
	onError  func(string, error)

	mu            locks.Mutex
	addr          string
	seq           uint64 // version of the last list
	needsFullList bool   // changes may have been missed
}

func newDiscoveryClient(w env.Environment, addr string, seq uint64, onList func(ServerList), onError func(string, error)) *discoveryClient {
	d := &discoveryClient{onList: onList, onError: onError, addr: addr, seq: seq}
	d.follower = hedge.Follow(w, discoveryCalls, d)
	return d
}

// setAddress changes the address of discovery; open calls to the old one are closed.
func (d *discoveryClient) setAddress(addr string) {
	d.mu.Lock()
	changed := addr != d.addr
	d.addr = addr
	d.mu.Unlock()
	if changed {
		d.follower.Reset()
	}
}

func (d *discoveryClient) close() { d.follower.Close() }

// unreadableError reports a message of discovery that cannot be applied.
type unreadableError struct{ err error }

func (e *unreadableError) Error() string { return "discovery: " + e.err.Error() }
func (e *unreadableError) Unwrap() error { return e.err }

func isUnreadable(err error) bool {
	var e *unreadableError
	return errors.As(err, &e)
}

// errFullListNeeded ends a watch that goes on from a version that is in doubt.
var errFullListNeeded = errors.New("changes may have been missed: waiting for the full list")

// callPhase is what a call waits for.
type callPhase string

// Phases of a call, in their order.
const (
	phaseConnect callPhase = "connection"
	phaseHead    callPhase = "response"
	phaseBody    callPhase = "message or empty line"
)

// callError reports that a call has ended.
type callError struct {
	phase callPhase
	age   time.Duration // of the call
	err   error
}

func (e *callError) Error() string {
	return fmt.Sprintf("waiting for a %s, %s after the start: %v", e.phase, e.age.Round(time.Millisecond), e.err)
}

func (e *callError) Unwrap() error { return e.err }

// Perform implements hedge.Handler: it performs a watch, or a fetch of the full list where changes may
// have been missed.
func (d *discoveryClient) Perform(c *hedge.Call) error {
	phase, err := d.performPhases(&discoveryCall{Call: c, client: d})
	if err != nil {
		err = &callError{phase, c.Age(), err}
	}
	return err
}

// Ended implements hedge.Handler.
func (d *discoveryClient) Ended(err error) {
	if isUnreadable(err) {
		d.mu.Lock()
		d.needsFullList = true
		d.mu.Unlock()
	}
	d.onError("watch ended", err)
}

// discoveryCall is one call to discovery.
type discoveryCall struct {
	*hedge.Call
	client   *discoveryClient
	fullList bool // a fetch of the full list, not a watch
}

// performPhases performs a call and returns the phase in which it ended.
func (d *discoveryClient) performPhases(c *discoveryCall) (callPhase, error) {
	addr, target := d.beginCall(c)
	conn, err := c.Dial(addr)
	if err != nil {
		return phaseConnect, err
	}
	defer conn.Close()
	conn.SetDeadline(c.AnswerDeadline())
	stream, err := openStream(conn, addr, target)
	if err != nil {
		return phaseHead, err
	}
	c.Answered()
	return phaseBody, c.follow(conn, stream)
}

// beginCall returns the address and the target of a call's request.
func (d *discoveryClient) beginCall(c *discoveryCall) (addr, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.fullList = d.needsFullList; c.fullList {
		return d.addr, discoveryPath
	}
	return d.addr, fmt.Sprintf("%s?stream=1&index=%d", discoveryPath, d.seq)
}

// openStream sends a request, reads the head of the response and returns its body.
func openStream(conn net.Conn, addr, target string) (*http1.Stream, error) {
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, http1.Fields{{Name: "Host", Value: addr}}, nil)); err != nil {
		return nil, err
	}
	in := bufio.NewReaderSize(conn, readBufferBytes)
	response, err := http1.ReadResponse(in, messageLimits)
	if err != nil {
		return nil, err
	}
	if response.Status != 200 {
		return nil, fmt.Errorf("discovery returned status %d, want 200", response.Status)
	}
	framing, err := response.Framing(http1.Limits{MaxBodyBytes: maxMessageBytes})
	if err != nil {
		return nil, err
	}
	return http1.NewStream(in, framing, messageLimits), nil
}

// follow applies the messages of a call until it ends, a fetch after its first. Bytes of a message
// extend the read deadline, so that a long list may come slowly; bytes between messages don't.
func (c *discoveryCall) follow(conn net.Conn, stream *http1.Stream) error {
	conn.SetReadDeadline(c.ReadDeadline())
	var objects objectReader
	received, lineOpen := false, false // lineOpen: a message has come without the end of its line
	return objects.forEach(stream, func(item streamItem) (more bool, err error) {
		switch {
		case item == itemObject:
			err = c.applyMessage(objects.bytes())
			received, lineOpen = true, true
		case item == itemNewline && lineOpen:
			lineOpen = false
		case item == itemNewline && !c.fullList:
			err = c.applyEmptyLine(!received)
			received = true
		case item == itemPartial && objects.nesting > 0:
			c.Hold(len(objects.object))
		default:
			return true, nil
		}
		conn.SetReadDeadline(c.ReadDeadline())
		return !c.fullList || item != itemObject, err
	})
}

// applyMessage decodes a message and passes it on.
func (c *discoveryCall) applyMessage(data []byte) error {
	list, err := parseServerList(data)
	if err != nil {
		return &unreadableError{err}
	}
	c.Hold(0)
	return c.Deliver(hedge.Message{
		Check: func() error { return c.client.accept(c, list) },
		Pass:  func() { c.client.onList(list) },
		Last:  c.fullList,
	})
}

// applyEmptyLine handles an empty line of a watch. As the first line it says that nothing has changed
// since the version that the watch began with.
func (c *discoveryCall) applyEmptyLine(first bool) error {
	var list ServerList
	message := hedge.Message{Check: func() error {
		var err error
		list, err = c.client.unchanged()
		return err
	}}
	if first {
		message.Pass = func() { c.client.onList(list) }
	}
	return c.Deliver(message)
}

// unchanged returns a list without changes of the version held.
func (d *discoveryClient) unchanged() (ServerList, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.needsFullList {
		return ServerList{}, errFullListNeeded
	}
	return ServerList{Seq: d.seq}, nil
}

// accept takes over a list's version, or reports why the list cannot be applied. A partial list with an
// older version is rejected, since changes would be missing.
func (d *discoveryClient) accept(c *discoveryCall, list ServerList) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case list.Full:
	case c.fullList:
		return &unreadableError{errors.New("got a partial list, want the full list")}
	case d.needsFullList:
		return errFullListNeeded
	case list.Seq < d.seq:
		return &unreadableError{fmt.Errorf("list version went back: got %d after %d", list.Seq, d.seq)}
	case list.malformed:
		return &unreadableError{fmt.Errorf("invalid entries in list version %d: %v", list.Seq, list.faults)}
	}
	d.seq, d.needsFullList = list.Seq, d.needsFullList && !list.Full
	return nil
}
