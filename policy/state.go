package policy

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// The state that the decisions in policy.go work on.

type request struct {
	Request
	terms    *Settings // that it was taken under
	class    *Class
	flow     int
	shard    *shard
	vol      *volume
	arrived  float64
	first    float64 // when its client first tried it
	aimAt    float64
	value    float64 // worth for each unit, as far as due
	rank     float64 // value, with equals spread
	attempts int
	out      int
	sentAt   float64
	sentTo   *node
	sentCold float64 // the node's coldAt then
	ran      bool    // an attempt may have run, first sent at ranAt to ranNode
	ranAt    float64
	ranNode  *node
	queued   bool // in the shard's main queue, retries or parked
	list     *list
	slot     int     // its place in list, where it is in one
	halfAt   float64 // until then it may wait without a node having had it
	halved   bool    // that time is over
	stray    bool    // its attempt was given up as lost
	reached  bool    // a node has had it, or may have
	charged  bool    // its volume's limit has given the units for it
	drawn    float64 // its lot among requests of its worth, see amongDearest; 0: none yet
	left     bool    // its chain counts it no more
	done     bool
}

// over tells whether nothing can come of r any more.
func (r *request) over() bool { return r.done && r.out == 0 }

// volume is what one volume is due through this host.
type volume struct {
	plan            *Plan
	seen            float64
	reserve, limit  float64 // levels, in units
	resFill, resCap float64
	limFill, limCap float64
	limFloor        float64
	parts           float64 // of which this host has one
	due, dueFill    float64
	dueCap          float64
	at              float64 // time of the levels
	heldAt          float64 // when its limit last held a request
}

// parts is of how many equal parts a host has one.
func parts(hosts int, share float64) float64 {
	if share <= 0 {
		share = 1
	}
	return float64(max(hosts, 1)) / share
}

type sent struct{ at, units float64 }

// window holds what was noted within a time, oldest first, and its sum. Each
// entry is added and dropped once, whatever the rate.
type window struct {
	all  []sent
	head int
	sum  float64
}

func (w *window) add(at, units float64) {
	w.all = append(w.all, sent{at, units})
	w.sum += units
}

// since drops what is older than t and returns the number and sum of the rest.
func (w *window) since(t float64) (n int, sum float64) {
	for w.head < len(w.all) && w.all[w.head].at < t {
		w.sum -= w.all[w.head].units
		w.head++
	}
	if w.head == len(w.all) {
		w.all, w.head, w.sum = w.all[:0], 0, 0
	} else if w.head > len(w.all)/2 {
		w.all = w.all[:copy(w.all, w.all[w.head:])]
		w.head = 0
	}
	return len(w.all) - w.head, w.sum
}

func (w *window) oldest() float64 { return w.all[w.head].at }

// list keeps requests in the order in which they came; each can be taken out at
// once by its slot, and the gaps are closed when they are half of all.
type list struct {
	all  []*request // nil: a gap
	gaps int
}

func (l *list) add(r *request) {
	r.list, r.slot = l, len(l.all)
	l.all = append(l.all, r)
}

func (l *list) remove(r *request) {
	l.all[r.slot], r.list = nil, nil
	if l.gaps++; 2*l.gaps > len(l.all) {
		l.gaps = 0
		kept := l.all[:0]
		for _, x := range l.all {
			if x != nil {
				x.slot = len(kept)
				kept = append(kept, x)
			}
		}
		clear(l.all[len(kept):])
		l.all = kept
	}
}

func (l *list) len() int { return len(l.all) - l.gaps }

// fading is a count that halves and halves again with time.
type fading struct{ n, at float64 }

func (c *fading) add(now, span float64) { c.addSome(1, now, span) }

func (c *fading) addSome(n, now, span float64) { c.n, c.at = c.value(now, span)+n, now }

func (c *fading) value(now, span float64) float64 { return c.n * math.Exp((c.at-now)/span) }

