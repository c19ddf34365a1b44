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
)

const (
	discoveryPath = "/discovery/hosts"
	// maxMessageBytes bounds a message: the full list of several thousand disk servers, indented.
	maxMessageBytes = 4 << 20
)

// discoveryCall is one call to discovery: a watch, or a fetch of the full list.
type discoveryCall struct {
	addr, target string
	fullList     bool // a fetch of the full list
	ctx          context.Context
	cancel       context.CancelFunc

	// Guarded by the client's mutex.
	conn       net.Conn
	superseded bool // not needed any more: it is to end without a word
	heldBytes  int  // of an incomplete message

	// Used by callSchedule, guarded by the client's mutex. patience bounds the time until the head of
	// the response, and then the time without progress.
	beganAt, heardAt, patience time.Duration
	answered                   bool // the head of the response has come
	established                bool // a message or an empty line has come
}

// supersede ends calls that are not needed any more. The client's mutex is held.
func supersede(calls ...*discoveryCall) {
	for _, c := range calls {
		c.superseded = true
		c.cancel()
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

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
	after time.Duration // since the call's start
	err   error
}

func (e *callError) Error() string {
	return fmt.Sprintf("waiting for a %s, %s after the start: %v", e.phase, e.after.Round(time.Millisecond), e.err)
}

func (e *callError) Unwrap() error { return e.err }

// isCallTimeout reports whether err is that of a call whose patience was over.
func isCallTimeout(err error) bool {
	var e *callError
	return errors.As(err, &e) && env.IsTimeout(e.err)
}

// unreadableError reports a message of discovery that cannot be applied.
type unreadableError struct{ err error }

func (e *unreadableError) Error() string { return "discovery: " + e.err.Error() }
func (e *unreadableError) Unwrap() error { return e.err }

func isUnreadable(err error) bool {
	var e *unreadableError
	return errors.As(err, &e)
}

// perform sends a call's request and applies what comes until the call ends.
func (d *discoveryClient) perform(c *discoveryCall) error {
	phase := phaseConnect
	fail := func(err error) error { return &callError{phase, d.environment.Now() - c.beganAt, err} }
	conn, err := d.environment.Dial(c.ctx, "tcp", c.addr, c.patience)
	if err != nil {
		return fail(err)
	}
	defer conn.Close()
	if !d.attach(c, conn) {
		return errSuperseded
	}
	phase = phaseHead
	conn.SetDeadline(d.environment.Deadline(c.beganAt + c.patience - d.environment.Now()))
	stream, err := openStream(conn, c)
	if err != nil {
		return fail(err)
	}
	d.headReceived(c)
	phase = phaseBody
	if err := d.follow(c, conn, stream); err != nil {
		return fail(err)
	}
	return nil
}

// attach records a call's connection, so that superseding the call closes it. It returns false if the
// call was superseded meanwhile.
func (d *discoveryClient) attach(c *discoveryCall, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.conn = conn
	return !c.superseded
}

// openStream sends a call's request, reads the head of the response and returns its body.
func openStream(conn net.Conn, c *discoveryCall) (*http1.Stream, error) {
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", c.target, http1.Fields{{Name: "Host", Value: c.addr}}, nil)); err != nil {
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
func (d *discoveryClient) follow(c *discoveryCall, conn net.Conn, stream *http1.Stream) error {
	extendDeadline := func() { conn.SetReadDeadline(d.environment.Deadline(d.patienceOf(c))) }
	extendDeadline()
	var objects objectReader
	received, lineOpen := false, false // lineOpen: a message has come without the end of its line
	return objects.forEach(stream, func(item streamItem) (more bool, err error) {
		switch {
		case item == itemObject:
			err = d.applyMessage(c, objects.bytes())
			received, lineOpen = true, true
		case item == itemNewline && lineOpen:
			lineOpen = false
		case item == itemNewline && !c.fullList:
			err = d.applyEmptyLine(c, !received)
			received = true
		case item == itemPartial && objects.nesting > 0:
			d.hold(c, len(objects.object))
		default:
			return true, nil
		}
		extendDeadline()
		return !c.fullList || item != itemObject, err
	})
}

func (d *discoveryClient) patienceOf(c *discoveryCall) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return c.patience
}

// applyMessage decodes a message and passes it on.
func (d *discoveryClient) applyMessage(c *discoveryCall, data []byte) error {
	list, err := parseServerList(data)
	if err != nil {
		return &unreadableError{err}
	}
	d.hold(c, 0)
	return d.deliver(c, list, true)
}

// applyEmptyLine handles an empty line of a watch. As the first line it says that nothing has changed
// since the version that the watch began with.
func (d *discoveryClient) applyEmptyLine(c *discoveryCall, first bool) error {
	return d.deliver(c, ServerList{Seq: d.version()}, first)
}

func (d *discoveryClient) version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seq
}
