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
	p.started, p.born, p.ratedAt = true, p.now, p.now
	p.median = p.tightest() * aimPart / 2
	p.base = p.median
	p.do(SetTimer{period * (0.5 + p.rng.Float64()/2), "second"})
	p.subscribe()
}

// subscribe keeps a subscription up: a host without one counts as told.
func (p *scheduler) subscribe() {
	if p.s.MustSubscribe && !p.subOn && (p.askedAt == 0 || p.now-p.askedAt >= askAgain) {
		p.do(Subscribe{true})
		p.askedAt = p.now
	}
}

func (p *scheduler) everySecond() {
	p.do(SetTimer{period, "second"})
	p.subscribe()
	p.updateOwnRate()
	p.ranked = append(p.ranked[:0], p.recent...)
	slices.SortFunc(p.ranked, func(a, b ask) int { return cmp.Compare(b.worth, a.worth) })
	p.median = medianServiceTime(p.pool, p.tightest()*aimPart/2)
	if len(p.pool) >= minSample {
		p.base = min(p.base+baseGain*(p.median-p.base), p.median)
	}
	for _, sh := range p.shards {
		p.updateDepth(sh)
		p.pumpWaiting(sh)
	}
	p.rebuildIndex()
	p.pool = slices.DeleteFunc(p.pool, func(a serviceSample) bool { return p.now-a.recordedAt > poolSpan })
	p.shares.step()
	p.dropIdle(idleVolume)
}

type scheduler struct {
	s           *Settings // not altered once a request was taken under them
	rng         *rand.Rand
	born        float64
	now         float64
	started     bool
	acts        []Action
	nodes       map[string]*node
	shards      []*shard // by id
	listed      []*shard // that the list being taken in changes
	index       shardIndex
	visits      int // nodes and shards looked at one by one: what an event costs as a fleet grows
	reqs        map[string]*request
	vols        map[string]*volumeBuckets
	chains      map[string]*chain
	timers      timerHeap
	staleTimers int // timers of requests that are over
	armed       float64
	resends     window
	taken       window
	turned      map[tried]turn // requests that were not served, while their clients may try again
	largest     float64        // units of a request so far
	heldAt      float64        // when the request just looked at may go by its limit; 0: it is not held
	subOn       bool
	askedAt     float64
	shares      shareRegulator
	pool        []serviceSample // answers of all nodes
	median      float64         // of their times
	base        float64         // the same when nothing waits
	asked       float64         // units taken since ratedAt
	ratedAt     float64
	ownRate     float64 // units taken a second, smoothed over some ten seconds
	// recentUnits are the units taken, fading with burstSpan.
	recentUnits fading
	recent      []ask
	ranked      []ask // recent, dearest first
}

func (p *scheduler) do(a Action) { p.acts = append(p.acts, a) }

// dropIdle forgets volumes unused for so long and full again, and rested keys.
func (p *scheduler) dropIdle(after float64) {
	for id, v := range p.vols {
		full := v.limitLevel+v.limitRate*(p.now-v.refilledAt)/1000 >= v.limitCap
		if full && v.pending == 0 && p.now-v.lastUsed > after {
			delete(p.vols, id)
		}
	}
	maps.DeleteFunc(p.turned, func(_ tried, t turn) bool { return p.now >= t.till })
	for k, c := range p.chains {
		if c.live == 0 && p.now >= c.restTo {
			delete(p.chains, k)
		}
	}
}

func (s Settings) filledIn() *Settings {
	if len(s.Plans) == 0 {
		s.Plans = []Plan{{Price: 1, Weight: 1}}
	}
	s.Hosts = max(s.Hosts, 1)
	if s.MeanUnits <= 0 {
		s.MeanUnits = 1
	}
	return &s
}

func newScheduler(s Settings, seed uint64) *scheduler {
	p := &scheduler{
		s: s.filledIn(), rng: rand.New(rand.NewPCG(seed, 0)), armed: math.Inf(1),
		nodes: map[string]*node{}, reqs: map[string]*request{},
		vols: map[string]*volumeBuckets{}, chains: map[string]*chain{}, turned: map[tried]turn{},
	}
	p.shares.init(p.s.Plans)
	return p
}

func (p *scheduler) tightest() float64 {
	low := math.Inf(1)
	for i := range p.s.Classes {
		low = min(low, p.s.Classes[i].LatencyTarget)
	}
	if math.IsInf(low, 1) {
		return period
	}
	return low
}

// Handle implements Scheduler.
func (p *scheduler) Handle(now float64, ev Event) []Action {
	p.now, p.acts = now, p.acts[:0]
	if !p.started {
		p.start()
	}
	switch ev := ev.(type) {
	case NodeList:
		p.applyNodeList(ev)
	case ListFailed:
		p.subOn = false
	case Request:
		p.take(ev)
	case Outcome:
		p.outcome(ev)
	case VolumeChanged:
		p.updateDivisor(ev)
	case SettingsChanged:
		p.revise(ev.Settings)
	case DeadlineShortened:
		p.sooner(ev)
	case ClientGone:
		if r := p.reqs[ev.ID]; r != nil {
			p.finish(r)
		}
	case Stop:
		for _, id := range slices.Sorted(maps.Keys(p.reqs)) {
			if r := p.reqs[id]; r != nil && !r.done {
				p.end(r)
			}
		}
	case TimerFired:
		if ev.Name == "second" {
			p.everySecond()
		} else {
			p.armed = math.Inf(1)
		}
	}
	p.runTimers()
	return p.acts
}
