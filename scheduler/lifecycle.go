package scheduler

import (
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinhitch/seam"
)

const (
	// readyWait is how long a start waits for discovery's first word: the list it was
	// started with may be old.
	readyWait = 1500 * time.Millisecond
	// drainAccept is how long after the signal connections are still accepted and kept:
	// clients hear of a planned stop late.
	drainAccept = 600 * time.Millisecond
	sweepEvery  = time.Second
	drainPoll   = 20 * time.Millisecond
)

// Parts of the descriptors that clients' and disk servers' connections may take; the rest
// is the process's own.
const (
	clientPart = 0.45
	serverPart = 0.40
	fewSockets = 64 // reckoned with where the configuration does not say
)

// Scheduler is one running scheduler.
type Scheduler struct {
	world seam.World
	log   *zap.Logger
	loop  *loop
	core  *core
	back  *back
	front *front
	watch *watch
	told  seam.Gate // discovery has spoken
	over  seam.Gate
	busy  atomic.Bool
	swept float64
	said  string // the settings in force
}

// Start listens and serves until Drain or Close.
func Start(w seam.World, c *Config, log *zap.Logger) (*Scheduler, error) {
	s := &Scheduler{world: w, log: log, loop: newLoop(w)}
	sockets := max(c.Limits.Sockets, fewSockets)
	born := w.Deadline(0).UnixMilli() - epoch
	s.back = newBack(w, s.loop, c.Bounds.DialTimeout, c.Bounds.ConnIdle, int(float64(sockets)*serverPart))
	s.core = newCore(born, c, s)
	s.back.core = s.core
	s.loop.ticked = s.sweep
	s.front = &front{world: w, loop: s.loop, core: s.core, check: newChecker(&c.Settings), most: int(float64(sockets) * clientPart),
		bytes: int64(max(c.Limits.MemoryMB, 32)) << 20 / 8}
	var err error
	if s.front.listener, err = w.Listen("tcp", c.Listen); err != nil {
		return nil, err
	}
	w.Go(func() { s.loop.run(s.core) })
	s.loop.wake.Unpark()
	s.watch = newWatch(w, c.Discovery, c.Known.Seq, s.listed, func(what string, err error) { log.Warn(what, zap.Error(err)) })
	s.front.tasks.Go(w, s.front.accept)
	w.Go(s.getReady)
	return s, nil
}

func (s *Scheduler) getReady() {
	seam.Wait(s.world, readyWait, &s.told)
	s.front.ready.Store(true)
	s.log.Info("ready")
}

// listed passes on what discovery told.
func (s *Scheduler) listed(l List) {
	s.loop.post(s.loop.now(), func(at float64) {
		s.core.list(at, l, false)
		s.told.Open()
	})
}

// sweep runs on the loop after each batch.
func (s *Scheduler) sweep() {
	if now := s.loop.now(); now-s.swept > seam.MS(sweepEvery) {
		s.swept = now
		s.back.sweep(now)
	}
}

// Reload takes another configuration: where discovery is, and the settings.
func (s *Scheduler) Reload(c *Config) {
	s.log.Info("configuration read again", zap.String("discovery", c.Discovery))
	s.watch.move(c.Discovery)
	s.loop.post(s.loop.now(), func(at float64) { s.core.revise(at, c.Settings) })
}

// Drain ends the scheduler once all it has taken is answered. Clients hear of it late:
// for a while connections are taken and served as ever, each answer then ending its own.
func (s *Scheduler) Drain() {
	s.log.Info("draining")
	s.front.draining.Store(true)
	seam.Wait(s.world, drainAccept, nil)
	s.front.stop.Open()
	s.front.listener.Close()
	s.front.shutIdle()
	for s.open() > 0 {
		seam.Wait(s.world, drainPoll, nil)
	}
	s.Close()
}

// open is how many calls have no answer yet, and connections a request under way.
func (s *Scheduler) open() int {
	n := 0
	var asked seam.Gate
	if !s.loop.post(s.loop.now(), func(float64) {
		for _, c := range s.core.calls {
			if !c.ended {
				n++
			}
		}
		asked.Open()
	}) {
		return 0
	}
	asked.Wait(s.world)
	s.front.mu.Lock()
	defer s.front.mu.Unlock()
	for _, c := range s.front.clients.All() {
		if c.busy {
			n++
		}
	}
	return n
}

// Close ends everything at once and waits for it.
func (s *Scheduler) Close() {
	s.watch.close()
	s.front.close()
	s.back.stop()
	s.loop.stop()
	s.back.close()
	s.log.Info("ended", zap.String("tally", fmt.Sprintf("%+v", s.core.tally)))
	s.over.Open()
}

// Wait returns once the scheduler has ended.
func (s *Scheduler) Wait() { s.over.Wait(s.world) }

// The effects of the core, on the loop.

func (s *Scheduler) send(a *attempt)      { s.back.send(a) }
func (s *Scheduler) drop(a *attempt) bool { return s.back.drop(a) }
func (s *Scheduler) reach(e Entry)        { s.back.reach(e) }
func (s *Scheduler) retire(host string)   { s.back.retire(host) }
func (s *Scheduler) note(text string)     { s.log.Warn(text) }
