package standin

import (
	"bufio"
	"crypto/tls"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
)

// NetworkFaults is what is wrong with a disk server's connections.
type NetworkFaults struct {
	Hang          bool    // connections open, and nothing is read or said on them
	TruncateShare float64 // part of the answers that are cut short, with the connection
	ByteAtATime   bool    // answers go out a byte at a time
	Delay         float64 // answers are held back for so many ms
	DelayShare    float64 // part of them that are
}

// DiskServer is the shell of a machine: a listener, and two goroutines for each
// connection.
type DiskServer struct {
	Addr    string
	Name    string
	Zone    string
	Rack    string
	Shard   int
	Started uint64

	world    env.Environment
	listener net.Listener
	mu       sync.Mutex
	machine  *Machine
	timer    env.Timer
	timerAt  float64
	conns    env.OrderedSet[*writequeue.Queue]
	net      NetworkFaults
	rng      *rand.Rand
	dead     bool
	tasks    env.WaitGroup
	stopped  env.Gate
	// Of one of two regions: where the inventory is, and the disk server of the same shard
	// in the other region; "" while there is none.
	Inventory func() string
	Peer      func() string
	// Keys of the server; nil: it is spoken to in clear.
	Keys *keys.Holder
	// OnOverloadCrash is called once, from a goroutine of its own, when the server falls over.
	OnOverloadCrash func()
}

const (
	diskOut     = 64 << 20
	diskTimeout = 10 * time.Second
)

// ServeDisk starts a disk server on a machine.
func ServeDisk(w env.Environment, m *Machine, d *DiskServer) error {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.world, d.listener, d.machine = w, l, m
	d.Addr, d.Started = l.Addr().String(), w.RandomUint64()
	d.timerAt = math.Inf(1)
	d.rng = rand.New(rand.NewPCG(d.Started, 2))
	m.RunAsEvent = d.outside
	d.tasks.Go(w, d.accept)
	if d.Peer != nil {
		d.tasks.Go(w, d.copying)
		d.tasks.Go(w, d.reporting)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arm()
	return nil
}

func (d *DiskServer) now() float64 { return env.MS(d.world.Now()) }

func (d *DiskServer) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.Keys != nil {
			c = tls.Server(c, d.Keys.Server(true))
		}
		o := writequeue.New(d.world, c, diskOut, diskTimeout)
		if !d.keep(o) {
			o.Abort()
			return
		}
		d.tasks.Go(d.world, func() { d.serve(c, o) })
	}
}

// keep has a connection cut when the process ends; false if it has ended.
func (d *DiskServer) keep(o *writequeue.Queue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return false
	}
	d.conns.Add(o)
	return true
}

func (d *DiskServer) leave(o *writequeue.Queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns.Remove(o)
}

// trusts tells whether the peer's certificate still counts: it may run out or be revoked
// in the midst of a connection.
func (d *DiskServer) trusts(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	if !ok {
		return true
	}
	certs := t.ConnectionState().PeerCertificates
	return len(certs) > 0 && d.Keys.Check(certs[0]) == nil
}

func (d *DiskServer) serve(c net.Conn, o *writequeue.Queue) {
	defer d.leave(o)
	defer o.Wait()
	defer o.Abort()
	if d.hangs() {
		var b [1]byte
		for { // the process doesn't read, but the kernel still takes bytes
			if _, err := c.Read(b[:]); err != nil {
				return
			}
		}
	}
	r := diskproto.NewReader(bufio.NewReaderSize(c, 32<<10))
	var gen uint64 // under which a home copies to here by this connection
	for {
		f, err := r.Next()
		if err != nil || !d.trusts(c) {
			return
		}
		ok := false
		switch f.Kind {
		case diskproto.KindJoin, diskproto.KindCopy:
			ok = d.copied(o, f, &gen)
		default:
			ok = d.frame(o, f)
		}
		if !ok {
			return
		}
	}
}

// outside runs f as an event of the machine.
func (d *DiskServer) outside(f func()) {
	d.world.AfterFunc(0, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.dead {
			f()
		}
	})
}

func (d *DiskServer) hangs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.net.Hang
}

