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
	"merlinhitch/internal/runtime/locks"
	"merlinhitch/internal/runtime/writequeue"
	"merlinhitch/internal/simulation/faultinject"
	"merlinhitch/policy"
)

// host runs a core on a goroutine of its own, which handles posted events in order.
type host struct {
	environment   env.Environment
	core          *core
	pool          *connPool
	fetchNodeList func()
	log           *zap.Logger
	hostIndex     int

	mu        locks.Mutex
	queue     []event
	stopped   bool
	wake      env.Parker
	stopBegun env.Gate // opened when stop begins
	done      env.Gate

	leaseEndBits atomic.Uint64 // float64 bits of the lease's end, ms; +Inf without regions
	requestLease func()        // starts a lease request at once
	alarm        env.WakeTimer
	bufferPool   sync.Pool
	unflushed    pendingWrites // queues with data buffered by the current batch of events
}

// eventKind says which of an event's fields are set and what handle does.
type eventKind int

const (
	eventSubmit eventKind = iota
	eventAnswered
	eventAttemptFailed
	eventNodeList
	eventRun // calls a function with the core
	eventLeaseGranted
	eventSettings
	eventStop
)

type event struct {
	kind     eventKind
	job      *job
	attempt  *attempt
	answer   *diskproto.Answer
	result   policy.Result
	buffer   *[]byte // holds the answer's data; returned to the pool once the event is handled
	list     inventory.List
	grant    *region.Grant
	run      func(*core)
	settings *settings.Settings
}

func newHost(w env.Environment, s *settings.Settings, hostIndex int, hostName, zone string, keyHolder *keys.Credentials, log *zap.Logger) *host {
	h := &host{environment: w, log: log, hostIndex: hostIndex, wake: w.NewParker(), fetchNodeList: func() {}}
	h.core = newCore(env.MS(w.Now()), s, hostIndex, zone, w.RandomUint64(), h)
	h.pool = newConnPool(w, h, hostName, env.Duration(s.Limits.DialTimeout), log)
	h.requestLease = func() {}
	if h.setLeaseEnd(math.Inf(1)); s.Regions != nil {
		h.setLeaseEnd(0)
		h.pool.maxClockDrift = s.Regions.Drift
	}
	h.pool.keys = keyHolder
	w.Go(h.run)
	return h
}

// post queues an event and never blocks; it returns false if the host has stopped. The queue needs
// no bound of its own, since open jobs are bounded and each has one event for its submission and
// one for each attempt.
func (h *host) post(e event) bool {
	h.mu.Lock()
	if h.stopped {
		h.mu.Unlock()
		return false
	}
	h.queue = append(h.queue, e)
	h.mu.Unlock()
	h.wake.Unpark()
	return true
}

// maxFlushDelay is how long, ms, a batch of events may hold data before it is written.
const maxFlushDelay = 2

func (h *host) run() {
	defer h.done.Open()
	var events []event
	for {
		h.wake.Park()
		h.mu.Lock()
		events, h.queue = h.queue, events[:0]
		h.mu.Unlock()
		now := h.runDue()
		lastFlush := now
		for i := range events {
			if events[i].kind == eventStop {
				return
			}
			h.handle(now, &events[i])
			events[i] = event{}
			if now = h.runDue(); now-lastFlush > maxFlushDelay {
				h.unflushed.flush()
				lastFlush = now
			}
		}
		h.unflushed.flush()
		h.setAlarm()
	}
}

// runDue runs the core's due timers and returns the time, ms. It is called between events too, so
// that a long batch does not delay timers.
func (h *host) runDue() (now float64) {
	now = env.MS(h.environment.Now())
	h.core.runDue(now)
	return now
}

// getBuffer returns a buffer for an answer's data.
func (h *host) getBuffer() *[]byte {
	if b, ok := h.bufferPool.Get().(*[]byte); ok {
		return b
	}
	return new([]byte)
}

