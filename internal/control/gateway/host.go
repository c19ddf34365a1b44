package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"merlinhitch/internal/control/keys"
	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// host is the shell of a host core: one goroutine, one order of events.
type host struct {
	world env.Environment
	core  *hostCore
	back  *back
	fetch func()
	log   *zap.Logger
	self  int

	mu      sync.Mutex
	mailbox []event
	stopped bool
	wake    env.Parker
	halted  env.Gate // open as stop begins
	done    env.Gate

	lease   atomic.Uint64 // bits of the lease's end; without regions it never ends
	sooner  func()        // has a lease asked for at once
	alarm   env.WakeTimer
	buffers sync.Pool
	said    heldWrites // what the present batch of events left to be written
}

type eventKind int

const (
	evTake eventKind = iota
	evAnswer
	evLost
	evList
	evAsk
	evGrant
	evRevise
	evStop
)

type event struct {
	kind    eventKind
	job     *job
	attempt *attempt
	answer  *diskproto.Answer
	result  policy.Result
	buffer  *[]byte // what the answer's data lies in, given back once it is handled
	list    inventory.List
	grant   *region.Grant
	ask     func(*hostCore)
	set     *settings.Settings
}

func newHost(w env.Environment, s *settings.Settings, self int, name, zone string, k *keys.Holder, log *zap.Logger) *host {
	h := &host{world: w, log: log, self: self, wake: w.NewParker(), fetch: func() {}}
	h.core = newHostCore(env.MS(w.Now()), s, self, zone, w.RandomUint64(), h)
	h.back = newBack(w, h, name, env.Duration(s.Limits.DialTimeout), log)
	h.sooner = func() {}
	if h.leased(math.Inf(1)); s.Regions != nil {
		h.leased(0)
		h.back.drift = s.Regions.Drift
	}
	h.back.keys = k
	w.Go(h.run)
	return h
}

// post hands an event to the goroutine; it never blocks. What waits is bounded by
// what is open: one event for each request, one for each attempt.
// It tells whether the host still takes events.
func (h *host) post(e event) bool {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return false
	}
	h.mailbox = append(h.mailbox, e)
	h.mu.Unlock()
	h.wake.Unpark()
	return true
}

// heldTime is how long what a batch of events left to be written may be held, ms.
const heldTime = 2

func (h *host) run() {
	defer h.done.Open()
	var events []event
	for {
		h.wake.Park()
		h.mu.Lock()
		events, h.mailbox = h.mailbox, events[:0]
		h.mu.Unlock()
		now := h.tick()
		held := now
		for i := range events {
			if events[i].kind == evStop {
				return
			}
			h.handle(now, &events[i])
			events[i] = event{}
			if now = h.tick(); now-held > heldTime {
				h.said.release()
				held = now
			}
		}
		h.said.release()
		h.arm()
	}
}

// tick does what has come due and tells the time: also between the events of a batch, for
// what is owed by a time goes before new work.
func (h *host) tick() (now float64) {
	now = env.MS(h.world.Now())
	h.core.tick(now)
	return now
}

// buffer returns room for an answer's data.
func (h *host) buffer() *[]byte {
	if b, ok := h.buffers.Get().(*[]byte); ok {
		return b
	}
	return new([]byte)
}

// giveBack returns room for an answer's data.
func (h *host) giveBack(b *[]byte) {
	if b != nil {
		h.buffers.Put(b)
	}
}

// later has what o holds written at the end of the batch: many answers then go
// out in one call of the system. On the host's goroutine only.
func (h *host) later(o *writequeue.Queue) { h.said = append(h.said, o) }

func (h *host) handle(now float64, e *event) {
	switch e.kind {
	case evTake:
		h.core.take(now, e.job)
	case evAnswer:
		j := e.attempt.job
		j.buffer = e.buffer
		h.core.answered(now, e.attempt, e.answer)
		h.giveBack(j.buffer) // the data was copied, or is not wanted, or was taken over
		j.buffer = nil
	case evLost:
		h.core.lost(now, e.attempt, e.result)
	case evList:
		h.core.list(now, e.list)
	case evGrant:
		h.core.granted(now, e.grant)
	case evRevise:
		h.core.revise(now, e.set)
	case evAsk:
		e.ask(h.core)
	}
}

// arm has the goroutine woken when the core next has something to do.
func (h *host) arm() {
	at := h.core.next()
	if faultinject.Active(faultinject.WakeupLost) && h.alarm.Due() > 0 && at >= h.alarm.Due() {
		return
	}
	h.alarm.Set(h.world, env.MS(h.world.Now()), at, h.wake.Unpark)
}

// ask runs f on the host's goroutine and waits for it; false if the host stopped.
func (h *host) ask(f func(*hostCore)) bool {
	var ready env.Gate
	h.post(event{kind: evAsk, ask: func(c *hostCore) { f(c); ready.Open() }})
	env.WaitAny(h.world, &ready, &h.done)
	return ready.Opened()
}

// stop ends the goroutine and the back's connections.
func (h *host) stop() {
	h.mu.Lock()
	if !h.stopped {
		h.mailbox = append(h.mailbox, event{kind: evStop})
		h.stopped = true
		h.halted.Open()
	}
	h.mu.Unlock()
	h.wake.Unpark()
	h.done.Wait(h.world)
	h.alarm.Stop()
	h.back.close()
}

// The effects of the core, on the host's goroutine.

func (h *host) send(a *attempt)      { h.back.send(a) }
func (h *host) cancel(a *attempt)    { h.back.cancel(a) }
func (h *host) forget(a *attempt)    { h.back.forget(a) }
func (h *host) retire(node string)   { h.back.retire(node) }
func (h *host) fetchList()           { h.fetch() }
func (h *host) note(text string)     { h.log.Warn(text) }
func (h *host) renew()               { h.sooner() }
func (h *host) leased(until float64) { h.lease.Store(math.Float64bits(until)) }

// serves tells whether the host may take work now; without a lease it may not.
func (h *host) serves() bool {
	return env.MS(h.world.Now()) < math.Float64frombits(h.lease.Load())
}

func (h *host) finish(j *job, how endKind, after float64, ans *diskproto.Answer) {
	j.owner.partDone(j, how, after, ans)
}

func (h *host) settled(j *job) { j.owner.partSettled() }

func sortedByTag(open map[uint32]*attempt) []*attempt {
	var out []*attempt
	for _, a := range open {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *attempt) int { return cmp.Compare(a.tag, b.tag) })
	return out
}
