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

	environment   env.Environment
	listener      net.Listener
	mu            sync.Mutex
	machine       *Machine
	timer         env.Timer
	timerDue      float64
	conns         env.OrderedSet[*writequeue.Queue]
	networkFaults NetworkFaults
	rng           *rand.Rand
	ended         bool
	tasks         env.WaitGroup
	stopped       env.Gate
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
	diskQueueBytes   = 64 << 20
	diskWriteTimeout = 10 * time.Second
)

// ServeDisk starts a disk server on a machine.
func ServeDisk(w env.Environment, m *Machine, d *DiskServer) error {
	l, err := w.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.environment, d.listener, d.machine = w, l, m
	d.Addr, d.Started = l.Addr().String(), w.RandomUint64()
	d.timerDue = math.Inf(1)
	d.rng = rand.New(rand.NewPCG(d.Started, 2))
	m.RunAsEvent = d.runAsEvent
	d.tasks.Go(w, d.accept)
	if d.Peer != nil {
		d.tasks.Go(w, d.replicationLoop)
		d.tasks.Go(w, d.copyReportLoop)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armTimer()
	return nil
}

func (d *DiskServer) now() float64 { return env.MS(d.environment.Now()) }

func (d *DiskServer) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.Keys != nil {
			c = tls.Server(c, d.Keys.Server(true))
		}
		o := writequeue.New(d.environment, c, diskQueueBytes, diskWriteTimeout)
		if !d.addConn(o) {
			o.Abort()
			return
		}
		d.tasks.Go(d.environment, func() { d.serve(c, o) })
	}
}

// addConn has a connection cut when the process ends; false if it has ended.
func (d *DiskServer) addConn(o *writequeue.Queue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.conns.Add(o)
	return true
}

func (d *DiskServer) removeConn(o *writequeue.Queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns.Remove(o)
}

// certificateValid tells whether the peer's certificate still counts: it may run out or be revoked
// in the midst of a connection.
func (d *DiskServer) certificateValid(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	if !ok {
		return true
	}
	certs := t.ConnectionState().PeerCertificates
	return len(certs) > 0 && d.Keys.Check(certs[0]) == nil
}

func (d *DiskServer) serve(c net.Conn, o *writequeue.Queue) {
	defer d.removeConn(o)
	defer o.Wait()
	defer o.Abort()
	if d.hanging() {
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
		if err != nil || !d.certificateValid(c) {
			return
		}
		ok := false
		switch f.Kind {
		case diskproto.KindJoin, diskproto.KindCopy:
			ok = d.handleReplicationFrame(o, f, &gen)
		default:
			ok = d.handleFrame(o, f)
		}
		if !ok {
			return
		}
	}
}

// runAsEvent runs f as an event of the machine.
func (d *DiskServer) runAsEvent(f func()) {
	d.environment.AfterFunc(0, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ended {
			f()
		}
	})
}

func (d *DiskServer) hanging() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.networkFaults.Hang
}

// handleFrame handles one message; false ends the connection.
func (d *DiskServer) handleFrame(o *writequeue.Queue, f diskproto.Frame) bool {
	switch f.Kind {
	case diskproto.KindHello:
		var h diskproto.Hello
		if h.Parse(f.Body) != nil {
			return false
		}
		w := &diskproto.Welcome{Version: diskproto.Version, Shard: uint32(d.Shard), Started: d.Started,
			Clock: uint64(d.environment.Now() / time.Microsecond), Name: d.Name, Zone: d.Zone, Rack: d.Rack}
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
		d.handleRequest(o, f.Tag, m)
	case diskproto.KindProbe:
		d.mu.Lock()
		p := &diskproto.Probed{Clock: uint64(d.environment.Now() / time.Microsecond), Report: []diskproto.Figure{{Name: "waiting", Value: float64(len(d.machine.queue))}, {Name: "active", Value: float64(len(d.machine.running))}}}
		d.mu.Unlock()
		return o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbed, f.Tag, p) })
	}
	return true // Cancel stops nothing here; unknown kinds are of later versions
}

func (d *DiskServer) handleRequest(o *writequeue.Queue, tag uint32, m diskproto.Do) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.machine.Arrive(d.now(), m, func(a diskproto.Answer) { d.sendAnswer(o, tag, a) })
	if d.machine.Crashed() {
		d.ended = true
		d.environment.Go(d.announceCrash)
		return
	}
	d.armTimer()
}

// sendAnswer sends an sendAnswer with whatever is wrong with the connection. Held: mu.
func (d *DiskServer) sendAnswer(o *writequeue.Queue, tag uint32, a diskproto.Answer) {
	a.Clock = uint64(d.environment.Now() / time.Microsecond)
	frame := diskproto.Append(nil, diskproto.KindAnswer, tag, &a)
	switch {
	case d.networkFaults.TruncateShare > 0 && d.rng.Float64() < d.networkFaults.TruncateShare:
		o.Enqueue(func(b []byte) []byte { return append(b, frame[:len(frame)/2]...) })
		o.Finish()
	case d.networkFaults.DelayShare > 0 && d.rng.Float64() < d.networkFaults.DelayShare:
		d.environment.AfterFunc(env.Duration(d.networkFaults.Delay), func() {
			o.Enqueue(func(b []byte) []byte { return append(b, frame...) })
		})
	case d.networkFaults.ByteAtATime:
		for i := range frame {
			o.Enqueue(func(b []byte) []byte { return append(b, frame[i]) })
		}
	default:
		o.Enqueue(func(b []byte) []byte { return append(b, frame...) })
	}
}

// armTimer sets the timer for what the machine does next. Held: mu.
func (d *DiskServer) armTimer() {
	at := d.machine.NextEventAt()
	if at >= d.timerDue || math.IsInf(at, 1) || d.ended {
		return
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timerDue = at
	// A moment late, so that rounding never has it come before its time.
	d.timer = d.environment.AfterFunc(max(env.Duration(at-d.now()), 0)+time.Microsecond, d.handleTimer)
}

func (d *DiskServer) handleTimer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.timerDue = math.Inf(1)
	d.machine.Advance(d.now())
	d.armTimer()
}

// SetFaults changes what is wrong with the machine.
func (d *DiskServer) SetFaults(t MachineFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetFaults(d.now(), t)
	d.armTimer()
}

// SetNetworkFaults changes what is wrong with the connections. Those that are open are cut
// when they are to hang, so that hosts meet the fault.
func (d *DiskServer) SetNetworkFaults(t NetworkFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change := d.networkFaults.Hang != t.Hang
	d.networkFaults = t
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

// announceCrash tells every host before the process ends for good.
func (d *DiskServer) announceCrash() {
	d.stopped.Open()
	d.mu.Lock()
	for _, o := range d.conns.All() {
		o.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindBye, byeOverloadCrash, nil) })
		o.Finish()
	}
	d.mu.Unlock()
	d.listener.Close()
	if d.OnOverloadCrash != nil {
		d.OnOverloadCrash()
	}
}

// byeOverloadCrash is the tag of a Bye that says that the server was pushed over.
const byeOverloadCrash = 1

// Kill ends the process at once: what it had is lost, unless it was begun.
func (d *DiskServer) Kill() {
	d.listener.Close()
	d.stopped.Open()
	d.mu.Lock()
	d.ended = true
	if d.timer != nil {
		d.timer.Stop()
	}
	for _, o := range d.conns.All() {
		o.Abort()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.environment)
}
