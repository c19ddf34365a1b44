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

// Command is the program that starts a scheduler, with its arguments and the variables that are
// added to this process's environment.
type Command struct {
	Path string
	Args []string
	Env  []string
}

// Process is a running scheduler process.
type Process struct {
	record     *Record
	scheduler  int
	cmd        *exec.Cmd
	configFile string
	done       chan struct{}

	mu        sync.Mutex
	log       strings.Builder
	ready     chan struct{}
	sigtermAt time.Duration
	killed    bool

	maxDescriptors int // highest sampled number of open descriptors
	peakMemoryMB   float64
}

// readyTimeout is how long a scheduler may take until it logs that it is ready, as on the
// platform.
const readyTimeout = 30 * time.Second

// StartProcess writes the configuration to dir, starts a scheduler with it and waits until it
// is ready.
func StartProcess(command Command, scheduler int, dir string, config []byte, record *Record) (*Process, error) {
	configFile := filepath.Join(dir, fmt.Sprintf("n%d.json", scheduler))
	if err := os.WriteFile(configFile, config, 0o600); err != nil {
		return nil, err
	}
	process := &Process{record: record, scheduler: scheduler, configFile: configFile, done: make(chan struct{}), ready: make(chan struct{})}
	process.cmd = exec.Command(command.Path, command.Args...)
	process.cmd.Env = append(append(os.Environ(), command.Env...), "ROUTER_CONFIG="+configFile)
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no orphan if this process dies
	stderr, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	go process.collectLog(bufio.NewScanner(stderr))
	go process.sampleUsage()
	select {
	case <-process.ready:
		return process, nil
	case <-process.done:
		return nil, fmt.Errorf("scheduler %d exited before it was ready: %s", scheduler, process.Log())
	case <-time.After(readyTimeout):
		process.Kill()
		return nil, fmt.Errorf("scheduler %d was not ready within %s", scheduler, readyTimeout)
	}
}

// collectLog collects the log, signals that the scheduler is ready, and records its exit.
func (p *Process) collectLog(scanner *bufio.Scanner) {
	scanner.Buffer(nil, 1<<20)
	readySeen := false
	for scanner.Scan() {
		p.mu.Lock()
		p.log.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		if !readySeen && strings.Contains(scanner.Text(), `"msg":"ready"`) {
			readySeen = true
			close(p.ready)
		}
	}
	err := p.cmd.Wait()
	cpuTime := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	p.mu.Lock()
	exit := ProcessExit{Scheduler: p.scheduler, SigtermAt: p.sigtermAt, ExitedAt: p.record.Now(), Killed: p.killed,
		Crashed: !p.killed && (p.sigtermAt == 0 || err != nil), Log: p.log.String(), CPUTime: cpuTime, PeakMemoryMB: p.peakMemoryMB, MaxDescriptors: p.maxDescriptors}
	p.mu.Unlock()
	p.record.addExit(exit)
	close(p.done)
}

// Log returns what the process has logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Signal sends a signal. The time of the first SIGTERM is recorded.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	if signal == syscall.SIGTERM && p.sigtermAt == 0 {
		p.sigtermAt = p.record.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(signal)
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM, and SIGKILL after the grace, and waits for the exit.
func (p *Process) Stop(grace time.Duration) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.Kill()
	}
}

// throttlePeriod is the length of one run and pause of Throttle; it bounds each pause.
const throttlePeriod = 40 * time.Millisecond

// Throttle limits the process to a share of the time by SIGSTOP and SIGCONT, as a machine does
// that grants it only a share of a core. It returns when stop is closed or the process exits.
func (p *Process) Throttle(share float64, stop <-chan struct{}) {
	runTime := time.Duration(share * float64(throttlePeriod))
	defer p.cmd.Process.Signal(syscall.SIGCONT)
	for {
		for _, phase := range []struct {
			signal   syscall.Signal
			duration time.Duration
		}{{syscall.SIGCONT, runTime}, {syscall.SIGSTOP, throttlePeriod - runTime}} {
			if p.cmd.Process.Signal(phase.signal) != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-p.done:
				return
			case <-time.After(phase.duration):
			}
		}
	}
}
