package lab

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"merlinhitch/internal/control/gateway"
	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// The bench puts three things between the same clients and the same kind of
// server, in one process and one run: the gateway, and two bare relays that pass on
// frames of the gateway's sizes and know nothing of them. The pipe has a connection
// behind for each in front, so that what comes together goes on together, in one
// call of the system; the fan has the gateway's connections, one to each server.
// Everything is counted for the whole process, clients and servers included; so the
// ratios say what the gateway adds to moving the bytes.

const (
	benchBlockSize = 4096
	benchShards    = 9
	requestLen     = 48      // a SCSI command PDU
	doFrameLen     = 16 + 96 // about a Do frame
	answerFrameLen = 16 + 15 + benchBlockSize
	responseLen    = 48 + benchBlockSize
)

// BenchOptions says how long each point takes.
type BenchOptions struct {
	PointTime   time.Duration
	Connections []int
	Outstanding []int
	Progress    io.Writer
}

// benchEndpoint is what is measured: an address to connect to and what to say first.
type benchEndpoint struct {
	name      string
	addr      string
	adminAddr string
	login     func(c net.Conn, r *bufio.Reader) (cmdSN uint32, err error)
	close     func()
}

// Measurement is one measurement.
type Measurement struct {
	Rate        float64 // operations a second
	Latency     *hdrhistogram.Histogram
	CPUMicros   float64 // microseconds of the process for an operation
	AllocsPerOp float64
	Failed      int64
}

// Bench measures all three and writes the tables.
func Bench(opt BenchOptions, out io.Writer) error {
	gate, closeAll, err := startBenchGateway(nil)
	if err != nil {
		return err
	}
	defer closeAll()
	pipe, fan, closeRelays, err := startRelays()
	if err != nil {
		return err
	}
	defer closeRelays()
	return benchAgainstRelays(opt, gate, pipe, fan, out)
}

// benchGatewayOptions is what a measured gateway has beside the usual: keys of it and of its disk
// servers, a history.
type benchGatewayOptions struct {
	hostKeys, diskKeys *keys.Credentials
	historyDir         string // folder
	adminAddr          string
}

// startBenchGateway is a gateway before servers that answer at once; nil: the usual.
func startBenchGateway(k *benchGatewayOptions) (gate *benchEndpoint, closeAll func(), err error) {
	w := env.NewReal()
	var disks []*standin.ImmediateDiskServer
	closeAll = func() {
		if gate != nil {
			gate.close()
		}
		for _, q := range disks {
			q.Close()
		}
	}
	if k == nil {
		k = &benchGatewayOptions{}
	}
	var addrs []string
	for range benchShards {
		q, err := standin.ServeImmediateDiskServer(w, benchBlockSize, k.diskKeys)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		disks, addrs = append(disks, q), append(addrs, q.Addr)
	}
	if gate, err = startGatewayEndpoint(w, addrs, k); err != nil {
		closeAll()
		return nil, nil, err
	}
	return gate, closeAll, nil
}

