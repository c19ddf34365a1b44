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

// MachineConfig describes the performance of a disk server. Times are in milliseconds.
type MachineConfig struct {
	Cores              int
	QueueLimit         int     // waiting requests beyond which a request is refused as Full
	UnitWork           float64 // service time of one unit of a read on one core
	WriteFactor        float64 // service time of a write relative to a read
	Spread             float64 // largest relative random deviation of the service time
	CacheEntries       int     // keys whose data is cached
	CacheHitFactor     float64 // service time of a request for cached data relative to others
	DeferredWriteShare float64 // share of a write's work that is deferred to the next flush
	FlushInterval      float64 // mean time between flushes; 0 for none
	// Capacity grows linearly from ColdCapacity, a share of the full one, to 1 within WarmUpTime.
	// Until then, the machine crashes if the units that arrive within OverloadWindow exceed both
	// ColdUnits and OverloadFactor times those that it can serve in that time.
	ColdCapacity, WarmUpTime, OverloadFactor, OverloadWindow, ColdUnits float64
}

// MachineFaults are the faults of a machine. The zero value has none. Times are in milliseconds.
type MachineFaults struct {
	SlowFactor    float64 // factor of all service times; 0 means 1
	StolenShare   float64 // share of the capacity that another program uses
	FailShare     float64 // share of the requests that fail after 1 ms
	PauseLength   float64 // the machine stalls for so long
	PauseInterval float64 // from the end of a pause to the next; 0 for none
	UsageDelay    float64 // from the first use in a period until the usage of the previous one is reported
}

// job is an attempt that waits or runs on a machine.
type job struct {
	request     diskproto.Do
	reply       func(diskproto.Answer)
	arrived     float64 // ms
	endsAt      float64 // ms
	fails       bool
	result      diskproto.Answer
	requiredSeq uint64 // of the last change that the copy must have before the answer
}

// runHeap orders running jobs by their end.
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

// coldArrival is the arrival of a request while the machine was cold.
type coldArrival struct{ arrivedAt, units float64 }

// Machine simulates the processing of a disk server as a queue with several cores, on the times that
// its methods get. The caller serialises the calls.
type Machine struct {
	cfg     MachineConfig
	rng     *rand.Rand
	store   *ShardStore
	dedup   *DedupCache
	meter   *UsageMeter
	shard   uint32
	started float64 // ms; -Inf if warm from the start
	faults  MachineFaults

	queue        []*job
	running      runHeap
	recentKeys   []string // the keys in the cache, oldest first
	deferredWork float64  // of writes since the last flush, ms on one core
	flushAt      float64
	pauseAt      float64
	stalledUntil float64 // no job starts before
	coldArrivals []coldArrival
	draining     bool
	crashed      bool

	Served int // requests served
	// RunAsEvent calls f later, serialised with the calls of the machine's methods. It delivers
	// answers that had to wait for the copy.
	RunAsEvent func(f func())
}

// NewMachine returns a machine that starts at now, cold or already warm.
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

// SetFaults replaces the faults of the machine.
func (m *Machine) SetFaults(now float64, faults MachineFaults) {
	m.faults, m.pauseAt = faults, math.Inf(1)
	if faults.PauseInterval > 0 {
		m.pauseAt = now + faults.PauseInterval*m.rng.Float64()
	}
}

// Drain makes the machine finish the accepted requests and refuse new ones.
func (m *Machine) Drain() { m.draining = true }

// Idle reports whether no job waits or runs.
func (m *Machine) Idle() bool { return len(m.queue)+len(m.running) == 0 }

// Crashed reports whether the machine was overloaded while cold.
func (m *Machine) Crashed() bool { return m.crashed }

// capacityPart returns the share of its full capacity that the machine has now.
func (m *Machine) capacityPart(now float64) float64 {
	cfg := &m.cfg
	if age := now - m.started; age < cfg.WarmUpTime {
		return cfg.ColdCapacity + (1-cfg.ColdCapacity)*age/cfg.WarmUpTime
	}
	return 1
}

// overloadLimit returns the number of units that may arrive within OverloadWindow without a crash.
func (m *Machine) overloadLimit(now float64) float64 {
	cfg := &m.cfg
	capacity := float64(cfg.Cores) / cfg.UnitWork * m.capacityPart(now) * cfg.OverloadWindow
	return max(capacity*cfg.OverloadFactor, cfg.ColdUnits)
}

// Arrive accepts or refuses an attempt. reply is called once, unless the machine ends or the answer
// waits for the copy and the shard gets another home first.
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

// countColdArrival counts the units that reach a cold machine, refused ones included, and crashes the
// machine above the limit.
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

// startJobs starts waiting jobs on free cores. A job whose deadline has passed is never started: the
// sender relies on this.
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

// serviceTime returns how long the request takes on one core, ms.
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

// execute applies the request when its job starts, so that no block changes after the deadline. Of
// the requests that fail, half are applied.
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
	request.Data = nil // no longer needed
	if attempt.fails {
		*answer = diskproto.Answer{Result: diskproto.Failed}
	}
}

// NextEventAt returns the time of the next event for Advance, +Inf if there is none.
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

// Advance processes all events that are due by now.
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

// stall stops the machine for a time: running jobs end later and no job starts.
func (m *Machine) stall(now, duration float64) {
	if duration <= 0 {
		return
	}
	for _, j := range m.running {
		j.endsAt += duration // the same for all, so the heap order stays valid
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

// UsageMeter adds up the units that volumes use on all disk servers.
type UsageMeter struct {
	Rate   func(volume string) float64 // a volume's limit in units per second
	Period float64                     // length of a metering period in ms; 0 switches the meter off

	mu            sync.Mutex
	usage         map[string]*volumeUsage
	unitsByOthers map[hostVolumeKey]float64         // units of other hosts since the host's last answer
	knownHosts    map[hostVolumeKey]map[uint64]bool // hosts that used the volume; keyed with host 0
}

// volumeUsage is the usage of a volume in the current and the previous period.
type volumeUsage struct {
	period               int // number of the current period
	units, previousUnits float64
	previousSetAt        float64 // ms
}

type hostVolumeKey struct {
	shard  uint32
	host   uint64 // 0 for all hosts
	volume string
}

// add counts units of a host and returns the two figures of its answer: 1 plus the percentage of the
// volume's rate used in the previous period, or 0 if the volume has no rate or the current period
// started less than usageDelay ms ago; and the units that other hosts used of the volume on this
// shard since this host's last answer.
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
