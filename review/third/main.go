// Command third plays the cases of the review that later sittings added. It starts the project's own
// programs as processes and stands in for the rest. Its exit status is 0 if the rule held, 1 if it was
// broken, and 2 if the case could not run.
package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	statusHeld     = 0
	statusBroken   = 1
	statusNotRun   = 2
	caseTimeout    = 100 * time.Second
	startTimeout   = 10 * time.Second
	endTimeout     = 2 * time.Second
	pollInterval   = 20 * time.Millisecond
	recordFileName = "record.txt"
)

// run is one run of a case: its record, its temporary folder and the processes that it has started.
type run struct {
	trouble bool
	binary  string // of the project's program with all tools
	folder  string // temporary
	started time.Time
	ctx     context.Context // of commands that are run to their end
	cancel  context.CancelFunc

	mu        sync.Mutex
	record    *bufio.Writer
	processes []*process
	ending    bool // processes are being ended, and none may start
}

// notef writes a line to the record, with the time since the start.
func (r *run) notef(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.record, format+"\n", arguments...)
}

// process is a process that a run has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	lines chan string // of its standard output
	ended chan struct{}
	// stopped is set where the case itself ends the process.
	stopped bool
}

// start starts the project's program with arguments. What it logs goes to a file of the temporary folder.
func (r *run) start(name string, arguments ...string) (*process, error) {
	return r.startProgram(name, r.binary, nil, arguments...)
}

// startProgram starts a program with arguments and further variables of the environment.
func (r *run) startProgram(name, binary string, variables []string, arguments ...string) (*process, error) {
	p := &process{name: name, cmd: exec.Command(binary, arguments...), lines: make(chan string, 16), ended: make(chan struct{})}
	logFile, err := os.Create(filepath.Join(r.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr, p.cmd.Env = logFile, append(os.Environ(), variables...)
	output, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	if err = errEnding; !r.ending {
		err = p.cmd.Start()
	}
	if err == nil {
		r.processes = append(r.processes, p)
	}
	r.mu.Unlock()
	if err != nil {
		logFile.Close()
		return nil, err
	}
	r.notef("process %s: %s", name, strings.Join(slices.Concat(variables, []string{binary}, arguments), " "))
	go func() {
		defer close(p.ended)
		defer logFile.Close()
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			select {
			case p.lines <- scanner.Text():
			default:
			}
		}
		p.cmd.Wait()
	}()
	return p, nil
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// line returns the next line of the process's standard output.
func (p *process) line() (string, error) {
	select {
	case l := <-p.lines:
		return l, nil
	case <-p.ended:
		return "", errors.New(p.name + " has ended")
	case <-time.After(startTimeout):
		return "", errors.New(p.name + " has printed nothing")
	}
}

// errEnding is the error of a start while the processes are being ended.
var errEnding = errors.New("the case is being ended")

// endedEarly returns the name of a process that has ended though nothing has ended it.
func (r *run) endedEarly() string {
	for _, p := range r.processes {
		if p.hasEnded() && !p.stopped {
			return p.name
		}
	}
	return ""
}

// endAll kills what still runs, and reports whether all has ended.
func (r *run) endAll() bool {
	r.cancel()
	r.mu.Lock()
	r.ending = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		if !p.hasEnded() {
			p.cmd.Process.Signal(syscall.SIGKILL)
		}
	}
	allEnded := true
	for _, p := range processes {
		select {
		case <-p.ended:
		case <-time.After(endTimeout):
			allEnded = false
		}
	}
	r.notef("%d processes were started, all have ended: %v", len(processes), allEnded)
	return allEnded
}

// do runs the project's program to its end, with input on its standard input.
func (r *run) do(input string, arguments ...string) (string, error) {
	ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, r.binary, arguments...)
	cmd.Stdin = strings.NewReader(input)
	var output, errorOutput strings.Builder
	cmd.Stdout, cmd.Stderr = &output, &errorOutput
	err := cmd.Run()
	r.notef("ran merlinhitch %s: %v", strings.Join(arguments, " "), err)
	if err != nil {
		return "", fmt.Errorf("merlinhitch %s: %w: %s", arguments[0], err, errorOutput.String())
	}
	return output.String(), nil
}

// usedPorts are the ports that freeAddress has given out.
var usedPorts = map[string]bool{}

// listenerHost is the loopback address of this run's listeners. No connection of other programs begins there,
// so that a port stays free until its program has it.
var listenerHost = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>14&63, os.Getpid()>>7&127, 1+os.Getpid()&127)

// freeAddress returns a loopback address at which nobody listens.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", listenerHost+":0")
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		listener.Close()
		if !usedPorts[address] {
			usedPorts[address] = true
			return address, nil
		}
	}
}

// awaitListening waits until connections to the address are accepted.
func awaitListening(address string) error {
	deadline := time.Now().Add(startTimeout)
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("nobody listens at %s: %w", address, err)
		}
		time.Sleep(pollInterval)
	}
}

var cases = map[string]func(*run) (broken string, err error){"stop": playStop, "copy": playCopy}

func main() { os.Exit(play()) }

// play plays the case that the first argument names, with the record in the folder of the second.
func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER")
		return statusNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], recordFileName))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer os.RemoveAll(folder)
	r := &run{trouble: os.Getenv("TROUBLE") != "0", binary: filepath.Join("bin", "merlinhitch"), folder: folder, started: time.Now(), record: bufio.NewWriter(file)}
	defer r.record.Flush()
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.notef("case %s, trouble: %v", os.Args[1], r.trouble)
	r.endOnSignal()
	broken, err := cases[os.Args[1]](r)
	if name := r.endedEarly(); err == nil && name != "" {
		err = errors.New(name + " has ended by itself")
	}
	if !r.endAll() && err == nil {
		err = errors.New("a process has not ended")
	}
	r.copyLogs()
	switch {
	case err != nil:
		r.notef("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return statusNotRun
	case broken != "":
		r.notef("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return statusBroken
	}
	r.notef("HELD")
	fmt.Println("held")
	return statusHeld
}

// endOnSignal ends the run, its processes and its folder where it is told to end or takes too long.
func (r *run) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseTimeout):
		}
		r.endAll()
		os.RemoveAll(r.folder)
		fmt.Println("not run: ended from outside, or after", caseTimeout)
		os.Exit(statusNotRun)
	}()
}

// copyLogs appends what the processes have logged to the record.
func (r *run) copyLogs() {
	for _, p := range r.processes {
		file, err := os.Open(filepath.Join(r.folder, p.name+".log"))
		if err != nil {
			continue
		}
		fmt.Fprintf(r.record, "--- log of %s\n", p.name)
		io.Copy(r.record, io.LimitReader(file, 64<<10))
		file.Close()
	}
}