func benchAgainstRelays(opt BenchOptions, gate, pipe, fan *benchEndpoint, out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| conns\t| out\t| pipe op/s\t| fan op/s\t| gateway op/s\t| of pipe\t| of fan\t| fan p50/p99/p99.9 ms\t| gateway p50/p99/p99.9 ms\t| cpu us/op: pipe, fan, gateway\t| allocs/op\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	best := 0.0
	for _, conns := range opt.Connections {
		for _, depth := range opt.Outstanding {
			var p [3]*Measurement
			for i, s := range []*benchEndpoint{pipe, fan, gate} {
				var err error
				if p[i], err = measure(s, conns, depth, 0, opt); err != nil {
					return err
				}
			}
			g := p[2]
			note := ""
			if g.Failed > 0 {
				note = fmt.Sprintf(" (%d not GOOD)", g.Failed)
			} else {
				best = max(best, g.Rate)
			}
			fmt.Fprintf(tw, "| %d\t| %d\t| %.0f\t| %.0f\t| %.0f%s\t| %.2f\t| %.2f\t| %s\t| %s\t| %.1f, %.1f, %.1f\t| %.1f\t|\n", conns, depth,
				p[0].Rate, p[1].Rate, g.Rate, note, g.Rate/p[0].Rate, g.Rate/p[1].Rate, formatQuantiles(p[1]), formatQuantiles(g), p[0].CPUMicros, p[1].CPUMicros, g.CPUMicros, g.AllocsPerOp)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if err := benchHalfLoad(opt, gate, fan, best/2, out); err != nil {
		return err
	}
	if err := benchCommandCost(opt, gate, best/2, out); err != nil {
		return err
	}
	return benchIdleSessions(gate, out)
}

func formatQuantiles(p *Measurement) string {
	q := func(x float64) float64 { return float64(p.Latency.ValueAtQuantile(x)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", q(50), q(99), q(99.9))
}

func p99Micros(p *Measurement) float64 { return float64(p.Latency.ValueAtQuantile(99)) }

// benchHalfLoad compares the tails at half of the gateway's best rate.
func benchHalfLoad(opt BenchOptions, gate, relay *benchEndpoint, rate float64, out io.Writer) error {
	a, err := measure(relay, 64, 0, rate, opt)
	if err != nil {
		return err
	}
	b, err := measure(gate, 64, 0, rate, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nat half load, %.0f op/s over 64 connections: fan %s ms, gateway %s ms, p99 ratio %.2f\n", rate, formatQuantiles(a), formatQuantiles(b), p99Micros(b)/p99Micros(a))
	return nil
}

// benchCommandCost compares what a command benchCommandCost over connections and over rates.
func benchCommandCost(opt BenchOptions, gate *benchEndpoint, rate float64, out io.Writer) error {
	few, err := measure(gate, 10, 0, rate, opt)
	if err != nil {
		return err
	}
	many, err := measure(gate, 1000, 0, rate, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command at %.0f op/s: %.1f us over 10 connections, %.1f us over 1000, ratio %.2f\n", rate, few.CPUMicros, many.CPUMicros, many.CPUMicros/few.CPUMicros)
	slow, err := measure(gate, 64, 0, 500, opt)
	if err != nil {
		return err
	}
	fast, err := measure(gate, 64, 0, 50000, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command: %.1f us at 500 op/s, %.1f us at 50000 asked for (%.0f reached), ratio %.2f\n", slow.CPUMicros, fast.CPUMicros, fast.Rate, fast.CPUMicros/slow.CPUMicros)
	return nil
}

const idleSessionCount = 1000

// benchIdleSessions measures the memory of sessions that do nothing, their clients' side
// included (a bare connection each).
func benchIdleSessions(gate *benchEndpoint, out io.Writer) error {
	before := memoryInUse()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range idleSessionCount {
		c, err := net.Dial("tcp", gate.addr)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := gate.login(c, bufio.NewReaderSize(c, 512)); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "an idle session holds %.1f KiB of heap and stacks\n", float64(memoryInUse()-before)/idleSessionCount/1024)
	return nil
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// processCPUTime is the process's CPU time.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure measures one point: closed loop with depth outstanding on each connection,
// or open loop at a total rate where depth is 0.
func measure(s *benchEndpoint, conns, depth int, rate float64, opt BenchOptions) (*Measurement, error) {
	if opt.Progress != nil {
		fmt.Fprintf(opt.Progress, "%s: %d connections, %d outstanding, rate %.0f\n", s.name, conns, depth, rate)
	}
	p := &Measurement{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	loads := make([]*loadConn, conns)
	var all sync.WaitGroup
	defer func() {
		for _, l := range loads {
			if l != nil {
				l.conn.Close()
			}
		}
		all.Wait()
	}()
	for i := range loads {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return nil, err
		}
		l := &loadConn{conn: c, reader: bufio.NewReaderSize(c, 32<<10), hist: hdrhistogram.New(1, 60_000_000, 3)}
		loads[i] = l
		if l.cmdSN, err = s.login(c, l.reader); err != nil {
			return nil, err
		}
	}
	var on atomic.Bool
	for i, l := range loads {
		l.recording = &on
		if rate > 0 {
			l.interval = time.Duration(float64(conns) / rate * float64(time.Second))
			l.offset = l.interval * time.Duration(i) / time.Duration(conns)
		}
		all.Go(func() { l.receive(depth) })
		if rate > 0 {
			all.Go(l.sendAtRate)
		}
	}
	time.Sleep(opt.PointTime / 2) // the warm-up: a measurement, not a test
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	cpu, begin := processCPUTime(), time.Now()
	on.Store(true)
	time.Sleep(opt.PointTime)
	on.Store(false)
	took := time.Since(begin)
	cpu = processCPUTime() - cpu
	runtime.ReadMemStats(&m1)
	ops := int64(0)
	for _, l := range loads {
		l.mu.Lock()
		ops += l.ops
		p.Failed += l.failed
		p.Latency.Merge(l.hist)
		l.mu.Unlock()
	}
	p.Rate = float64(ops) / took.Seconds()
	p.CPUMicros = float64(cpu.Microseconds()) / float64(max(ops, 1))
	p.AllocsPerOp = float64(m1.Mallocs-m0.Mallocs) / float64(max(ops, 1))
	return p, nil
}

// loadConn is one client connection: it speaks as little as it can.
type loadConn struct {
	conn             net.Conn
	reader           *bufio.Reader
	recording        *atomic.Bool
	interval, offset time.Duration

	mu      sync.Mutex
	cmdSN   uint32
	started [4096]time.Time // by tag
	lastTag uint32
	unsent  []byte
	ops     int64
	failed  int64
	hist    *hdrhistogram.Histogram
}

// enqueue appends a command, counted from the time when it was due.
func (l *loadConn) enqueue(due time.Time) {
	l.lastTag = (l.lastTag + 1) % uint32(len(l.started))
	l.started[l.lastTag] = due
	var p [requestLen]byte
	p[0], p[1] = byte(iscsi.OpCommand), 0xc1
	binary.BigEndian.PutUint32(p[16:], l.lastTag)
	binary.BigEndian.PutUint32(p[20:], benchBlockSize)
	binary.BigEndian.PutUint32(p[24:], l.cmdSN)
	l.cmdSN++
	copy(p[32:], initiator.ReadCDB(uint64(l.cmdSN*2654435761)%(1<<20), 1))
	l.unsent = append(l.unsent, p[:]...)
}

func (l *loadConn) flush() error {
	if len(l.unsent) == 0 {
		return nil
	}
	_, err := l.conn.Write(l.unsent)
	l.unsent = l.unsent[:0]
	return err
}

// receive takes responses; in a closed loop each sends the next command.
func (l *loadConn) receive(depth int) {
	l.mu.Lock()
	for range depth {
		l.enqueue(time.Now())
	}
	l.flush()
	l.mu.Unlock()
	var head [48]byte
	for {
		if _, err := io.ReadFull(l.reader, head[:]); err != nil {
			return
		}
		n := int(head[5])<<16 | int(head[6])<<8 | int(head[7])
		if _, err := l.reader.Discard((n + 3) &^ 3); err != nil {
			return
		}
		l.mu.Lock()
		now := time.Now()
		if l.recording.Load() {
			l.ops++
			if head[3] != 0 || n < benchBlockSize {
				l.failed++
			}
			l.hist.RecordValue(max(now.Sub(l.started[binary.BigEndian.Uint32(head[16:])%uint32(len(l.started))]).Microseconds(), 1))
		}
		if depth > 0 {
			l.enqueue(now)
			if l.reader.Buffered() < 48 {
				l.flush()
			}
		}
		l.mu.Unlock()
	}
}

// sendAtRate sends commands at their times, whatever has been answered.
func (l *loadConn) sendAtRate() {
	next := time.Now().Add(l.offset)
	for {
		time.Sleep(time.Until(next))
		l.mu.Lock()
		for now := time.Now(); !next.After(now); next = next.Add(l.interval) {
			l.enqueue(next)
		}
		err := l.flush()
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// startGatewayEndpoint is one host before servers that answer at once.
func startGatewayEndpoint(w env.Environment, disks []string, k *benchGatewayOptions) (*benchEndpoint, error) {
	set := settings.Example(1, benchShards)
	set.Volumes = []settings.Volume{{Name: "bench", Plan: "prioritario", Blocks: 1 << 20, BlockSize: benchBlockSize, ExtentBlocks: 32, Hosts: []int{0}}}
	for i := range benchShards {
		set.Volumes[0].Layout = append(set.Volumes[0].Layout, i)
	}
	set.Plans[2].Rate = 1e6
	set.Target.CommandWindow, set.Target.MemoryBytes, set.Limits.MaxOpen = 4096, 1<<30, 200000
	inv, err := standin.ServeInventory(w, "127.0.0.1:0", 0)
	if err != nil {
		return nil, err
	}
	inv.ChangeNow(func(b *inventory.Book) {
		for i, addr := range disks {
			b.Set(inventory.Node{Addr: addr, Health: inventory.Ready, Shard: i, Weight: 1, Incarnation: 1}, 0)
		}
	})
	g, err := gateway.Start(gateway.Config{Environment: w, Log: zap.NewNop(), Name: "bench", Listen: "127.0.0.1:0", Inventory: inv.Addr, Keys: k.hostKeys, History: k.historyDir, Admin: k.adminAddr})
	if err != nil {
		return nil, err
	}
	if _, err := g.Settings().Put(set); err != nil {
		return nil, err
	}
	<-g.Ready().Chan()
	s := &benchEndpoint{name: "gateway", addr: g.Addr().String()}
	if a := g.Admin(); a != nil {
		s.adminAddr = a.String()
	}
	s.close = func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.Stop(ctx)
		inv.Close()
	}
	var isid atomic.Uint32
	s.login = func(c net.Conn, r *bufio.Reader) (uint32, error) {
		return benchLogin(c, r, set.TargetName(&set.Volumes[0]), isid.Add(1))
	}
	return s, nil
}

// benchLogin logs in by one exchange.
func benchLogin(c net.Conn, r *bufio.Reader, target string, isid uint32) (uint32, error) {
	p := iscsi.New(iscsi.OpLoginReq).SetImmediate().SetFlags(0x87)
	p.BHS[8] = 0x80
	binary.BigEndian.PutUint32(p.BHS[10:], isid)
	p.Set(iscsi.AtCmdSN, 1)
	p.Data = iscsi.FormatText([]iscsi.Key{{Name: "InitiatorName", Value: "iqn.2026-11.example.client:bench"},
		{Name: "TargetName", Value: target}, {Name: "SessionType", Value: "Normal"}, {Name: "MaxRecvDataSegmentLength", Value: "65536"}})
	if _, err := c.Write(p.Append(nil, iscsi.Digests{})); err != nil {
		return 0, err
	}
	reply, err := iscsi.NewReader(r, 8192).Next()
	if err != nil {
		return 0, err
	}
	if reply.BHS[36] != byte(scsi.Good) || reply.Flags()&3 != 3 {
		return 0, fmt.Errorf("bench: login refused with %02x%02x", reply.BHS[36], reply.BHS[37])
	}
	return 1, nil
}

// startRelays are the two bare relays before a server of fixed replies.
func startRelays() (pipe, fans *benchEndpoint, closeAll func(), err error) {
	server, err := serveConnections("127.0.0.1:0", func(c net.Conn) { relayFrames(c, c, doFrameLen, answerFrameLen) })
	if err != nil {
		return nil, nil, nil, err
	}
	straight, err := serveConnections("127.0.0.1:0", func(c net.Conn) { relayPipe(c, server.Addr().String()) })
	if err != nil {
		server.Close()
		return nil, nil, nil, err
	}
	f, err := newMuxRelay(env.NewReal(), server.Addr().String(), benchShards)
	if err != nil {
		server.Close()
		straight.Close()
		return nil, nil, nil, err
	}
	greet := func(net.Conn, *bufio.Reader) (uint32, error) { return 1, nil }
	pipe = &benchEndpoint{name: "pipe", addr: straight.Addr().String(), login: greet}
	fans = &benchEndpoint{name: "fan", addr: f.listener.Addr().String(), login: greet}
	return pipe, fans, func() { f.close(); straight.Close(); server.Close() }, nil
}

// relayPipe passes a client's frames to a connection of its own, and back.
func relayPipe(c net.Conn, server string) {
	up, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		relayFrames(c, up, answerFrameLen, responseLen)
		c.Close()
	}()
	relayFrames(up, c, requestLen, doFrameLen)
	up.Close()
	<-done
}

// serveConnections serves each connection by f until the listener is closed.
func serveConnections(addr string, f func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); f(c) }()
		}
	}()
	return l, nil
}

// relayFrames reads frames of one size and passes on their beginning, with the tag, in
// frames of another, several in one write where several have come.
func relayFrames(dst, src net.Conn, in, out int) {
	r := bufio.NewReaderSize(src, 64<<10)
	buf := make([]byte, in)
	var b []byte
	for {
		if _, err := io.ReadFull(r, buf); err != nil {
			return
		}
		at := len(b)
		b = append(b, make([]byte, out)...)
		copy(b[at:], buf[:min(in, out)])
		n := uint32(out - 48)
		if out == responseLen {
			b[at+5], b[at+6], b[at+7] = byte(n>>16), byte(n>>8), byte(n)
		}
		if r.Buffered() >= in && len(b) < 128<<10 {
			continue
		}
		if _, err := dst.Write(b); err != nil {
			return
		}
		b = b[:0]
	}
}
