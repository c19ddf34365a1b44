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
	benchBlock  = 4096
	benchShards = 9
	requestLen  = 48      // a SCSI command PDU
	forwardLen  = 16 + 96 // about a Do frame
	replyLen    = 16 + 15 + benchBlock
	responseLen = 48 + benchBlock
)

// BenchOptions says how long each point takes.
type BenchOptions struct {
	Point    time.Duration
	Conns    []int
	Depths   []int
	Progress io.Writer
}

// subject is what is measured: an address to connect to and what to say first.
type subject struct {
	name  string
	addr  string
	admin string
	greet func(c net.Conn, r *bufio.Reader) (cmdSN uint32, err error)
	close func()
}

// Point is one measurement.
type Point struct {
	Rate    float64 // operations a second
	Latency *hdrhistogram.Histogram
	CPU     float64 // microseconds of the process for an operation
	Allocs  float64
	Failed  int64
}

// Bench measures all three and writes the tables.
func Bench(opt BenchOptions, out io.Writer) error {
	gate, closeAll, err := benchGateway(nil)
	if err != nil {
		return err
	}
	defer closeAll()
	pipe, fan, closeRelays, err := relaySubjects()
	if err != nil {
		return err
	}
	defer closeRelays()
	return benchAll(opt, gate, pipe, fan, out)
}

// benchSetup is what a measured gateway has beside the usual: keys of it and of its disk
// servers, a history.
type benchSetup struct {
	host, disks *keys.Credentials
	history     string // folder
	admin       string
}

// benchGateway is a gateway before servers that answer at once; nil: the usual.
func benchGateway(k *benchSetup) (gate *subject, closeAll func(), err error) {
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
		k = &benchSetup{}
	}
	var addrs []string
	for range benchShards {
		q, err := standin.ServeImmediateDiskServer(w, benchBlock, k.disks)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		disks, addrs = append(disks, q), append(addrs, q.Addr)
	}
	if gate, err = gatewaySubject(w, addrs, k); err != nil {
		closeAll()
		return nil, nil, err
	}
	return gate, closeAll, nil
}

