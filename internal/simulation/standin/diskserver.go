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

// NetworkFaults are the faults of a disk server's connections.
type NetworkFaults struct {
	Hang          bool    // connections are accepted, but requests on them are ignored
	TruncateShare float64 // share of the answers that are truncated, after which the connection is closed
	ByteAtATime   bool    // answers are written one byte at a time
	Delay         float64 // delay of the answers that DelayShare selects, ms
	DelayShare    float64 // share of the answers that are delayed
}

// DiskServer serves a Machine over TCP, with two goroutines for each connection.
type DiskServer struct {
	Addr    string
	Name    string
	Zone    string
	Rack    string
	Shard   int
	Started uint64 // random number that identifies this run of the server

	environment   env.Environment
	listener      net.Listener
	mu            sync.Mutex
	machine       *Machine
	timer         env.Timer
	timerDue      float64 // ms, +Inf if no timer is set
	conns         env.OrderedSet[*writequeue.Queue]
	networkFaults NetworkFaults
	rng           *rand.Rand
	ended         bool // crashed or killed
	tasks         env.WaitGroup
	stopped       env.Gate
	// Inventory and Peer are set in a service with two regions. They return the addresses of the
	// inventory and of the disk server of the same shard in the other region, "" for none.
	Inventory func() string
	Peer      func() string
	// Credentials are used for TLS; nil to serve without TLS.
	Credentials *keys.Credentials
	// OnOverloadCrash, if set, is called once, on a goroutine of its own, when the server crashes
	// because it was overloaded while cold.
	OnOverloadCrash func()

	recordMu   sync.Mutex
	recordTerm uint64 // of the newest region record that was applied
}

const (
	diskQueueBytes   = 64 << 20
	diskWriteTimeout = 10 * time.Second
)

// ServeDisk starts the disk server on loopback, in front of the machine.
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
		if d.Credentials != nil {
			conn = tls.Server(conn, d.Credentials.ServerConfig(true))
		}
		writes := writequeue.New(d.environment, conn, diskQueueBytes, diskWriteTimeout)
		if !d.addConn(writes) {
			writes.Abort()
			return
		}
		d.tasks.Go(d.environment, func() { d.serve(conn, writes) })
	}
}

// addConn registers a connection to be aborted when the process ends; false if it has ended already.
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

// certificateValid reports whether the peer's certificate is still valid: it may expire or be revoked
// while the connection is open.
func (d *DiskServer) certificateValid(conn net.Conn) bool {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certs := tlsConn.ConnectionState().PeerCertificates
	return len(certs) > 0 && d.Credentials.CheckPeer(certs[0]) == nil
}

func (d *DiskServer) serve(conn net.Conn, writes *writequeue.Queue) {
	defer d.removeConn(writes)
	defer writes.Wait()
	defer writes.Abort()
	if d.hanging() {
		var discarded [1]byte
		for { // a hanging process does not read, but its kernel still accepts bytes
			if _, err := conn.Read(discarded[:]); err != nil {
				return
			}
		}
	}
	reader := diskproto.NewReader(bufio.NewReaderSize(conn, 32<<10))
	var gen uint64 // generation under which a home replicates over this connection; 0: none
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

// runAsEvent calls event later, with the lock that serialises calls of the machine.
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

// handleFrame handles a frame from a host; false ends the connection.
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
	return true // cancels are ignored, and so are kinds of later versions
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

// sendAnswer sends an answer, subject to the network faults. The caller holds mu.
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

// armTimer sets the timer for the machine's next event. The caller holds mu.
func (d *DiskServer) armTimer() {
	due := d.machine.NextEventAt()
	if due >= d.timerDue || math.IsInf(due, 1) || d.ended {
		return
	}
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timerDue = due
	// One microsecond later, so that rounding cannot make the timer fire before the event is due.
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

// SetFaults replaces the faults of the machine.
func (d *DiskServer) SetFaults(faults MachineFaults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetFaults(d.now(), faults)
	d.armTimer()
}

// SetNetworkFaults replaces the faults of the connections. Open connections are aborted when Hang
// changes, since it applies only to new ones.
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

// Drain makes the server finish the accepted requests and refuse new ones.
func (d *DiskServer) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Drain()
}

// Idle reports whether no request waits or runs.
func (d *DiskServer) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Idle()
}

// Served returns the number of requests served.
func (d *DiskServer) Served() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Served
}

// announceCrash sends Bye on every connection and stops the server after an overload crash.
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

// byeOverloadCrash is the tag of a Bye frame after a crash by overload.
const byeOverloadCrash = 1

// Kill ends the process at once. Requests that were not begun are lost, and so are the answers of all
// others.
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
