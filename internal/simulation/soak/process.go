package soak

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Command starts a scheduler: the program, its arguments and what its environment has
// beside this process's own.
type Command struct {
	Path string
	Args []string
	Env  []string
}

// Process is a scheduler that runs.
type Process struct {
	record     *Record
	scheduler  int
	cmd        *exec.Cmd
	configFile string // of its configuration
	done       chan struct{}

	mu        sync.Mutex
	log       strings.Builder
	ready     chan struct{}
	sigtermAt time.Duration
	killed    bool

	maxDescriptors int // most at once
}

// readyTimeout is how long a scheduler may take to be ready, as the platform says.
const readyTimeout = 30 * time.Second

// StartProcess starts a scheduler with a configuration and waits until it is ready.
func StartProcess(c Command, scheduler int, folder string, config []byte, r *Record) (*Process, error) {
	file := filepath.Join(folder, fmt.Sprintf("n%d.json", scheduler))
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	p := &Process{record: r, scheduler: scheduler, configFile: file, done: make(chan struct{}), ready: make(chan struct{})}
	p.cmd = exec.Command(c.Path, c.Args...)
	p.cmd.Env = append(append(os.Environ(), c.Env...), "ROUTER_CONFIG="+file)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left behind
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.collectLog(bufio.NewScanner(out))
	go p.sampleDescriptors()
	select {
	case <-p.ready:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("scheduler %d ended at its start: %s", scheduler, p.Log())
	case <-time.After(readyTimeout):
		p.Kill()
		return nil, fmt.Errorf("scheduler %d was not ready within %s", scheduler, readyTimeout)
	}
}

// collectLog keeps the log and notes the end.
func (p *Process) collectLog(lines *bufio.Scanner) {
	lines.Buffer(nil, 1<<20)
	said := false
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		if !said && strings.Contains(lines.Text(), `"msg":"ready"`) {
			said = true
			close(p.ready)
		}
	}
	err := p.cmd.Wait()
	cpu, peak := p.resourceUsage()
	p.mu.Lock()
	end := ProcessExit{Scheduler: p.scheduler, SigtermAt: p.sigtermAt, ExitedAt: p.record.Now(), Killed: p.killed,
		Crashed: !p.killed && (p.sigtermAt == 0 || err != nil), Log: p.log.String(), CPUTime: cpu, PeakMemoryMB: peak, MaxDescriptors: p.maxDescriptors}
	p.mu.Unlock()
	p.record.addExit(end)
	close(p.done)
}

// Log is what the process has logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Signal sends a signal; SIGTERM is noted as the word to end.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	if s == syscall.SIGTERM && p.sigtermAt == 0 {
		p.sigtermAt = p.record.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.done
}

// Stop tells the process to end, and kills it after the grace. It waits for its end.
func (p *Process) Stop(grace time.Duration) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.Kill()
	}
}

// throttlePeriod is a turn of Throttle: so long a process is held up at the most.
const throttlePeriod = 40 * time.Millisecond

// Throttle lets the process run for only a share of the time, by SIGSTOP and SIGCONT, as on
// a machine that gives it a share of a core. It returns when stop is closed or it has ended.
func (p *Process) Throttle(share float64, stop <-chan struct{}) {
	run := time.Duration(share * float64(throttlePeriod))
	defer p.cmd.Process.Signal(syscall.SIGCONT)
	for {
		for _, turn := range []struct {
			signal syscall.Signal
			lasts  time.Duration
		}{{syscall.SIGCONT, run}, {syscall.SIGSTOP, throttlePeriod - run}} {
			if p.cmd.Process.Signal(turn.signal) != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-p.done:
				return
			case <-time.After(turn.lasts):
			}
		}
	}
}
