package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// The instance: its state, the events that come to it and what it does each second.

// start begins the sampling at a phase of this host's own, so that hosts do
// not all move at once, and asks for the list where it must be asked.
func (p *scheduler) start() {
	p.started, p.startedAt, p.rateUpdatedAt = true, p.now, p.now
	p.medianTime = p.minLatencyTarget() * targetFraction / 2
	p.unloadedServiceTime = p.medianTime
	p.emit(SetTimer{samplePeriod * (0.5 + p.rng.Float64()/2), "second"})
	p.subscribe()
}

// subscribe keeps a subscription up: a host without one counts as told.
func (p *scheduler) subscribe() {
	if p.settings.MustSubscribe && !p.subscribed && (p.lastSubscribe == 0 || p.now-p.lastSubscribe >= resubscribeInterval) {
		p.emit(Subscribe{true})
		p.lastSubscribe = p.now
	}
}

func (p *scheduler) everySecond() {
	p.emit(SetTimer{samplePeriod, "second"})
	p.subscribe()
	p.updateArrivalRate()
	p.rankedDemand = append(p.rankedDemand[:0], p.recentDemand...)
	slices.SortFunc(p.rankedDemand, func(a, b demand) int { return cmp.Compare(b.value, a.value) })
	p.medianTime = medianServiceTime(p.answers, p.minLatencyTarget()*targetFraction/2)
	if len(p.answers) >= minSamples {
		p.unloadedServiceTime = min(p.unloadedServiceTime+baseGain*(p.medianTime-p.unloadedServiceTime), p.medianTime)
	}
	for _, sh := range p.shards {
		p.updateDepth(sh)
		p.dispatchWaiting(sh)
	}
	p.rebuildIndex()
	p.answers = slices.DeleteFunc(p.answers, func(a serviceSample) bool { return p.now-a.recordedAt > answerSpan })
	p.shares.step()
	p.removeIdle(volumeIdleTime)
}

type scheduler struct {
	settings            *Settings // not altered once a request was taken under them
	rng                 *rand.Rand
	startedAt           float64
	now                 float64
	started             bool
	actions             []Action
	nodes               map[string]*node
	shards              []*shard // by id
	changed             []*shard // that the list being taken in changes
	index               shardIndex
	visits              int // nodes and shards looked at one by one: what an event costs as a fleet grows
	requests            map[string]*request
	volumes             map[string]*volumeBuckets
	keyQueues           map[string]*keyQueue
	timers              timerHeap
	staleTimers         int // timers of requests that are over
	wakeAt              float64
	resends             window
	arrivals            window
	unserved            map[retryKey]unservedRequest // requests that were not served, while their clients may try again
	maxUnits            float64                      // units of a request so far
	limitOpensAt        float64                      // when the request just looked at may go by its limit; 0: it is not held
	subscribed          bool
	lastSubscribe       float64
	shares              shareRegulator
	answers             []serviceSample // answers of all nodes
	medianTime          float64         // of their times
	unloadedServiceTime float64         // the same when nothing waits
	unitsSinceUpdate    float64         // units taken since ratedAt
	rateUpdatedAt       float64
	arrivalRate         float64 // units taken a second, smoothed over some ten seconds
	// recentUnits are the units taken, fading with burstSpan.
	recentUnits  decayingCount
	recentDemand []demand
	rankedDemand []demand // recent, dearest first
}

func (p *scheduler) emit(a Action) { p.actions = append(p.actions, a) }

// removeIdle forgets volumes unused for so long and full again, and rested keys.
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
		volumes: map[string]*volumeBuckets{}, keyQueues: map[string]*keyQueue{}, unserved: map[retryKey]unservedRequest{},
	}
	p.shares.init(p.settings.Plans)
	return p
}

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
