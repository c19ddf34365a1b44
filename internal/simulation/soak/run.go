package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Options say what a run is made of.
type Options struct {
	Command             Command
	Seed                uint64
	Schedulers          int
	Servers             int
	Rate                float64       // requests a second at each scheduler
	Duration            time.Duration // of the traffic
	CoreShare           float64       // of a core that each scheduler has; 1: it is not held up
	MeanServiceTime     time.Duration // mean time of a request at a disk server
	HostSlack           time.Duration // see Terms
	MemoryMB            int
	Sockets             int
	AbandonProbability  float64 // part of the clients that leave before their answer
	PipelineProbability float64 // part of the sendings that are of several requests at once
	FullListPerWatch    bool    // each watch begins with the whole list
	IndentedJSON        bool
}

// DefaultOptions are what Options are where nothing else is asked for.
func DefaultOptions() Options {
	return Options{Seed: 1, Schedulers: 3, Servers: 40, Rate: 60, Duration: 15 * time.Second, CoreShare: 1, MeanServiceTime: 15 * time.Millisecond,
		HostSlack: 150 * time.Millisecond, MemoryMB: 96, Sockets: 512, AbandonProbability: 0.05, PipelineProbability: 0.05}
}

// Validate names what is out of range.
func (o Options) Validate() error {
	for _, check := range []struct {
		name      string
		value     float64
		low, high float64
	}{
		{"schedulers", float64(o.Schedulers), 1, 200}, {"servers", float64(o.Servers), 1, 5000},
		{"rate", o.Rate, 0.1, 2000}, {"lasts", o.Duration.Seconds(), 1, 3600}, {"share", o.CoreShare, 0.01, 1},
		{"memory", float64(o.MemoryMB), 16, 4096}, {"sockets", float64(o.Sockets), 32, 16384}, {"leaves", o.AbandonProbability, 0, 1}, {"together", o.PipelineProbability, 0, 1},
	} {
		if !(check.value >= check.low && check.value <= check.high) {
			return fmt.Errorf("%s is %g; it goes from %g to %g", check.name, check.value, check.low, check.high)
		}
	}
	return nil
}

// Fault is something that befalls a run at a time of its traffic.
type Fault struct {
	At     time.Duration
	Name   string
	Inject func(*Run)
}

// Run is a run under way.
type Run struct {
	Options   Options
	Record    *Record
	Servers   *Servers
	Directory *Directory
	Rand      *rand.Rand // of the faults; one fault at a time uses it

	dir           string
	agents        []*Agent // by scheduler, the one that it follows; under mu
	addresses     []string
	clients       []*Clients
	retiredAgents []*Agent
	stopThrottles chan struct{} // of the throttles
	tasks         sync.WaitGroup

	mu        sync.Mutex
	processes []*Process
	events    []string
	err       error // that kept the run from being played
}

// Execute starts all parts, sends traffic while the faults come, and judges what passed. The
// error says what could not be played.
func Execute(options Options, faults []Fault) (*Run, []Violation, error) {
	if err := options.Validate(); err != nil {
		return nil, nil, err
	}
	run := &Run{Options: options, Record: NewRecord(), stopThrottles: make(chan struct{}), Rand: rand.New(rand.NewPCG(options.Seed, 1))}
	var err error
	if run.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(run.dir)
	defer run.close()
	if err := run.start(); err != nil {
		return nil, nil, err
	}
	run.runTraffic(faults)
	run.stopSchedulers()
	if run.err != nil {
		return run, nil, run.err
	}
	return run, options.Rules().Check(run.Record), nil
}

func (r *Run) start() error {
	options := r.Options
	var err error
	if r.Servers, err = StartServers(options.Servers, options.MeanServiceTime, r.Record); err != nil {
		return err
	}
	r.Directory = NewDirectory(r.Servers)
	r.processes = make([]*Process, options.Schedulers)
	for i := range options.Schedulers {
		agent, err := StartAgent(r.Directory, i, options.FullListPerWatch, options.IndentedJSON, r.Record)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, agent)
		address := schedulerAddress(i)
		r.addresses = append(r.addresses, address)
		r.clients = append(r.clients, &Clients{record: r.Record, scheduler: i, address: address, classes: classes, shards: options.Servers,
			requestRate: options.Rate, abandonProbability: options.AbandonProbability, pipelineProbability: options.PipelineProbability, rng: rand.New(rand.NewPCG(options.Seed, uint64(2+i))), idPrefix: fmt.Sprintf("%06x", i)})
	}
	for i := range options.Schedulers {
		if err := r.StartScheduler(i); err != nil {
			return err
		}
	}
	return nil
}

// baseListenPort is the first scheduler's.
const baseListenPort = 18000

// schedulerAddress is a scheduler's. Its host is one of loopback's that only this process
// uses, so that no connection on its way out has the port, also while the scheduler is down.
func schedulerAddress(i int) string {
	const octetValues = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%octetValues, pid/octetValues%octetValues, 1+pid/octetValues/octetValues%octetValues, baseListenPort+i)
}

