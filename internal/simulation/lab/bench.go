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

// The bench compares the gateway with two relays that forward frames of the gateway's sizes
// without interpreting them, in one process and one run. The pipe opens an upstream connection
// for each client connection, so that frames that arrive together are forwarded in one system
// call. The fan multiplexes all clients over one connection to each server, as the gateway does.
// CPU time and allocations are those of the whole process, clients and servers included; the
// ratios show what the gateway adds to the cost of forwarding the bytes.

const (
	benchBlockSize = 4096
	benchShards    = 9
	requestLen     = 48      // bytes of a SCSI command PDU
	doFrameLen     = 16 + 96 // bytes, about those of a Do frame
	answerFrameLen = 16 + 15 + benchBlockSize
	responseLen    = 48 + benchBlockSize
)

// BenchOptions sets the points of a bench: each number of Connections with each number of
// Outstanding commands per connection.
type BenchOptions struct {
	PointTime   time.Duration // measured after a warm-up of half as long
	Connections []int
	Outstanding []int
	Progress    io.Writer
}

// benchEndpoint is a gateway or relay that is measured: its addresses and its login.
type benchEndpoint struct {
	name      string
	addr      string
	adminAddr string
	login     func(c net.Conn, r *bufio.Reader) (cmdSN uint32, err error)
	close     func()
}

// Measurement holds the results of one measured point.
type Measurement struct {
	Rate        float64                 // operations per second
	Latency     *hdrhistogram.Histogram // microseconds
	CPUMicros   float64                 // CPU time of the process per operation, microseconds
	AllocsPerOp float64
	Failed      int64 // responses with another status than GOOD or with too little data
}

// Bench measures the gateway and both relays and writes the tables.
func Bench(options BenchOptions, out io.Writer) error {
	gatewayEndpoint, closeAll, err := startBenchGateway(nil)
	if err != nil {
		return err
	}
	defer closeAll()
	pipe, fan, closeRelays, err := startRelays()
	if err != nil {
		return err
	}
	defer closeRelays()
	return benchAgainstRelays(options, gatewayEndpoint, pipe, fan, out)
}

// benchGatewayOptions has the optional features of a measured gateway.
type benchGatewayOptions struct {
	hostKeys, diskKeys *keys.Credentials
	historyDir         string // folder of the history of measurements; "": none
	adminAddr          string
}

// startBenchGateway starts a gateway and disk servers that answer immediately. nil options stand
// for a gateway without TLS, history and admin listener.
func startBenchGateway(options *benchGatewayOptions) (gatewayEndpoint *benchEndpoint, closeAll func(), err error) {
	environment := env.NewReal()
	var disks []*standin.ImmediateDiskServer
	closeAll = func() {
		if gatewayEndpoint != nil {
			gatewayEndpoint.close()
		}
		for _, server := range disks {
			server.Close()
		}
	}
	if options == nil {
		options = &benchGatewayOptions{}
	}
	var addrs []string
	for range benchShards {
		server, err := standin.ServeImmediateDiskServer(environment, benchBlockSize, options.diskKeys)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		disks, addrs = append(disks, server), append(addrs, server.Addr)
	}
	if gatewayEndpoint, err = startGatewayEndpoint(environment, addrs, options); err != nil {
		closeAll()
		return nil, nil, err
	}
	return gatewayEndpoint, closeAll, nil
}

