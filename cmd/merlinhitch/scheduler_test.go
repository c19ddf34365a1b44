package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// asScheduler has the test binary run as `merlinhitch scheduler` in place of the tests, so
// that real signals come to a real process.
const asScheduler = "MERLINHITCH_TEST_SCHEDULER"

func TestMain(m *testing.M) {
	if os.Getenv(asScheduler) != "" {
		c := schedulerCmd{Config: os.Getenv("ROUTER_CONFIG")}
		if err := c.Run(zap.Must(zap.NewProduction())); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// process is a scheduler that runs, with what it said so far.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	file string
	addr string
	done chan error

	mu   sync.Mutex
	log  strings.Builder
	more *sync.Cond
}

const processConfig = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":64},
"known":{"seq":7,"whole":true,"hosts":[{"host":"s0","dial":%q,"site":"a","class":"m","block":0,"health":"active","share":1,"born_ms":0}]},
"settings":{"balancers":1,"me":0,"tick_ms":2,"request_classes":[
 {"name":%q,"aim_ms":200,"give_up_ms":%d,"effect":"read_like","group":"all","worth":2}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":100}],
"limits":{"attempts_cap":4,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":30000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":500},"extra":{"unit_mean":2,"largest":6,"slots_total":2}}}`

// freeAddr is one that nobody listens at just now.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startProcess(t *testing.T, config string) *process {
	t.Helper()
	p := &process{t: t, file: filepath.Join(t.TempDir(), "config.json"), done: make(chan error, 1)}
	p.more = sync.NewCond(&p.mu)
	p.write(config)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), asScheduler+"=1", "ROUTER_CONFIG="+p.file)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			p.mu.Lock()
			p.log.WriteString(lines.Text() + "\n")
			p.more.Broadcast()
			p.mu.Unlock()
		}
		err := p.cmd.Wait()
		p.mu.Lock()
		p.log.WriteString("it has ended\n")
		p.more.Broadcast()
		p.mu.Unlock()
		p.done <- err
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

func (p *process) write(config string) {
	if err := os.WriteFile(p.file, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// said waits until the process has said something.
func (p *process) said(what string) {
	p.t.Helper()
	timer := time.AfterFunc(20*time.Second, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !strings.Contains(p.log.String(), what) {
		if strings.Contains(p.log.String(), "it has ended") {
			p.t.Fatalf("never said %q:\n%s", what, p.log.String())
		}
		p.more.Wait()
	}
}

func (p *process) signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// ends waits for the end and tells the exit status.
func (p *process) ends(within time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(within):
		p.t.Fatalf("still there after %s:\n%s", within, p.log.String())
		return -1
	}
}

type conn struct {
	net.Conn
	in *bufio.Reader
}

func (p *process) connect() *conn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return &conn{c, bufio.NewReader(c)}
}

func (c *conn) ask(class string, id int) int {
	fmt.Fprintf(c, "GET /%s/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: %016x\r\nX-Qos-Policy: gold\r\nRequest-Timeout: 20\r\nX-Placement: units=2,shard=0,hosts=1\r\n\r\n", class, id)
	return c.hear()
}

// hear tells an answer's status, 0 where the connection ended without one.
func (c *conn) hear() int {
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	lim := http1.Limits{MaxHeadBytes: 4 << 10, MaxFields: 20, MaxBodyBytes: 4 << 10}
	m, _, err := http1.ReadWholeResponse(c.in, lim)
	if err != nil {
		return 0
	}
	return m.Status
}

// town is a disk server and two agents of discovery.
type town struct {
	disk     *standin.HTTPDisk
	one, two *standin.HTTPList
	asked    chan struct{} // a value for each request that came to the disk server
	answer   chan struct{} // and one that lets its answer go
}

func newTown(t *testing.T) *town {
	w := env.NewReal()
	o := &town{asked: make(chan struct{}, 100), answer: make(chan struct{}, 100)}
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	o.disk, err = standin.ServeHTTPDisk(w, func(standin.HTTPAsk) standin.HTTPAnswer {
		o.asked <- struct{}{}
		<-o.answer
		return standin.HTTPAnswer{Raw: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")}
	})
	must(err)
	whole := fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":%q,"site":"a","class":"m","block":0,"health":"active","share":1,"born_ms":0}]}`, o.disk.Addr)
	o.one, err = standin.ServeHTTPList(w, whole)
	must(err)
	o.two, err = standin.ServeHTTPList(w, whole)
	must(err)
	t.Cleanup(func() {
		close(o.answer)
		o.disk.Close()
		o.one.Close()
		o.two.Close()
	})
	return o
}