type node struct {
	Node
	toldOff  bool    // draining or gone
	coldAt   float64 // start that it has still to warm up from
	suspect  bool    // last attempt found no process; one trial at a time
	pause    float64
	holdTill float64
	sends    window // within the last Rules.FallTime and a tick
	easy     fading // of late answers that it served
	hard     fading // and that it turned away
	good     fading // of attempts within some poolSpan that it served
	bad      fading // and that it failed
}

// failing is the part of its late answers that were errors, with a prior of none.
func (n *node) failing(now float64) float64 {
	if n.bad.n == 0 {
		return 0
	}
	bad := n.bad.value(now, poolSpan)
	return bad / (bad + n.good.value(now, poolSpan) + poolWeight)
}

// flow is a plan at a shard.
type flow struct {
	finish   float64
	queue    []*request // by worth
	heldTill float64    // limits hold all of the queue but the fresh until then
	fresh    []*request // that came since
}

// rounding is more, in ms, than the same moment differs by when it is reckoned from two
// others.
const rounding = 1e-6

// next is the dearest of the queue that may go; one that its limit holds is passed over.
// Where limits hold all of it, only what comes is looked at until the first of them lets
// one go: a long queue of limited volumes costs its shard nothing.
func (f *flow) next(p *scheduler, sh *shard) *request {
	if p.now < f.heldTill-rounding && len(f.fresh) <= len(f.queue)+poolMost {
		if r := f.newcomer(p, sh); r != nil {
			return r
		}
		p.wake(f.heldTill+guard, nil, sh)
		return nil
	}
	clear(f.fresh)
	f.fresh, f.heldTill = f.fresh[:0], 0
	held, till := 0, math.Inf(1)
	for _, r := range f.queue {
		p.heldAt = 0
		if p.may(r, sh) {
			return r
		}
		if p.heldAt > 0 {
			held, till = held+1, min(till, p.heldAt)
		}
	}
	if held == len(f.queue) && held > 0 {
		f.heldTill = till
	}
	return nil
}

// newcomer is the dearest of the fresh that may go. Those that limits hold join the rest.
func (f *flow) newcomer(p *scheduler, sh *shard) (best *request) {
	kept := f.fresh[:0]
	for _, r := range f.fresh {
		if !r.queued || r.list != nil {
			continue // sent, parked or over
		}
		p.heldAt = 0
		if p.may(r, sh) {
			if best == nil || byWorth(r, best) < 0 {
				best = r
			}
		} else if p.heldAt > 0 {
			f.heldTill = min(f.heldTill, p.heldAt)
			continue
		}
		kept = append(kept, r)
	}
	clear(f.fresh[len(kept):])
	f.fresh = kept
	return best
}

// shard holds the queue of the node that has the shard.
type shard struct {
	id      int
	node    *node
	ready   []*node // that hold the shard and may be sent to
	listed  bool    // the list that is being taken in changes something here
	touched bool    // what a new object would wait here has changed since cost was reckoned
	cost    float64 // see shardIndex
	slot    int     // its place among the quiet ones and one more; 0: it is none
	flows   []flow
	vtime   float64
	retries list
	parked  list
	room    []*request // for a walk
	// load is the units in the flows and retries; nothing there is due before
	// firstAim, nothing parked leaves before firstEnd: bounds that shed renews.
	load     float64
	firstAim float64
	firstEnd float64
	filed    int // counts what was queued,
	aside    int // and what was parked
	// Limits hold all of the parked that would be seen until asideTill, as long as the
	// mark is the same.
	asideTill float64
	asideMark [2]int
	walked    float64 // time of the last whole walk
	out       []*request
	waiting   int
	depth     float64
	wakeAt    float64 // earliest wake asked for
	fit       *rls
	got       gathered
	took      gathered // the same of what was served alone
	quick     bool     // what the ceiling would put there still meets the aim, one by one
	wasFull   bool     // depth held something back in this second
	lastY     float64
	passed    float64 // when the last that was served was sent
}

// gathered is a fading sum of answers' times.
type gathered struct{ n, time float64 }

