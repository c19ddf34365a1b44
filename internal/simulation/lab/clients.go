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

// lane is one client's session to one volume through one host; it logs in again
// whenever the connection is lost.
type lane struct {
	crowd *Crowd
	vol   *settings.Volume
	host  int
	isid  byte

	mu      sync.Mutex
	client  *initiator.Client
	dialing bool
	retryAt time.Duration
	missed  int           // commands in a row that it did not serve
	shunned time.Duration // until when another is tried first
}

// Habits are how clients behave now. The zero value is the ordinary one.
type Habits struct {
	Rate      float64 // times the usual traffic; 0: once
	Plan      string  // whose volumes ask for PlanX times as much
	PlanX     float64
	Hot       []int // volumes that take HotShare of all traffic
	HotShare  float64
	AbusePlan string  // whose clients give up early and repeat at once
	AbuseAt   float64 // part of the aim after which they do
	AbuseMore int
	LeaveEach float64 // part of the commands that their clients leave early
	Swap      bool    // the lead among hosts passes on
}

// Crowd is the clients of a fleet.
type Crowd struct {
	fleet  *Fleet
	ledger *Ledger
	lanes  [][]*lane // by volume, then in the order of its hosts

	mu     sync.Mutex
	rng    *rand.Rand
	habits Habits

	// choose, if set, picks the lane of a volume; nil: there is no way to it.
	choose func(volume int) *lane

	Asked atomic.Int64
	Ended atomic.Int64
	// Strays are commands that found no host, Unanswered those whose connection went
	// before their answer; StrayWorth is what the former would have been worth.
	Strays, Unanswered atomic.Int64
	StrayWorth         float64
	running            env.WaitGroup
	stopping           atomic.Bool
	lateBy             time.Duration
}

// NewCrowd makes the clients; each logs in with its first command.
func NewCrowd(f *Fleet, seed uint64) *Crowd {
	c := &Crowd{fleet: f, ledger: NewLedger(), rng: rand.New(rand.NewPCG(seed, 7))}
	for i := range f.Set.Volumes {
		v := &f.Set.Volumes[i]
		var ls []*lane
		for k, h := range v.Hosts {
			ls = append(ls, &lane{crowd: c, vol: v, host: h, isid: byte(k)})
		}
		c.lanes = append(c.lanes, ls)
	}
	return c
}

// Set changes the clients' habits.
func (c *Crowd) Set(change func(*Habits)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.habits)
}

const redialAfter = 150 * time.Millisecond

// session returns the lane's session, logging in if there is none; nil if none
// can be had now.
func (l *lane) session() *initiator.Client {
	l.mu.Lock()
	w := l.crowd.fleet.Environment
	if l.client != nil || l.dialing || w.Now() < l.retryAt {
		defer l.mu.Unlock()
		return l.client
	}
	l.dialing = true
	l.mu.Unlock()
	var c *initiator.Client
	err := context.Canceled
	if addr := l.crowd.fleet.HostAddr(l.host); addr != "" {
		c, err = initiator.Dial(context.Background(), initiator.Config{Environment: w, Addr: addr,
			Name: "iqn.2026-11.example.client:" + l.vol.Name, Target: l.crowd.fleet.Set.TargetName(l.vol),
			ISID: iscsi.ISID{0x80, 0, 0, 0, 0, l.isid}, Params: initiator.DefaultParams(), LoginTime: 2 * time.Second})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = false
	if err != nil {
		l.retryAt = w.Now() + redialAfter
		return nil
	}
	l.client = c
	return c
}

// drop forgets a session that is over.
func (l *lane) drop(c *initiator.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client, l.retryAt = nil, l.crowd.fleet.Environment.Now()+redialAfter
	}
}

// Login opens every session, so that a day doesn't begin with a storm.
func (c *Crowd) Login() {
	var all env.WaitGroup
	for _, ls := range c.lanes {
		for _, l := range ls {
			all.Go(c.fleet.Environment, func() { l.session() })
		}
	}
	all.Wait(c.fleet.Environment)
}

// ask is one thing a client wants: what, where and how often it has tried.
type ask struct {
	vol    *settings.Volume
	lane   *lane // nil: there is no way to the volume
	op     scsi.Op
	lba    uint64
	blocks uint32
	tries  int
	old    []byte        // what a swap expects to find
	leave  time.Duration // when the client leaves early; 0: it doesn't
	how    int           // 0: by ABORT TASK, 1: by closing
}

// class is the class that the settings give the command.
func (a *ask) class(s *settings.Settings) *settings.Class {
	return s.Class(a.op, int(a.blocks)*a.vol.BlockSize, a.vol.Plan)
}

// hot spots of a volume: most commands go to its first blocks, so that cards are
// met again.
const hotBlocks = 256

