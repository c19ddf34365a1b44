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
	// readyTimeout is how long a start waits for discovery's first word: the list it was
	// started with may be old.
	readyTimeout = 1500 * time.Millisecond
	// After SIGTERM the platform kills no sooner than killExtra after the longest deadline,
	// which it counts as maxCountedDeadlineMS at the most. New connections come for a while, for
	// clients hear of a planned stop late; those that they have they use as long as they
	// are open. So these stay open until the last answers have just time enough.
	maxCountedDeadlineMS = 3000.0 // ms
	killDelayMS          = 700.0
	drainAcceptPeriod    = 600 * time.Millisecond
	finishLeadMS         = 400.0 // before the kill nothing new is taken,
	answerLeadMS         = 300.0 // so long before it all has been answered: a process may be held up for 150,
	exitLeadMS           = 80.0  // and so long before it the program ends, whoever lingers
	sweepInterval        = time.Second
	// A start waits for its address for so long, and asks for it that often: the platform
	// gives a scheduler 30 s to be ready.
	listenTimeout       = 10 * time.Second
	listenRetryInterval = 20 * time.Millisecond
	drainPollInterval   = 20 * time.Millisecond
)

// Parts of the descriptors that clients' connections, those of them that are ending, and
// disk servers' may take; the rest is the process's own.
const (
	clientSocketFraction  = 0.60
	closingSocketFraction = 0.05
	serverSocketFraction  = 0.30
	minSockets            = 64 // reckoned with where the configuration does not say
	minMemoryMB           = 32
	bodyMemoryDivisor     = 8 // one part of so many of the memory
)

// bodyByteLimit is what bodies on one of their ways may hold at once: of requests, of disk
// servers' answers, of answers to clients.
func bodyByteLimit(config *Config) int64 {
	return int64(max(config.Limits.MemoryMB, minMemoryMB)) << 20 / bodyMemoryDivisor
}

// Scheduler is one running scheduler.
type Scheduler struct {
	environment     env.Environment
	log             *zap.Logger
	loop            *loop
	core            *core
	back            *connPool
	frontend        *frontend
	discoveryClient *discoveryClient
	listReceived    env.Gate // discovery has spoken
	ended           env.Gate
	lastSweepAt     float64
	grace           atomic.Uint64 // bits of the ms from SIGTERM to the kill
}

// Start listens and serves until Drain or Close.
func Start(w env.Environment, config *Config, log *zap.Logger) (*Scheduler, error) {
	s := &Scheduler{environment: w, log: log, loop: newLoop(w)}
	listenedAt := s.loop.now()
	listener, err := listen(w, config.Listen, log) // first of all: clients may come already
	if err != nil {
		return nil, err
	}
	sockets := max(config.Limits.Sockets, minSockets)
	clockZeroMS := w.Deadline(0).UnixMilli() - clockAtStart
	s.back = newConnPool(w, s.loop, config, int(float64(sockets)*serverSocketFraction))
	s.core = newCore(clockZeroMS, config, s)
	s.back.core = s.core
	events := newEventLog(log)
	s.core.log, s.loop.log, s.back.log = events, events, events
	known := config.Known
	known.Full = true
	s.back.serverStates.apply(known)
	s.core.start(known)
	s.loop.afterBatch = s.sweep
	s.frontend = &frontend{environment: w, listener: listener, listenedAt: listenedAt, loop: s.loop, core: s.core, log: events, maxClients: int(float64(sockets) * clientSocketFraction), maxClosing: int(float64(sockets) * closingSocketFraction)}
	s.applyConfig(config)
	w.Go(func() { s.loop.run(s.core) })
	s.loop.wake.Unpark()
	s.discoveryClient = newDiscoveryClient(w, config.Discovery, config.Known.Seq, s.receiveList, func(message string, err error) { log.Warn(message, zap.Error(err)) })
	s.frontend.tasks.Go(w, s.frontend.accept)
	w.Go(s.awaitFirstList)
	return s, nil
}

