// Command second plays the cases 6 to 10 of the review. Each case starts the project's own programs
// as separate processes on loopback addresses and judges what its stand-ins saw.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// result is the exit status of a case.
type result int

const (
	held   result = 0
	broken result = 1
	failed result = 2
)

// bench is what a case plays on: its record, its temporary folder and its processes.
type bench struct {
	trouble bool
	root    string
	dir     string
	start   time.Time
	mu      sync.Mutex
	file    *os.File
	procs   []*process
}

// process is a process that the case started.
type process struct {
	*exec.Cmd
	name     string
	ended    chan struct{} // closed when it has ended
	expected atomic.Bool   // the case ends it
}

// logf writes a line to the record, with the time since the start of the case.
func (b *bench) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.file, "%9.4f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (b *bench) say(format string, args ...any) {
	b.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// since returns the seconds since the start of the case.
func (b *bench) since() float64 { return time.Since(b.start).Seconds() }

// spawn starts a command of the project through the shell, from the root of the project, as the
// deploy file does. Its output goes to a file of that name in the temporary folder.
func (b *bench) spawn(name, command string, env ...string) (*process, error) {
	out, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command("/bin/sh", "-c", command)
	c.Dir, c.Stdout, c.Stderr = b.root, out, out
	c.Env = append(os.Environ(), env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{Cmd: c, name: name, ended: make(chan struct{})}
	go func() {
		c.Wait()
		if !p.expected.Load() {
			b.logf("%s has ended by itself: %v", name, c.ProcessState)
		}
		close(p.ended)
	}()
	b.mu.Lock()
	b.procs = append(b.procs, p)
	b.mu.Unlock()
	b.logf("started %s: %s", name, strings.ReplaceAll(command, b.dir, "TMP"))
	return p, nil
}

// stop ends a process by SIGTERM and waits for it.
func (p *process) stop() {
	p.expected.Store(true)
	p.Process.Signal(syscall.SIGTERM)
	<-p.ended
}

// lost names a process that has ended though the case did not end it, "" if there is none. Without it
// nothing can be judged.
func (b *bench) lost() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.procs {
		select {
		case <-p.ended:
			if !p.expected.Load() {
				return p.name
			}
		default:
		}
	}
	return ""
}

// end kills the processes that are left and waits for them.
func (b *bench) end() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, p := range procs {
		p.expected.Store(true)
		p.Process.Kill()
		<-p.ended
	}
}

// freePort returns an address on loopback that nothing uses, below the ports that systems give away by
// themselves: what else runs here does not take it before the process that it is for.
func freePort() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}