// draw makes the next command of the day. Held: mu.
func (c *Crowd) draw() ask {
	h := &c.habits
	v := 0
	if len(h.Hot) > 0 && c.rng.Float64() < h.HotShare {
		v = h.Hot[c.rng.IntN(len(h.Hot))]
	} else {
		v = c.pick()
	}
	ls := c.lanes[v]
	lead := 0
	if h.Swap {
		lead = len(ls) - 1
	}
	if len(ls) > 1 && c.rng.Float64() > 0.7 {
		lead = c.rng.IntN(len(ls))
	}
	vol := &c.fleet.Set.Volumes[v]
	a := ask{vol: vol, lane: ls[lead], op: scsi.Read, blocks: uint32(1 + c.rng.IntN(4))}
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
	if c.choose != nil {
		a.lane = c.choose(v)
	}
	span := uint64(hotBlocks)
	if c.rng.Float64() < 0.2 {
		span = vol.Blocks
	}
	a.lba = c.rng.Uint64N(span - uint64(a.blocks))
	if vol.Plan == h.AbusePlan {
		a.leave = 1
	}
	if c.rng.Float64() < h.LeaveEach {
		a.leave, a.how = 1, c.rng.IntN(4)/3
	}
	return a
}

// pick draws a volume by its rate. Held: mu.
func (c *Crowd) pick() int {
	s := c.fleet.Set
	weight := func(v *settings.Volume) float64 {
		if c.habits.PlanX > 0 && c.habits.Plan == v.Plan {
			return s.RateOf(v) * c.habits.PlanX
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
func (c *Crowd) Run(ctx context.Context, commands int, rate float64) {
	next := c.fleet.Environment.Now()
	for n := 0; n < commands; n++ {
		c.mu.Lock()
		a := c.draw()
		x := c.habits.Rate
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
		c.running.Go(c.fleet.Environment, func() { c.send(a) })
	}
}

// Wait returns once every command has ended and every retry was made.
func (c *Crowd) Wait() { c.running.Wait(c.fleet.Environment) }

// Close ends every session.
func (c *Crowd) Close() {
	c.stopping.Store(true)
	for _, ls := range c.lanes {
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

// send carries one command through to its end.
func (c *Crowd) send(a ask) {
	var s *initiator.Client
	if a.lane != nil {
		s = a.lane.session()
	}
	if s == nil { // no session is to be had now
		c.Strays.Add(1)
		c.mu.Lock()
		defer c.mu.Unlock()
		if k := a.class(c.fleet.Set); k != nil {
			c.StrayWorth += k.Value
		}
		return
	}
	if a.op == scsi.CompareAndWrite {
		c.swap(s, a)
		return
	}
	c.one(s, a, nil)
}

// one sends a read or a write and sees to its end; then, if any, is told of the
// data of a read.
func (c *Crowd) one(s *initiator.Client, a ask, then func([]byte)) {
	w, size := c.fleet.Environment, a.lane.vol.BlockSize
	n := int(a.blocks) * size
	begin := w.Now()
	id := uint64(0)
	var cdb, out []byte
	in := 0
	switch a.op {
	case scsi.Read:
		cdb, in = initiator.ReadCDB(a.lba, a.blocks), n
	case scsi.Write:
		id = c.ledger.Begin(a.lane.vol.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.WriteCDB(a.lba, a.blocks), Stamp(id, n)
	case scsi.WriteSame:
		id = c.ledger.Begin(a.lane.vol.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.WriteSameCDB(a.lba, a.blocks), Stamp(id, size)
	case scsi.CompareAndWrite:
		id = c.ledger.Begin(a.lane.vol.Name, a.lba, int(a.blocks), begin)
		cdb, out = initiator.CompareAndWriteCDB(a.lba, byte(a.blocks)), append(slices.Clone(a.old), Stamp(id, n)...)
	}
	c.Asked.Add(1)
	end := &ending{}
	h := s.Submit(0, cdb, out, in, func(r iscsi.Result, err error) { end.set(r, err) })
	left := c.await(s, h, end, a)
	c.Ended.Add(1)
	c.settle(a, s, end, id, begin, left, then)
}

// ending is how a command ended at its client.
type ending struct {
	once sync.Once
	done env.Gate
	res  iscsi.Result
	err  error
}

func (e *ending) set(r iscsi.Result, err error) {
	e.once.Do(func() { e.res, e.err = r, err; e.done.Open() })
}

// leaving says how a client left a command before its end.
type leaving int

const (
	stayed  leaving = iota
	unsent          // left before the command went out
	aborted         // the abort was answered: nothing follows
	closed          // the connection was dropped
)

// await waits for the end of a command, or leaves it early.
func (c *Crowd) await(s *initiator.Client, h *initiator.Handle, end *ending, a ask) leaving {
	if a.leave == 0 {
		end.done.Wait(c.fleet.Environment)
		return stayed
	}
	c.mu.Lock()
	at := 0.3 + 0.5*c.rng.Float64()
	if a.lane.vol.Plan == c.habits.AbusePlan {
		at = c.habits.AbuseAt
	}
	c.mu.Unlock()
	if !env.Sleep(c.fleet.Environment, env.Duration(a.class(c.fleet.Set).LatencyTarget*at), &end.done) {
		return stayed
	}
	if a.how == 1 {
		a.lane.drop(s)
		s.Close()
		end.done.Wait(c.fleet.Environment)
		if end.err == nil {
			return stayed
		}
		return closed
	}
	var answered env.Gate
	if !s.Abort(h, func(byte) { answered.Open() }) {
		return unsent
	}
	env.WaitAny(c.fleet.Environment, &answered, &end.done, s.Done())
	switch {
	case answered.Opened():
		return aborted
	case end.done.Opened(): // it crossed the abort
		return stayed
	}
	return closed
}

// settle enters what became of the command, and tries again where its client
// would.
func (c *Crowd) settle(a ask, s *initiator.Client, end *ending, id uint64, begin time.Duration, left leaving, then func([]byte)) {
	now := c.fleet.Environment.Now()
	a.lane.judge(now, end.err == nil && end.res.Status == scsi.Good)
	f, again := FateMaybe, false
	by := now
	sense, _ := scsi.ParseSense(end.res.Sense)
	switch {
	case left == unsent:
		f = FateNothing
	case left == aborted:
	case left == closed || end.err != nil:
		if left == stayed {
			c.Unanswered.Add(1)
		}
		// Whatever was under way may land until the command's time is up.
		a.lane.drop(s)
		by = begin + env.Duration(a.class(c.fleet.Set).Deadline) + 100*time.Millisecond + c.lateBy
		again = a.op == scsi.Read
	case end.res.Status == scsi.Good:
		f = FateAcked
		if a.op == scsi.Read {
			c.ledger.Read(a.lane.vol.Name, a.lba, end.res.Data, a.lane.vol.BlockSize, begin, now)
			if then != nil {
				then(end.res.Data)
			}
		}
	case end.res.Status == scsi.Busy:
		f, again = FateNothing, a.op != scsi.CompareAndWrite
	case sense == scsi.Miscompare:
		f = FateNothing
	default:
		again = a.op == scsi.Read
	}
	if id != 0 {
		c.ledger.End(id, f, by)
	}
	if then == nil {
		c.retry(a, again, left, end.res.Qualifier)
	}
}

// retry repeats a command as its client would: once, after the advice; those of
// an abusive plan many times, at once.
func (c *Crowd) retry(a ask, may bool, left leaving, advice uint16) {
	c.mu.Lock()
	abuse := a.lane.vol.Plan == c.habits.AbusePlan
	more := c.habits.AbuseMore
	c.mu.Unlock()
	wait := 50*time.Millisecond + time.Duration(advice)*100*time.Millisecond
	switch {
	case c.stopping.Load():
		return
	case abuse && a.tries < more && (may || left != stayed && a.op == scsi.Read):
		wait = 0
	case !may || a.tries >= 1 || abuse:
		return
	}
	a.tries++
	if !abuse {
		a.leave = 0
	}
	c.running.Add(1)
	c.fleet.Environment.AfterFunc(wait, func() {
		defer c.running.Done()
		c.send(a)
	})
}

// swap reads a block and replaces it if it is still the same.
func (c *Crowd) swap(s *initiator.Client, a ask) {
	read := a
	read.op, read.leave = scsi.Read, 0
	c.one(s, read, func(b []byte) { a.old = b })
	if a.old != nil {
		a.leave = 0
		c.one(s, a, nil)
	}
}

// ReadBack reads every block that was written, until each was read, through
// whichever of its volume's hosts is up, for at most so long. It returns how many
// could not be.
func (c *Crowd) ReadBack(ctx context.Context, most time.Duration) (missed int) {
	until := c.fleet.Environment.Now() + most
	type piece struct {
		volume int
		run
	}
	var left []piece
	written := c.ledger.Written()
	for i := range c.lanes {
		for _, r := range runs(written[c.fleet.Set.Volumes[i].Name], 16) {
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
				if !c.readRun(ctx, until, p.volume, p.run) {
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

func (c *Crowd) readRun(ctx context.Context, until time.Duration, volume int, r run) bool {
	for try := 0; ctx.Err() == nil && c.fleet.Environment.Now() < until; try++ {
		l := c.lanes[volume][try%len(c.lanes[volume])]
		if s := l.session(); s != nil {
			got := false
			c.running.Add(1)
			c.one(s, ask{vol: l.vol, lane: l, op: scsi.Read, lba: r.lba, blocks: r.blocks}, func([]byte) { got = true })
			c.running.Done()
			if got {
				return true
			}
		}
		env.SleepContext(ctx, c.fleet.Environment, redialAfter)
	}
	return false
}
