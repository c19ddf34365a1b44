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
	request     diskproto.Do
	reply       func(diskproto.Answer)
	arrived     float64
	endsAt      float64
	fails       bool
	result      diskproto.Answer
	requiredSeq uint64 // the change that the cell's copy must have first
}

type runHeap []*job

func (r runHeap) Len() int           { return len(r) }
func (r runHeap) Less(i, j int) bool { return r[i].endsAt < r[j].endsAt }
func (r runHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runHeap) Push(x any)        { *r = append(*r, x.(*job)) }
func (r *runHeap) Pop() any {
	old := *r
	x := old[len(old)-1]
	*r = old[:len(old)-1]
	return x
}

// coldArrival is work that reached a cold machine.
type coldArrival struct{ arrivedAt, units float64 }

// Machine is the core of a disk server: requests in, answers out, on the times
// that it is given. Its caller serialises the calls.
type Machine struct {
	cfg     MachineConfig
	rng     *rand.Rand
	store   *ShardStore
	dedup   *DedupCache
	meter   *UsageMeter
	shard   uint32
	started float64 // -Inf: warm
	faults  MachineFaults

	queue        []*job
	running      runHeap
	recentKeys   []string
	deferredWork float64 // work put off
	flushAt      float64
	pauseAt      float64
	stalledUntil float64 // nothing begins before
	coldArrivals []coldArrival
	draining     bool
	crashed      bool

	Served int // requests served
	// RunAsEvent runs f as if the machine's caller had called, for what comes due elsewhere.
	RunAsEvent func(f func())
}

// NewMachine returns a machine that started at that time; cold or long warm.
func NewMachine(cfg MachineConfig, seed uint64, cell *ShardStore, rack *DedupCache, meter *UsageMeter, shard uint32, now float64, cold bool) *Machine {
	m := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), store: cell, dedup: rack, meter: meter,
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
	m.faults, m.pauseAt = t, math.Inf(1)
	if t.PauseInterval > 0 {
		m.pauseAt = now + t.PauseInterval*m.rng.Float64()
	}
}

// Drain has the machine finish its work and take none.
func (m *Machine) Drain() { m.draining = true }

// Idle tells whether nothing waits or runs.
func (m *Machine) Idle() bool { return len(m.queue)+len(m.running) == 0 }

// Crashed tells whether the machine was pushed over while cold.
func (m *Machine) Crashed() bool { return m.crashed }

// capacityPart is the part of its capacity that the machine has now.
func (m *Machine) capacityPart(now float64) float64 {
	c := &m.cfg
	if age := now - m.started; age < c.WarmUpTime {
		return c.ColdCapacity + (1-c.ColdCapacity)*age/c.WarmUpTime
	}
	return 1
}

// overloadLimit is the number of units that may reach the machine within FallTime: the
// multiple of what it can do now, and never below ColdUnits.
func (m *Machine) overloadLimit(now float64) float64 {
	c := &m.cfg
	can := float64(c.Cores) / c.UnitWork * m.capacityPart(now) * c.OverloadWindow
	return max(can*c.OverloadFactor, c.ColdUnits)
}

// Arrive takes an attempt; reply is called exactly once unless the machine dies.
func (m *Machine) Arrive(now float64, do diskproto.Do, reply func(diskproto.Answer)) {
	m.Advance(now)
	m.countColdArrival(now, do.Units)
	j := &job{request: do, reply: reply, arrived: now}
	switch {
	case do.Shard != m.shard:
		reply(diskproto.Answer{Result: diskproto.WrongShard})
	case m.draining || m.crashed:
		reply(diskproto.Answer{Result: diskproto.Draining})
	case len(m.queue) >= m.cfg.QueueLimit:
		reply(diskproto.Answer{Result: diskproto.Full})
	default:
		m.queue = append(m.queue, j)
		m.startJobs(now)
	}
}

// countColdArrival counts work that reaches a cold machine, taken or not.
func (m *Machine) countColdArrival(now, units float64) {
	if now-m.started >= m.cfg.WarmUpTime {
		return
	}
	m.coldArrivals = slices.DeleteFunc(m.coldArrivals, func(p coldArrival) bool { return p.arrivedAt <= now-m.cfg.OverloadWindow })
	m.coldArrivals = append(m.coldArrivals, coldArrival{now, units})
	total := 0.0
	for _, p := range m.coldArrivals {
		total += p.units
	}
	if total > m.overloadLimit(now) {
		m.crashed = true
	}
}

// startJobs gives waiting requests to free cores. A request whose deadline is past
// is not begun: that is what its sender counts on.
func (m *Machine) startJobs(now float64) {
	for len(m.queue) > 0 && len(m.running) < m.cfg.Cores && now >= m.stalledUntil {
		j := m.queue[0]
		m.queue = m.queue[1:]
		if float64(j.request.Deadline)/1000 <= now {
			j.reply(diskproto.Answer{Result: diskproto.Expired})
			continue
		}
		work := m.serviceTime(now, j)
		if m.rng.Float64() < m.faults.FailShare {
			j.fails, work = true, 1
		}
		m.execute(now, j)
		j.endsAt = now + work
		heap.Push(&m.running, j)
	}
}

// serviceTime is how long the request takes on one core.
func (m *Machine) serviceTime(now float64, j *job) float64 {
	c := &m.cfg
	w := c.UnitWork * j.request.Units * (1 + c.Spread*(2*m.rng.Float64()-1))
	if scsi.Op(j.request.Op).Writes() {
		w *= c.WriteFactor
		m.deferredWork += w * c.DeferredWriteShare
		w *= 1 - c.DeferredWriteShare
	}
	if slices.Contains(m.recentKeys, j.request.Key) {
		w *= c.CacheHitFactor
	} else if c.CacheEntries > 0 {
		m.recentKeys = append(m.recentKeys, j.request.Key)
		m.recentKeys = m.recentKeys[max(len(m.recentKeys)-c.CacheEntries, 0):]
	}
	if m.faults.SlowFactor > 0 {
		w *= m.faults.SlowFactor
	}
	return w / max(1-m.faults.StolenShare, 0.05) / m.capacityPart(now)
}

