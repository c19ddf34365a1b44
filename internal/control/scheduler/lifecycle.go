package scheduler

import (
	"fmt"
	"math"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/runtime/env"
)

const (
	// readyWait is how long a start waits for discovery's first word: the list it was
	// started with may be old.
	readyWait = 1500 * time.Millisecond
	// After SIGTERM the platform kills no sooner than killExtra after the longest deadline,
	// which it counts as longestCounted at the most. New connections come for a while, for
	// clients hear of a planned stop late; those that they have they use as long as they
	// are open. So these stay open until the last answers have just time enough.
	longestCounted = 3000.0 // ms
	killExtra      = 700.0
	drainAccept    = 600 * time.Millisecond
	drainAnswer    = 400.0 // before the kill nothing new is taken,
	drainMargin    = 300.0 // so long before it all has been answered: a process may be held up for 150,
	drainEnd       = 80.0  // and so long before it the program ends, whoever lingers
	sweepEvery     = time.Second
	// A start waits for its address for so long, and asks for it that often: the platform
	// gives a scheduler 30 s to be ready.
	listenWithin = 10 * time.Second
	listenPause  = 20 * time.Millisecond
	drainPoll    = 20 * time.Millisecond
)

// Parts of the descriptors that clients' connections, those of them that are ending, and
// disk servers' may take; the rest is the process's own.
const (
	clientPart = 0.60
	endingPart = 0.05
	serverPart = 0.30
	fewSockets = 64 // reckoned with where the configuration does not say
	fewMB      = 32
	bodyPart   = 8 // one part of so many of the memory
)

// bytesOf is what bodies on one of their ways may hold at once: of requests, of disk
// servers' answers, of answers to clients.
func bytesOf(c *Config) int64 { return int64(max(c.Limits.MemoryMB, fewMB)) << 20 / bodyPart }

// Scheduler is one running scheduler.
type Scheduler struct {
	world env.Environment
	log   *zap.Logger
	loop  *loop
	core  *core
	back  *back
	front *front
	watch *watch
	told  env.Gate // discovery has spoken
	over  env.Gate
	swept float64
	grace atomic.Uint64 // bits of the ms from SIGTERM to the kill
}

// Start listens and serves until Drain or Close.
func Start(w env.Environment, c *Config, log *zap.Logger) (*Scheduler, error) {
	s := &Scheduler{world: w, log: log, loop: newLoop(w)}
	listenedAt := s.loop.now()
	listener, err := listen(w, c.Listen, log) // first of all: clients may come already
	if err != nil {
		return nil, err
	}
	sockets := max(c.Limits.Sockets, fewSockets)
	born := w.Deadline(0).UnixMilli() - epoch
	s.back = newBack(w, s.loop, c, int(float64(sockets)*serverPart))
	s.core = newCore(born, c, s)
	s.back.core = s.core
	events := newEventLog(log)
	s.core.log, s.loop.log, s.back.log = events, events, events
	known := c.Known
	known.Whole = true
	s.back.notices.take(known)
	s.core.start(known)
	s.loop.ticked = s.sweep
	s.front = &front{world: w, listener: listener, listenedAt: listenedAt, loop: s.loop, core: s.core, log: events, most: int(float64(sockets) * clientPart), ending: int(float64(sockets) * endingPart)}
	s.know(c)
	w.Go(func() { s.loop.run(s.core) })
	s.loop.wake.Unpark()
	s.watch = newWatch(w, c.Discovery, c.Known.Seq, s.listed, func(what string, err error) { log.Warn(what, zap.Error(err)) })
	s.front.tasks.Go(w, s.front.accept)
	w.Go(s.getReady)
	return s, nil
}

// listen listens for clients. A fault that may be over soon (an address that the process of
// before still holds, a machine short of memory) is waited out for a while.
func listen(w env.Environment, address string, log *zap.Logger) (net.Listener, error) {
	for until := w.Now() + listenWithin; ; {
		l, err := w.Listen("tcp", address)
		if err == nil || !ownFault(err) || w.Now() >= until {
			return l, err
		}
		log.Warn("cannot listen yet", zap.String("address", address), zap.Error(err))
		env.Wait(w, listenPause, nil)
	}
}