func benchAll(opt BenchOptions, gate, pipe, fan *subject, out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| conns\t| out\t| pipe op/s\t| fan op/s\t| gateway op/s\t| of pipe\t| of fan\t| fan p50/p99/p99.9 ms\t| gateway p50/p99/p99.9 ms\t| cpu us/op: pipe, fan, gateway\t| allocs/op\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	best := 0.0
	for _, conns := range opt.Conns {
		for _, depth := range opt.Depths {
			var p [3]*Point
			for i, s := range []*subject{pipe, fan, gate} {
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
				p[0].Rate, p[1].Rate, g.Rate, note, g.Rate/p[0].Rate, g.Rate/p[1].Rate, quantiles(p[1]), quantiles(g), p[0].CPU, p[1].CPU, g.CPU, g.Allocs)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if err := halfLoad(opt, gate, fan, best/2, out); err != nil {
		return err
	}
	if err := costs(opt, gate, best/2, out); err != nil {
		return err
	}
	return idle(gate, out)
}

func quantiles(p *Point) string {
	q := func(x float64) float64 { return float64(p.Latency.ValueAtQuantile(x)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", q(50), q(99), q(99.9))
}

func p99(p *Point) float64 { return float64(p.Latency.ValueAtQuantile(99)) }

// halfLoad compares the tails at half of the gateway's best rate.
func halfLoad(opt BenchOptions, gate, relay *subject, rate float64, out io.Writer) error {
	a, err := measure(relay, 64, 0, rate, opt)
	if err != nil {
		return err
	}
	b, err := measure(gate, 64, 0, rate, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nat half load, %.0f op/s over 64 connections: fan %s ms, gateway %s ms, p99 ratio %.2f\n", rate, quantiles(a), quantiles(b), p99(b)/p99(a))
	return nil
}

// costs compares what a command costs over connections and over rates.
func costs(opt BenchOptions, gate *subject, rate float64, out io.Writer) error {
	few, err := measure(gate, 10, 0, rate, opt)
	if err != nil {
		return err
	}
	many, err := measure(gate, 1000, 0, rate, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command at %.0f op/s: %.1f us over 10 connections, %.1f us over 1000, ratio %.2f\n", rate, few.CPU, many.CPU, many.CPU/few.CPU)
	slow, err := measure(gate, 64, 0, 500, opt)
	if err != nil {
		return err
	}
	fast, err := measure(gate, 64, 0, 50000, opt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command: %.1f us at 500 op/s, %.1f us at 50000 asked for (%.0f reached), ratio %.2f\n", slow.CPU, fast.CPU, fast.Rate, fast.CPU/slow.CPU)
	return nil
}

const idleSessions = 1000

// idle measures the memory of sessions that do nothing, their clients' side
// included (a bare connection each).
func idle(gate *subject, out io.Writer) error {
	before := held()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range idleSessions {
		c, err := net.Dial("tcp", gate.addr)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := gate.greet(c, bufio.NewReaderSize(c, 512)); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "an idle session holds %.1f KiB of heap and stacks\n", float64(held()-before)/idleSessions/1024)
	return nil
}

func held() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// cpuNow is the process's CPU time.
func cpuNow() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure measures one point: closed loop with depth outstanding on each connection,
// or open loop at a total rate where depth is 0.
func measure(s *subject, conns, depth int, rate float64, opt BenchOptions) (*Point, error) {
	if opt.Progress != nil {
		fmt.Fprintf(opt.Progress, "%s: %d connections, %d outstanding, rate %.0f\n", s.name, conns, depth, rate)
	}
	p := &Point{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	loads := make([]*load, conns)
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
		l := &load{conn: c, r: bufio.NewReaderSize(c, 32<<10), hist: hdrhistogram.New(1, 60_000_000, 3)}
		loads[i] = l
		if l.sn, err = s.greet(c, l.r); err != nil {
			return nil, err
		}
	}
	var on atomic.Bool
	for i, l := range loads {
		l.on = &on
		if rate > 0 {
			l.gap = time.Duration(float64(conns) / rate * float64(time.Second))
			l.first = l.gap * time.Duration(i) / time.Duration(conns)
		}
		all.Go(func() { l.read(depth) })
		if rate > 0 {
			all.Go(l.pace)
		}
	}
	time.Sleep(opt.Point / 2) // the warm-up: a measurement, not a test
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	cpu, begin := cpuNow(), time.Now()
	on.Store(true)
	time.Sleep(opt.Point)
	on.Store(false)
	took := time.Since(begin)
	cpu = cpuNow() - cpu
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
	p.CPU = float64(cpu.Microseconds()) / float64(max(ops, 1))
	p.Allocs = float64(m1.Mallocs-m0.Mallocs) / float64(max(ops, 1))
	return p, nil
}

// load is one client connection: it speaks as little as it can.
type load struct {
	conn       net.Conn
	r          *bufio.Reader
	on         *atomic.Bool
	gap, first time.Duration

	mu     sync.Mutex
	sn     uint32
	began  [4096]time.Time // by tag
	tag    uint32
	out    []byte
	ops    int64
	failed int64
	hist   *hdrhistogram.Histogram
}

// add appends a command, counted from the time when it was due.
func (l *load) add(due time.Time) {
	l.tag = (l.tag + 1) % uint32(len(l.began))
	l.began[l.tag] = due
	var p [requestLen]byte
	p[0], p[1] = byte(iscsi.OpCommand), 0xc1
	binary.BigEndian.PutUint32(p[16:], l.tag)
	binary.BigEndian.PutUint32(p[20:], benchBlock)
	binary.BigEndian.PutUint32(p[24:], l.sn)
	l.sn++
	copy(p[32:], initiator.ReadCDB(uint64(l.sn*2654435761)%(1<<20), 1))
	l.out = append(l.out, p[:]...)
}

func (l *load) flush() error {
	if len(l.out) == 0 {
		return nil
	}
	_, err := l.conn.Write(l.out)
	l.out = l.out[:0]
	return err
}

// read takes responses; in a closed loop each sends the next command.
func (l *load) read(depth int) {
	l.mu.Lock()
	for range depth {
		l.add(time.Now())
	}
	l.flush()
	l.mu.Unlock()
	var head [48]byte
	for {
		if _, err := io.ReadFull(l.r, head[:]); err != nil {
			return
		}
		n := int(head[5])<<16 | int(head[6])<<8 | int(head[7])
		if _, err := l.r.Discard((n + 3) &^ 3); err != nil {
			return
		}
		l.mu.Lock()
		now := time.Now()
		if l.on.Load() {
			l.ops++
			if head[3] != 0 || n < benchBlock {
				l.failed++
			}
			l.hist.RecordValue(max(now.Sub(l.began[binary.BigEndian.Uint32(head[16:])%uint32(len(l.began))]).Microseconds(), 1))
		}
		if depth > 0 {
			l.add(now)
			if l.r.Buffered() < 48 {
				l.flush()
			}
		}
		l.mu.Unlock()
	}
}

// pace sends commands at their times, whatever has been answered.
func (l *load) pace() {
	next := time.Now().Add(l.first)
	for {
		time.Sleep(time.Until(next))
		l.mu.Lock()
		for now := time.Now(); !next.After(now); next = next.Add(l.gap) {
			l.add(next)
		}
		err := l.flush()
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// gatewaySubject is one host before servers that answer at once.
func gatewaySubject(w env.Environment, disks []string, k *benchSetup) (*subject, error) {
	set := settings.Example(1, benchShards)
	set.Volumes = []settings.Volume{{Name: "bench", Plan: "prioritario", Blocks: 1 << 20, BlockSize: benchBlock, ExtentBlocks: 32, Hosts: []int{0}}}
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
	g, err := gateway.Start(gateway.Config{Environment: w, Log: zap.NewNop(), Name: "bench", Listen: "127.0.0.1:0", Inventory: inv.Addr, Keys: k.host, History: k.history, Admin: k.admin})
	if err != nil {
		return nil, err
	}
	if _, err := g.Settings().Put(set); err != nil {
		return nil, err
	}
	<-g.Ready().Chan()
	s := &subject{name: "gateway", addr: g.Addr().String()}
	if a := g.Admin(); a != nil {
		s.admin = a.String()
	}
	s.close = func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		g.Stop(ctx)
		inv.Close()
	}
	var isid atomic.Uint32
	s.greet = func(c net.Conn, r *bufio.Reader) (uint32, error) {
		return greet(c, r, set.TargetName(&set.Volumes[0]), isid.Add(1))
	}
	return s, nil
}

// greet logs in by one exchange.
func greet(c net.Conn, r *bufio.Reader, target string, isid uint32) (uint32, error) {
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

// relaySubjects are the two bare relays before a server of fixed replies.
func relaySubjects() (pipe, fans *subject, closeAll func(), err error) {
	server, err := fixed("127.0.0.1:0", func(c net.Conn) { convey(c, c, forwardLen, replyLen) })
	if err != nil {
		return nil, nil, nil, err
	}
	straight, err := fixed("127.0.0.1:0", func(c net.Conn) { pipeTo(c, server.Addr().String()) })
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
	pipe = &subject{name: "pipe", addr: straight.Addr().String(), greet: greet}
	fans = &subject{name: "fan", addr: f.listener.Addr().String(), greet: greet}
	return pipe, fans, func() { f.close(); straight.Close(); server.Close() }, nil
}

// pipeTo passes a client's frames to a connection of its own, and back.
func pipeTo(c net.Conn, server string) {
	up, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		convey(c, up, replyLen, responseLen)
		c.Close()
	}()
	convey(up, c, requestLen, forwardLen)
	up.Close()
	<-done
}

// fixed serves each connection by f until the listener is closed.
func fixed(addr string, f func(net.Conn)) (net.Listener, error) {
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

// convey reads frames of one size and passes on their beginning, with the tag, in
// frames of another, several in one write where several have come.
func convey(dst, src net.Conn, in, out int) {
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