func (g *gathered) add(t float64)     { g.n, g.time = g.n+1, g.time+t }
func (g *gathered) fade(keep float64) { g.n, g.time = g.n*keep, g.time*keep }

// mean fills the sum up with so many answers that took the prior.
func (g *gathered) mean(prior, weight float64) float64 {
	return (g.time + weight*prior) / (g.n + weight)
}

// answer is a time that an attempt took.
type answer struct{ at, took float64 }

func medianOf(as []answer, none float64) float64 {
	if len(as) == 0 {
		return none
	}
	t := make([]float64, len(as))
	for i, a := range as {
		t[i] = a.took
	}
	slices.Sort(t)
	return t[len(t)/2]
}

// ask is what a request asked for and would earn a unit.
type ask struct{ worth, units float64 }

type wake struct {
	at float64
	rq *request
	sh *shard
}
type wakes []wake

// manyWakes is the number below which wakes of requests that are over are left
// to come due by themselves.
const manyWakes = 8192

func (w wakes) Len() int           { return len(w) }
func (w wakes) Less(i, j int) bool { return w[i].at < w[j].at }
func (w wakes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *wakes) Push(x any)        { *w = append(*w, x.(wake)) }
func (w *wakes) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

// chain keeps the order of one key.
type chain struct {
	members []*request // the first has not left, others may have
	live    int        // those that have not
	restTo  float64
}

// tried tells a client's further try, which has an id of its own, by what it asks for.
type tried struct{ class, volume, key string }

// turn is when a request that was not served was first tried, and until when its client
// may try it again.
type turn struct{ first, till float64 }

// firstTry is when the client first tried what q asks for; each that was not served has
// one further try at the most.
func (p *scheduler) firstTry(q Request) float64 {
	k := tried{q.Class, q.Volume, q.Key}
	t, ok := p.turned[k]
	delete(p.turned, k)
	if !ok || p.now >= t.till {
		return p.now
	}
	return t.first
}

// turnOff notes that r ends without having been served.
func (p *scheduler) turnOff(r *request) {
	if r.Key != "" && r.class.Deadline > 0 {
		p.turned[tried{r.Class, r.Volume, r.Key}] = turn{r.first, r.first + r.class.Deadline}
	}
}

type scheduler struct {
	s       *Settings // not altered once a request was taken under them
	rng     *rand.Rand
	born    float64
	now     float64
	started bool
	acts    []Action
	nodes   map[string]*node
	shards  []*shard // by id
	listed  []*shard // that the list being taken in changes
	index   shardIndex
	visits  int // nodes and shards looked at one by one: what an event costs as a fleet grows
	reqs    map[string]*request
	vols    map[string]*volume
	chains  map[string]*chain
	wakes   wakes
	stale   int // wakes of requests that are over
	armed   float64
	resends window
	taken   window
	turned  map[tried]turn // requests that were not served, while their clients may try again
	largest float64        // units of a request so far
	heldAt  float64        // when the request just looked at may go by its limit; 0: that does not hold it
	subOn   bool
	askedAt float64
	shares  regulator
	pool    []answer // answers of all nodes
	median  float64  // of their times
	base    float64  // the same when nothing waits
	asked   float64  // units taken since ratedAt
	ratedAt float64
	ownRate float64 // units taken a second, smoothed over some ten seconds
	// recentUnits are the units taken, fading with burstSpan.
	recentUnits fading
	recent      []ask
	ranked      []ask // recent, dearest first
}

// mark changes with whatever comes to the parked or leaves them.
func (sh *shard) mark() [2]int { return [2]int{sh.aside, sh.parked.len()} }

// forgetHeld has everything looked at anew that a limit holds.
func (sh *shard) forgetHeld() {
	sh.asideTill = 0
	for i := range sh.flows {
		sh.flows[i].heldTill = 0
	}
}

