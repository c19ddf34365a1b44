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

// clientPath is one client's session to one volume through one host; it logs in again
// whenever the connection is lost.
type clientPath struct {
	clients *Clients
	volume  *settings.Volume
	host    int
	isid    byte

	mu                  sync.Mutex
	client              *initiator.Client
	dialing             bool
	retryAt             time.Duration
	consecutiveFailures int           // commands in a row that it did not serve
	avoidUntil          time.Duration // until when another is tried first
}

// ClientBehaviour are how clients behave now. The zero value is the ordinary one.
type ClientBehaviour struct {
	RateFactor         float64 // times the usual traffic; 0: once
	BurstPlan          string  // whose volumes ask for PlanX times as much
	BurstFactor        float64
	HotVolumes         []int // volumes that take HotShare of all traffic
	HotShare           float64
	AbusePlan          string  // whose clients give up early and repeat at once
	AbuseAbortFraction float64 // part of the aim after which they do
	AbuseMaxRetries    int
	AbandonShare       float64 // part of the commands that their clients leave early
	PreferLastHost     bool    // the lead among hosts passes on
}

// Clients is the clients of a fleet.
type Clients struct {
	fleet   *Fleet
	history *BlockHistory
	paths   [][]*clientPath // by volume, then in the order of its hosts

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour ClientBehaviour

	// choosePath, if set, picks the lane of a volume; nil: there is no way to it.
	choosePath func(volume int) *clientPath

	Submitted atomic.Int64
	Completed atomic.Int64
	// Unrouted are commands that found no host, Unanswered those whose connection went
	// before their answer; StrayWorth is what the former would have been worth.
	Unrouted, Unanswered atomic.Int64
	UnroutedValue        float64
	inFlight             env.WaitGroup
	stopping             atomic.Bool
	maxEffectDelay       time.Duration
}

