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
	Command    Command
	Seed       uint64
	Schedulers int
	Servers    int
	Rate       float64       // requests a second at each scheduler
	Lasts      time.Duration // of the traffic
	Share      float64       // of a core that each scheduler has; 1: it is not held up
	Service    time.Duration // mean time of a request at a disk server
	Slack      time.Duration // see Terms
	MemoryMB   int
	Sockets    int
	Leaves     float64 // part of the clients that leave before their answer
	Together   float64 // part of the sendings that are of several requests at once
	WholeLists bool    // each watch begins with the whole list
	Indented   bool
}

// Defaults are what Options are where nothing else is asked for.
func Defaults() Options {
	return Options{Seed: 1, Schedulers: 3, Servers: 40, Rate: 60, Lasts: 15 * time.Second, Share: 1, Service: 15 * time.Millisecond,
		Slack: 150 * time.Millisecond, MemoryMB: 96, Sockets: 512, Leaves: 0.05, Together: 0.05}
}

// Check names what is out of range.
func (o Options) Check() error {
	for _, c := range []struct {
		name      string
		value     float64
		low, high float64
	}{
		{"schedulers", float64(o.Schedulers), 1, 200}, {"servers", float64(o.Servers), 1, 5000},
		{"rate", o.Rate, 0.1, 2000}, {"lasts", o.Lasts.Seconds(), 1, 3600}, {"share", o.Share, 0.01, 1},
		{"memory", float64(o.MemoryMB), 16, 4096}, {"sockets", float64(o.Sockets), 32, 16384}, {"leaves", o.Leaves, 0, 1}, {"together", o.Together, 0, 1},
	} {
		if !(c.value >= c.low && c.value <= c.high) {
			return fmt.Errorf("%s is %g; it goes from %g to %g", c.name, c.value, c.low, c.high)
		}
	}
	return nil
}

// Fault is something that befalls a run at a time of its traffic.
type Fault struct {
	At   time.Duration
	Name string
	Do   func(*Run)
}

// Run is a run under way.
type Run struct {
	Options   Options
	Record    *Record
	Servers   *Servers
	Directory *Directory
	Rand      *rand.Rand // of the faults; one fault at a time uses it

	folder    string
	agents    []*Agent // by scheduler, the one that it follows; under mu
	addresses []string
	clients   []*Clients
	retired   []*Agent
	stop      chan struct{} // of the throttles
	tasks     sync.WaitGroup

	mu        sync.Mutex
	processes []*Process
	events    []string
	fault     error // that kept the run from being played
}

// Play starts all parts, sends traffic while the faults come, and judges what passed. The
// error says what could not be played.
func Play(o Options, faults []Fault) (*Run, []Broken, error) {
	if err := o.Check(); err != nil {
		return nil, nil, err
	}
	r := &Run{Options: o, Record: NewRecord(), stop: make(chan struct{}), Rand: rand.New(rand.NewPCG(o.Seed, 1))}
	var err error
	if r.folder, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, nil, err
	}
	defer os.RemoveAll(r.folder)
	defer r.close()
	if err := r.start(); err != nil {
		return nil, nil, err
	}
	r.traffic(faults)
	r.endAll()
	if r.fault != nil {
		return r, nil, r.fault
	}
	return r, o.Terms().Judge(r.Record), nil
}

func (r *Run) start() error {
	o := r.Options
	var err error
	if r.Servers, err = StartServers(o.Servers, o.Service, r.Record); err != nil {
		return err
	}
	r.Directory = NewDirectory(r.Servers)
	r.processes = make([]*Process, o.Schedulers)
	for i := range o.Schedulers {
		a, err := StartAgent(r.Directory, i, o.WholeLists, o.Indented, r.Record)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
		address := schedulerAddress(i)
		r.addresses = append(r.addresses, address)
		r.clients = append(r.clients, &Clients{record: r.Record, scheduler: i, address: address, classes: classes, shards: o.Servers,
			rate: o.Rate, leaves: o.Leaves, together: o.Together, rng: rand.New(rand.NewPCG(o.Seed, uint64(2+i))), prefix: fmt.Sprintf("%06x", i)})
	}
	for i := range o.Schedulers {
		if err := r.StartScheduler(i); err != nil {
			return err
		}
	}
	return nil
}

// firstPort is the first scheduler's.
const firstPort = 18000

// schedulerAddress is a scheduler's. Its host is one of loopback's that only this process
// uses, so that no connection on its way out has the port, also while the scheduler is down.
func schedulerAddress(i int) string {
	const others = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%others, pid/others%others, 1+pid/others/others%others, firstPort+i)
}