func (o *town) config(listen, discovery, class string, deadline int) string {
	return fmt.Sprintf(processConfig, listen, discovery, o.disk.Addr, class, deadline)
}

func (o *town) start(t *testing.T) *process {
	addr := freeAddr(t)
	p := startProcess(t, o.config(addr, o.one.Addr, "read", 500))
	p.addr = addr
	p.said(`"listening"`)
	return p
}

// A request that is out when SIGTERM comes, a second SIGTERM and a SIGHUP with another
// class behind it: all is answered, the move is made, and the process ends by itself.
func TestSignalsCrossed(t *testing.T) {
	o := newTown(t)
	p := o.start(t)
	p.said(`"ready"`)
	c := p.connect()
	got := make(chan int, 1)
	go func() { got <- c.ask("read", 1) }()
	<-o.asked
	p.write(o.config(p.addr, o.two.Addr, "scan", 400))
	p.signal(syscall.SIGTERM)
	p.said(`"draining"`)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.said("configuration read again")
	o.answer <- struct{}{}
	if status := <-got; status != 200 {
		t.Errorf("under way at SIGTERM: %d", status)
	}
	o.answer <- struct{}{}
	if status := c.ask("scan", 2); status != 200 {
		t.Errorf("a new class, after both signals: %d", status)
	}
	if status := p.ends(4 * time.Second); status != 0 {
		t.Errorf("exit status %d:\n%s", status, p.log.String())
	}
	if n := strings.Count(p.log.String(), `"draining"`); n != 1 {
		t.Errorf("drained %d times", n)
	}
	if len(o.two.Targets()) == 0 {
		t.Error("discovery did not move")
	}
}

// SIGTERM before the scheduler is ready: /up never says 200, and it ends.
func TestSigtermBeforeReady(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	o := newTown(t)
	p := startProcess(t, o.config(freeAddr(t), silent.Addr().String(), "read", 300))
	p.said(`"listening"`)
	p.signal(syscall.SIGTERM)
	p.said(`"draining"`)
	if status := p.ends(4 * time.Second); status != 0 {
		t.Errorf("exit status %d", status)
	}
}

// A fault of the configuration ends the start with its path and status 2; at SIGHUP it is
// logged, and the old configuration stays.
func TestFaultsOfTheFile(t *testing.T) {
	o := newTown(t)
	bad := strings.Replace(o.config(freeAddr(t), o.one.Addr, "read", 500), `"aim_ms":200`, `"aim_ms":-1`, 1)
	p := startProcess(t, bad)
	if status := p.ends(10 * time.Second); status != badConfig || !strings.Contains(p.log.String(), "settings.request_classes[0].aim_ms") {
		t.Errorf("exit status %d:\n%s", status, p.log.String())
	}
	p = o.start(t)
	p.said(`"ready"`)
	for _, file := range []string{bad, "{", ""} {
		p.write(file)
		p.signal(syscall.SIGHUP)
	}
	p.said("the new configuration is not taken")
	c := p.connect()
	o.answer <- struct{}{}
	if status := c.ask("read", 1); status != 200 {
		t.Errorf("after faulty files: %d", status)
	}
	p.signal(syscall.SIGTERM)
	if status := p.ends(4 * time.Second); status != 0 {
		t.Errorf("exit status %d", status)
	}
}

// Descriptors run out in earnest: idle clients hold all that there are. Who has a connection
// is served, and new ones are once there is room.
func TestDescriptorsAreExhausted(t *testing.T) {
	o := newTown(t)
	p := o.start(t)
	p.said(`"ready"`)
	kept := p.connect()
	o.answer <- struct{}{}
	if status := kept.ask("read", 1); status != 200 {
		t.Fatal("before the crowd:", status)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	// Two more than it has: one connection to the disk server, or a client.
	limit := &unix.Rlimit{Cur: uint64(len(open) + 2), Max: uint64(len(open) + 2)}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		t.Fatal(err)
	}
	var crowd []net.Conn
	for range 20 {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, c)
	}
	o.answer <- struct{}{}
	if status := kept.ask("read", 2); status != 200 {
		t.Errorf("in the crowd: %d", status)
	}
	for _, c := range crowd {
		c.Close()
	}
	c := p.connect()
	o.answer <- struct{}{}
	if status := c.ask("read", 3); status != 200 {
		t.Errorf("after the crowd: %d", status)
	}
	io.WriteString(kept, "GET /up HTTP/1.1\r\n\r\n")
	if status := kept.hear(); status != 200 {
		t.Errorf("/up: %d", status)
	}
	p.signal(syscall.SIGTERM)
	if status := p.ends(4 * time.Second); status != 0 {
		t.Errorf("exit status %d", status)
	}
}