// NewClients makes the clients; each logs in with its first command.
func NewClients(f *Fleet, seed uint64) *Clients {
	c := &Clients{fleet: f, history: NewBlockHistory(), rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range f.Settings.Volumes {
		v := &f.Settings.Volumes[i]
		var ls []*clientPath
		for k, h := range v.Hosts {
			ls = append(ls, &clientPath{clients: c, volume: v, host: h, isid: byte(k)})
		}
		c.paths = append(c.paths, ls)
	}
	return c
}

// ChangeBehaviour changes the clients' habits.
func (c *Clients) ChangeBehaviour(change func(*ClientBehaviour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.behaviour)
}

const redialInterval = 150 * time.Millisecond

// session returns the lane's session, logging in if there is none; nil if none
// can be had now.
func (l *clientPath) session() *initiator.Client {
	l.mu.Lock()
	w := l.clients.fleet.Environment
	if l.client != nil || l.dialing || w.Now() < l.retryAt {
		defer l.mu.Unlock()
		return l.client
	}
	l.dialing = true
	l.mu.Unlock()
	var c *initiator.Client
	err := context.Canceled
	if addr := l.clients.fleet.HostAddr(l.host); addr != "" {
		c, err = initiator.Dial(context.Background(), initiator.Config{Environment: w, Addr: addr,
			Name: "iqn.2026-11.example.client:" + l.volume.Name, Target: l.clients.fleet.Settings.TargetName(l.volume),
			ISID: iscsi.ISID{0x80, 0, 0, 0, 0, l.isid}, Params: initiator.DefaultParams(), LoginTime: 2 * time.Second})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	if err != nil {
		l.retryAt = w.Now() + redialInterval
		return nil
	}
	l.client = c
	return c
}

// dropSession forgets a session that is over.
func (l *clientPath) dropSession(c *initiator.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client, l.retryAt = nil, l.clients.fleet.Environment.Now()+redialInterval
	}
}

// Login opens every session, so that a day doesn't begin with a storm.
func (c *Clients) Login() {
	var all env.WaitGroup
	for _, ls := range c.paths {
		for _, l := range ls {
			all.Go(c.fleet.Environment, func() { l.session() })
		}
	}
	all.Wait(c.fleet.Environment)
}

// clientCommand is one thing a client wants: what, where and how often it has tried.
type clientCommand struct {
	volume      *settings.Volume
	path        *clientPath // nil: there is no way to the volume
	op          scsi.Op
	lba         uint64
	blocks      uint32
	retries     int
	expected    []byte        // what a swap expects to find
	abandon     time.Duration // when the client leaves early; 0: it doesn't
	abandonMode int           // 0: by ABORT TASK, 1: by closing
}

// class is the class that the settings give the command.
func (a *clientCommand) class(s *settings.Settings) *settings.Class {
	return s.Class(a.op, int(a.blocks)*a.volume.BlockSize, a.volume.Plan)
}

// hot spots of a volume: most commands go to its first blocks, so that cards are
// met again.
const hotBlocks = 256

// drawCommand makes the next command of the day. Held: mu.
func (c *Clients) drawCommand() clientCommand {
	h := &c.behaviour
	v := 0
	if len(h.HotVolumes) > 0 && c.rng.Float64() < h.HotShare {
		v = h.HotVolumes[c.rng.IntN(len(h.HotVolumes))]
	} else {
		v = c.drawVolume()
	}
	ls := c.paths[v]
	lead := 0
	if h.PreferLastHost {
		lead = len(ls) - 1
	}
	if len(ls) > 1 && c.rng.Float64() > 0.7 {
		lead = c.rng.IntN(len(ls))
	}
	vol := &c.fleet.Settings.Volumes[v]
	a := clientCommand{volume: vol, path: ls[lead], op: scsi.Read, blocks: uint32(1 + c.rng.IntN(4))}
	switch x := c.rng.Float64(); {
	case x < 0.50:
	case x < 0.78:
		a.op = scsi.Write
	case x < 0.93:
		a.blocks = uint32(18 + c.rng.IntN(30)) // a bulk read, often over two shards
	case x < 0.96:
		a.op, a.blocks = scsi.Write, uint32(8+c.rng.IntN(32)) // over extents
	case x < 0.98:
		a.op, a.blocks = scsi.WriteSame, uint32(1+c.rng.IntN(8))
	default:
		a.op, a.blocks = scsi.CompareAndWrite, 1
	}
	if c.choosePath != nil {
		a.path = c.choosePath(v)
	}
	span := uint64(hotBlocks)
	if c.rng.Float64() < 0.2 {
		span = vol.Blocks
	}
	a.lba = c.rng.Uint64N(span - uint64(a.blocks))
	if vol.Plan == h.AbusePlan {
		a.abandon = 1
	}
	if c.rng.Float64() < h.AbandonShare {
		a.abandon, a.abandonMode = 1, c.rng.IntN(4)/3
	}
	return a
}

// drawVolume draws a volume by its rate. Held: mu.
func (c *Clients) drawVolume() int {
	s := c.fleet.Settings
	weight := func(v *settings.Volume) float64 {
		if c.behaviour.BurstFactor > 0 && c.behaviour.BurstPlan == v.Plan {
			return s.RateOf(v) * c.behaviour.BurstFactor
		}
		return s.RateOf(v)
	}
	total := 0.0
	for i := range s.Volumes {
		total += weight(&s.Volumes[i])
	}
	at := c.rng.Float64() * total
	for i := range s.Volumes {
		if at -= weight(&s.Volumes[i]); at < 0 {
			return i
		}
	}
	return len(s.Volumes) - 1
}

// Run sends so many commands at that mean rate a second, open loop: a slow
// service is asked no less.
func (c *Clients) Run(ctx context.Context, commands int, rate float64) {
	next := c.fleet.Environment.Now()
	for n := 0; n < commands; n++ {
		c.mu.Lock()
		a := c.drawCommand()
		x := c.behaviour.RateFactor
		if x == 0 {
			x = 1
		}
		next += time.Duration(c.rng.ExpFloat64() / (rate * x) * float64(time.Second))
		c.mu.Unlock()
		if wait := next - c.fleet.Environment.Now(); wait > 0 {
			if !env.SleepContext(ctx, c.fleet.Environment, wait) {
				return
			}
		}
		c.inFlight.Go(c.fleet.Environment, func() { c.execute(a) })
	}
}

// Wait returns once every command has ended and every retry was made.
func (c *Clients) Wait() { c.inFlight.Wait(c.fleet.Environment) }

// Close ends every session.
func (c *Clients) Close() {
	c.stopping.Store(true)
	for _, ls := range c.paths {
		for _, l := range ls {
			l.mu.Lock()
			k := l.client
			l.mu.Unlock()
			if k != nil {
				k.Close()
			}
		}
	}
}

// execute carries one command through to its end.
func (c *Clients) execute(a clientCommand) {
	var s *initiator.Client
	if a.path != nil {
		s = a.path.session()
	}
	if s == nil { // no session is to be had now
		c.Unrouted.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		if k := a.class(c.fleet.Settings); k != nil {
			c.UnroutedValue += k.Value
		}
		return
	}
	if a.op == scsi.CompareAndWrite {
		c.compareAndWrite(s, a)
		return
	}
	c.submit(s, a, nil)
}

// submit sends a read or a write and sees to its end; then, if any, is told of the
// data of a read.
func (c *Clients) submit(s *initiator.Client, a clientCommand, then func([]byte)) {
	w, size := c.fleet.Environment, a.path.volume.BlockSize
	n := int(a.blocks) * size
	begin := w.Now()
	id := uint64(0)
	var cdb, out []byte
	in := 0
	switch a.op {
	case scsi.Read:
		cdb, in = initiator.ReadCDB(a.lba, a.blocks), n
	case scsi.Write:
		id = c.history.BeginWrite(a.path.volume.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.WriteCDB(a.lba, a.blocks), Stamp(id, n)
	case scsi.WriteSame:
		id = c.history.BeginWrite(a.path.volume.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.WriteSameCDB(a.lba, a.blocks), Stamp(id, size)
	case scsi.CompareAndWrite:
		id = c.history.BeginWrite(a.path.volume.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.CompareAndWriteCDB(a.lba, byte(a.blocks)), append(slices.Clone(a.expected), Stamp(id, n)...)
	}
	c.Submitted.Add(1)
	end := &completion{}
	h := s.Submit(0, cdb, out, in, func(r iscsi.Result, err error) { end.set(r, err) })
	left := c.awaitCompletion(s, h, end, a)
	c.Completed.Add(1)
	c.finish(a, s, end, id, begin, left, then)
}

// completion is how a command ended at its client.
type completion struct {
	once   sync.Once
	done   env.Gate
	result iscsi.Result
	err    error
}

func (e *completion) set(r iscsi.Result, err error) {
	e.once.Do(func() { e.result, e.err = r, err; e.done.Open() })
}

// abandonment says how a client left a command before its end.
type abandonment int

const (
	notAbandoned     abandonment = iota
	abandonedUnsent              // left before the command went out
	abandonedAborted             // the abort was answered: nothing follows
	abandonedClosed              // the connection was dropped
)

// awaitCompletion waits for the end of a command, or leaves it early.
func (c *Clients) awaitCompletion(s *initiator.Client, h *initiator.Handle, end *completion, a clientCommand) abandonment {
	if a.abandon == 0 {
		end.done.Wait(c.fleet.Environment)
		return notAbandoned
	}
	c.mu.Lock()
	at := 0.3 + 0.5*c.rng.Float64()
	if a.path.volume.Plan == c.behaviour.AbusePlan {
		at = c.behaviour.AbuseAbortFraction
	}
	c.mu.Unlock()
	if !env.Sleep(c.fleet.Environment, env.Duration(a.class(c.fleet.Settings).LatencyTarget*at), &end.done) {
		return notAbandoned
	}
	if a.abandonMode == 1 {
		a.path.dropSession(s)
		s.Close()
		end.done.Wait(c.fleet.Environment)
		if end.err == nil {
			return notAbandoned
		}
		return abandonedClosed
	}
	var answered env.Gate
	if !s.Abort(h, func(byte) { answered.Open() }) {
		return abandonedUnsent
	}
	env.WaitAny(c.fleet.Environment, &answered, &end.done, s.Done())
	switch {
	case answered.Opened():
		return abandonedAborted
	case end.done.Opened(): // it crossed the abort
		return notAbandoned
	}
	return abandonedClosed
}

// finish enters what became of the command, and tries again where its client
// would.
func (c *Clients) finish(a clientCommand, s *initiator.Client, end *completion, id uint64, begin time.Duration, left abandonment, then func([]byte)) {
	now := c.fleet.Environment.Now()
	a.path.judge(now, end.err == nil && end.result.Status == scsi.Good)
	f, again := WriteIndeterminate, false
	by := now
	sense, _ := scsi.ParseSense(end.result.Sense)
	switch {
	case left == abandonedUnsent:
		f = WriteNotApplied
	case left == abandonedAborted:
	case left == abandonedClosed || end.err != nil:
		if left == notAbandoned {
			c.Unanswered.Add(1)
		}
		// Whatever was under way may land until the command's time is up.
		a.path.dropSession(s)
		by = begin + env.Duration(a.class(c.fleet.Settings).Deadline) + 100*time.Millisecond + c.maxEffectDelay
		again = a.op == scsi.Read
	case end.result.Status == scsi.Good:
		f = WriteAcked
		if a.op == scsi.Read {
			c.history.RecordRead(a.path.volume.Name, a.lba, end.result.Data, a.path.volume.BlockSize, begin, now)
			if then != nil {
				then(end.result.Data)
			}
		}
	case end.result.Status == scsi.Busy:
		f, again = WriteNotApplied, a.op != scsi.CompareAndWrite
	case sense == scsi.Miscompare:
		f = WriteNotApplied
	default:
		again = a.op == scsi.Read
	}
	if id != 0 {
		c.history.EndWrite(id, f, by)
	}
	if then == nil {
		c.retry(a, again, left, end.result.Qualifier)
	}
}

// retry repeats a command as its client would: once, after the advice; those of
// an abusive plan many times, at once.
func (c *Clients) retry(a clientCommand, may bool, left abandonment, advice uint16) {
	c.mu.Lock()
	abuse := a.path.volume.Plan == c.behaviour.AbusePlan
	more := c.behaviour.AbuseMaxRetries
	c.mu.Unlock()
	wait := 50*time.Millisecond + time.Duration(advice)*100*time.Millisecond
	switch {
	case c.stopping.Load():
		return
	case abuse && a.retries < more && (may || left != notAbandoned && a.op == scsi.Read):
		wait = 0
	case !may || a.retries >= 1 || abuse:
		return
	}
	a.retries++
	if !abuse {
		a.abandon = 0
	}
	c.inFlight.Add(1)
	c.fleet.Environment.AfterFunc(wait, func() {
		defer c.inFlight.Done()
		c.execute(a)
	})
}

// compareAndWrite reads a block and replaces it if it is still the same.
func (c *Clients) compareAndWrite(s *initiator.Client, a clientCommand) {
	read := a
	read.op, read.abandon = scsi.Read, 0
	c.submit(s, read, func(b []byte) { a.expected = b })
	if a.expected != nil {
		a.abandon = 0
		c.submit(s, a, nil)
	}
}

// ReadBack reads every block that was written, until each was read, through
// whichever of its volume's hosts is up, for at most so long. It returns how many
// could not be.
func (c *Clients) ReadBack(ctx context.Context, most time.Duration) (missed int) {
	until := c.fleet.Environment.Now() + most
	type piece struct {
		volume int
		blockRange
	}
	var left []piece
	written := c.history.WrittenBlocks()
	for i := range c.paths {
		for _, r := range mergeBlocks(written[c.fleet.Settings.Volumes[i].Name], 16) {
			left = append(left, piece{i, r})
		}
	}
	var mu sync.Mutex
	next := func() (p piece, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(left) == 0 {
			return p, false
		}
		p, left = left[0], left[1:]
		return p, true
	}
	var all env.WaitGroup
	for range 16 { // gently: this is no load test
		all.Go(c.fleet.Environment, func() {
			for p, ok := next(); ok; p, ok = next() {
				if !c.readRange(ctx, until, p.volume, p.blockRange) {
					mu.Lock()
					missed += int(p.blocks)
					mu.Unlock()
				}
			}
		})
	}
	all.Wait(c.fleet.Environment)
	return missed
}

func (c *Clients) readRange(ctx context.Context, until time.Duration, volume int, r blockRange) bool {
	for try := 0; ctx.Err() == nil && c.fleet.Environment.Now() < until; try++ {
		l := c.paths[volume][try%len(c.paths[volume])]
		if s := l.session(); s != nil {
			got := false
			c.inFlight.Add(1)
			c.submit(s, clientCommand{volume: l.volume, path: l, op: scsi.Read, lba: r.lba, blocks: r.blocks}, func([]byte) { got = true })
			c.inFlight.Done()
			if got {
				return true
			}
		}
		env.SleepContext(ctx, c.fleet.Environment, redialInterval)
	}
	return false
}
