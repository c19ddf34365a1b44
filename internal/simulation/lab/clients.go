package lab

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/initiator"
	"merlinhitch/internal/protocol/iscsi"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/runtime/env"
)

// clientPath is one client's session with one volume through one host. It logs in again after
// the connection was lost.
type clientPath struct {
	clients *Clients
	volume  *settings.Volume
	host    int
	isid    byte

	mu                  sync.Mutex
	client              *initiator.Client
	dialing             bool
	retryAt             time.Duration
	consecutiveFailures int           // commands in a row that did not end with GOOD
	avoidUntil          time.Duration // other paths are preferred until then
}

// ClientBehaviour is the current load and error handling of the clients. The zero value is the
// default.
type ClientBehaviour struct {
	RateFactor         float64 // multiple of the default rate; 0 means 1
	BurstPlan          string  // plan whose volumes have BurstFactor times their weight; the total rate stays
	BurstFactor        float64 // 0: no burst
	HotVolumes         []int   // volumes that get HotShare of all commands
	HotShare           float64
	AbusePlan          string  // plan whose clients abort early and retry immediately
	AbuseAbortFraction float64 // fraction of the latency target after which they abort
	AbuseMaxRetries    int
	AbandonShare       float64 // share of all commands that clients abandon early
	PreferLastHost     bool    // clients prefer the last path to a volume over the first
}

// Clients are the clients of a fleet: an open-loop load generator with one session per volume and
// host.
type Clients struct {
	fleet   *Fleet
	history *BlockHistory
	paths   [][]*clientPath // by volume, in order of preference

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour ClientBehaviour

	// choosePath, if set, selects the path to a volume; nil if no host is reachable.
	choosePath func(volume int) *clientPath

	Submitted atomic.Int64
	Completed atomic.Int64
	// Unrouted counts commands for which there was no session, UnroutedValue sums the values of
	// their classes. Unanswered counts commands whose connection was lost before the response.
	Unrouted, Unanswered atomic.Int64
	UnroutedValue        float64
	inFlight             env.WaitGroup
	stopping             atomic.Bool
	maxEffectDelay       time.Duration
}