// StartScheduler starts a scheduler's process, under its own address.
func (r *Run) StartScheduler(i int) error {
	config := r.Options.schedulerConfig(i, r.addresses[i], r.Agent(i).Address(), r.Agent(i).FullListJSON())
	process, err := StartProcess(r.Options.Command, i, r.dir, config, r.Record)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes[i] = process
	r.mu.Unlock()
	if r.Options.CoreShare < 1 {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			process.Throttle(r.Options.CoreShare, r.stopThrottles)
		}()
	}
	return nil
}

// Process is a scheduler's process as it is now.
func (r *Run) Process(i int) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// Agent is the discovery that a scheduler follows.
func (r *Run) Agent(i int) *Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.agents[i]
}

func (r *Run) currentAgents() []*Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Agent(nil), r.agents...)
}

// recordError notes what kept a fault from being played.
func (r *Run) recordError(err error) {
	if err != nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
}

// dialAfterSigterm is how long clients open new connections to a scheduler that was told to end.
const dialAfterSigterm = 300 * time.Millisecond

// MoveDiscovery sends a scheduler to another discovery with a new configuration.
func (r *Run) MoveDiscovery(i int) error {
	previous := r.Agent(i)
	next, err := StartAgent(r.Directory, i, r.Options.FullListPerWatch, r.Options.IndentedJSON, r.Record)
	if err != nil {
		return err
	}
	next.TakeOver(previous)
	r.mu.Lock()
	r.agents[i] = next
	r.retiredAgents = append(r.retiredAgents, previous)
	r.mu.Unlock()
	config := r.Options.schedulerConfig(i, r.addresses[i], next.Address(), next.FullListJSON())
	if err := os.WriteFile(r.Process(i).configFile, config, 0o600); err != nil {
		return err
	}
	r.Process(i).Signal(syscall.SIGHUP)
	previous.SetDown(true)
	return nil
}

// Pause holds a scheduler's process up for a time.
func (r *Run) Pause(i int, duration time.Duration) {
	process := r.Process(i)
	process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.Signal(syscall.SIGCONT)
}

// HoldIdleConnections opens so many connections to a scheduler that say nothing, for a time.
func (r *Run) HoldIdleConnections(i, count int, duration time.Duration) {
	var conns []net.Conn
	for range count {
		if conn, err := net.DialTimeout("tcp", r.addresses[i], 100*time.Millisecond); err == nil {
			conns = append(conns, conn)
		}
	}
	time.Sleep(duration)
	for _, conn := range conns {
		conn.Close()
	}
}

// Restart tells a scheduler to end as the platform does, and starts it again.
func (r *Run) Restart(i int) error {
	timer := time.AfterFunc(dialAfterSigterm, r.clients[i].StopDialling)
	r.Process(i).Stop(stopGrace())
	timer.Stop()
	r.clients[i].StopDialling()
	err := r.StartScheduler(i)
	r.clients[i].ResumeDialling()
	return err
}

// KillAndRestart ends a scheduler without a word and starts it again.
func (r *Run) KillAndRestart(i int) error {
	r.clients[i].StopDialling()
	r.Process(i).Kill()
	err := r.StartScheduler(i)
	r.clients[i].ResumeDialling()
	return err
}

// AddEvent keeps a line of what befell the run.
func (r *Run) AddEvent(format string, args ...any) {
	line := fmt.Sprintf("%.3f ", r.Record.Now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
}

// Events are the lines kept so far.
func (r *Run) Events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

// runTraffic has the clients send while the faults come, each on a goroutine of its own.
func (r *Run) runTraffic(faults []Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Options.Duration)
	defer cancel()
	var tasks sync.WaitGroup
	for _, clients := range r.clients {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			clients.Run(ctx)
		}()
	}
	for _, fault := range faults {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			select {
			case <-ctx.Done():
			case <-time.After(fault.At):
				r.AddEvent("%s", fault.Name)
				fault.Inject(r)
			}
		}()
	}
	tasks.Wait()
}

// stopSchedulers ends the schedulers as a planned stop does.
func (r *Run) stopSchedulers() {
	r.mu.Lock()
	processes := append([]*Process(nil), r.processes...)
	r.mu.Unlock()
	var tasks sync.WaitGroup
	for _, process := range processes {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			process.Stop(stopGrace())
		}()
	}
	tasks.Wait()
}

func (r *Run) close() {
	close(r.stopThrottles)
	r.tasks.Wait()
	for _, process := range r.processes {
		if process != nil {
			process.cmd.Process.Signal(syscall.SIGCONT)
			process.Kill()
		}
	}
	for _, agent := range append(r.retiredAgents, r.agents...) {
		agent.Close()
	}
	if r.Servers != nil {
		r.Servers.Close()
	}
}