// enqueue files r at its shard; further attempts go first.
func (p *scheduler) enqueue(r *request) {
	sh := r.shard
	r.queued = true
	sh.waiting++
	p.touch(sh)
	if r.attempts > 0 {
		sh.retries.add(r)
	} else {
		f := &sh.flows[r.flow]
		if len(f.queue) == 0 {
			f.finish = max(f.finish, sh.vtime)
		}
		i, _ := slices.BinarySearchFunc(f.queue, r, func(x, r *request) int {
			return cmp.Or(byWorth(x, r), -1) // behind its equals
		})
		f.queue, f.fresh = slices.Insert(f.queue, i, r), append(f.fresh, r)
	}
	sh.load += r.Units
	sh.filed++
	sh.firstAim = min(sh.firstAim, r.aimAt)
	p.pump(sh)
}

// remove takes r out of whatever queue it is in.
func (sh *shard) remove(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	sh.waiting--
	if r.list != &sh.parked {
		sh.unload(r)
	}
	if r.list != nil {
		r.list.remove(r)
		return
	}
	f := &sh.flows[r.flow]
	i, _ := slices.BinarySearchFunc(f.queue, r, byWorth)
	for f.queue[i] != r { // equals stand together
		i++
	}
	f.queue = slices.Delete(f.queue, i, i+1)
}

func (sh *shard) unload(r *request) {
	sh.load -= r.Units
	if sh.waiting == sh.parked.len() {
		sh.load, sh.firstAim = 0, math.Inf(1)
	}
}

// regulator sets the flows' shares.
type regulator struct {
	u     []float64
	y     []float64 // last throughputs, then inverse latencies
	fits  []*rls
	units []float64
	lat   []float64
	count []float64
	worth []float64
	aims  []float64
	waitN float64
	waits float64
}

func (g *regulator) init(plans []Plan) {
	n := len(plans)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	for _, pl := range plans {
		g.u = append(g.u, max(pl.Weight, minShare)/sum)
	}
	g.y = make([]float64, 2*n)
	for i := range 2 * n {
		theta := make([]float64, n+2) // own last value, shares, constant
		theta[0], theta[1+i%n] = ownStart, shareStart
		g.fits = append(g.fits, newRLS(theta, forget, maxCov))
	}
	g.clear()
}

func (g *regulator) clear() {
	n := len(g.u)
	g.units, g.lat, g.count = make([]float64, n), make([]float64, n), make([]float64, n)
	g.worth, g.aims = make([]float64, n), make([]float64, n)
	g.waits, g.waitN = 0, 0
}
func (p *scheduler) do(a Action) { p.acts = append(p.acts, a) }

// wake has r looked at, or sh pumped, at that time; a shard keeps one wake.
func (p *scheduler) wake(at float64, r *request, sh *shard) {
	if sh != nil {
		if sh.wakeAt > p.now && sh.wakeAt <= at {
			return
		}
		sh.wakeAt = at
	}
	heap.Push(&p.wakes, wake{at, r, sh})
}

// due runs what has come due and arms the timer for what comes next.
func (p *scheduler) due() {
	for len(p.wakes) > 0 && p.wakes[0].at <= p.now {
		w := heap.Pop(&p.wakes).(wake)
		if w.rq != nil {
			if w.rq.over() {
				p.stale--
			}
			p.expire(w.rq)
		} else if w.at == w.sh.wakeAt {
			p.pump(w.sh)
		}
	}
	if len(p.wakes) > manyWakes && 2*p.stale > len(p.wakes) {
		p.wakes = slices.DeleteFunc(p.wakes, func(w wake) bool { return w.rq != nil && w.rq.over() })
		p.stale = 0
		heap.Init(&p.wakes)
	}
	if len(p.wakes) > 0 && p.wakes[0].at < p.armed {
		p.armed = p.wakes[0].at
		p.do(SetTimer{max(p.armed-p.now, 0), "wake"})
	}
}

// resetDepth forgets what was learnt of the shard's node.
func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = max(p.floor(), 1)
	sh.fit = newRLS([]float64{0, depthGain, depthGain}, forget, maxCov)
	sh.got, sh.took = gathered{}, gathered{}
}

