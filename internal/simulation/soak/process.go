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
func StartProcess(command Command, scheduler int, dir string, config []byte, record *Record) (*Process, error) {
	configFile := filepath.Join(dir, fmt.Sprintf("n%d.json", scheduler))
	if err := os.WriteFile(configFile, config, 0o600); err != nil {
		return nil, err
	}
	process := &Process{record: record, scheduler: scheduler, configFile: configFile, done: make(chan struct{}), ready: make(chan struct{})}
	process.cmd = exec.Command(command.Path, command.Args...)
	process.cmd.Env = append(append(os.Environ(), command.Env...), "ROUTER_CONFIG="+configFile)
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left behind
	stderr, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	go process.collectLog(bufio.NewScanner(stderr))
	go process.sampleDescriptors()
	select {
	case <-process.ready:
		return process, nil
	case <-process.done:
		return nil, fmt.Errorf("scheduler %d ended at its start: %s", scheduler, process.Log())
	case <-time.After(readyTimeout):
		process.Kill()
		return nil, fmt.Errorf("scheduler %d was not ready within %s", scheduler, readyTimeout)
	}
}

// collectLog keeps the log and notes the end.
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
	cpuTime, peakMemoryMB := p.resourceUsage()
	p.mu.Lock()
	exit := ProcessExit{Scheduler: p.scheduler, SigtermAt: p.sigtermAt, ExitedAt: p.record.Now(), Killed: p.killed,
		Crashed: !p.killed && (p.sigtermAt == 0 || err != nil), Log: p.log.String(), CPUTime: cpuTime, PeakMemoryMB: peakMemoryMB, MaxDescriptors: p.maxDescriptors}
	p.mu.Unlock()
	p.record.addExit(exit)
	close(p.done)
}

// Log is what the process has logged so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Signal sends a signal; SIGTERM is noted as the word to end.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	if signal == syscall.SIGTERM && p.sigtermAt == 0 {
		p.sigtermAt = p.record.Now()
	}
	p.mu.Unlock()
	p.cmd.Process.Signal(signal)
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
