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
	// readyTimeout bounds how long a start waits for the first message of discovery before it
	// serves with the configured list, which may be out of date.
	readyTimeout = 1500 * time.Millisecond
	// After SIGTERM the platform kills the process no sooner than killDelayMS after the longest
	// deadline of a class, of which it counts maxCountedDeadlineMS at most. Clients learn late of
	// a planned stop, so new connections are accepted for drainAcceptPeriod. They use open ones
	// for as long as these stay open, so these are kept until the last answers have just enough
	// time.
	maxCountedDeadlineMS = 3000.0
	killDelayMS          = 700.0
	drainAcceptPeriod    = 600 * time.Millisecond
	finishLeadMS         = 400.0 // before the kill, idle connections close and each answer ends its connection
	answerLeadMS         = 300.0 // before the kill, all requests are answered; allows for a pause of the process of 150 ms
	exitLeadMS           = 80.0  // before the kill, the program ends even if clients are still connected
	sweepInterval        = time.Second
	// A listen address that cannot be used yet is tried again every listenRetryInterval for
	// listenTimeout: the platform gives a scheduler 30 s to be ready.
	listenTimeout       = 10 * time.Second
	listenRetryInterval = 20 * time.Millisecond
	drainPollInterval   = 20 * time.Millisecond
)

// Fractions of the file descriptors for connections of clients, for client connections that are
// closing, and for connections to disk servers; the rest is for the process itself.
const (
	clientSocketFraction  = 0.60
	closingSocketFraction = 0.05
	serverSocketFraction  = 0.30
	minSockets            = 64 // lower bound of the configured number of descriptors
)

// Scheduler is one running scheduler.
type Scheduler struct {
	environment     env.Environment
	log             *zap.Logger
	loop            *loop
	core            *core
	pool            *connPool
	frontend        *frontend
	discoveryClient *discoveryClient
	listReceived    env.Gate // opened by the first message of discovery
	ended           env.Gate
	lastSweepAt     float64
	memory          memoryAccount
	grace           atomic.Uint64 // float64 bits of the time from SIGTERM to the kill, ms
}

// Start opens the listener and returns a scheduler that serves until Drain or Close. A listen
// address that cannot be used yet is retried for up to 10 s.
func Start(w env.Environment, config *Config, log *zap.Logger) (*Scheduler, error) {
	s := &Scheduler{environment: w, log: log, loop: newLoop(w)}
	listenedAt := s.loop.now()
	listener, err := listen(w, config.Listen, log) // first, since clients may already connect
	if err != nil {
		return nil, err
	}
	clockZeroMS := w.Deadline(0).UnixMilli() - clockAtStart
	s.pool = newConnPool(w, s.loop, config, &s.memory)
	s.core = newCore(clockZeroMS, config, s)
	s.pool.core = s.core
	events := newEventLog(log, s.loop.now)
	s.core.log, s.loop.log, s.pool.log = events, events, events
	known := config.Known
	known.Full = true
	s.pool.serverStates.apply(known)
	s.core.start(known)
	s.loop.afterBatch = s.sweep
	s.frontend = &frontend{environment: w, listener: listener, listenedAt: listenedAt, loop: s.loop, core: s.core, log: events, memory: &s.memory}
	s.applyConfig(config)
	w.Go(func() { s.loop.run(s.core) })
	s.loop.wake.Unpark()
	s.discoveryClient = newDiscoveryClient(w, config.Discovery, config.Known.Seq, s.receiveList, func(message string, err error) { log.Warn(message, zap.Error(err)) })
	s.frontend.tasks.Go(w, s.frontend.accept)
	w.Go(s.awaitFirstList)
	return s, nil
}

// listen opens the listener for clients. Faults of this machine that may pass (an address still
// held by the previous process, lack of memory) are retried until listenTimeout.
func listen(environment env.Environment, address string, log *zap.Logger) (net.Listener, error) {
	for deadline := environment.Now() + listenTimeout; ; {
		listener, err := environment.Listen("tcp", address)
		if err == nil || !localSocketError(err) || environment.Now() >= deadline {
			return listener, err
		}
		log.Warn("cannot listen yet", zap.String("address", address), zap.Error(err))
		env.Sleep(environment, listenRetryInterval, nil)
	}
}

// applyConfig applies the parts of the configuration that the frontend and a drain use.
func (s *Scheduler) applyConfig(config *Config) {
	for _, err := range config.Ignored {
		s.log.Warn("setting ignored", zap.Error(err))
	}
	s.frontend.parser.Store(newRequestParser(&config.Settings))
	plan := PlanMemory(config.Limits)
	s.memory.setLimits(plan)
	s.frontend.setMaxClients(plan.maxClients, plan.maxClosing)
	s.grace.Store(math.Float64bits(gracePeriod(config)))
}

