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
func NewMachine(cfg MachineConfig, seed uint64, store *ShardStore, dedup *DedupCache, meter *UsageMeter, shard uint32, now float64, cold bool) *Machine {
	machine := &Machine{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), store: store, dedup: dedup, meter: meter,
		shard: shard, started: math.Inf(-1)}
	if cold {
		machine.started = now
	}
	machine.flushAt = now + cfg.FlushInterval*(0.5+machine.rng.Float64())
	machine.pauseAt = math.Inf(1)
	return machine
}

// SetFaults changes what is wrong with the machine.
func (m *Machine) SetFaults(now float64, faults MachineFaults) {
	m.faults, m.pauseAt = faults, math.Inf(1)
	if faults.PauseInterval > 0 {
		m.pauseAt = now + faults.PauseInterval*m.rng.Float64()
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
	cfg := &m.cfg
	if age := now - m.started; age < cfg.WarmUpTime {
		return cfg.ColdCapacity + (1-cfg.ColdCapacity)*age/cfg.WarmUpTime
	}
	return 1
}

// overloadLimit is the number of units that may reach the machine within FallTime: the
// multiple of what it can do now, and never below ColdUnits.
func (m *Machine) overloadLimit(now float64) float64 {
	cfg := &m.cfg
	capacity := float64(cfg.Cores) / cfg.UnitWork * m.capacityPart(now) * cfg.OverloadWindow
	return max(capacity*cfg.OverloadFactor, cfg.ColdUnits)
}

// Arrive takes an attempt; reply is called exactly once unless the machine dies.
func (m *Machine) Arrive(now float64, request diskproto.Do, reply func(diskproto.Answer)) {
	m.Advance(now)
	m.countColdArrival(now, request.Units)
	attempt := &job{request: request, reply: reply, arrived: now}
	switch {
	case request.Shard != m.shard:
		reply(diskproto.Answer{Result: diskproto.WrongShard})
	case m.draining || m.crashed:
		reply(diskproto.Answer{Result: diskproto.Draining})
	case len(m.queue) >= m.cfg.QueueLimit:
		reply(diskproto.Answer{Result: diskproto.Full})
	default:
		m.queue = append(m.queue, attempt)
		m.startJobs(now)
	}
}

// countColdArrival counts work that reaches a cold machine, taken or not.
func (m *Machine) countColdArrival(now, units float64) {
	if now-m.started >= m.cfg.WarmUpTime {
		return
	}
	m.coldArrivals = slices.DeleteFunc(m.coldArrivals, func(arrival coldArrival) bool { return arrival.arrivedAt <= now-m.cfg.OverloadWindow })
	m.coldArrivals = append(m.coldArrivals, coldArrival{now, units})
	total := 0.0
	for _, arrival := range m.coldArrivals {
		total += arrival.units
	}
	if total > m.overloadLimit(now) {
		m.crashed = true
	}
}

// startJobs gives waiting requests to free cores. A request whose deadline is past
// is not begun: that is what its sender counts on.
func (m *Machine) startJobs(now float64) {
	for len(m.queue) > 0 && len(m.running) < m.cfg.Cores && now >= m.stalledUntil {
		attempt := m.queue[0]
		m.queue = m.queue[1:]
		if float64(attempt.request.Deadline)/1000 <= now {
			attempt.reply(diskproto.Answer{Result: diskproto.Expired})
			continue
		}
		duration := m.serviceTime(now, attempt)
		if m.rng.Float64() < m.faults.FailShare {
			attempt.fails, duration = true, 1
		}
		m.execute(now, attempt)
		attempt.endsAt = now + duration
		heap.Push(&m.running, attempt)
	}
}

// serviceTime is how long the request takes on one core.
func (m *Machine) serviceTime(now float64, attempt *job) float64 {
	cfg := &m.cfg
	work := cfg.UnitWork * attempt.request.Units * (1 + cfg.Spread*(2*m.rng.Float64()-1))
	if scsi.Op(attempt.request.Op).Writes() {
		work *= cfg.WriteFactor
		m.deferredWork += work * cfg.DeferredWriteShare
		work *= 1 - cfg.DeferredWriteShare
	}
	if slices.Contains(m.recentKeys, attempt.request.Key) {
		work *= cfg.CacheHitFactor
	} else if cfg.CacheEntries > 0 {
		m.recentKeys = append(m.recentKeys, attempt.request.Key)
		m.recentKeys = m.recentKeys[max(len(m.recentKeys)-cfg.CacheEntries, 0):]
	}
	if m.faults.SlowFactor > 0 {
		work *= m.faults.SlowFactor
	}
	return work / max(1-m.faults.StolenShare, 0.05) / m.capacityPart(now)
}

// execute carries the request out as it begins, so that its deadline bounds when
// it can still change blocks. One that fails has run half of the times.
func (m *Machine) execute(now float64, attempt *job) {
	request := &attempt.request
	if attempt.fails && m.rng.IntN(2) == 0 {
		attempt.result = diskproto.Answer{Result: diskproto.Failed}
		return
	}
	apply := func() (result diskproto.Result, data []byte) {
		result, data, attempt.requiredSeq = m.store.apply(now, request)
		return result, data
	}
	answer := &attempt.result
	switch {
	case m.store.Stale(request.Gen):
		answer.Result = diskproto.Stale
	case request.Effect == diskproto.Keyed:
		if answer.Result, answer.Data, answer.Dropped = m.dedup.runOnce(now, request, apply); answer.Dropped {
			attempt.requiredSeq = m.store.lastSeq()
		}
	default:
		answer.Result, answer.Data = apply()
	}
	request.Data = nil // what was written isn't needed any more
	if attempt.fails {
		*answer = diskproto.Answer{Result: diskproto.Failed}
	}
}

// NextEventAt is when Advance has something to do, +Inf if never.
func (m *Machine) NextEventAt() float64 {
	next := min(m.pauseAt, m.flushAt)
	if len(m.running) > 0 {
		next = min(next, m.running[0].endsAt)
	}
	if len(m.queue) > 0 && m.stalledUntil > 0 {
		next = min(next, max(m.stalledUntil, 0))
	}
	return next
}

// Advance does what has come due by now.
func (m *Machine) Advance(now float64) {
	for {
		due := m.NextEventAt()
		if due > now {
			m.startJobs(now)
			return
		}
		switch {
		case due == m.pauseAt:
			m.stall(due, m.faults.PauseLength)
			m.pauseAt = due + m.faults.PauseLength + m.faults.PauseInterval
		case due == m.flushAt:
			m.stall(due, m.deferredWork/float64(m.cfg.Cores))
			m.deferredWork = 0
			m.flushAt = due + max(m.cfg.FlushInterval, 1)*(0.5+m.rng.Float64())
			if m.cfg.FlushInterval <= 0 {
				m.flushAt = math.Inf(1)
			}
		case len(m.running) > 0 && due == m.running[0].endsAt:
			m.finish(due, heap.Pop(&m.running).(*job))
			m.startJobs(due)
		default:
			m.stalledUntil = 0
			m.startJobs(due)
		}
	}
}

// stall stops the machine: what runs ends later, nothing begins.
func (m *Machine) stall(now, duration float64) {
	if duration <= 0 {
		return
	}
	for _, j := range m.running {
		j.endsAt += duration // all by the same, so the heap stands
	}
	m.stalledUntil = max(m.stalledUntil, now) + duration
}

func (m *Machine) finish(now float64, attempt *job) {
	answer := attempt.result
	if answer.Result == diskproto.OK || answer.Result == diskproto.Miscompare {
		m.Served++
		answer.Use, answer.Others = m.meter.add(now, m.faults.UsageDelay, m.shard, attempt.request.Host, attempt.request.Volume, attempt.request.Units)
	}
	if m.store.replyWhenCopied(now, attempt.requiredSeq, func() { m.RunAsEvent(func() { attempt.reply(answer) }) }) {
		attempt.reply(answer)
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
func (m *UsageMeter) add(now, usageDelay float64, shard uint32, host uint64, volume string, units float64) (uint32, float64) {
	if m == nil || m.Period <= 0 {
		return 0, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.usage == nil {
		m.usage, m.unitsByOthers, m.knownHosts = map[string]*volumeUsage{}, map[hostVolumeKey]float64{}, map[hostVolumeKey]map[uint64]bool{}
	}
	usage := m.usage[volume]
	if usage == nil {
		usage = &volumeUsage{}
		m.usage[volume] = usage
	}
	if period := int(now / m.Period); period != usage.period {
		usage.previousUnits, usage.previousSetAt = usage.units, now
		if period != usage.period+1 {
			usage.previousUnits = 0
		}
		usage.period, usage.units = period, 0
	}
	usage.units += units
	volumeKey := hostVolumeKey{shard, 0, volume}
	hosts := m.knownHosts[volumeKey]
	if hosts == nil {
		hosts = map[uint64]bool{}
		m.knownHosts[volumeKey] = hosts
	}
	hosts[host] = true
	for other := range hosts {
		if other != host {
			m.unitsByOthers[hostVolumeKey{shard, other, volume}] += units
		}
	}
	hostKey := hostVolumeKey{shard, host, volume}
	byOthers := m.unitsByOthers[hostKey]
	m.unitsByOthers[hostKey] = 0
	unitsPerPeriod := m.Rate(volume) * m.Period / 1000
	if unitsPerPeriod <= 0 || now-usage.previousSetAt < usageDelay {
		return 0, byOthers
	}
	return uint32(1 + 100*usage.previousUnits/unitsPerPeriod), byOthers
}
