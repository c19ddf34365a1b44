package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// The scheduler's state, its event handler and its periodic work.

// start arms the periodic timer with a random phase, so that hosts do not all
// adjust at the same moment, and subscribes to the node list if necessary.
func (p *scheduler) start() {
	p.started, p.startedAt, p.rateUpdatedAt = true, p.now, p.now
	p.medianTime = p.minLatencyTarget() * targetFraction / 2
	p.unloadedServiceTime = p.medianTime
	p.emit(SetTimer{samplePeriod * (0.5 + p.rng.Float64()/2), "second"})
	p.subscribe()
}

// subscribe asks for a subscription if the node list needs one and none is
// active, at most once per resubscribeInterval.
func (p *scheduler) subscribe() {
	if p.settings.MustSubscribe && !p.subscribed &&
		(p.lastSubscribe == 0 || p.now-p.lastSubscribe >= resubscribeInterval) {
		p.emit(Subscribe{true})
		p.lastSubscribe = p.now
	}
}

// everySecond updates the rates, depths, routing costs and plan shares, and
// removes what is out of date.
func (p *scheduler) everySecond() {
	p.emit(SetTimer{samplePeriod, "second"})
	p.subscribe()
	p.updateArrivalRate()
	p.rankedDemand = append(p.rankedDemand[:0], p.recentDemand...)
	slices.SortFunc(p.rankedDemand, func(a, b demand) int { return cmp.Compare(b.rank, a.rank) })
	p.medianTime = medianServiceTime(p.serviceSamples, p.minLatencyTarget()*targetFraction/2)
	if len(p.serviceSamples) >= minSamples {
		p.unloadedServiceTime = min(p.unloadedServiceTime+unloadedGain*(p.medianTime-p.unloadedServiceTime),
			p.medianTime)
	}
	for _, sh := range p.shards {
		p.updateDepth(sh)
		p.dispatchWaiting(sh)
	}
	p.rebuildIndex()
	p.serviceSamples = slices.DeleteFunc(p.serviceSamples,
		func(a serviceSample) bool { return p.now-a.recordedAt > sampleSpan })
	p.shares.step()
	p.removeIdle(volumeIdleTime)
}

type scheduler struct {
	settings       *Settings // replaced, never modified: requests keep a reference
	rng            *rand.Rand
	startedAt      float64
	now            float64
	started        bool
	actions        []Action
	nodes          map[string]*node
	shards         []*shard // sorted by id
	changed        []*shard // shards that the node list being applied affects
	index          shardIndex
	visits         int // nodes and shards examined so far; tests bound the cost of an event by it
	requests       map[string]*request
	volumes        map[string]*volumeBuckets
	keyQueues      map[string]*keyQueue
	timers         timerHeap
	staleTimers    int                          // timers of requests that are over
	wakeAt         float64                      // time of the earliest "wake" timer that is set
	recentRetries  window                       // attempts after the first, for the retry budget
	recentArrivals window                       // arrivals of requests, for the retry budget
	unserved       map[retryKey]unservedRequest // unserved requests that their clients may still retry
	maxUnitsSeen   float64                      // largest request so far
	// set by maySend: when the volume's limit admits the request; 0: the limit does not delay it
	limitOpensAt        float64
	subscribed          bool
	lastSubscribe       float64
	shares              shareRegulator
	serviceSamples      []serviceSample // recent samples from all nodes
	medianTime          float64         // median of serviceSamples
	unloadedServiceTime float64         // estimate of medianTime without queueing
	unitsSinceUpdate    float64         // units that arrived since rateUpdatedAt
	rateUpdatedAt       float64
	arrivalRate         float64 // units per second, exponentially smoothed
	// recentUnits counts arrived units, decaying with time constant burstMemory.
	recentUnits  decayingCount
	recentDemand []demand
	rankedDemand []demand // recentDemand as of the last second, highest rank first
}

func (p *scheduler) emit(a Action) { p.actions = append(p.actions, a) }

// removeIdle removes volumes that have been unused for longer than idleFor and whose limit's bucket
// is full, unserved requests that can't be retried any more, and key queues without requests whose
// hold-off is over.
func (p *scheduler) removeIdle(idleFor float64) {
	for id, v := range p.volumes {
		full := v.limitLevel+v.limitRate*(p.now-v.refilledAt)/1000 >= v.limitCap
		if full && v.pending == 0 && p.now-v.lastUsed > idleFor {
			delete(p.volumes, id)
		}
	}
	maps.DeleteFunc(p.unserved, func(_ retryKey, t unservedRequest) bool { return p.now >= t.expires })
	for k, c := range p.keyQueues {
		if c.active == 0 && p.now >= c.blockedUntil {
			delete(p.keyQueues, k)
		}
	}
}

// withDefaults returns a copy of s with at least one plan and one host, and a positive MeanUnits.
func (s Settings) withDefaults() *Settings {
	if len(s.Plans) == 0 {
		s.Plans = []Plan{{Price: 1, Weight: 1}}
	}
	s.Hosts = max(s.Hosts, 1)
	if s.MeanUnits <= 0 {
		s.MeanUnits = 1
	}
	return &s
}

func newScheduler(settings Settings, seed uint64) *scheduler {
	p := &scheduler{
		settings: settings.withDefaults(), rng: rand.New(rand.NewPCG(seed, 0)), wakeAt: math.Inf(1),
		nodes: map[string]*node{}, requests: map[string]*request{},
		volumes: map[string]*volumeBuckets{}, keyQueues: map[string]*keyQueue{},
		unserved: map[retryKey]unservedRequest{},
	}
	p.shares.init(p.settings.Plans)
	return p
}

// minLatencyTarget returns the least latency target of all classes.
func (p *scheduler) minLatencyTarget() float64 {
	lowest := math.Inf(1)
	for i := range p.settings.Classes {
		lowest = min(lowest, p.settings.Classes[i].LatencyTarget)
	}
	if math.IsInf(lowest, 1) {
		return samplePeriod
	}
	return lowest
}

// Handle implements Scheduler.
func (p *scheduler) Handle(now float64, ev Event) []Action {
	p.now, p.actions = now, p.actions[:0]
	if !p.started {
		p.start()
	}
	switch ev := ev.(type) {
	case NodeList:
		p.applyNodeList(ev)
	case ListFailed:
		p.subscribed = false
	case Request:
		p.accept(ev)
	case Outcome:
		p.handleOutcome(ev)
	case ResponseReceived:
		p.releaseDepth(ev)
	case VolumeChanged:
		p.updateDivisor(ev)
	case SettingsChanged:
		p.applySettings(ev.Settings)
	case DeadlineShortened:
		p.shortenDeadline(ev)
	case ClientGone:
		if r := p.requests[ev.ID]; r != nil {
			p.finish(r)
		}
	case Stop:
		for _, id := range slices.Sorted(maps.Keys(p.requests)) {
			if r := p.requests[id]; r != nil && !r.done {
				p.end(r)
			}
		}
	case TimerFired:
		if ev.Name == "second" {
			p.everySecond()
		} else {
			p.wakeAt = math.Inf(1)
		}
	}
	p.runTimers()
	return p.actions
}