// shard returns the queue of shard id, made if need be.
func (p *scheduler) shard(id int) *shard {
	i, ok := slices.BinarySearchFunc(p.shards, id, func(sh *shard, id int) int { return cmp.Compare(sh.id, id) })
	if !ok {
		sh := &shard{id: id, firstAim: math.Inf(1), firstEnd: math.Inf(1), flows: make([]flow, len(p.s.Plans))}
		p.resetDepth(sh)
		p.shards = slices.Insert(p.shards, i, sh)
	}
	return p.shards[i]
}

func (p *scheduler) chainOf(r *request) *chain {
	if !r.class.Ordered || r.Key == "" {
		return nil
	}
	c := p.chains[r.Key]
	if c == nil {
		c = &chain{restTo: math.Inf(-1)}
		p.chains[r.Key] = c
	}
	return c
}

// served counts an answer towards this second.
func (g *regulator) served(r *request, latency float64) {
	i := r.flow
	g.units[i] += r.Units
	g.lat[i] += latency
	g.count[i]++
	g.worth[i] += r.value * r.Units
	g.aims[i] += r.class.Aim
	g.waits += r.sentAt - r.arrived
	g.waitN++
}

// tightWait is the mean wait in the queues, at most the aim.
func (g *regulator) tightWait(aim float64) float64 {
	return min(g.waits/max(g.waitN, 1), aim)
}

