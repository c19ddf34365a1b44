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

	"merlinhitch/internal/control/schedulerd"
	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
)

// runAsSchedulerEnv is the environment variable that makes the test binary run as
// `merlinhitch scheduler` instead of the tests, so that signals reach a separate process.
const runAsSchedulerEnv = "MERLINHITCH_TEST_SCHEDULER"

func TestMain(m *testing.M) {
	if os.Getenv(runAsSchedulerEnv) != "" {
		c := schedulerCmd{Config: os.Getenv("ROUTER_CONFIG")}
		if err := c.Run(zap.Must(zap.NewProduction())); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// schedulerProcess is a running scheduler process with its log so far.
type schedulerProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	configFile string
	addr       string
	exited     chan error

	mu      sync.Mutex
	log     strings.Builder
	logGrew *sync.Cond
}

const processConfig = `{"name":"n0","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":64},
"known":{"seq":7,"whole":true,"hosts":[{"host":"s0","dial":%q,"site":"a","class":"m","block":0,"health":"active","share":1,"born_ms":0}]},
"settings":{"balancers":1,"me":0,"tick_ms":2,"request_classes":[
 {"name":%q,"aim_ms":200,"give_up_ms":%d,"effect":"read_like","group":"all","worth":2}],
"grades":[{"name":"gold","price":1,"proportion":1,"rate":100}],
"limits":{"attempts_cap":4,"retry_after":true,"max_retry_after_ms":2000,"dial_timeout_ms":250,"conn_idle_ms":30000},
"safety":{"answer_slack_ms":8,"stop_sending_within_ms":500},"extra":{"unit_mean":2,"largest":6,"slots_total":2}}}`

// unusedAddr returns a loopback address on which nothing listens at the moment.
func unusedAddr(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startProcess(t *testing.T, config string) *schedulerProcess {
	t.Helper()
	p := &schedulerProcess{t: t, configFile: filepath.Join(t.TempDir(), "config.json"), exited: make(chan error, 1)}
	p.logGrew = sync.NewCond(&p.mu)
	p.writeConfig(config)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), runAsSchedulerEnv+"=1", "ROUTER_CONFIG="+p.configFile)
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		scanner := bufio.NewScanner(stderr)
		for scanner.Scan() {
			p.mu.Lock()
			p.log.WriteString(scanner.Text() + "\n")
			p.logGrew.Broadcast()
			p.mu.Unlock()
		}
		err := p.cmd.Wait()
		p.mu.Lock()
		p.log.WriteString("process exited\n")
		p.logGrew.Broadcast()
		p.mu.Unlock()
		p.exited <- err
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

func (p *schedulerProcess) writeConfig(config string) {
	if err := os.WriteFile(p.configFile, []byte(config), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// waitForLog waits until the log contains text. It fails the test if the process exits first;
// after 20 s it kills the process.
func (p *schedulerProcess) waitForLog(text string) {
	p.t.Helper()
	timer := time.AfterFunc(20*time.Second, func() { p.cmd.Process.Kill() })
	defer timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for !strings.Contains(p.log.String(), text) {
		if strings.Contains(p.log.String(), "process exited") {
			p.t.Fatalf("the process exited without logging %q:\n%s", text, p.log.String())
		}
		p.logGrew.Wait()
	}
}

func (p *schedulerProcess) signal(sig syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// waitForExit waits for the process to exit and returns its exit status.
func (p *schedulerProcess) waitForExit(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		p.t.Fatalf("process still running after %s:\n%s", timeout, p.log.String())
		return -1
	}
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (p *schedulerProcess) connect() *clientConn {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

func (c *clientConn) request(class string, id int) int {
	fmt.Fprintf(c, "GET /%s/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nRequest-Id: %016x\r\nX-Qos-Policy: gold\r\nRequest-Timeout: 20\r\nX-Placement: units=2,shard=0,hosts=1\r\n\r\n", class, id)
	return c.readStatus()
}

// readStatus reads a response and returns its status, or 0 if none could be read within 15 s.
func (c *clientConn) readStatus() int {
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	limits := http1.Limits{MaxHeadBytes: 4 << 10, MaxFields: 20, MaxBodyBytes: 4 << 10}
	response, _, err := http1.ReadWholeResponse(c.reader, limits)
	if err != nil {
		return 0
	}
	return response.Status
}

// standins is a stand-in disk server and two stand-in discovery agents.
type standins struct {
	disk                      *standin.HTTPDiskServer
	discovery, otherDiscovery *standin.HTTPDiscovery
	received                  chan struct{} // gets a value for each request that arrives at the disk server
	release                   chan struct{} // each value releases one answer of the disk server
}

func startStandins(t *testing.T) *standins {
	environment := env.NewReal()
	servers := &standins{received: make(chan struct{}, 100), release: make(chan struct{}, 100)}
	failOnError := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	var err error
	servers.disk, err = standin.ServeHTTPDiskServer(environment, func(standin.HTTPRequest) standin.HTTPResponse {
		servers.received <- struct{}{}
		<-servers.release
		return standin.HTTPResponse{Raw: []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")}
	})
	failOnError(err)
	wholeList := fmt.Sprintf(`{"seq":8,"whole":true,"hosts":[{"host":"s0","dial":%q,"site":"a","class":"m","block":0,"health":"active","share":1,"born_ms":0}]}`, servers.disk.Addr)
	servers.discovery, err = standin.ServeHTTPDiscovery(environment, wholeList)
	failOnError(err)
	servers.otherDiscovery, err = standin.ServeHTTPDiscovery(environment, wholeList)
	failOnError(err)
	t.Cleanup(func() {
		close(servers.release)
		servers.disk.Close()
		servers.discovery.Close()
		servers.otherDiscovery.Close()
	})
	return servers
}

func (s *standins) config(listen, discovery, class string, deadlineMS int) string {
	return fmt.Sprintf(processConfig, listen, discovery, s.disk.Addr, class, deadlineMS)
}

func (s *standins) startScheduler(t *testing.T) *schedulerProcess {
	addr := unusedAddr(t)
	p := startProcess(t, s.config(addr, s.discovery.Addr, "read", 500))
	p.addr = addr
	p.waitForLog(`"listening"`)
	return p
}

// A SIGHUP and a second SIGTERM during the drain must neither cut off the open request nor
// start a second drain, and the reloaded request class and discovery address must take effect.
func TestOverlappingSigtermAndSighup(t *testing.T) {
	servers := startStandins(t)
	p := servers.startScheduler(t)
	p.waitForLog(`"ready"`)
	c := p.connect()
	statuses := make(chan int, 1)
	go func() { statuses <- c.request("read", 1) }()
	<-servers.received
	p.writeConfig(servers.config(p.addr, servers.otherDiscovery.Addr, "scan", 400))
	p.signal(syscall.SIGTERM)
	p.waitForLog(`"draining"`)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	p.waitForLog("configuration read again")
	servers.release <- struct{}{}
	if status := <-statuses; status != 200 {
		t.Errorf("status of the request open at SIGTERM: got %d, want 200", status)
	}
	servers.release <- struct{}{}
	if status := c.request("scan", 2); status != 200 {
		t.Errorf("status of a request of the reloaded class: got %d, want 200", status)
	}
	if status := p.waitForExit(4 * time.Second); status != 0 {
		t.Errorf("exit status: got %d, want 0; log:\n%s", status, p.log.String())
	}
	if n := strings.Count(p.log.String(), `"draining"`); n != 1 {
		t.Errorf("number of drains: got %d, want 1", n)
	}
	if len(servers.otherDiscovery.Targets()) == 0 {
		t.Error("the scheduler did not connect to the reloaded discovery address")
	}
}

// SIGTERM before the scheduler is ready must still end the process with status 0.
func TestSigtermBeforeReady(t *testing.T) {
	silentDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silentDiscovery.Close()
	servers := startStandins(t)
	p := startProcess(t, servers.config(unusedAddr(t), silentDiscovery.Addr().String(), "read", 300))
	p.waitForLog(`"listening"`)
	p.signal(syscall.SIGTERM)
	p.waitForLog(`"draining"`)
	if status := p.waitForExit(4 * time.Second); status != 0 {
		t.Errorf("exit status: got %d, want 0", status)
	}
}

// An invalid configuration must stop the start with exit status 2 and the path of the fault; at
// SIGHUP it must be logged and the old configuration stay in force.
func TestInvalidConfigFile(t *testing.T) {
	servers := startStandins(t)
	invalidConfig := strings.Replace(servers.config(unusedAddr(t), servers.discovery.Addr, "read", 500), `"aim_ms":200`, `"aim_ms":-1`, 1)
	p := startProcess(t, invalidConfig)
	if status := p.waitForExit(10 * time.Second); status != schedulerd.ExitInvalidConfig || !strings.Contains(p.log.String(), "settings.request_classes[0].aim_ms") {
		t.Errorf("exit status: got %d, want 2 and the path of the fault in the log; log:\n%s", status, p.log.String())
	}
	p = servers.startScheduler(t)
	p.waitForLog(`"ready"`)
	for _, content := range []string{invalidConfig, "{", ""} {
		p.writeConfig(content)
		p.signal(syscall.SIGHUP)
	}
	p.waitForLog("the new configuration is not taken")
	c := p.connect()
	servers.release <- struct{}{}
	if status := c.request("read", 1); status != 200 {
		t.Errorf("status after invalid configuration files: got %d, want 200", status)
	}
	p.signal(syscall.SIGTERM)
	if status := p.waitForExit(4 * time.Second); status != 0 {
		t.Errorf("exit status: got %d, want 0", status)
	}
}

// While idle clients hold every file descriptor, open connections must still be served, and new
// ones must be served once descriptors are free again.
func TestFileDescriptorsExhausted(t *testing.T) {
	servers := startStandins(t)
	p := servers.startScheduler(t)
	p.waitForLog(`"ready"`)
	kept := p.connect()
	servers.release <- struct{}{}
	if status := kept.request("read", 1); status != 200 {
		t.Fatal("status before the idle clients connected (want 200):", status)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	// Two more than are open: enough for a connection to the disk server or a client.
	limit := &unix.Rlimit{Cur: uint64(len(descriptors) + 2), Max: uint64(len(descriptors) + 2)}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil {
		t.Fatal(err)
	}
	var idleClients []net.Conn
	for range 20 {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		idleClients = append(idleClients, c)
	}
	servers.release <- struct{}{}
	if status := kept.request("read", 2); status != 200 {
		t.Errorf("status while idle clients hold the descriptors: got %d, want 200", status)
	}
	for _, c := range idleClients {
		c.Close()
	}
	c := p.connect()
	servers.release <- struct{}{}
	if status := c.request("read", 3); status != 200 {
		t.Errorf("status after the idle clients left: got %d, want 200", status)
	}
	io.WriteString(kept, "GET /up HTTP/1.1\r\n\r\n")
	if status := kept.readStatus(); status != 200 {
		t.Errorf("status of /up: got %d, want 200", status)
	}
	p.signal(syscall.SIGTERM)
	if status := p.waitForExit(4 * time.Second); status != 0 {
		t.Errorf("exit status: got %d, want 0", status)
	}
}
