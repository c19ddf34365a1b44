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
	listPath = "/discovery/hosts"
	// An open watch says something every 2 s: a message, or an empty line. One that has
	// said neither for so long has fallen silent and is opened anew; what is missed counts
	// as told 6 s after the silence began, so that one more may fall silent. Discovery
	// answers at once, if at all.
	watchSilence = 2700 * time.Millisecond
	watchAnswer  = 400 * time.Millisecond
	// A watch that ended is followed by the next after a pause, twice as long each time
	// that nothing came of it.
	watchPause     = 50 * time.Millisecond
	watchPauseMost = 200 * time.Millisecond
	// mostMessage bounds one message, bytes: a whole list of some thousand disk servers, indented.
	mostMessage = 4 << 20
)

// watch follows discovery: one connection at a time, each from the version held on. After
// a message that could not be read it fetches the whole list first.
type watch struct {
	world env.Environment
	told  func(List)
	note  func(string, error)

	mu    sync.Mutex
	addr  string
	conn  net.Conn
	seq   uint64 // its goroutine's, as whole is
	whole bool   // what is held may lack something
	pause time.Duration
	tasks env.Group
	ended env.Gate
	ctx   context.Context // of its dials
	stop  context.CancelFunc
}

func newWatch(w env.Environment, addr string, seq uint64, told func(List), note func(string, error)) *watch {
	d := &watch{world: w, told: told, note: note, addr: addr, seq: seq, pause: watchPause}
	d.ctx, d.stop = context.WithCancel(context.Background())
	d.tasks.Go(w, d.run)
	return d
}

// move goes on at another address.
func (d *watch) move(addr string) {
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

func (d *watch) close() {
	d.ended.Open()
	d.stop()
	d.mu.Lock()
	if d.conn != nil {
		d.conn.Close()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.world)
}

func (d *watch) run() {
	for !d.ended.Opened() {
		d.mu.Lock()
		addr := d.addr
		d.mu.Unlock()
		var err error
		if d.whole {
			err = d.fetch(addr)
		}
		if err == nil {
			err = d.follow(addr)
		}
		if d.ended.Opened() {
			return
		}
		d.whole = d.whole || isUnreadable(err)
		d.note("watch ended", err)
		env.Wait(d.world, d.pause, &d.ended)
		d.pause = min(2*d.pause, watchPauseMost)
	}
}

// unreadable is a message of discovery that says nothing that can be taken.
type unreadable struct{ err error }

func (e *unreadable) Error() string { return "discovery: " + e.err.Error() }
func (e *unreadable) Unwrap() error { return e.err }

func isUnreadable(err error) bool {
	var e *unreadable
	return errors.As(err, &e)
}

// hold keeps conn to be closed by a move; false if there was one already.
func (d *watch) hold(addr string, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	return d.addr == addr && !d.ended.Opened()
}

// ask sends a request and reads the head of its answer; what comes of it is read from the
// stream, until use returns.
func (d *watch) ask(addr, target string, use func(net.Conn, *http1.Stream) error) error {
	conn, err := d.world.Dial(d.ctx, "tcp", addr, watchAnswer)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !d.hold(addr, conn) {
		return nil
	}
	conn.SetDeadline(d.world.Deadline(watchAnswer))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, http1.Fields{{Name: "Host", Value: addr}}, nil)); err != nil {
		return err
	}
	in := bufio.NewReaderSize(conn, linkBuffer)
	m, err := http1.ReadResponse(in, messageLimits)
	if err != nil {
		return err
	}
	if m.Status != 200 {
		return fmt.Errorf("discovery answered %d", m.Status)
	}
	fr, err := m.Framing(http1.Limits{Body: mostMessage})
	if err != nil {
		return err
	}
	conn.SetReadDeadline(d.world.Deadline(watchSilence))
	return use(conn, http1.NewStream(in, fr, messageLimits))
}

// fetch brings the whole list.
func (d *watch) fetch(addr string) error {
	return d.ask(addr, listPath, func(_ net.Conn, s *http1.Stream) error {
		var m messages
		return m.read(s, func(what got) (more bool, err error) {
			if what != gotMessage {
				return true, nil
			}
			return false, d.message(m.take(), true)
		})
	})
}

// follow holds one watch until it ends.
func (d *watch) follow(addr string) error {
	target := fmt.Sprintf("%s?stream=1&index=%d", listPath, d.seq)
	return d.ask(addr, target, func(conn net.Conn, s *http1.Stream) error {
		var m messages
		heard := false
		return m.read(s, func(what got) (more bool, err error) {
			if what == gotPart {
				return true, nil // half a message is no sign of life
			}
			conn.SetReadDeadline(d.world.Deadline(watchSilence))
			if what == gotMessage {
				err = d.message(m.take(), false)
			} else if !heard {
				d.told(List{Seq: d.seq}) // nothing has changed
			}
			if err == nil {
				heard, d.pause = true, watchPause
			}
			return true, err
		})
	})
}

// message takes a message. One that goes back in the versions leaves open what is missing.
func (d *watch) message(b []byte, fetched bool) error {
	l, err := parseList(b)
	if err != nil {
		return &unreadable{err}
	}
	if fetched && !l.Whole {
		return &unreadable{errors.New("the list is not whole")}
	}
	if !l.Whole && l.Seq < d.seq {
		return &unreadable{fmt.Errorf("version %d after %d", l.Seq, d.seq)}
	}
	if !l.Whole && l.doubtful {
		return &unreadable{fmt.Errorf("version %d: %v", l.Seq, l.faults)}
	}
	d.seq, d.whole = l.Seq, d.whole && !l.Whole
	d.told(l)
	return nil
}