// putBuffer gives a buffer back to the pool; nil is ignored.
func (h *host) putBuffer(b *[]byte) {
	if b != nil {
		h.bufferPool.Put(b)
	}
}

// flushAfterBatch starts the writing of buffered data at the end of the batch of events, so that
// several messages share a write. It must be called on the host's goroutine.
func (h *host) flushAfterBatch(writes *writequeue.Queue) { h.unflushed = append(h.unflushed, writes) }

func (h *host) handle(now float64, e *event) {
	switch e.kind {
	case eventSubmit:
		h.core.submit(now, e.job)
	case eventAnswered:
		j := e.attempt.job
		j.dataBuffer = e.buffer
		h.core.receiveAnswer(now, e.attempt, e.answer)
		h.putBuffer(j.dataBuffer) // nil if the command took the buffer over
		j.dataBuffer = nil
	case eventAttemptFailed:
		h.core.failAttempt(now, e.attempt, e.result)
	case eventNodeList:
		h.core.updateNodes(now, e.list)
	case eventLeaseGranted:
		h.core.applyGrant(now, e.grant)
	case eventSettings:
		h.core.updateSettings(now, e.settings)
	case eventRun:
		e.run(h.core)
	}
}

// setAlarm wakes the goroutine at the core's next timer.
func (h *host) setAlarm() {
	due := h.core.nextDue()
	if faultinject.Active(faultinject.WakeupLost) && h.alarm.Due() > 0 && due >= h.alarm.Due() {
		return
	}
	h.alarm.Set(h.environment, env.MS(h.environment.Now()), due, h.wake.Unpark)
}

// runAndWait runs f on the host's goroutine and waits for it. It returns false if the host stopped
// first.
func (h *host) runAndWait(f func(*core)) bool {
	var ready env.Gate
	h.post(event{kind: eventRun, run: func(c *core) { f(c); ready.Open() }})
	env.WaitAny(h.environment, &ready, &h.done)
	return ready.Opened()
}

// stop ends the goroutine and the connections to disk servers.
func (h *host) stop() {
	h.mu.Lock()
	if !h.stopped {
		h.queue = append(h.queue, event{kind: eventStop})
		h.stopped = true
		h.stopBegun.Open()
	}
	h.mu.Unlock()
	h.wake.Unpark()
	h.done.Wait(h.environment)
	h.alarm.Stop()
	h.pool.close()
}

// The methods of effectHandler. They are called on the host's goroutine.

func (h *host) send(a *attempt)            { h.pool.send(a) }
func (h *host) cancel(a *attempt)          { h.pool.cancel(a) }
func (h *host) attemptTimedOut(a *attempt) { h.pool.attemptTimedOut(a) }
func (h *host) retire(node string)         { h.pool.retire(node) }
func (h *host) fetchList()                 { h.fetchNodeList() }
func (h *host) warn(text string)           { h.log.Warn(text) }
func (h *host) renewLease()                { h.requestLease() }
func (h *host) setLeaseEnd(end float64)    { h.leaseEndBits.Store(math.Float64bits(end)) }

// leaseValid reports whether the host holds a lease now. Without one it must not accept commands.
func (h *host) leaseValid() bool {
	return env.MS(h.environment.Now()) < math.Float64frombits(h.leaseEndBits.Load())
}

func (h *host) jobEnded(j *job, outcome jobOutcome, retryAfter float64, answer *diskproto.Answer) {
	j.owner.jobEnded(j, outcome, retryAfter, answer)
}

func (h *host) jobSettled(j *job) { j.owner.jobSettled() }

// sortedByTag returns the attempts in the order in which they were sent, so that the order of their
// outcomes is deterministic.
func sortedByTag(outstanding map[uint32]*attempt) []*attempt {
	var sorted []*attempt
	for _, a := range outstanding {
		sorted = append(sorted, a)
	}
	slices.SortFunc(sorted, func(a, b *attempt) int { return cmp.Compare(a.tag, b.tag) })
	return sorted
}
