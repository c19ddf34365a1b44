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

// Options are the parameters of a run.
type Options struct {
	Command             Command
	Seed                uint64
	Schedulers          int
	Servers             int
	Rate                float64       // requests per second to each scheduler
	Duration            time.Duration // of the client traffic
	CoreShare           float64       // of a core, for each scheduler; 1: not throttled
	MeanServiceTime     time.Duration // of a request at a disk server
	HostSlack           time.Duration // see Rules
	MemoryMB            int
	Sockets             int
	AbandonProbability  float64 // see Clients
	PipelineProbability float64 // see Clients
	LimitedFraction     float64 // of the requests, to volumes with a rate limit
	FullListPerWatch    bool    // every discovery watch starts with the full list
	IndentedJSON        bool
	// One of so many responses of disk servers is faulty, each kind in turn; 0: none.
	FaultyResponseInterval int
	ResponseBytes          int            // size of a sound response's body; 0: the request's id
	Hostile                []HostileGroup // hostile clients of each scheduler
	AnswerDelay            time.Duration  // of discovery's answers, see DiscoveryFault; 0: it is sound
	CheckMemory            bool           // that a scheduler's resident memory stays under MemoryMB
}

// DefaultOptions returns the default options; Command is not set.
func DefaultOptions() Options {
	return Options{Seed: 1, Schedulers: 3, Servers: 40, Rate: 60, Duration: 15 * time.Second, CoreShare: 1, MeanServiceTime: 15 * time.Millisecond,
		HostSlack: 150 * time.Millisecond, MemoryMB: 96, Sockets: 512, AbandonProbability: 0.05, PipelineProbability: 0.05, LimitedFraction: 0.4, FaultyResponseInterval: 15}
}

// Validate returns an error for the first option that is out of range.
func (o Options) Validate() error {
	for _, check := range []struct {
		name      string
		value     float64
		low, high float64
	}{
		{"schedulers", float64(o.Schedulers), 1, 200}, {"servers", float64(o.Servers), 1, 5000},
		{"rate", o.Rate, 0.1, 2000}, {"lasts", o.Duration.Seconds(), 1, 3600}, {"share", o.CoreShare, 0.01, 1},
		{"memory", float64(o.MemoryMB), 16, 4096}, {"sockets", float64(o.Sockets), 32, 16384}, {"abandon probability", o.AbandonProbability, 0, 1}, {"pipeline probability", o.PipelineProbability, 0, 1}, {"limited fraction", o.LimitedFraction, 0, 1},
		{"faulty response interval", float64(o.FaultyResponseInterval), 0, 1e6}, {"response bytes", float64(o.ResponseBytes), 0, 1 << 20},
	} {
		if !(check.value >= check.low && check.value <= check.high) {
			return fmt.Errorf("%s is %g, must be from %g to %g", check.name, check.value, check.low, check.high)
		}
	}
	return nil
}

// Fault is a fault that is injected at a time since the start of the traffic.
type Fault struct {
	At     time.Duration
	Name   string
	Inject func(*Run)
}

// Run is one soak run.
type Run struct {
	Options   Options
	Record    *Record
	Servers   *Servers
	Directory *Directory
	Rand      *rand.Rand // for faults, one at a time

	dir           string
	agents        []*Agent // by scheduler, the one that it is connected to; under mu
	addresses     []string
	clients       []*Clients
	retiredAgents []*Agent
	stopThrottles chan struct{} // closed to end the throttling
	tasks         sync.WaitGroup

	mu        sync.Mutex
	processes []*Process
	events    []string
	err       error // last error that kept a fault from being injected
}

// Execute starts all parts, sends traffic while the faults are injected, and checks the record.
// It returns an error if a part does not start or a fault cannot be injected.
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
	if r.Servers, err = StartServers(options, r.Record); err != nil {
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
			requestRate: options.Rate, abandonProbability: options.AbandonProbability, pipelineProbability: options.PipelineProbability, limitedFraction: options.LimitedFraction, rng: rand.New(rand.NewPCG(options.Seed, uint64(2+i))), idPrefix: fmt.Sprintf("%06x", i)})
	}
	for i := range options.Schedulers {
		if err := r.StartScheduler(i); err != nil {
			return err
		}
	}
	return nil
}

// baseListenPort is the listening port of scheduler 0.
const baseListenPort = 18000

// schedulerAddress returns the address on which a scheduler listens. Its loopback host is derived
// from this process's id, so that no outgoing connection takes the port while the scheduler is
// down.
func schedulerAddress(i int) string {
	const octetValues = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%octetValues, pid/octetValues%octetValues, 1+pid/octetValues/octetValues%octetValues, baseListenPort+i)
}

// StartScheduler starts the process of a scheduler, always with the same address.
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

// Process returns the present process of a scheduler.
func (r *Run) Process(i int) *Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.processes[i]
}

// Agent returns the discovery agent that a scheduler is connected to.
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

// recordError records that a fault could not be injected.
func (r *Run) recordError(err error) {
	if err != nil {
		r.mu.Lock()
		r.err = err
		r.mu.Unlock()
	}
}

// dialAfterSigterm is how long after SIGTERM clients still open connections to a scheduler.
const dialAfterSigterm = 300 * time.Millisecond

// MoveDiscovery starts a new discovery agent for a scheduler, points it there by a reload of its
// configuration (SIGHUP) and takes the previous agent down.
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

// Pause stops a scheduler's process for a time (SIGSTOP, SIGCONT).
func (r *Run) Pause(i int, duration time.Duration) {
	process := r.Process(i)
	process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.Signal(syscall.SIGCONT)
}

// HoldIdleConnections opens count connections to a scheduler and closes them after duration
// without sending anything.
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

// Restart stops a scheduler with SIGTERM as the platform does, and starts it again.
func (r *Run) Restart(i int) error {
	timer := time.AfterFunc(dialAfterSigterm, r.clients[i].StopDialling)
	r.Process(i).Stop(stopGrace())
	timer.Stop()
	r.clients[i].StopDialling()
	err := r.StartScheduler(i)
	r.clients[i].ResumeDialling()
	return err
}

// KillAndRestart kills a scheduler with SIGKILL and starts it again.
func (r *Run) KillAndRestart(i int) error {
	r.clients[i].StopDialling()
	r.Process(i).Kill()
	err := r.StartScheduler(i)
	r.clients[i].ResumeDialling()
	return err
}

// AddEvent adds a line, with the time of the run, to the events of a run.
func (r *Run) AddEvent(format string, args ...any) {
	line := fmt.Sprintf("%.3f ", r.Record.Now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, line)
}

// Events returns the events so far.
func (r *Run) Events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.events...)
}

// runTraffic runs the clients and injects each fault on its own goroutine.
func (r *Run) runTraffic(faults []Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Options.Duration)
	defer cancel()
	var tasks sync.WaitGroup
	for i, clients := range r.clients {
		tasks.Go(func() { clients.Run(ctx) })
		hostile := &hostileClients{clients: clients, record: r.Record, address: clients.address, shards: r.Options.Servers}
		tasks.Go(func() { hostile.run(ctx, r.Options.Hostile, r.Options.Seed+uint64(i)) })
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

// stopSchedulers stops all schedulers at once as in a planned stop.
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
