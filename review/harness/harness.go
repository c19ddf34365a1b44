// Package harness holds what the review's cases share: processes with their logs, free loopback
// ports, and the record of what was sent, answered and run.
package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	CantDo = 2 // the case could not run
)

// Case is one run of a case: its processes, its temporary folder and its record.
type Case struct {
	Trouble bool   // false: the same without the disruption
	Dir     string // temporary folder
	program string

	mu        sync.Mutex
	startedAt time.Time
	record    *bufio.Writer
	file      *os.File
	processes []*Process
	held      bool  // all that was checked so far held
	failed    error // of a goroutine that Go started: the case can't run
}

// CantRun ends a case that could not run.
type CantRun struct{ Err error }

// Run runs a case in the folder that the first argument names and exits with its status. The program
// under review is bin/merlinhitch of the working folder.
func Run(play func(c *Case)) { os.Exit(run(play)) }

func run(play func(c *Case)) (status int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: the folder for record.txt")
		return CantDo
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", program: "bin/merlinhitch", startedAt: time.Now(), held: true}
	var err error
	if c.file, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CantDo
	}
	defer c.file.Close()
	c.record = bufio.NewWriter(c.file)
	if c.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CantDo
	}
	defer os.RemoveAll(c.Dir)
	defer c.flush()
	defer c.endAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE) // a closed output ends the case too
	go func() {
		<-signals
		c.endAll()
		c.flush()
		os.RemoveAll(c.Dir)
		os.Exit(CantDo)
	}()
	defer func() {
		if p := recover(); p != nil {
			cant, ok := p.(CantRun)
			if !ok {
				c.endAll()
				panic(p)
			}
			c.Log("case can't run: %v", cant.Err)
			fmt.Fprintln(os.Stderr, "case can't run:", cant.Err)
			status = CantDo
		}
	}()
	c.Log("disruption: %v", c.Trouble)
	play(c)
	if c.held {
		c.Log("verdict: the rule held")
		return Held
	}
	c.Log("verdict: the rule was broken")
	return Broken
}

// Log writes a line to the record, with the time since the start in ms.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%10.3f %s\n", float64(time.Since(c.startedAt).Microseconds())/1000, fmt.Sprintf(format, args...))
}

func (c *Case) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Flush()
}

// Check records whether what the rule asks for held, and prints it where it did not.
func (c *Case) Check(held bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if held {
		c.Log("held: %s", text)
		return
	}
	c.Log("BROKEN: %s", text)
	fmt.Println("BROKEN:", text)
	c.mu.Lock()
	c.held = false
	c.mu.Unlock()
}

// Go runs f on a goroutine that work counts. An end of the case in f is kept for Sound.
func (c *Case) Go(work *sync.WaitGroup, f func()) {
	work.Go(func() {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			cant, ok := p.(CantRun)
			if !ok {
				c.endAll()
				panic(p)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failed = cant.Err
		}()
		f()
	})
}

// Sound ends the case if a goroutine of Go could not go on.
func (c *Case) Sound() {
	c.mu.Lock()
	err := c.failed
	c.mu.Unlock()
	Must(err)
}

// Must ends a case that can't run.
func Must(err error) {
	if err != nil {
		panic(CantRun{err})
	}
}

// Need ends a case that can't run, for want of a condition.
func Need(ok bool, format string, args ...any) {
	if !ok {
		panic(CantRun{fmt.Errorf(format, args...)})
	}
}

// Process is a process that the case started.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ended chan struct{}
	lines chan string // of standard output
}

// Start starts the program under review with arguments and further environment variables. Its
// standard error goes to a file of the temporary folder.
func (c *Case) Start(name string, environment []string, args ...string) *Process {
	cmd := exec.Command(c.program, args...)
	cmd.Env = append(os.Environ(), environment...)
	log, err := os.Create(c.LogFile(name))
	Must(err)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	Must(err)
	Must(cmd.Start())
	log.Close()
	p := &Process{Name: name, cmd: cmd, ended: make(chan struct{}), lines: make(chan string, 100)}
	var read sync.WaitGroup
	read.Go(func() {
		for scan := bufio.NewScanner(out); scan.Scan(); {
			select {
			case p.lines <- scan.Text():
			default:
			}
		}
	})
	go func() {
		read.Wait()
		err := cmd.Wait()
		c.Log("process %s ended: %v", name, err)
		close(p.ended)
	}()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Log("process %s started: %s %s", name, c.program, strings.Join(args, " "))
	return p
}

// LogFile is where a process's standard error goes.
func (c *Case) LogFile(name string) string { return filepath.Join(c.Dir, name+".log") }

// Line waits for a line of the process's standard output.
func (p *Process) Line(within time.Duration) string {
	select {
	case line := <-p.lines:
		return line
	case <-time.After(within):
		panic(CantRun{fmt.Errorf("%s printed nothing in %s", p.Name, within)})
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { Must(p.cmd.Process.Signal(s)) }

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// WaitEnded waits for the end of the process; false if it has not come in time.
func (p *Process) WaitEnded(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// endAll ends all processes that the case started.
func (c *Case) endAll() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
}

// FreePort returns a loopback address with a port that was free.
func FreePort() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// Until calls ready until it returns true, and ends the case if that takes too long.
func Until(within time.Duration, what string, ready func() bool) {
	for deadline := time.Now().Add(within); !ready(); time.Sleep(10 * time.Millisecond) {
		Need(time.Now().Before(deadline), "%s: not in %s", what, within)
	}
}

// Tool runs the program under review to its end, with that standard input, and returns its output.
func (c *Case) Tool(input io.Reader, args ...string) ([]byte, error) {
	cmd := exec.Command(c.program, args...)
	cmd.Stdin = input
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, exit.Stderr)
	}
	return out, err
}