// NewClients returns the clients of f; each path logs in with its first command.
func NewClients(f *Fleet, seed uint64) *Clients {
	c := &Clients{fleet: f, history: NewBlockHistory(), rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range f.Settings.Volumes {
		volume := &f.Settings.Volumes[i]
		var paths []*clientPath
		for priority, host := range volume.Hosts {
			paths = append(paths, &clientPath{clients: c, volume: volume, host: host, isid: byte(priority)})
		}
		c.paths = append(c.paths, paths)
	}
	return c
}

// ChangeBehaviour calls change with the clients' behaviour under the lock.
func (c *Clients) ChangeBehaviour(change func(*ClientBehaviour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.behaviour)
}

const redialInterval = 150 * time.Millisecond

// session returns the path's session and logs in if there is none. It returns nil if no session is
// available now.
func (path *clientPath) session() *initiator.Client {
	path.mu.Lock()
	environment := path.clients.fleet.Environment
	if path.client != nil || path.dialing || environment.Now() < path.retryAt {
		defer path.mu.Unlock()
		return path.client
	}
	path.dialing = true
	path.mu.Unlock()
	var client *initiator.Client
	err := context.Canceled
	if addr := path.clients.fleet.HostAddr(path.host); addr != "" {
		client, err = initiator.Dial(context.Background(), initiator.Config{Environment: environment, Addr: addr,
			Name: "iqn.2026-11.example.client:" + path.volume.Name, Target: path.clients.fleet.Settings.TargetName(path.volume),
			ISID: iscsi.ISID{0x80, 0, 0, 0, 0, path.isid}, Params: initiator.DefaultParams(), LoginTime: 2 * time.Second})
	}
	path.mu.Lock()
	defer path.mu.Unlock()
	path.dialing = false
	if err != nil {
		path.retryAt = environment.Now() + redialInterval
		return nil
	}
	path.client = client
	return client
}

// dropSession removes a session that has ended.
func (path *clientPath) dropSession(client *initiator.Client) {
	path.mu.Lock()
	defer path.mu.Unlock()
	if path.client == client {
		path.client, path.retryAt = nil, path.clients.fleet.Environment.Now()+redialInterval
	}
}

// Login opens all sessions, so that a run does not begin with a burst of logins.
func (c *Clients) Login() {
	var logins env.WaitGroup
	for _, paths := range c.paths {
		for _, path := range paths {
			logins.Go(c.fleet.Environment, func() { path.session() })
		}
	}
	logins.Wait(c.fleet.Environment)
}

// clientCommand is a command of a client, with its path and number of retries.
type clientCommand struct {
	volume      *settings.Volume
	path        *clientPath // nil: no host is reachable
	op          scsi.Op
	lba         uint64
	blocks      uint32
	retries     int
	expected    []byte        // data that COMPARE AND WRITE compares with
	abandon     time.Duration // not 0: the client abandons the command early
	abandonMode int           // 0: by ABORT TASK, 1: by closing the connection
}

// class returns the request class of the command, or nil if none matches.
func (command *clientCommand) class(config *settings.Settings) *settings.Class {
	return config.Class(command.op, int(command.blocks)*command.volume.BlockSize, command.volume.Plan)
}

// hotBlocks is the number of blocks at the start of each volume that most commands address, so that
// disk servers' caches are hit.
const hotBlocks = 256

// drawCommand draws the next command. Requires c.mu.
func (c *Clients) drawCommand() clientCommand {
	behaviour := &c.behaviour
	index := 0
	if len(behaviour.HotVolumes) > 0 && c.rng.Float64() < behaviour.HotShare {
		index = behaviour.HotVolumes[c.rng.IntN(len(behaviour.HotVolumes))]
	} else {
		index = c.drawVolume()
	}
	paths := c.paths[index]
	host := 0
	if behaviour.PreferLastHost {
		host = len(paths) - 1
	}
	if len(paths) > 1 && c.rng.Float64() > 0.7 {
		host = c.rng.IntN(len(paths))
	}
	volume := &c.fleet.Settings.Volumes[index]
	command := clientCommand{volume: volume, path: paths[host], op: scsi.Read, blocks: uint32(1 + c.rng.IntN(4))}
	switch kind := c.rng.Float64(); {
	case kind < 0.50:
	case kind < 0.78:
		command.op = scsi.Write
	case kind < 0.93:
		command.blocks = uint32(18 + c.rng.IntN(30)) // a bulk read, often across two shards
	case kind < 0.96:
		command.op, command.blocks = scsi.Write, uint32(8+c.rng.IntN(32)) // across extents
	case kind < 0.98:
		command.op, command.blocks = scsi.WriteSame, uint32(1+c.rng.IntN(8))
	default:
		command.op, command.blocks = scsi.CompareAndWrite, 1
	}
	if c.choosePath != nil {
		command.path = c.choosePath(index)
	}
	blocks := uint64(hotBlocks)
	if c.rng.Float64() < 0.2 {
		blocks = volume.Blocks
	}
	command.lba = c.rng.Uint64N(blocks - uint64(command.blocks))
	if volume.Plan == behaviour.AbusePlan {
		command.abandon = 1
	}
	if c.rng.Float64() < behaviour.AbandonShare {
		command.abandon, command.abandonMode = 1, c.rng.IntN(4)/3
	}
	return command
}

// drawVolume draws a volume, weighted by rate. Requires c.mu.
func (c *Clients) drawVolume() int {
	config := c.fleet.Settings
	weight := func(volume *settings.Volume) float64 {
		if c.behaviour.BurstFactor > 0 && c.behaviour.BurstPlan == volume.Plan {
			return config.RateOf(volume) * c.behaviour.BurstFactor
		}
		return config.RateOf(volume)
	}
	total := 0.0
	for i := range config.Volumes {
		total += weight(&config.Volumes[i])
	}
	remaining := c.rng.Float64() * total
	for i := range config.Volumes {
		if remaining -= weight(&config.Volumes[i]); remaining < 0 {
			return i
		}
	}
	return len(config.Volumes) - 1
}

// Run issues commands at the given mean rate per second in an open loop: a slow service does not
// reduce the load.
func (c *Clients) Run(ctx context.Context, commands int, rate float64) {
	next := c.fleet.Environment.Now()
	for sent := 0; sent < commands; sent++ {
		c.mu.Lock()
		command := c.drawCommand()
		factor := c.behaviour.RateFactor
		if factor == 0 {
			factor = 1
		}
		next += time.Duration(c.rng.ExpFloat64() / (rate * factor) * float64(time.Second))
		c.mu.Unlock()
		if wait := next - c.fleet.Environment.Now(); wait > 0 {
			if !env.SleepContext(ctx, c.fleet.Environment, wait) {
				return
			}
		}
		c.inFlight.Go(c.fleet.Environment, func() { c.execute(command) })
	}
}

// Wait waits for the end of all commands and their retries.
func (c *Clients) Wait() { c.inFlight.Wait(c.fleet.Environment) }

// Close closes all sessions and suppresses further retries.
func (c *Clients) Close() {
	c.stopping.Store(true)
	for _, paths := range c.paths {
		for _, path := range paths {
			path.mu.Lock()
			client := path.client
			path.mu.Unlock()
			if client != nil {
				client.Close()
			}
		}
	}
}

// execute runs one command to its end.
func (c *Clients) execute(command clientCommand) {
	var client *initiator.Client
	if command.path != nil {
		client = command.path.session()
	}
	if client == nil { // no session available
		c.Unrouted.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		if class := command.class(c.fleet.Settings); class != nil {
			c.UnroutedValue += class.Value
		}
		return
	}
	if command.op == scsi.CompareAndWrite {
		c.compareAndWrite(client, command)
		return
	}
	c.submit(client, command, nil)
}

// submit sends one command, waits for its end and records it. onRead, if set, receives the data of
// a successful read.
func (c *Clients) submit(client *initiator.Client, command clientCommand, onRead func([]byte)) {
	environment, blockSize := c.fleet.Environment, command.path.volume.BlockSize
	dataLength := int(command.blocks) * blockSize
	begin := environment.Now()
	writeID := uint64(0)
	var cdb, dataOut []byte
	dataIn := 0
	switch command.op {
	case scsi.Read:
		cdb, dataIn = initiator.ReadCDB(command.lba, command.blocks), dataLength
	case scsi.Write:
		writeID = c.history.BeginWrite(command.path.volume.Name, command.lba, int(command.blocks), begin)
		cdb, dataOut = initiator.WriteCDB(command.lba, command.blocks), Stamp(writeID, dataLength)
	case scsi.WriteSame:
		writeID = c.history.BeginWrite(command.path.volume.Name, command.lba, int(command.blocks), begin)
		cdb, dataOut = initiator.WriteSameCDB(command.lba, command.blocks), Stamp(writeID, blockSize)
	case scsi.CompareAndWrite:
		writeID = c.history.BeginWrite(command.path.volume.Name, command.lba, int(command.blocks), begin)
		cdb, dataOut = initiator.CompareAndWriteCDB(command.lba, byte(command.blocks)), append(slices.Clone(command.expected), Stamp(writeID, dataLength)...)
	}
	c.Submitted.Add(1)
	completed := &completion{}
	handle := client.Submit(0, cdb, dataOut, dataIn, func(result iscsi.Result, err error) { completed.set(result, err) })
	abandoned := c.awaitCompletion(client, handle, completed, command)
	c.Completed.Add(1)
	c.finish(command, client, completed, writeID, begin, abandoned, onRead)
}

// completion is the result of a command at its client.
type completion struct {
	once   sync.Once
	done   env.Gate
	result iscsi.Result
	err    error
}

func (c *completion) set(result iscsi.Result, err error) {
	c.once.Do(func() { c.result, c.err = result, err; c.done.Open() })
}

// abandonment tells how a client abandoned a command before its end.
type abandonment int

const (
	notAbandoned     abandonment = iota
	abandonedUnsent              // abandoned before the command was sent
	abandonedAborted             // ABORT TASK was answered: no response follows
	abandonedClosed              // the connection was closed
)

// awaitCompletion waits for the end of a command, or abandons it early if the command says so.
func (c *Clients) awaitCompletion(client *initiator.Client, handle *initiator.Handle, completed *completion, command clientCommand) abandonment {
	if command.abandon == 0 {
		completed.done.Wait(c.fleet.Environment)
		return notAbandoned
	}
	c.mu.Lock()
	fraction := 0.3 + 0.5*c.rng.Float64()
	if command.path.volume.Plan == c.behaviour.AbusePlan {
		fraction = c.behaviour.AbuseAbortFraction
	}
	c.mu.Unlock()
	if !env.Sleep(c.fleet.Environment, env.Duration(command.class(c.fleet.Settings).LatencyTarget*fraction), &completed.done) {
		return notAbandoned
	}
	if command.abandonMode == 1 {
		command.path.dropSession(client)
		client.Close()
		completed.done.Wait(c.fleet.Environment)
		if completed.err == nil {
			return notAbandoned
		}
		return abandonedClosed
	}
	var answered env.Gate
	if !client.Abort(handle, func(byte) { answered.Open() }) {
		return abandonedUnsent
	}
	env.WaitAny(c.fleet.Environment, &answered, &completed.done, client.Done())
	switch {
	case answered.Opened():
		return abandonedAborted
	case completed.done.Opened(): // the response crossed the abort
		return notAbandoned
	}
	return abandonedClosed
}

// finish records the outcome of the command and retries it if its client would.
func (c *Clients) finish(command clientCommand, client *initiator.Client, completed *completion, writeID uint64, begin time.Duration, abandoned abandonment, onRead func([]byte)) {
	now := c.fleet.Environment.Now()
	command.path.recordResult(now, completed.err == nil && completed.result.Status == scsi.Good)
	outcome, retry := WriteIndeterminate, false
	effectBy := now
	sense, _ := scsi.ParseSense(completed.result.Sense)
	switch {
	case abandoned == abandonedUnsent:
		outcome = WriteNotApplied
	case abandoned == abandonedAborted:
	case abandoned == abandonedClosed || completed.err != nil:
		if abandoned == notAbandoned {
			c.Unanswered.Add(1)
		}
		// The command may still take effect until its deadline.
		command.path.dropSession(client)
		effectBy = begin + env.Duration(command.class(c.fleet.Settings).Deadline) + 100*time.Millisecond + c.maxEffectDelay
		retry = command.op == scsi.Read
	case completed.result.Status == scsi.Good:
		outcome = WriteAcked
		if command.op == scsi.Read {
			c.history.RecordRead(command.path.volume.Name, command.lba, completed.result.Data, command.path.volume.BlockSize, begin, now)
			if onRead != nil {
				onRead(completed.result.Data)
			}
		}
	case completed.result.Status == scsi.Busy:
		outcome, retry = WriteNotApplied, command.op != scsi.CompareAndWrite
	case sense == scsi.Miscompare:
		outcome = WriteNotApplied
	default:
		retry = command.op == scsi.Read
	}
	if writeID != 0 {
		c.history.EndWrite(writeID, outcome, effectBy)
	}
	if onRead == nil {
		c.retry(command, retry, abandoned, completed.result.Qualifier)
	}
}

// retry repeats a retryable command once, after the delay that the response advises. Clients of
// the abusive plan retry up to AbuseMaxRetries times, immediately.
func (c *Clients) retry(command clientCommand, retryable bool, abandoned abandonment, retryAfter uint16) {
	c.mu.Lock()
	abusive := command.path.volume.Plan == c.behaviour.AbusePlan
	maxRetries := c.behaviour.AbuseMaxRetries
	c.mu.Unlock()
	delay := 50*time.Millisecond + time.Duration(retryAfter)*100*time.Millisecond
	switch {
	case c.stopping.Load():
		return
	case abusive && command.retries < maxRetries && (retryable || abandoned != notAbandoned && command.op == scsi.Read):
		delay = 0
	case !retryable || command.retries >= 1 || abusive:
		return
	}
	command.retries++
	if !abusive {
		command.abandon = 0
	}
	c.inFlight.Add(1)
	c.fleet.Environment.AfterFunc(delay, func() {
		defer c.inFlight.Done()
		c.execute(command)
	})
}

// compareAndWrite reads the blocks and overwrites them if they are still unchanged.
func (c *Clients) compareAndWrite(client *initiator.Client, command clientCommand) {
	read := command
	read.op, read.abandon = scsi.Read, 0
	c.submit(client, read, func(data []byte) { command.expected = data })
	if command.expected != nil {
		command.abandon = 0
		c.submit(client, command, nil)
	}
}

// ReadBack reads every block that was written, through any running host of its volume, and retries
// until the timeout. It returns the number of blocks that could not be read.
func (c *Clients) ReadBack(ctx context.Context, timeout time.Duration) (unread int) {
	deadline := c.fleet.Environment.Now() + timeout
	type piece struct {
		volume int
		blockRange
	}
	var pending []piece
	written := c.history.WrittenBlocks()
	for i := range c.paths {
		for _, r := range mergeBlocks(written[c.fleet.Settings.Volumes[i].Name], 16) {
			pending = append(pending, piece{i, r})
		}
	}
	var mu sync.Mutex
	next := func() (p piece, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(pending) == 0 {
			return p, false
		}
		p, pending = pending[0], pending[1:]
		return p, true
	}
	var readers env.WaitGroup
	for range 16 { // few in parallel: this is no load test
		readers.Go(c.fleet.Environment, func() {
			for p, ok := next(); ok; p, ok = next() {
				if !c.readRange(ctx, deadline, p.volume, p.blockRange) {
					mu.Lock()
					unread += int(p.blocks)
					mu.Unlock()
				}
			}
		})
	}
	readers.Wait(c.fleet.Environment)
	return unread
}

func (c *Clients) readRange(ctx context.Context, deadline time.Duration, volume int, blocks blockRange) bool {
	for attempt := 0; ctx.Err() == nil && c.fleet.Environment.Now() < deadline; attempt++ {
		path := c.paths[volume][attempt%len(c.paths[volume])]
		if client := path.session(); client != nil {
			done := false
			c.inFlight.Add(1)
			c.submit(client, clientCommand{volume: path.volume, path: path, op: scsi.Read, lba: blocks.lba, blocks: blocks.blocks}, func([]byte) { done = true })
			c.inFlight.Done()
			if done {
				return true
			}
		}
		env.SleepContext(ctx, c.fleet.Environment, redialInterval)
	}
	return false
}
