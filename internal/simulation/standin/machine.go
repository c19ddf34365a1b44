package standin

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
)

// MachineConfig describes a disk server. Times are in milliseconds.
type MachineConfig struct {
	Cores              int
	QueueLimit         int     // waiting requests beyond which it turns away
	UnitWork           float64 // work of one unit of a read
	WriteFactor        float64 // work of a write, times that of a read
	Spread             float64 // part of the work that chance adds or takes away
	CacheEntries       int     // pieces of data whose next request costs CachedX as much
	CacheHitFactor     float64
	DeferredWriteShare float64 // part of a write's work that is done later in one go,
	FlushInterval      float64 // so often
	// A cold start, and the load at which it falls over (rule 4).
	ColdCapacity, WarmUpTime, OverloadFactor, OverloadWindow, ColdUnits float64
}

// MachineFaults is what is wrong with a machine now. The zero value is a calm one.
type MachineFaults struct {
	SlowFactor    float64 // work takes so many times as long; 0: once
	StolenShare   float64 // part of the machine that another program takes
	FailShare     float64 // part of the requests that fail at once
	PauseLength   float64 // it stands still so long
	PauseInterval float64 // every so often
	UsageDelay    float64 // figures of use come so much later
}

// job is one attempt in a machine.
type job struct {
	do      diskproto.Do
	reply   func(diskproto.Answer)
	arrived float64
	end     float64
	failing bool
	result  diskproto.Answer
	needs   uint64 // the change that the cell's copy must have first
}

type running []*job

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].end < r[j].end }
func (r running) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *running) Push(x any)        { *r = append(*r, x.(*job)) }
func (r *running) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// push is work that reached a cold machine.
type push struct{ at, units float64 }

// Machine is the core of a disk server: requests in, answers out, on the times
// that it is given. Its caller serialises the calls.
type Machine struct {
	cfg     MachineConfig
	rng     *rand.Rand
	cell    *ShardStore
	rack    *DedupCache
	meter   *UsageMeter
	shard   uint32
	started float64 // -Inf: warm
	trouble MachineFaults

	queue    []*job
	run      running
	recent   []string
	debt     float64 // work put off
	flushAt  float64
	pauseAt  float64
	stillTo  float64 // nothing begins before
	pushed   []push
	draining bool
	fallen   bool

	Served int // requests served
	// RunAsEvent runs f as if the machine's caller had called, for what comes due elsewhere.
	RunAsEvent func(f func())
}

// NewMachine returns a machine that started at that time; cold or long warm.
func NewMachine(cfg MachineConfig, seed uint64, cell *ShardStore, rack *DedupCache, meter *UsageMeter, shard uint32, now float64, cold bool) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), cell: cell, rack: rack, meter: meter,
		shard: shard, started: math.Inf(-1)}
	if cold {
		m.started = now
	}
	m.flushAt = now + cfg.FlushInterval*(0.5+m.rng.Float64())
	m.pauseAt = math.Inf(1)
	return m
}

// SetFaults changes what is wrong with the machine.
func (m *Machine) SetFaults(now float64, t MachineFaults) {
	m.trouble, m.pauseAt = t, math.Inf(1)
	if t.PauseInterval > 0 {
		m.pauseAt = now + t.PauseInterval*m.rng.Float64()
	}
}

// Drain has the machine finish its work and take none.
func (m *Machine) Drain() { m.draining = true }

// Idle tells whether nothing waits or runs.
func (m *Machine) Idle() bool { return len(m.queue)+len(m.run) == 0 }

// Crashed tells whether the machine was pushed over while cold.
func (m *Machine) Crashed() bool { return m.fallen }

// warmth is the part of its capacity that the machine has now.
func (m *Machine) warmth(now float64) float64 {
	c := &m.cfg
	if age := now - m.started; age < c.WarmUpTime {
		return c.ColdCapacity + (1-c.ColdCapacity)*age/c.WarmUpTime
	}
	return 1
}

