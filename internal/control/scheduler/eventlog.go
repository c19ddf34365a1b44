package scheduler

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/policy"
)

const (
	// logBurst is how many lines with the same message are written per logPeriod, ms. The rest
	// are dropped, to bound the cost of logging while many requests fail.
	logBurst  = 20
	logPeriod = 1000.0
	// lateEventDelay and slowEventTime are the delay before an event is handled and the time to
	// handle it, in ms, from which an event is logged.
	lateEventDelay = 50.0
	slowEventTime  = 25.0
)

// eventLog logs the ends of requests, attempts and connections and the changes of the server
// list at a bounded rate. A nil *eventLog logs nothing.
type eventLog struct {
	log    *zap.Logger
	now    func() float64 // ms on the loop's clock
	closes [closeReasonCount]lineLimit
	room   lineLimit // of requests that were refused for lack of memory
}

func newEventLog(log *zap.Logger, now func() float64) *eventLog {
	sampled := zap.WrapCore(func(c zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(c, env.Duration(logPeriod), logBurst, 0)
	})
	return &eventLog{log: log.WithOptions(sampled), now: now}
}

// eventKind is the kind of an event of the loop, for the log.
type eventKind int

const (
	eventRequest eventKind = iota
	eventClientGone
	eventDeadlineShortened
	eventDialled
	eventReplyReceived
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

// eventLate logs an event whose delay or handling time, in ms, reaches its threshold.
func (l *eventLog) eventLate(kind eventKind, delay, elapsed float64) {
	if l == nil || delay < lateEventDelay && elapsed < slowEventTime {
		return
	}
	l.log.Warn("event loop late", zap.Stringer("event", kind), zap.Float64("delay_ms", delay), zap.Float64("took_ms", elapsed))
}

// requestNotServed logs a request that the policy refused or failed.
func (l *eventLog) requestNotServed(c *call, now float64, outcome callOutcome, cause policy.Reason) {
	if l == nil {
		return
	}
	l.log.Info("request not served", zap.String("request", c.req.ID), zap.Stringer("answer", outcome), zap.Stringer("reason", cause),
		zap.Int("attempts", c.attempts), zap.Float64("left_ms", c.req.Expires-now))
}

// clientLeft logs a client that disconnected before its answer.
func (l *eventLog) clientLeft(c *call) {
	if l == nil {
		return
	}
	l.log.Info("client left", zap.String("request", c.req.ID), zap.Int("attempts", c.attempts))
}

// replyNotConfirmed logs a response that is not forwarded because of what followed it.
func (l *eventLog) replyNotConfirmed(a *attempt, f following) {
	if l == nil {
		return
	}
	l.log.Warn("response not forwarded", zap.String("request", a.call.req.ID), zap.String("server", a.host), zap.Stringer("followed_by", f))
}

// attemptFailed logs an attempt with a result other than served.
func (l *eventLog) attemptFailed(a *attempt, result policy.Result, elapsed float64) {
	if l == nil {
		return
	}
	l.log.Info("attempt failed", zap.String("request", a.call.req.ID), zap.Int("attempt", a.number), zap.String("server", a.host),
		zap.Stringer("result", result), zap.Float64("elapsed_ms", elapsed))
}

// listApplied logs a list of disk servers that changed something.
func (l *eventLog) listApplied(list ServerList, changed, draining int) {
	if l == nil || changed == 0 {
		return
	}
	l.log.Info("list taken", zap.Uint64("seq", list.Seq), zap.Bool("whole", list.Full), zap.Int("entries", len(list.Entries)),
		zap.Int("changed", changed), zap.Int("leaving", draining))
}

// entryFaults logs the invalid entries of a list.
func (l *eventLog) entryFaults(list ServerList) {
	if l == nil {
		return
	}
	for _, f := range list.faults {
		l.log.Warn("entry of the list is wrong", zap.Uint64("seq", list.Seq), zap.String("server", f.host), zap.String("fault", f.reason))
	}
}

// roomRefused logs that requests of a client were refused for lack of memory: what could not be kept
// of them, and the request before them on the connection.
func (l *eventLog) roomRefused(c *client, part string, count int) {
	if l == nil {
		return
	}
	suppressed, ok := l.room.take(l.now())
	if !ok {
		return
	}
	l.log.Info("refused for lack of memory", zap.String("part", part), zap.Int("count", count), zap.String("client", c.conn.RemoteAddr().String()),
		zap.String("previous_request", c.lastRequestID), zap.Int("suppressed", suppressed))
}

// acceptFailed logs an error of the listener's Accept.
func (l *eventLog) acceptFailed(err error) {
	if l == nil {
		return
	}
	l.log.Warn("accept failed", zap.Error(err))
}

// dialFailed logs a failed dial to a disk server.
func (l *eventLog) dialFailed(host string, err error) {
	if l == nil {
		return
	}
	l.log.Info("dial failed", zap.String("server", host), zap.Error(err))
}

// closeReason says why a client's connection ended.
type closeReason int

const (
	closeUnreadable  closeReason = iota // the input could not be parsed as a request
	closeRejected                       // the request is invalid or not servable here
	closeDuplicateID                    // the request ID was used before
	closeRequested                      // the client requested the close or disconnected
	closeDraining                       // the scheduler drains and closes after each answer
	closeIdle                           // idle timeout, or closed to make room for others
	closeByClient                       // the client closed it between requests
	closeLoopEnded                      // the loop had stopped
	closeReasonCount
)

var closeNames = [...]string{"unreadable", "rejected", "duplicate id", "client's wish", "last answer", "idle", "client ended", "loop ended"}

// badInput reports whether the client's input ended the connection.
func (r closeReason) badInput() bool {
	return r == closeUnreadable || r == closeRejected || r == closeDuplicateID
}

func (r closeReason) String() string { return closeNames[r] }

// connectionClosed logs the end of a client's connection. It omits those that the client closed
// between requests and those that ended by idle timeout without having sent anything. For bad input
// there is one line a second and reason.
func (l *eventLog) connectionClosed(c *client, err error) {
	if l == nil || c.reason == closeByClient || c.reason == closeIdle && c.readAhead.bytesRead == 0 {
		return
	}
	suppressed := 0
	if c.reason.badInput() {
		var ok bool
		if suppressed, ok = l.closes[c.reason].take(l.now()); !ok {
			return
		}
	}
	l.log.Info("client connection closed", zap.Stringer("reason", c.reason), zap.String("client", c.conn.RemoteAddr().String()),
		zap.Int64("read", c.readAhead.bytesRead), zap.Int("requests", c.requests), zap.Int("answers", c.answers),
		zap.String("request", c.lastRequestID), zap.NamedError("cause", err), zap.Int("suppressed", suppressed))
}
