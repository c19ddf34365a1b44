package gateway_test

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"time"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
)

// actor is a disk server that does what a test says. The test's play is called
// with each attempt, in order, and answers by its say, or not at all.
type actor struct {
	t    *testing.T
	l    net.Listener
	w    env.Environment
	play func(c *scene, do diskproto.Do)
	// raw, if set, takes the connection's bytes after the greeting.
	raw func(c net.Conn)

	mu    sync.Mutex
	seen  []diskproto.Do
	conns []net.Conn
	tasks sync.WaitGroup
}

// scene is one attempt's connection.
type scene struct {
	conn net.Conn
	tag  uint32
}

func (s *scene) say(a diskproto.Answer) { s.sayFor(s.tag, a) }

func (s *scene) sayFor(tag uint32, a diskproto.Answer) {
	s.conn.Write(diskproto.Append(nil, diskproto.KindAnswer, tag, &a))
}

func newActor(t *testing.T, w env.Environment) *actor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &actor{t: t, l: l, w: w}
	a.tasks.Add(1)
	go a.accept()
	t.Cleanup(func() {
		l.Close()
		a.mu.Lock()
		for _, c := range a.conns {
			c.Close()
		}
		a.mu.Unlock()
		a.tasks.Wait()
	})
	return a
}

func (a *actor) accept() {
	defer a.tasks.Done()
	for {
		c, err := a.l.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns = append(a.conns, c)
		a.tasks.Add(1)
		a.mu.Unlock()
		go a.serve(c)
	}
}

func (a *actor) serve(c net.Conn) {
	defer a.tasks.Done()
	defer c.Close()
	br := bufio.NewReader(c)
	r := diskproto.NewReader(br)
	for {
		f, err := r.Next()
		if err != nil {
			return
		}
		switch f.Kind {
		case diskproto.KindHello:
			w := &diskproto.Welcome{Version: diskproto.Version, Clock: uint64(a.w.Now() / time.Microsecond), Name: "actor"}
			c.Write(diskproto.Append(nil, diskproto.KindWelcome, f.Tag, w))
			a.mu.Lock()
			raw := a.raw
			a.mu.Unlock()
			if raw != nil {
				raw(c)
				return
			}
		case diskproto.KindDo:
			var m diskproto.Do
			if err := m.Parse(f.Body); err != nil {
				a.t.Error(err)
				return
			}
			m.Data = append([]byte(nil), m.Data...)
			a.mu.Lock()
			a.seen = append(a.seen, m)
			a.mu.Unlock()
			a.play(&scene{c, f.Tag}, m)
		}
	}
}

func (a *actor) did() []diskproto.Do {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]diskproto.Do(nil), a.seen...)
}

// stage puts an actor in place of every shard's disk server.
func (r *rig) stage(play func(c *scene, do diskproto.Do)) *actor {
	a := newActor(r.t, r.world)
	a.play = play
	r.inv.ChangeNow(func(b *inventory.Book) {
		for i, d := range r.disks {
			b.Health(d.Addr, inventory.Gone)
			b.Set(inventory.Node{Addr: a.l.Addr().String(), Health: inventory.Ready, Shard: i, Zone: "hall-a", Weight: 1, Incarnation: 9}, 0)
		}
	})
	return a
}
