// Command second plays the cases 6 to 10 of the review. Each case starts the project's own programs
// as separate processes on loopback addresses and judges what its stand-ins saw.
package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	procs   []*exec.Cmd
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
func (b *bench) spawn(name, command string, env ...string) (*exec.Cmd, error) {
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
	b.mu.Lock()
	b.procs = append(b.procs, c)
	b.mu.Unlock()
	b.logf("started %s: %s", name, strings.ReplaceAll(command, b.dir, "TMP"))
	return c, nil
}

// end kills the processes that are left.
func (b *bench) end() {
	b.mu.Lock()
	procs := b.procs
	b.mu.Unlock()
	for _, c := range procs {
		if c.ProcessState == nil {
			c.Process.Kill()
			c.Wait()
		}
	}
}

// freePort returns an address on loopback that nothing uses.
func freePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}