// frame handles one message; false ends the connection.
func (d *DiskServer) frame(o *writequeue.Queue, f diskproto.Frame) bool {
	switch f.Kind {
	case diskproto.KindHello:
		var h diskproto.Hello
		if h.Parse(f.Body) != nil {
			return false
		}
		w := &diskproto.Welcome{Version: diskproto.Version, Shard: uint32(d.Shard), Started: d.Started,
			Clock: uint64(d.world.Now() / time.Microsecond), Name: d.Name, Zone: d.Zone, Rack: d.Rack}
		if h.Oldest > diskproto.Version || h.Newest < diskproto.Oldest {
			w.Version = 0
		}
		return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindWelcome, f.Tag, w) })
	case diskproto.KindDo:
		var m diskproto.Do
		if m.Parse(f.Body) != nil {
			return false
		}
		m.Data = append([]byte(nil), m.Data...)
		d.do(o, f.Tag, m)
	case diskproto.KindProbe:
		d.mu.Lock()
		p := &diskproto.Probed{Clock: uint64(d.world.Now() / time.Microsecond), Report: []diskproto.Figure{{Name: "waiting", Value: float64(len(d.machine.queue))}, {Name: "active", Value: float64(len(d.machine.run))}}}
		d.mu.Unlock()
		return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbed, f.Tag, p) })
	}
	return true // Cancel stops nothing here; unknown kinds are of later versions
}

func (d *DiskServer) do(o *writequeue.Queue, tag uint32, m diskproto.Do) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return
	}
	d.machine.Arrive(d.now(), m, func(a diskproto.Answer) { d.answer(o, tag, a) })
	if d.machine.Crashed() {
		d.dead = true
		d.world.Go(d.fall)
		return
	}
	d.arm()
}

// answer sends an answer with whatever is wrong with the connection. Held: mu.
func (d *DiskServer) answer(o *writequeue.Queue, tag uint32, a diskproto.Answer) {
	a.Clock = uint64(d.world.Now() / time.Microsecond)
	frame := diskproto.Append(nil, diskproto.KindAnswer, tag, &a)
	switch {
	case d.net.TruncateShare > 0 && d.rng.Float64() < d.net.TruncateShare:
		o.Enqueue(func(b []byte) []byte { return append(b, frame[:len(frame)/2]...) })
		o.Finish()
	case d.net.DelayShare > 0 && d.rng.Float64() < d.net.DelayShare:
		d.world.AfterFunc(env.Duration(d.net.Delay), func() {
			o.Enqueue(func(b []byte) []byte { return append(b, frame...) })
		})
	case d.net.ByteAtATime:
		for i := range frame {
			o.Enqueue(func(b []byte) []byte { return append(b, frame[i]) })
		}
	default:
		o.Enqueue(func(b []byte) []byte { return append(b, frame...) })
	}
}

// arm sets the timer for what the machine does next. Held: mu.
func (d *DiskServer) arm() {
	at := d.machine.NextEventAt()
	if at >= d.timerAt || math.IsInf(at, 1) || d.dead {
		return
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timerAt = at
	// A moment late, so that rounding never has it come before its time.
	d.timer = d.world.AfterFunc(max(env.Duration(at-d.now()), 0)+time.Microsecond, d.due)
}

func (d *DiskServer) due() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dead {
		return
	}
	d.timerAt = math.Inf(1)
	d.machine.Advance(d.now())
	d.arm()
}

// SetFaults changes what is wrong with the machine.
func (d *DiskServer) SetFaults(t MachineFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetFaults(d.now(), t)
	d.arm()
}

// SetNetworkFaults changes what is wrong with the connections. Those that are open are cut
// when they are to hang, so that hosts meet the fault.
func (d *DiskServer) SetNetworkFaults(t NetworkFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := d.net.Hang != t.Hang
	d.net = t
	if change {
		for _, o := range d.conns.All() {
			o.Abort()
		}
	}
}

// Drain has the server finish what it has.
func (d *DiskServer) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Drain()
}

// Idle tells whether it has nothing to do.
func (d *DiskServer) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Idle()
}

// Served is the number of requests that it has served.
func (d *DiskServer) Served() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Served
}

// fall tells every host before the process ends for good.
func (d *DiskServer) fall() {
	d.stopped.Open()
	d.mu.Lock()
	for _, o := range d.conns.All() {
		o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindBye, fellOver, nil) })
		o.Finish()
	}
	d.mu.Unlock()
	d.listener.Close()
	if d.OnOverloadCrash != nil {
		d.OnOverloadCrash()
	}
}

// fellOver is the tag of a Bye that says that the server was pushed over.
const fellOver = 1

// Kill ends the process at once: what it had is lost, unless it was begun.
func (d *DiskServer) Kill() {
	d.listener.Close()
	d.stopped.Open()
	d.mu.Lock()
	d.dead = true
	if d.timer != nil {
		d.timer.Stop()
	}
	for _, o := range d.conns.All() {
		o.Abort()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.world)
}