// listen listens for clients. A fault that may be over soon (an address that the process of
// before still holds, a machine short of memory) is waited out for a while.
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

// applyConfig takes what the front and a stop need of the configuration.
func (s *Scheduler) applyConfig(config *Config) {
	for _, err := range config.Ignored {
		s.log.Warn("setting ignored", zap.Error(err))
	}
	s.frontend.parser.Store(newRequestParser(&config.Settings))
	s.frontend.byteLimit.Store(bodyByteLimit(config))
	s.frontend.readAhead.limit.Store(bodyByteLimit(config))
	s.grace.Store(math.Float64bits(gracePeriod(config)))
}

func (s *Scheduler) awaitFirstList() {
	env.Sleep(s.environment, readyTimeout, &s.listReceived)
	s.frontend.ready.Open()
	s.log.Info("ready", zap.Bool("discovery", s.listReceived.Opened()))
}

// receiveList passes on what discovery told.
func (s *Scheduler) receiveList(update ServerList) {
	s.back.serverStates.apply(update)
	s.loop.post(s.loop.now(), eventList, func(at float64) {
		s.core.updateServers(at, update, false)
		s.listReceived.Open()
	})
}

// sweep runs on the loop after each batch.
func (s *Scheduler) sweep() {
	if now := s.loop.now(); now-s.lastSweepAt > env.MS(sweepInterval) {
		s.lastSweepAt = now
		s.back.sweep(now)
		s.frontend.trimIdle()
	}
}

// Reload takes another configuration: where discovery is, and the settings. The module has
// them before a request that was read under them can come to it.
func (s *Scheduler) Reload(config *Config) {
	s.log.Info("configuration read again", zap.String("discovery", config.Discovery))
	s.discoveryClient.setAddress(config.Discovery)
	s.loop.post(s.loop.now(), eventReload, func(at float64) {
		s.back.configure(config)
		s.core.updateSettings(at, config.Settings)
	})
	s.applyConfig(config)
}

// Drain ends the scheduler once all it has taken is answered.
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
	// What was taken before the signal may have longer than there is.
	var answered env.Gate
	if s.loop.post(s.loop.now(), eventStop, func(at float64) {
		s.core.stop(at)
		answered.Open()
	}) {
		env.WaitAny(s.environment, &answered, &s.ended) // an answer made after Close began would not be written
	}
	s.awaitClientsClosed(startedAt + grace - exitLeadMS)
	s.Close()
}

// awaitClientsClosed waits until clients have no connections any more, or until a time.
func (s *Scheduler) awaitClientsClosed(deadline float64) {
	for s.frontend.clientCount() > 0 && s.loop.now() < deadline {
		env.Sleep(s.environment, drainPollInterval, nil)
	}
}

// gracePeriod is how long a scheduler has after SIGTERM, ms.
func gracePeriod(config *Config) float64 {
	longest := 0.0
	for _, class := range config.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadlineMS) + killDelayMS
}

// Close ends everything at once and waits for it.
func (s *Scheduler) Close() {
	s.discoveryClient.close()
	s.frontend.close()
	s.back.stop()
	s.loop.stop()
	s.back.close()
	s.log.Info("ended", zap.String("counters", fmt.Sprintf("%+v", s.core.counters)))
	s.ended.Open()
}

// Wait returns once the scheduler has ended.
func (s *Scheduler) Wait() { s.ended.Wait(s.environment) }

// The effects of the core, on the loop.

func (s *Scheduler) send(a *attempt)                    { s.back.send(a) }
func (s *Scheduler) abandon(a *attempt) attemptProgress { return s.back.abandon(a) }
func (s *Scheduler) serverListed(e ServerEntry)         { s.back.serverListed(e) }
func (s *Scheduler) serverRemoved(host string)          { s.back.serverRemoved(host) }
func (s *Scheduler) warn(text string)                   { s.log.Warn(text) }