// bears is the number of units that may reach the machine within FallTime: the
// multiple of what it can do now, and never below ColdUnits.
func (m *Machine) bears(now float64) float64 {
	c := &m.cfg
	can := float64(c.Cores) / c.UnitWork * m.warmth(now) * c.OverloadWindow
	return max(can*c.OverloadFactor, c.ColdUnits)
}

// Arrive takes an attempt; reply is called exactly once unless the machine dies.
func (m *Machine) Arrive(now float64, do diskproto.Do, reply func(diskproto.Answer)) {
	m.Advance(now)
	m.press(now, do.Units)
	j := &job{do: do, reply: reply, arrived: now}
	switch {
	case do.Shard != m.shard:
		reply(diskproto.Answer{Result: diskproto.WrongShard})
	case m.draining || m.fallen:
		reply(diskproto.Answer{Result: diskproto.Draining})
	case len(m.queue) >= m.cfg.QueueLimit:
		reply(diskproto.Answer{Result: diskproto.Full})
	default:
		m.queue = append(m.queue, j)
		m.begin(now)
	}
}

// press counts work that reaches a cold machine, taken or not.
func (m *Machine) press(now, units float64) {
	if now-m.started >= m.cfg.WarmUpTime {
		return
	}
	m.pushed = slices.DeleteFunc(m.pushed, func(p push) bool { return p.at <= now-m.cfg.OverloadWindow })
	m.pushed = append(m.pushed, push{now, units})
	total := 0.0
	for _, p := range m.pushed {
		total += p.units
	}
	if total > m.bears(now) {
		m.fallen = true
	}
}

// begin gives waiting requests to free cores. A request whose deadline is past
// is not begun: that is what its sender counts on.
func (m *Machine) begin(now float64) {
	for len(m.queue) > 0 && len(m.run) < m.cfg.Cores && now >= m.stillTo {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if float64(j.do.Deadline)/1000 <= now {
			j.reply(diskproto.Answer{Result: diskproto.Expired})
			continue
		}
		work := m.work(now, j)
		if m.rng.Float64() < m.trouble.FailShare {
			j.failing, work = true, 1
		}
		m.effect(now, j)
		j.end = now + work
		heap.Push(&m.run, j)
	}
}

// work is how long the request takes on one core.
func (m *Machine) work(now float64, j *job) float64 {
	c := &m.cfg
	w := c.UnitWork * j.do.Units * (1 + c.Spread*(2*m.rng.Float64()-1))
	if scsi.Op(j.do.Op).Writes() {
		w *= c.WriteFactor
		m.debt += w * c.DeferredWriteShare
		w *= 1 - c.DeferredWriteShare
	}
	if slices.Contains(m.recent, j.do.Key) {
		w *= c.CacheHitFactor
	} else if c.CacheEntries > 0 {
		m.recent = append(m.recent, j.do.Key)
		m.recent = m.recent[max(len(m.recent)-c.CacheEntries, 0):]
	}
	if m.trouble.SlowFactor > 0 {
		w *= m.trouble.SlowFactor
	}
	return w / max(1-m.trouble.StolenShare, 0.05) / m.warmth(now)
}

// effect carries the request out as it begins, so that its deadline bounds when
// it can still change blocks. One that fails has run half of the times.
func (m *Machine) effect(now float64, j *job) {
	d := &j.do
	if j.failing && m.rng.IntN(2) == 0 {
		j.result = diskproto.Answer{Result: diskproto.Failed}
		return
	}
	apply := func() (r diskproto.Result, data []byte) {
		r, data, j.needs = m.cell.apply(now, d)
		return r, data
	}
	a := &j.result
	switch {
	case m.cell.Stale(d.Gen):
		a.Result = diskproto.Stale
	case d.Effect == diskproto.Keyed:
		if a.Result, a.Data, a.Dropped = m.rack.run(now, d, apply); a.Dropped {
			j.needs = m.cell.newest()
		}
	default:
		a.Result, a.Data = apply()
	}
	d.Data = nil // what was written isn't needed any more
	if j.failing {
		*a = diskproto.Answer{Result: diskproto.Failed}
	}
}

