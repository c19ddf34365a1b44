package scheduler

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

const (
	// logBurst is how many lines of one message are written in a logPeriod, ms; the others are
	// dropped, so that a fleet in trouble costs its schedulers no more than that.
	logBurst  = 20
	logPeriod = 1000.0
	// lateEventDelay is the delay from which the loop's lateness is logged, and slowEvent the
	// time that handling one event may take before that is, ms.
	lateEventDelay = 50.0
	slowEventTime  = 25.0
)

// eventLog writes what happens to requests, attempts, connections and lists, with the
// request's id and the reason, at a bounded rate. The nil log writes nothing.
type eventLog struct{ log *zap.Logger }

func newEventLog(log *zap.Logger) *eventLog {
	sampled := zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, env.Duration(logPeriod), logBurst, 0)
	})
	return &eventLog{log.WithOptions(sampled)}
}

// eventKind says what an event of the loop is about.
type eventKind int

const (
	eventRequest eventKind = iota
	eventClientGone
	eventDeadlineShortened
	eventDialled
	eventAnswered
	eventQuarantineEnded
	eventNotBegun
	eventConnBroken
	eventList
	eventReload
	eventStop
	eventTick
)

var eventNames = [...]string{"request", "client gone", "sooner", "dialled", "answered", "rested", "withheld", "broken", "list", "reload", "stop", "tick"}

func (k eventKind) String() string { return eventNames[k] }

// eventLate notes an event that came late or took long, ms.
func (l *eventLog) eventLate(kind eventKind, delay, elapsed float64) {
	if l == nil || delay < lateEventDelay && elapsed < slowEventTime {
		return
	}
	l.log.Warn("event loop late", zap.Stringer("event", kind), zap.Float64("delay_ms", delay), zap.Float64("took_ms", elapsed))
}

// requestNotServed notes a final answer that is not a disk server's.
func (l *eventLog) requestNotServed(c *call, now float64, outcome callOutcome, cause policy.Reason) {
	if l == nil {
		return
	}
	l.log.Info("request not served", zap.String("request", c.req.ID), zap.Stringer("answer", outcome), zap.Stringer("reason", cause),
		zap.Int("attempts", c.attempts), zap.Float64("left_ms", c.req.Expires-now))
}

// clientLeft notes a client that went away before its answer.
func (l *eventLog) clientLeft(c *call) {
	if l == nil {
		return
	}
	l.log.Info("client left", zap.String("request", c.req.ID), zap.Int("attempts", c.attempts))
}

// attemptFailed notes an attempt that was not served.
func (l *eventLog) attemptFailed(a *attempt, result policy.Result, elapsed float64) {
	if l == nil {
		return
	}
	l.log.Info("attempt failed", zap.String("request", a.call.req.ID), zap.Int("attempt", a.number), zap.String("server", a.host),
		zap.Stringer("result", result), zap.Float64("elapsed_ms", elapsed))
}

// listApplied notes a list of disk servers that came into force.
func (l *eventLog) listApplied(list ServerList, changed, draining int) {
	if l == nil || changed == 0 {
		return
	}
	l.log.Info("list taken", zap.Uint64("seq", list.Seq), zap.Bool("whole", list.Full), zap.Int("entries", len(list.Entries)),
		zap.Int("changed", changed), zap.Int("leaving", draining))
}

// entryFaults notes entries of a list that cannot be right.
func (l *eventLog) entryFaults(list ServerList) {
	if l == nil {
		return
	}
	for _, f := range list.faults {
		l.log.Warn("entry of the list is wrong", zap.Uint64("seq", list.Seq), zap.String("server", f.host), zap.String("fault", f.reason))
	}
}

// acceptFailed notes a connection that this machine could not take.
func (l *eventLog) acceptFailed(err error) {
	if l == nil {
		return
	}
	l.log.Warn("accept failed", zap.Error(err))
}

// dialFailed notes a connection to a disk server that did not come up.
func (l *eventLog) dialFailed(host string, err error) {
	if l == nil {
		return
	}
	l.log.Info("dial failed", zap.String("server", host), zap.Error(err))
}

// closeReason says why the scheduler ended a client's connection.
type closeReason int

const (
	closeUnreadable  closeReason = iota // what came could not be read as a request
	closeRejected                       // the request names what this scheduler does not serve
	closeDuplicateID                    // the id was used before
	closeRequested                      // the client asked for it, or left
	closeDraining                       // the scheduler drains: each answer ends its connection
	closeIdle                           // nothing came in its time, or it gave way to others
	closeByClient                       // the client ended it between requests
	closeLoopEnded                      // the loop had ended
)

var closeNames = [...]string{"unreadable", "rejected", "duplicate id", "client's wish", "last answer", "idle", "client ended", "loop ended"}

func (r closeReason) String() string { return closeNames[r] }

// connectionClosed notes a client's connection that ends, unless it rested or its client ended it.
func (l *eventLog) connectionClosed(c *client, err error) {
	if l == nil || c.reason == closeByClient || c.reason == closeIdle && c.readAhead.bytesRead == 0 {
		return
	}
	l.log.Info("client connection closed", zap.Stringer("reason", c.reason), zap.String("client", c.conn.RemoteAddr().String()),
		zap.Int64("read", c.readAhead.bytesRead), zap.Int("requests", c.requests), zap.Int("answers", c.answers),
		zap.String("request", c.lastRequestID), zap.NamedError("cause", err))
}
