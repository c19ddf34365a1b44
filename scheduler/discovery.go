package scheduler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"merlinhitch/http1"
	"merlinhitch/seam"
)

const (
	watchPath = "/discovery/hosts"
	// An open watch says something every 2 s; one that said nothing for so long is asked anew.
	watchSilence = 5 * time.Second
	watchDial    = time.Second
	watchPause   = 100 * time.Millisecond
	watchLine    = 1 << 20 // bytes of one message, at most
)

// watch follows discovery: one connection at a time, each from the version held on.
type watch struct {
	world seam.World
	told  func(List)
	note  func(string, error)

	mu    sync.Mutex
	addr  string
	conn  net.Conn
	seq   uint64
	tasks seam.Group
	ctx   context.Context
	stop  context.CancelFunc
}

func newWatch(w seam.World, addr string, seq uint64, told func(List), note func(string, error)) *watch {
	d := &watch{world: w, told: told, note: note, addr: addr, seq: seq}
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
	d.stop()
	d.mu.Lock()
	if d.conn != nil {
		d.conn.Close()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.world)
}

func (d *watch) run() {
	for d.ctx.Err() == nil {
		d.mu.Lock()
		addr := d.addr
		d.mu.Unlock()
		err := d.once(addr)
		if d.ctx.Err() != nil {
			return
		}
		d.note("watch ended", err)
		seam.Pause(d.ctx, d.world, watchPause)
	}
}

// hold keeps conn to be closed by a move; false if there was one already.
func (d *watch) hold(addr string, conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	return d.addr == addr && d.ctx.Err() == nil
}

// once holds one watch until it ends.
func (d *watch) once(addr string) error {
	conn, err := d.world.Dial(d.ctx, "tcp", addr, watchDial)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !d.hold(addr, conn) {
		return nil
	}
	conn.SetDeadline(d.world.Deadline(watchSilence))
	target := fmt.Sprintf("%s?stream=1&index=%d", watchPath, d.seq)
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
	fr, err := m.Framing(http1.Limits{Body: watchLine})
	if err != nil {
		return err
	}
	return d.follow(conn, http1.NewStream(in, fr, messageLimits))
}

// follow reads messages, one a line.
func (d *watch) follow(conn net.Conn, s *http1.Stream) error {
	var line []byte
	for {
		conn.SetReadDeadline(d.world.Deadline(watchSilence))
		b, err := s.Next()
		if err != nil {
			return err
		}
		for len(b) > 0 {
			part, rest, whole := bytes.Cut(b, []byte("\n"))
			if line = append(line, part...); len(line) > watchLine {
				return &http1.Error{Kind: http1.TooLarge, Part: "watch"}
			}
			if b = rest; !whole {
				break
			}
			if err := d.message(bytes.TrimSpace(line)); err != nil {
				return err
			}
			line = line[:0]
		}
	}
}

func (d *watch) message(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	l, err := parseList(line)
	if err != nil {
		return err
	}
	d.seq = l.Seq
	d.told(l)
	return nil
}