// know takes what the front and a stop need of the configuration.
func (s *Scheduler) know(c *Config) {
	for _, fault := range c.Ignored {
		s.log.Warn("setting ignored", zap.Error(fault))
	}
	s.front.check.Store(newChecker(&c.Settings))
	s.front.bytes.Store(bytesOf(c))
	s.front.ahead.most.Store(bytesOf(c))
	s.grace.Store(math.Float64bits(graceOf(c)))
}

func (s *Scheduler) getReady() {
	env.Wait(s.world, readyWait, &s.told)
	s.front.ready.Open()
	s.log.Info("ready", zap.Bool("discovery", s.told.Opened()))
}

// listed passes on what discovery told.
func (s *Scheduler) listed(l List) {
	s.back.notices.take(l)
	s.loop.post(s.loop.now(), eventList, func(at float64) {
		s.core.list(at, l, false)
		s.told.Open()
	})
}

// sweep runs on the loop after each batch.
func (s *Scheduler) sweep() {
	if now := s.loop.now(); now-s.swept > env.MS(sweepEvery) {
		s.swept = now
		s.back.sweep(now)
		s.front.trim()
	}
}

// Reload takes another configuration: where discovery is, and the settings. The module has
// them before a request that was read under them can come to it.
func (s *Scheduler) Reload(c *Config) {
	s.log.Info("configuration read again", zap.String("discovery", c.Discovery))
	s.watch.move(c.Discovery)
	s.loop.post(s.loop.now(), eventReload, func(at float64) {
		s.back.configure(c)
		s.core.revise(at, c.Settings)
	})
	s.know(c)
}

// Drain ends the scheduler once all it has taken is answered.
func (s *Scheduler) Drain() {
	grace := math.Float64frombits(s.grace.Load())
	s.log.Info("draining", zap.Float64("grace_ms", grace))
	from := s.loop.now()
	s.front.leave(from + grace - drainMargin)
	env.Wait(s.world, drainAccept, &s.over)
	s.front.stop.Open()
	s.front.listener.Close()
	env.Wait(s.world, env.Duration(from+grace-drainAnswer-s.loop.now()), &s.over)
	s.front.finish()
	s.awaitClients(from + grace - drainMargin)
	// What was taken before the signal may have longer than there is.
	var answered env.Gate
	if s.loop.post(s.loop.now(), eventStop, func(at float64) {
		s.core.stop(at)
		answered.Open()
	}) {
		env.WaitAny(s.world, &answered, &s.over) // an answer made after Close began would not be written
	}
	s.awaitClients(from + grace - drainEnd)
	s.Close()
}

// awaitClients waits until clients have no connections any more, or until a time.
func (s *Scheduler) awaitClients(until float64) {
	for s.front.open() > 0 && s.loop.now() < until {
		env.Wait(s.world, drainPoll, nil)
	}
}

// graceOf is how long a scheduler has after SIGTERM, ms.
func graceOf(c *Config) float64 {
	longest := 0.0
	for _, k := range c.Settings.Classes {
		longest = max(longest, k.Deadline)
	}
	return min(longest, longestCounted) + killExtra
}

// Close ends everything at once and waits for it.
func (s *Scheduler) Close() {
	s.watch.close()
	s.front.close()
	s.back.stop()
	s.loop.stop()
	s.back.close()
	s.log.Info("ended", zap.String("counters", fmt.Sprintf("%+v", s.core.counters)))
	s.over.Open()
}

// Wait returns once the scheduler has ended.
func (s *Scheduler) Wait() { s.over.Wait(s.world) }

// The effects of the core, on the loop.

func (s *Scheduler) send(a *attempt)           { s.back.send(a) }
func (s *Scheduler) drop(a *attempt) fate      { return s.back.drop(a) }
func (s *Scheduler) serverListed(e Entry)      { s.back.serverListed(e) }
func (s *Scheduler) serverRemoved(host string) { s.back.serverRemoved(host) }
func (s *Scheduler) note(text string)          { s.log.Warn(text) }