// NextEventAt is when Advance has something to do, +Inf if never.
func (m *Machine) NextEventAt() float64 {
	at := min(m.pauseAt, m.flushAt)
	if len(m.run) > 0 {
		at = min(at, m.run[0].end)
	}
	if len(m.queue) > 0 && m.stillTo > 0 {
		at = min(at, max(m.stillTo, 0))
	}
	return at
}

// Advance does what has come due by now.
func (m *Machine) Advance(now float64) {
	for {
		at := m.NextEventAt()
		if at > now {
			m.begin(now)
			return
		}
		switch {
		case at == m.pauseAt:
			m.still(at, m.trouble.PauseLength)
			m.pauseAt = at + m.trouble.PauseLength + m.trouble.PauseInterval
		case at == m.flushAt:
			m.still(at, m.debt/float64(m.cfg.Cores))
			m.debt = 0
			m.flushAt = at + max(m.cfg.FlushInterval, 1)*(0.5+m.rng.Float64())
			if m.cfg.FlushInterval <= 0 {
				m.flushAt = math.Inf(1)
			}
		case len(m.run) > 0 && at == m.run[0].end:
			m.finish(at, heap.Pop(&m.run).(*job))
			m.begin(at)
		default:
			m.stillTo = 0
			m.begin(at)
		}
	}
}

// still stops the machine: what runs ends later, nothing begins.
func (m *Machine) still(now, d float64) {
	if d <= 0 {
		return
	}
	for _, j := range m.run {
		j.end += d // all by the same, so the heap stands
	}
	m.stillTo = max(m.stillTo, now) + d
}

func (m *Machine) finish(now float64, j *job) {
	a := j.result
	if a.Result == diskproto.OK || a.Result == diskproto.Miscompare {
		m.Served++
		a.Use, a.Others = m.meter.count(now, m.trouble.UsageDelay, m.shard, j.do.Host, j.do.Volume, j.do.Units)
	}
	if m.cell.after(now, j.needs, func() { m.RunAsEvent(func() { j.reply(a) }) }) {
		j.reply(a)
	}
}

// UsageMeter adds up what volumes use, over all disk servers.
type UsageMeter struct {
	// Rate tells a volume's rate in units a second, Period the span in ms.
	Rate   func(volume string) float64
	Period float64

	mu     sync.Mutex
	use    map[string]*used
	others map[otherKey]float64
	hosts  map[otherKey]map[uint64]bool
}

type used struct {
	period      int
	units, last float64
	lastAt      float64
}

type otherKey struct {
	shard  uint32
	host   uint64
	volume string
}

// count enters units and returns what the answer is to tell. The late meter of
// report_late tells the figures of a past period only once they are so old.
func (t *UsageMeter) count(now, late float64, shard uint32, host uint64, volume string, units float64) (uint32, float64) {
	if t == nil || t.Period <= 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.use == nil {
		t.use, t.others, t.hosts = map[string]*used{}, map[otherKey]float64{}, map[otherKey]map[uint64]bool{}
	}
	u := t.use[volume]
	if u == nil {
		u = &used{}
		t.use[volume] = u
	}
	if p := int(now / t.Period); p != u.period {
		u.last, u.lastAt = u.units, now
		if p != u.period+1 {
			u.last = 0
		}
		u.period, u.units = p, 0
	}
	u.units += units
	all := otherKey{shard, 0, volume}
	known := t.hosts[all]
	if known == nil {
		known = map[uint64]bool{}
		t.hosts[all] = known
	}
	known[host] = true
	for h := range known {
		if h != host {
			t.others[otherKey{shard, h, volume}] += units
		}
	}
	mine := otherKey{shard, host, volume}
	got := t.others[mine]
	t.others[mine] = 0
	rate := t.Rate(volume) * t.Period / 1000
	if rate <= 0 || now-u.lastAt < late {
		return 0, got
	}
	return uint32(1 + 100*u.last/rate), got
}