// dropIdle forgets volumes unused for so long and full again, and rested keys.
func (p *scheduler) dropIdle(after float64) {
	for id, v := range p.vols {
		full := v.limit+v.limFill*(p.now-v.at)/1000 >= v.limCap
		if full && p.now-v.seen > after {
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

// dearest returns what waits in the shard's flows by worth: the flows, each in
// that order, are merged; equals go by flow.
func (sh *shard) dearest(buf []*request) []*request {
	heads := make([][]*request, len(sh.flows))
	for i := range sh.flows {
		heads[i] = sh.flows[i].queue
	}
	for buf = buf[:0]; ; {
		best := -1
		for i, h := range heads {
			if len(h) > 0 && (best < 0 || byWorth(h[0], heads[best][0]) < 0) {
				best = i
			}
		}
		if best < 0 {
			return buf
		}
		buf = append(buf, heads[best][0])
		heads[best] = heads[best][1:]
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
		vols: map[string]*volume{}, chains: map[string]*chain{}, turned: map[tried]turn{},
	}
	p.shares.init(p.s.Plans)
	return p
}

func (p *scheduler) tightest() float64 {
	low := math.Inf(1)
	for i := range p.s.Classes {
		low = min(low, p.s.Classes[i].Aim)
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
		p.list(ev)
	case ListFailed:
		p.subOn = false
	case Request:
		p.take(ev)
	case Outcome:
		p.outcome(ev)
	case Part:
		p.repart(ev)
	case Revised:
		p.revise(ev.Settings)
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
			p.second()
		} else {
			p.armed = math.Inf(1)
		}
	}
	p.due()
	return p.acts
}

// finish lets go of what r holds; attempts still out keep only its record.
func (p *scheduler) finish(r *request) {
	r.done = true
	r.shard.remove(r)
	if r.out == 0 {
		delete(p.reqs, r.ID)
		p.stale++
	} else {
		p.do(Withdraw{r.ID, r.attempts - 1}) // nothing begins for what is over
	}
	p.release(r)
}

// release drops what is over from r's chain and files its next request.
func (p *scheduler) release(r *request) {
	c := p.chainOf(r)
	if c == nil {
		return
	}
	if r.done && r.out == 0 && !r.left {
		r.left = true
		c.live--
	}
	for len(c.members) > 0 && c.members[0].left {
		c.members = c.members[1:]
	}
	if len(c.members) == 0 {
		if p.now >= c.restTo {
			delete(p.chains, r.Key)
		}
		return
	}
	h := c.members[0]
	if h.done || h.queued || h.out > 0 || h.attempts > 0 {
		return
	}
	if p.now < c.restTo {
		p.wake(c.restTo, h, nil)
		return
	}
	p.enqueue(h)
}

// repart gives a volume another part of what its plan has.
func (p *scheduler) repart(e Part) {
	v := p.vols[e.Volume]
	if v == nil {
		return
	}
	p.volume(Request{Volume: e.Volume}, v.plan) // levels of now
	p.redivide(v, v.plan, parts(e.Hosts, e.Share))
	p.lookAgain()
}

// lookAgain has everything looked at that a limit may have held.
func (p *scheduler) lookAgain() {
	for _, sh := range p.shards {
		sh.forgetHeld()
		p.pumpWaiting(sh)
	}
}

// revise takes other settings. Flows keep their numbers: those of a plan that is gone are
// kept for what still waits in them, and then for a plan that is new.
func (p *scheduler) revise(s Settings) {
	old, next := p.s.Plans, s.filledIn()
	next.Plans = p.slots(old, next.Plans)
	p.s = next
	byPlan := make(map[*Plan]*Plan, len(old))
	for i := range old {
		byPlan[&old[i]] = &next.Plans[i]
	}
	for id, v := range p.vols {
		if plan := byPlan[v.plan]; plan != nil && plan.Name == v.plan.Name {
			seen := v.seen
			p.volume(Request{Volume: id}, v.plan) // levels of now, filled at the old rates
			p.redivide(v, plan, v.parts)
			v.seen = seen
		}
	}
	for i, n := len(old), len(next.Plans); i < n; i++ {
		p.shares.grow(next.Plans)
		for _, sh := range p.shards {
			sh.flows = append(sh.flows, flow{finish: sh.vtime})
		}
	}
	p.lookAgain()
}

// slots gives the new plans numbers: their own where they had one, then those of plans
// that nothing waits for any more, then further ones.
func (p *scheduler) slots(old, next []Plan) []Plan {
	used := make([]bool, len(old))
	for _, r := range p.reqs {
		used[r.flow] = true
	}
	for i := range old {
		used[i] = used[i] || slices.ContainsFunc(next, func(n Plan) bool { return n.Name == old[i].Name })
	}
	out := slices.Clone(old)
	for _, n := range next {
		i := slices.IndexFunc(old, func(o Plan) bool { return o.Name == n.Name })
		if i < 0 {
			i = slices.Index(used, false)
		}
		if i < 0 {
			out = append(out, n)
			continue
		}
		out[i], used[i] = n, true
	}
	return out
}

// grow makes room for one more flow; what was learnt of the others stays.
func (g *regulator) grow(plans []Plan) {
	n := len(g.u)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	g.u = append(g.u, max(plans[n].Weight, minShare)/sum)
	rest := 1 - g.u[n]
	for i := range n {
		g.u[i] *= rest
	}
	fits, y := g.fits, g.y
	g.fits, g.y = nil, make([]float64, 2*n+2)
	for half := range 2 {
		for i := range n {
			g.y[half*(n+1)+i] = y[half*n+i]
			g.fits = append(g.fits, fits[half*n+i].grown(n+1))
		}
		theta := make([]float64, n+3)
		theta[0], theta[1+n] = ownStart, shareStart
		g.fits = append(g.fits, newRLS(theta, forget, maxCov))
	}
	units, lat, count, worth, aims := g.units, g.lat, g.count, g.worth, g.aims
	waits, waitN := g.waits, g.waitN
	g.clear()
	copy(g.units, units)
	copy(g.lat, lat)
	copy(g.count, count)
	copy(g.worth, worth)
	copy(g.aims, aims)
	g.waits, g.waitN = waits, waitN
}

// with is the utility of flow i with so much more share.
func (g *regulator) with(i int, u []float64, more float64) float64 {
	old := u[i]
	u[i] += more
	defer func() { u[i] = old }()
	return g.utility(i, u)
}

// newNode is a node's record before the list's entry is taken in.
func newNode(e Node) *node {
	n := &node{coldAt: math.Inf(-1), toldOff: true}
	n.Addr, n.Shard = e.Addr, e.Shard
	return n
}
