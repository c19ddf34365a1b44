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
	Keys *keys.Credentials
	// OnOverloadCrash is called once, from a goroutine of its own, when the server falls over.
	OnOverloadCrash func()
}

const (
	diskQueueBytes   = 64 << 20
	diskWriteTimeout = 10 * time.Second
)

// ServeDisk starts a disk server on a machine.
func ServeDisk(environment env.Environment, machine *Machine, server *DiskServer) error {
	listener, err := environment.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server.environment, server.listener, server.machine = environment, listener, machine
	server.Addr, server.Started = listener.Addr().String(), environment.RandomUint64()
	server.timerDue = math.Inf(1)
	server.rng = rand.New(rand.NewPCG(server.Started, 2))
	machine.RunAsEvent = server.runAsEvent
	server.tasks.Go(environment, server.accept)
	if server.Peer != nil {
		server.tasks.Go(environment, server.replicationLoop)
		server.tasks.Go(environment, server.copyReportLoop)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	server.armTimer()
	return nil
}

func (d *DiskServer) now() float64 { return env.MS(d.environment.Now()) }

func (d *DiskServer) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		if d.Keys != nil {
			conn = tls.Server(conn, d.Keys.ServerConfig(true))
		}
		writes := writequeue.New(d.environment, conn, diskQueueBytes, diskWriteTimeout)
		if !d.addConn(writes) {
			writes.Abort()
			return
		}
		d.tasks.Go(d.environment, func() { d.serve(conn, writes) })
	}
}

// addConn has a connection cut when the process ends; false if it has ended.
func (d *DiskServer) addConn(writes *writequeue.Queue) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return false
	}
	d.conns.Add(writes)
	return true
}

func (d *DiskServer) removeConn(writes *writequeue.Queue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns.Remove(writes)
}

// certificateValid tells whether the peer's certificate still counts: it may run out or be revoked
// in the midst of a connection.
func (d *DiskServer) certificateValid(conn net.Conn) bool {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certs := tlsConn.ConnectionState().PeerCertificates
	return len(certs) > 0 && d.Keys.CheckPeer(certs[0]) == nil
}

func (d *DiskServer) serve(conn net.Conn, writes *writequeue.Queue) {
	defer d.removeConn(writes)
	defer writes.Wait()
	defer writes.Abort()
	if d.hanging() {
		var discarded [1]byte
		for { // the process doesn't read, but the kernel still takes bytes
			if _, err := conn.Read(discarded[:]); err != nil {
				return
			}
		}
	}
	reader := diskproto.NewReader(bufio.NewReaderSize(conn, 32<<10))
	var gen uint64 // under which a home copies to here by this connection
	for {
		frame, err := reader.Next()
		if err != nil || !d.certificateValid(conn) {
			return
		}
		ok := false
		switch frame.Kind {
		case diskproto.KindJoin, diskproto.KindCopy:
			ok = d.handleReplicationFrame(writes, frame, &gen)
		default:
			ok = d.handleFrame(writes, frame)
		}
		if !ok {
			return
		}
	}
}

// runAsEvent runs f as an event of the machine.
func (d *DiskServer) runAsEvent(event func()) {
	d.environment.AfterFunc(0, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.ended {
			event()
		}
	})
}

func (d *DiskServer) hanging() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.networkFaults.Hang
}

// handleFrame handles one message; false ends the connection.
func (d *DiskServer) handleFrame(writes *writequeue.Queue, frame diskproto.Frame) bool {
	switch frame.Kind {
	case diskproto.KindHello:
		var hello diskproto.Hello
		if hello.Parse(frame.Body) != nil {
			return false
		}
		welcome := &diskproto.Welcome{Version: diskproto.Version, Shard: uint32(d.Shard), Started: d.Started,
			Clock: uint64(d.environment.Now() / time.Microsecond), Name: d.Name, Zone: d.Zone, Rack: d.Rack}
		if hello.Oldest > diskproto.Version || hello.Newest < diskproto.Oldest {
			welcome.Version = 0
		}
		return writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindWelcome, frame.Tag, welcome) })
	case diskproto.KindDo:
		var request diskproto.Do
		if request.Parse(frame.Body) != nil {
			return false
		}
		request.Data = append([]byte(nil), request.Data...)
		d.handleRequest(writes, frame.Tag, request)
	case diskproto.KindProbe:
		d.mu.Lock()
		probed := &diskproto.Probed{Clock: uint64(d.environment.Now() / time.Microsecond), Report: []diskproto.Figure{{Name: "waiting", Value: float64(len(d.machine.queue))}, {Name: "active", Value: float64(len(d.machine.running))}}}
		d.mu.Unlock()
		return writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindProbed, frame.Tag, probed) })
	}
	return true // Cancel stops nothing here; unknown kinds are of later versions
}

func (d *DiskServer) handleRequest(writes *writequeue.Queue, tag uint32, request diskproto.Do) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.machine.Arrive(d.now(), request, func(a diskproto.Answer) { d.sendAnswer(writes, tag, a) })
	if d.machine.Crashed() {
		d.ended = true
		d.environment.Go(d.announceCrash)
		return
	}
	d.armTimer()
}

// sendAnswer sends an sendAnswer with whatever is wrong with the connection. Held: mu.
func (d *DiskServer) sendAnswer(writes *writequeue.Queue, tag uint32, answer diskproto.Answer) {
	answer.Clock = uint64(d.environment.Now() / time.Microsecond)
	frame := diskproto.Append(nil, diskproto.KindAnswer, tag, &answer)
	switch {
	case d.networkFaults.TruncateShare > 0 && d.rng.Float64() < d.networkFaults.TruncateShare:
		writes.Enqueue(func(b []byte) []byte { return append(b, frame[:len(frame)/2]...) })
		writes.Finish()
	case d.networkFaults.DelayShare > 0 && d.rng.Float64() < d.networkFaults.DelayShare:
		d.environment.AfterFunc(env.Duration(d.networkFaults.Delay), func() {
			writes.Enqueue(func(b []byte) []byte { return append(b, frame...) })
		})
	case d.networkFaults.ByteAtATime:
		for i := range frame {
			writes.Enqueue(func(b []byte) []byte { return append(b, frame[i]) })
		}
	default:
		writes.Enqueue(func(b []byte) []byte { return append(b, frame...) })
	}
}

// armTimer sets the timer for what the machine does next. Held: mu.
func (d *DiskServer) armTimer() {
	due := d.machine.NextEventAt()
	if due >= d.timerDue || math.IsInf(due, 1) || d.ended {
		return
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timerDue = due
	// A moment late, so that rounding never has it come before its time.
	d.timer = d.environment.AfterFunc(max(env.Duration(due-d.now()), 0)+time.Microsecond, d.handleTimer)
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
func (d *DiskServer) SetFaults(faults MachineFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetFaults(d.now(), faults)
	d.armTimer()
}

// SetNetworkFaults changes what is wrong with the connections. Those that are open are cut
// when they are to hang, so that hosts meet the fault.
func (d *DiskServer) SetNetworkFaults(faults NetworkFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hangChanged := d.networkFaults.Hang != faults.Hang
	d.networkFaults = faults
	if hangChanged {
		for _, writes := range d.conns.All() {
			writes.Abort()
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
	for _, writes := range d.conns.All() {
		writes.Enqueue(func(b []byte) []byte { return diskproto.Append(b, diskproto.KindBye, byeOverloadCrash, nil) })
		writes.Finish()
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
	for _, writes := range d.conns.All() {
		writes.Abort()
	}
	d.mu.Unlock()
	d.tasks.Wait(d.environment)
}