// StartScheduler starts a scheduler's process, under its own address.
func (r *Run) StartScheduler(i int) error {
	config := r.Options.config(i, r.addresses[i], r.Agent(i).Address(), r.Agent(i).Whole())
	p, err := StartProcess(r.Options.Command, i, r.folder, config, r.Record)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.processes[i] = p
	r.mu.Unlock()
	if r.Options.Share < 1 {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			p.Throttle(r.Options.Share, r.stop)
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

func (r *Run) following() []*Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Agent(nil), r.agents...)
}

// must notes what kept a fault from being played.
func (r *Run) must(err error) {
	if err != nil {
		r.mu.Lock()
		r.fault = err
		r.mu.Unlock()
	}
}

// stillOpens is how long clients open new connections to a scheduler that was told to end.
const stillOpens = 300 * time.Millisecond

// MoveDiscovery sends a scheduler to another discovery with a new configuration.
func (r *Run) MoveDiscovery(i int) error {
	old := r.Agent(i)
	next, err := StartAgent(r.Directory, i, r.Options.WholeLists, r.Options.Indented, r.Record)
	if err != nil {
		return err
	}
	next.Follow(old)
	r.mu.Lock()
	r.agents[i] = next
	r.retired = append(r.retired, old)
	r.mu.Unlock()
	config := r.Options.config(i, r.addresses[i], next.Address(), next.Whole())
	if err := os.WriteFile(r.Process(i).file, config, 0o600); err != nil {
		return err
	}
	r.Process(i).Signal(syscall.SIGHUP)
	old.SetDown(true)
	return nil
}

// Stall holds a scheduler's process up for a time.
func (r *Run) Stall(i int, lasts time.Duration) {
	p := r.Process(i)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	p.Signal(syscall.SIGCONT)
}

// Crowd opens so many connections to a scheduler that say nothing, for a time.
func (r *Run) Crowd(i, n int, lasts time.Duration) {
	var idle []net.Conn
	for range n {
		if c, err := net.DialTimeout("tcp", r.addresses[i], 100*time.Millisecond); err == nil {
			idle = append(idle, c)
		}
	}
	time.Sleep(lasts)
	for _, c := range idle {
		c.Close()
	}
}

// Restart tells a scheduler to end as the platform does, and starts it again.
func (r *Run) Restart(i int) error {
	timer := time.AfterFunc(stillOpens, r.clients[i].StayOnOpen)
	r.Process(i).Stop(stopGrace())
	timer.Stop()
	r.clients[i].StayOnOpen()
	err := r.StartScheduler(i)
	r.clients[i].Reopen()
	return err
}

// KillAndStart ends a scheduler without a word and starts it again.
func (r *Run) KillAndStart(i int) error {
	r.clients[i].StayOnOpen()
	r.Process(i).Kill()
	err := r.StartScheduler(i)
	r.clients[i].Reopen()
	return err
}

// Note keeps a line of what befell the run.
func (r *Run) Note(form string, args ...any) {
	line := fmt.Sprintf("%.3f ", r.Record.Now().Seconds()) + fmt.Sprintf(form, args...)
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

// traffic has the clients send while the faults come, each on a goroutine of its own.
func (r *Run) traffic(faults []Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Options.Lasts)
	defer cancel()
	var tasks sync.WaitGroup
	for _, c := range r.clients {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			c.Run(ctx)
		}()
	}
	for _, f := range faults {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			select {
			case <-ctx.Done():
			case <-time.After(f.At):
				r.Note("%s", f.Name)
				f.Do(r)
			}
		}()
	}
	tasks.Wait()
}

// endAll ends the schedulers as a planned stop does.
func (r *Run) endAll() {
	r.mu.Lock()
	all := append([]*Process(nil), r.processes...)
	r.mu.Unlock()
	var tasks sync.WaitGroup
	for _, p := range all {
		tasks.Add(1)
		go func() {
			defer tasks.Done()
			p.Stop(stopGrace())
		}()
	}
	tasks.Wait()
}

func (r *Run) close() {
	close(r.stop)
	r.tasks.Wait()
	for _, p := range r.processes {
		if p != nil {
			p.cmd.Process.Signal(syscall.SIGCONT)
			p.Kill()
		}
	}
	for _, a := range append(r.retired, r.agents...) {
		a.Close()
	}
	if r.Servers != nil {
		r.Servers.Close()
	}
}