// awaitFirstList opens the frontend's ready gate once discovery has sent a list, or after
// readyTimeout.
func (s *Scheduler) awaitFirstList() {
	env.Sleep(s.environment, readyTimeout, &s.listReceived)
	s.frontend.ready.Open()
	s.log.Info("ready", zap.Bool("discovery", s.listReceived.Opened()))
}

// receiveList applies a list from discovery. The pool's server states are updated at once, on the
// caller's goroutine, so that a drain or restart of a server also stops attempts that the loop has
// permitted but that are not yet written.
func (s *Scheduler) receiveList(update ServerList) {
	s.pool.serverStates.apply(update)
	s.loop.post(s.loop.now(), eventList, func(occurredAt float64) {
		s.core.updateServers(occurredAt, update, false)
		s.listReceived.Open()
	})
}

// sweep closes idle connections every sweepInterval. It runs on the loop after each batch.
func (s *Scheduler) sweep() {
	if now := s.loop.now(); now-s.lastSweepAt > env.MS(sweepInterval) {
		s.lastSweepAt = now
		s.pool.sweep(now)
		s.frontend.trimIdle()
	}
}

// Reload applies the settings, connection timeouts, memory limit and discovery address of config.
// The new settings are posted to the core before the frontend uses them, so no request parsed
// under them can reach the core before them.
func (s *Scheduler) Reload(config *Config) {
	s.discoveryClient.setAddress(config.Discovery)
	s.loop.post(s.loop.now(), eventReload, func(occurredAt float64) {
		s.pool.configure(config)
		s.core.updateSettings(occurredAt, config.Settings)
	})
	s.applyConfig(config)
	s.log.Info("configuration read again", zap.String("discovery", config.Discovery)) // last: requests of its classes are served from here on
}

// Drain stops the scheduler within the grace period: it accepts connections for a while, answers
// open requests, refuses what is left before the platform kills the process, and closes.
func (s *Scheduler) Drain() {
	grace := math.Float64frombits(s.grace.Load())
	s.log.Info("draining", zap.Float64("grace_ms", grace))
	startedAt := s.loop.now()
	s.frontend.beginDrain(startedAt + grace - answerLeadMS)
	env.Sleep(s.environment, drainAcceptPeriod, &s.ended)
	s.frontend.stopAccepting.Open()
	s.frontend.listener.Close()
	env.Sleep(s.environment, env.Duration(startedAt+grace-finishLeadMS-s.loop.now()), &s.ended)
	s.frontend.finish()
	s.awaitClientsClosed(startedAt + grace - answerLeadMS)
	// Requests taken before the signal may have deadlines beyond the grace period.
	var answered env.Gate
	if s.loop.post(s.loop.now(), eventStop, func(occurredAt float64) {
		s.core.stop(occurredAt)
		answered.Open()
	}) {
		env.WaitAny(s.environment, &answered, &s.ended) // answers made once Close has begun would not be written
	}
	s.awaitClientsClosed(startedAt + grace - exitLeadMS)
	s.Close()
}

// awaitClientsClosed waits until no client connection is open, or until deadline (ms, loop's clock).
func (s *Scheduler) awaitClientsClosed(deadline float64) {
	for s.frontend.clientCount() > 0 && s.loop.now() < deadline {
		env.Sleep(s.environment, drainPollInterval, nil)
	}
}

// gracePeriod returns the time from SIGTERM until the platform kills the process, ms.
func gracePeriod(config *Config) float64 {
	longest := 0.0
	for _, class := range config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadlineMS) + killDelayMS
}

// Close stops the scheduler at once, without waiting for open requests, and returns when all its
// goroutines have ended.
func (s *Scheduler) Close() {
	s.discoveryClient.close()
	s.frontend.close()
	s.pool.stop()
	s.loop.stop()
	s.pool.close()
	refused := &s.memory.refused
	s.log.Info("ended", zap.String("counters", fmt.Sprintf("%+v", s.core.counters)), zap.Uint64("heads_refused", refused.heads.Load()),
		zap.Uint64("bodies_refused", refused.bodies.Load()), zap.Uint64("pipelined_refused", refused.pipelined.Load()))
	s.ended.Open()
}

// Wait blocks until the scheduler has closed.
func (s *Scheduler) Wait() { s.ended.Wait(s.environment) }

// The core's effects, called on the loop.

func (s *Scheduler) send(a *attempt)                    { s.pool.send(a) }
func (s *Scheduler) abandon(a *attempt) attemptProgress { return s.pool.abandon(a) }
func (s *Scheduler) serverListed(e ServerEntry)         { s.pool.serverListed(e) }
func (s *Scheduler) serverRemoved(host string)          { s.pool.serverRemoved(host) }
func (s *Scheduler) warn(text string)                   { s.log.Warn(text) }