// benchAgainstRelays writes the table of all points, then the results at half load, the costs and
// the memory of idle sessions.
func benchAgainstRelays(options BenchOptions, gatewayEndpoint, pipe, fan *benchEndpoint, out io.Writer) error {
	tw := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| conns\t| out\t| pipe op/s\t| fan op/s\t| gateway op/s\t| of pipe\t| of fan\t| fan p50/p99/p99.9 ms\t| gateway p50/p99/p99.9 ms\t| cpu us/op: pipe, fan, gateway\t| allocs/op\t|")
	fmt.Fprintln(tw, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	bestRate := 0.0
	for _, conns := range options.Connections {
		for _, outstanding := range options.Outstanding {
			var points [3]*Measurement
			for i, endpoint := range []*benchEndpoint{pipe, fan, gatewayEndpoint} {
				var err error
				if points[i], err = measure(endpoint, conns, outstanding, 0, options); err != nil {
					return err
				}
			}
			gatewayPoint := points[2]
			note := ""
			if gatewayPoint.Failed > 0 {
				note = fmt.Sprintf(" (%d not GOOD)", gatewayPoint.Failed)
			} else {
				bestRate = max(bestRate, gatewayPoint.Rate)
			}
			fmt.Fprintf(tw, "| %d\t| %d\t| %.0f\t| %.0f\t| %.0f%s\t| %.2f\t| %.2f\t| %s\t| %s\t| %.1f, %.1f, %.1f\t| %.1f\t|\n", conns, outstanding,
				points[0].Rate, points[1].Rate, gatewayPoint.Rate, note, gatewayPoint.Rate/points[0].Rate, gatewayPoint.Rate/points[1].Rate, formatQuantiles(points[1]), formatQuantiles(gatewayPoint), points[0].CPUMicros, points[1].CPUMicros, gatewayPoint.CPUMicros, gatewayPoint.AllocsPerOp)
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if err := benchHalfLoad(options, gatewayEndpoint, fan, bestRate/2, out); err != nil {
		return err
	}
	if err := benchCommandCost(options, gatewayEndpoint, bestRate/2, out); err != nil {
		return err
	}
	return benchIdleSessions(gatewayEndpoint, out)
}

// formatQuantiles returns p50/p99/p99.9 in ms.
func formatQuantiles(point *Measurement) string {
	quantileMS := func(percent float64) float64 { return float64(point.Latency.ValueAtQuantile(percent)) / 1000 }
	return fmt.Sprintf("%.2f/%.2f/%.2f", quantileMS(50), quantileMS(99), quantileMS(99.9))
}

func p99Micros(point *Measurement) float64 { return float64(point.Latency.ValueAtQuantile(99)) }

// benchHalfLoad compares the latency of a relay and the gateway at the given rate.
func benchHalfLoad(options BenchOptions, gatewayEndpoint, relay *benchEndpoint, rate float64, out io.Writer) error {
	relayPoint, err := measure(relay, 64, 0, rate, options)
	if err != nil {
		return err
	}
	gatewayPoint, err := measure(gatewayEndpoint, 64, 0, rate, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nat half load, %.0f op/s over 64 connections: fan %s ms, gateway %s ms, p99 ratio %.2f\n", rate, formatQuantiles(relayPoint), formatQuantiles(gatewayPoint), p99Micros(gatewayPoint)/p99Micros(relayPoint))
	return nil
}

// benchCommandCost compares the CPU time of a command between few and many connections and
// between low and high rates.
func benchCommandCost(options BenchOptions, gatewayEndpoint *benchEndpoint, rate float64, out io.Writer) error {
	few, err := measure(gatewayEndpoint, 10, 0, rate, options)
	if err != nil {
		return err
	}
	many, err := measure(gatewayEndpoint, 1000, 0, rate, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command at %.0f op/s: %.1f us over 10 connections, %.1f us over 1000, ratio %.2f\n", rate, few.CPUMicros, many.CPUMicros, many.CPUMicros/few.CPUMicros)
	slow, err := measure(gatewayEndpoint, 64, 0, 500, options)
	if err != nil {
		return err
	}
	fast, err := measure(gatewayEndpoint, 64, 0, 50000, options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "cost of a command: %.1f us at 500 op/s, %.1f us at 50000 asked for (%.0f reached), ratio %.2f\n", slow.CPUMicros, fast.CPUMicros, fast.Rate, fast.CPUMicros/slow.CPUMicros)
	return nil
}

const idleSessionCount = 1000

// benchIdleSessions measures the memory of idle sessions, the connections of their clients
// included.
func benchIdleSessions(gatewayEndpoint *benchEndpoint, out io.Writer) error {
	before := memoryInUse()
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range idleSessionCount {
		conn, err := net.Dial("tcp", gatewayEndpoint.addr)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		if _, err := gatewayEndpoint.login(conn, bufio.NewReaderSize(conn, 512)); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "an idle session holds %.1f KiB of heap and stacks\n", float64(memoryInUse()-before)/idleSessionCount/1024)
	return nil
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// processCPUTime returns the user and system CPU time of the process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure measures one point: a closed loop with that many commands outstanding on each
// connection or, if outstanding is 0, an open loop at a total rate in commands per second.
func measure(endpoint *benchEndpoint, connections, outstanding int, rate float64, options BenchOptions) (*Measurement, error) {
	if options.Progress != nil {
		fmt.Fprintf(options.Progress, "%s: %d connections, %d outstanding, rate %.0f\n", endpoint.name, connections, outstanding, rate)
	}
	result := &Measurement{Latency: hdrhistogram.New(1, 60_000_000, 3)}
	clients := make([]*loadConn, connections)
	var workers sync.WaitGroup
	defer func() {
		for _, client := range clients {
			if client != nil {
				client.conn.Close()
			}
		}
		workers.Wait()
	}()
	for i := range clients {
		conn, err := net.Dial("tcp", endpoint.addr)
		if err != nil {
			return nil, err
		}
		client := &loadConn{conn: conn, reader: bufio.NewReaderSize(conn, 32<<10), hist: hdrhistogram.New(1, 60_000_000, 3)}
		clients[i] = client
		if client.cmdSN, err = endpoint.login(conn, client.reader); err != nil {
			return nil, err
		}
	}
	var recording atomic.Bool
	for i, client := range clients {
		client.recording = &recording
		if rate > 0 {
			client.interval = time.Duration(float64(connections) / rate * float64(time.Second))
			client.offset = client.interval * time.Duration(i) / time.Duration(connections)
		}
		workers.Go(func() { client.receive(outstanding) })
		if rate > 0 {
			workers.Go(client.sendAtRate)
		}
	}
	time.Sleep(options.PointTime / 2) // warm-up
	var memBefore, memAfter runtime.MemStats
	runtime.ReadMemStats(&memBefore)
	cpuTime, start := processCPUTime(), time.Now()
	recording.Store(true)
	time.Sleep(options.PointTime)
	recording.Store(false)
	elapsed := time.Since(start)
	cpuTime = processCPUTime() - cpuTime
	runtime.ReadMemStats(&memAfter)
	ops := int64(0)
	for _, client := range clients {
		client.mu.Lock()
		ops += client.ops
		result.Failed += client.failed
		result.Latency.Merge(client.hist)
		client.mu.Unlock()
	}
	result.Rate = float64(ops) / elapsed.Seconds()
	result.CPUMicros = float64(cpuTime.Microseconds()) / float64(max(ops, 1))
	result.AllocsPerOp = float64(memAfter.Mallocs-memBefore.Mallocs) / float64(max(ops, 1))
	return result, nil
}

// loadConn is a client connection that handles as little of iSCSI as possible, to add little load.
type loadConn struct {
	conn             net.Conn
	reader           *bufio.Reader
	recording        *atomic.Bool
	interval, offset time.Duration

	mu      sync.Mutex
	cmdSN   uint32
	started [4096]time.Time // by task tag; the time when the command was due
	lastTag uint32
	unsent  []byte
	ops     int64
	failed  int64
	hist    *hdrhistogram.Histogram
}

// enqueue appends a read command to the unsent bytes. Its latency counts from the due time.
func (l *loadConn) enqueue(due time.Time) {
	l.lastTag = (l.lastTag + 1) % uint32(len(l.started))
	l.started[l.lastTag] = due
	var pdu [requestLen]byte
	pdu[0], pdu[1] = byte(iscsi.OpCommand), 0xc1
	binary.BigEndian.PutUint32(pdu[16:], l.lastTag)
	binary.BigEndian.PutUint32(pdu[20:], benchBlockSize)
	binary.BigEndian.PutUint32(pdu[24:], l.cmdSN)
	l.cmdSN++
	copy(pdu[32:], initiator.ReadCDB(uint64(l.cmdSN*2654435761)%(1<<20), 1))
	l.unsent = append(l.unsent, pdu[:]...)
}

func (l *loadConn) flush() error {
	if len(l.unsent) == 0 {
		return nil
	}
	_, err := l.conn.Write(l.unsent)
	l.unsent = l.unsent[:0]
	return err
}

// receive reads responses; in a closed loop each triggers the next command.
func (l *loadConn) receive(outstanding int) {
	l.mu.Lock()
	for range outstanding {
		l.enqueue(time.Now())
	}
	l.flush()
	l.mu.Unlock()
	var header [48]byte
	for {
		if _, err := io.ReadFull(l.reader, header[:]); err != nil {
			return
		}
		dataLength := int(header[5])<<16 | int(header[6])<<8 | int(header[7])
		if _, err := l.reader.Discard((dataLength + 3) &^ 3); err != nil {
			return
		}
		l.mu.Lock()
		now := time.Now()
		if l.recording.Load() {
			l.ops++
			if header[3] != 0 || dataLength < benchBlockSize {
				l.failed++
			}
			l.hist.RecordValue(max(now.Sub(l.started[binary.BigEndian.Uint32(header[16:])%uint32(len(l.started))]).Microseconds(), 1))
		}
		if outstanding > 0 {
			l.enqueue(now)
			if l.reader.Buffered() < 48 {
				l.flush()
			}
		}
		l.mu.Unlock()
	}
}

// sendAtRate sends commands at their due times, regardless of responses (open loop).
func (l *loadConn) sendAtRate() {
	due := time.Now().Add(l.offset)
	for {
		time.Sleep(time.Until(due))
		l.mu.Lock()
		for now := time.Now(); !due.After(now); due = due.Add(l.interval) {
			l.enqueue(due)
		}
		err := l.flush()
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// startGatewayEndpoint starts a gateway for the disk servers at the given addresses.
func startGatewayEndpoint(environment env.Environment, addrs []string, options *benchGatewayOptions) (*benchEndpoint, error) {
	initial := settings.Example(1, benchShards)
	initial.Volumes = []settings.Volume{{Name: "bench", Plan: "prioritario", Blocks: 1 << 20, BlockSize: benchBlockSize, ExtentBlocks: 32, Hosts: []int{0}}}
	for i := range benchShards {
		initial.Volumes[0].Layout = append(initial.Volumes[0].Layout, i)
	}
	initial.Plans[2].Rate = 1e6
	initial.Target.CommandWindow, initial.Target.MemoryBytes, initial.Limits.MaxOpen = 4096, 1<<30, 200000
	inventoryServer, err := standin.ServeInventory(environment, "127.0.0.1:0", 0)
	if err != nil {
		return nil, err
	}
	inventoryServer.ChangeNow(func(book *inventory.Book) {
		for i, addr := range addrs {
			book.Set(inventory.Node{Addr: addr, Health: inventory.Ready, Shard: i, Weight: 1, Incarnation: 1}, 0)
		}
	})
	instance, err := gateway.Start(gateway.Config{Environment: environment, Log: zap.NewNop(), Name: "bench", Listen: "127.0.0.1:0", Inventory: inventoryServer.Addr, Keys: options.hostKeys, History: options.historyDir, Admin: options.adminAddr})
	if err != nil {
		return nil, err
	}
	if _, err := instance.Settings().Put(initial); err != nil {
		return nil, err
	}
	<-instance.Ready().Chan()
	endpoint := &benchEndpoint{name: "gateway", addr: instance.Addr().String()}
	if admin := instance.Admin(); admin != nil {
		endpoint.adminAddr = admin.String()
	}
	endpoint.close = func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		instance.Stop(ctx)
		inventoryServer.Close()
	}
	var lastISID atomic.Uint32
	endpoint.login = func(conn net.Conn, reader *bufio.Reader) (uint32, error) {
		return benchLogin(conn, reader, initial.TargetName(&initial.Volumes[0]), lastISID.Add(1))
	}
	return endpoint, nil
}

// benchLogin logs in with one request and returns the next CmdSN.
func benchLogin(conn net.Conn, reader *bufio.Reader, target string, isid uint32) (uint32, error) {
	request := iscsi.New(iscsi.OpLoginReq).SetImmediate().SetFlags(0x87)
	request.BHS[8] = 0x80
	binary.BigEndian.PutUint32(request.BHS[10:], isid)
	request.Set(iscsi.AtCmdSN, 1)
	request.Data = iscsi.FormatText([]iscsi.Key{{Name: "InitiatorName", Value: "iqn.2026-11.example.client:bench"},
		{Name: "TargetName", Value: target}, {Name: "SessionType", Value: "Normal"}, {Name: "MaxRecvDataSegmentLength", Value: "65536"}})
	if _, err := conn.Write(request.Append(nil, iscsi.Digests{})); err != nil {
		return 0, err
	}
	reply, err := iscsi.NewReader(reader, 8192).Next()
	if err != nil {
		return 0, err
	}
	if reply.BHS[36] != byte(scsi.Good) || reply.Flags()&3 != 3 {
		return 0, fmt.Errorf("bench: login failed with status %02x%02x", reply.BHS[36], reply.BHS[37])
	}
	return 1, nil
}

// startRelays starts the pipe and the fan in front of a server that answers each frame.
func startRelays() (pipe, fan *benchEndpoint, closeAll func(), err error) {
	server, err := serveConnections("127.0.0.1:0", func(c net.Conn) { relayFrames(c, c, doFrameLen, answerFrameLen) })
	if err != nil {
		return nil, nil, nil, err
	}
	pipeListener, err := serveConnections("127.0.0.1:0", func(c net.Conn) { relayPipe(c, server.Addr().String()) })
	if err != nil {
		server.Close()
		return nil, nil, nil, err
	}
	mux, err := newMuxRelay(env.NewReal(), server.Addr().String(), benchShards)
	if err != nil {
		server.Close()
		pipeListener.Close()
		return nil, nil, nil, err
	}
	noLogin := func(net.Conn, *bufio.Reader) (uint32, error) { return 1, nil }
	pipe = &benchEndpoint{name: "pipe", addr: pipeListener.Addr().String(), login: noLogin}
	fan = &benchEndpoint{name: "fan", addr: mux.listener.Addr().String(), login: noLogin}
	return pipe, fan, func() { mux.close(); pipeListener.Close(); server.Close() }, nil
}

// relayPipe forwards the frames of one client over an upstream connection of its own, and the
// replies back.
func relayPipe(client net.Conn, server string) {
	upstream, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		relayFrames(client, upstream, answerFrameLen, responseLen)
		client.Close()
	}()
	relayFrames(upstream, client, requestLen, doFrameLen)
	upstream.Close()
	<-done
}

// serveConnections calls serve in a goroutine for each accepted connection until the listener is
// closed.
func serveConnections(addr string, serve func(net.Conn)) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	return listener, nil
}

// relayFrames reads frames of inSize bytes and writes frames of outSize bytes that begin with the
// same bytes, which hold the task tag. Frames that are already buffered go out in one write.
func relayFrames(dst, src net.Conn, inSize, outSize int) {
	reader := bufio.NewReaderSize(src, 64<<10)
	frame := make([]byte, inSize)
	var pending []byte
	for {
		if _, err := io.ReadFull(reader, frame); err != nil {
			return
		}
		start := len(pending)
		pending = append(pending, make([]byte, outSize)...)
		copy(pending[start:], frame[:min(inSize, outSize)])
		dataLength := uint32(outSize - 48)
		if outSize == responseLen {
			pending[start+5], pending[start+6], pending[start+7] = byte(dataLength>>16), byte(dataLength>>8), byte(dataLength)
		}
		if reader.Buffered() >= inSize && len(pending) < 128<<10 {
			continue
		}
		if _, err := dst.Write(pending); err != nil {
			return
		}
		pending = pending[:0]
	}
}