// execute carries the request out as it begins, so that its deadline bounds when
// it can still change blocks. One that fails has run half of the times.
func (m *Machine) execute(now float64, j *job) {
	d := &j.request
	if j.fails && m.rng.IntN(2) == 0 {
		j.result = diskproto.Answer{Result: diskproto.Failed}
		return
	}
	apply := func() (r diskproto.Result, data []byte) {
		r, data, j.requiredSeq = m.store.apply(now, d)
		return r, data
	}
	a := &j.result
	switch {
	case m.store.Stale(d.Gen):
		a.Result = diskproto.Stale
	case d.Effect == diskproto.Keyed:
		if a.Result, a.Data, a.Dropped = m.dedup.runOnce(now, d, apply); a.Dropped {
			j.requiredSeq = m.store.lastSeq()
		}
	default:
		a.Result, a.Data = apply()
	}
	d.Data = nil // what was written isn't needed any more
	if j.fails {
		*a = diskproto.Answer{Result: diskproto.Failed}
	}
}

// NextEventAt is when Advance has something to do, +Inf if never.
func (m *Machine) NextEventAt() float64 {
	at := min(m.pauseAt, m.flushAt)
	if len(m.running) > 0 {
		at = min(at, m.running[0].endsAt)
	}
	if len(m.queue) > 0 && m.stalledUntil > 0 {
		at = min(at, max(m.stalledUntil, 0))
	}
	return at
}

// Advance does what has come due by now.
func (m *Machine) Advance(now float64) {
	for {
		at := m.NextEventAt()
		if at > now {
			m.startJobs(now)
			return
		}
		switch {
		case at == m.pauseAt:
			m.stall(at, m.faults.PauseLength)
			m.pauseAt = at + m.faults.PauseLength + m.faults.PauseInterval
		case at == m.flushAt:
			m.stall(at, m.deferredWork/float64(m.cfg.Cores))
			m.deferredWork = 0
			m.flushAt = at + max(m.cfg.FlushInterval, 1)*(0.5+m.rng.Float64())
			if m.cfg.FlushInterval <= 0 {
				m.flushAt = math.Inf(1)
			}
		case len(m.running) > 0 && at == m.running[0].endsAt:
			m.finish(at, heap.Pop(&m.running).(*job))
			m.startJobs(at)
		default:
			m.stalledUntil = 0
			m.startJobs(at)
		}
	}
}

// stall stops the machine: what runs ends later, nothing begins.
func (m *Machine) stall(now, d float64) {
	if d <= 0 {
		return
	}
	for _, j := range m.running {
		j.endsAt += d // all by the same, so the heap stands
	}
	m.stalledUntil = max(m.stalledUntil, now) + d
}

func (m *Machine) finish(now float64, j *job) {
	a := j.result
	if a.Result == diskproto.OK || a.Result == diskproto.Miscompare {
		m.Served++
		a.Use, a.Others = m.meter.add(now, m.faults.UsageDelay, m.shard, j.request.Host, j.request.Volume, j.request.Units)
	}
	if m.store.replyWhenCopied(now, j.requiredSeq, func() { m.RunAsEvent(func() { j.reply(a) }) }) {
		j.reply(a)
	}
}

// UsageMeter adds up what volumes use, over all disk servers.
type UsageMeter struct {
	// Rate tells a volume's rate in units a second, Period the span in ms.
	Rate   func(volume string) float64
	Period float64

	mu            sync.Mutex
	usage         map[string]*volumeUsage
	unitsByOthers map[hostVolumeKey]float64
	knownHosts    map[hostVolumeKey]map[uint64]bool
}

type volumeUsage struct {
	period               int
	units, previousUnits float64
	previousSetAt        float64
}

type hostVolumeKey struct {
	shard  uint32
	host   uint64
	volume string
}

// add enters units and returns what the answer is to tell. The late meter of
// report_late tells the figures of a past period only once they are so old.
func (t *UsageMeter) add(now, late float64, shard uint32, host uint64, volume string, units float64) (uint32, float64) {
	if t == nil || t.Period <= 0 {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.usage == nil {
		t.usage, t.unitsByOthers, t.knownHosts = map[string]*volumeUsage{}, map[hostVolumeKey]float64{}, map[hostVolumeKey]map[uint64]bool{}
	}
	u := t.usage[volume]
	if u == nil {
		u = &volumeUsage{}
		t.usage[volume] = u
	}
	if p := int(now / t.Period); p != u.period {
		u.previousUnits, u.previousSetAt = u.units, now
		if p != u.period+1 {
			u.previousUnits = 0
		}
		u.period, u.units = p, 0
	}
	u.units += units
	all := hostVolumeKey{shard, 0, volume}
	known := t.knownHosts[all]
	if known == nil {
		known = map[uint64]bool{}
		t.knownHosts[all] = known
	}
	known[host] = true
	for h := range known {
		if h != host {
			t.unitsByOthers[hostVolumeKey{shard, h, volume}] += units
		}
	}
	mine := hostVolumeKey{shard, host, volume}
	got := t.unitsByOthers[mine]
	t.unitsByOthers[mine] = 0
	rate := t.Rate(volume) * t.Period / 1000
	if rate <= 0 || now-u.previousSetAt < late {
		return 0, got
	}
	return uint32(1 + 100*u.previousUnits/rate), got
}
