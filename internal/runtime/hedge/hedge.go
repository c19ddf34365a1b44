// Package hedge follows what a peer says over one call, and opens further calls beside it where it is
// silent ("hedged requests": Dean and Barroso, The Tail at Scale, CACM 56(2), 2013). A call without an
// answer stays open while others are tried, since a slow peer may answer all of them late: a call that is
// given up and begun anew after a fixed time never hears a peer that is always a little slower. The first
// call that says something is followed, and the others are closed.
package hedge

import (
	"context"
	"errors"
	"net"
	"time"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// Handler does what is specific to a protocol.
type Handler interface {
	// Perform performs a call until it ends. It runs on the call's own goroutine.
	Perform(c *Call) error
	// Ended reports that a call has ended by itself, before the next one begins because of that.
	Ended(err error)
}

// Follower keeps calls to a peer open as they are due. Of calls that are open at a time, all but the one
// that said the last word were begun after it, so what another says first is never older.
type Follower struct {
	environment env.Environment
	handler     Handler
	tasks       env.WaitGroup

	mu       locks.Mutex
	schedule schedule
	delivery *env.Gate // opens when the message that is being passed on has been; nil if there is none
	changed  *env.Gate // opened when schedule has changed
	closed   bool
}

// Call is one call to the peer. Its fields are guarded by the follower's mutex.
type Call struct {
	follower   *Follower
	ctx        context.Context
	cancel     context.CancelFunc
	conn       net.Conn
	superseded bool // not needed any more: it is to end without a word
	heldBytes  int  // of an incomplete message

	// Used by schedule. patience bounds the time until the response's first bytes, and then the time
	// without progress.
	beganAt, heardAt, patience time.Duration
	answered                   bool // the first bytes of the response have come
	established                bool // it has said something
}

// ErrSuperseded ends a call that is not needed any more.
var ErrSuperseded = errors.New("superseded by another call")

// Follow begins to follow a peer. It opens the first call at once.
func Follow(environment env.Environment, config Config, handler Handler) *Follower {
	f := &Follower{environment: environment, handler: handler, schedule: newSchedule(config, environment.Now()), changed: &env.Gate{}}
	f.tasks.Go(environment, f.run)
	return f
}

// Reset closes all calls and opens one at once, for a peer that was replaced by another.
func (f *Follower) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.schedule.backoff, f.schedule.longPatience, f.schedule.responseTime = f.schedule.MinBackoff, f.schedule.MinLongPatience, 0
	f.resetLocked()
}

// Close closes all calls and waits for their goroutines.
func (f *Follower) Close() {
	f.mu.Lock()
	f.closed = true
	f.resetLocked()
	f.mu.Unlock()
	f.tasks.Wait(f.environment)
}

// Open returns the number of open calls and the bytes of incomplete messages that they hold.
func (f *Follower) Open() (calls, heldBytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.schedule.calls {
		heldBytes += c.heldBytes
	}
	return len(f.schedule.calls), heldBytes
}

func (f *Follower) resetLocked() {
	supersede(f.schedule.reset(f.environment.Now())...)
	f.notifyLocked()
}

// notifyLocked wakes run after a change of the schedule.
func (f *Follower) notifyLocked() {
	f.changed.Open()
	f.changed = &env.Gate{}
}

// run opens calls as they are due until the follower is closed.
func (f *Follower) run() {
	for {
		f.mu.Lock()
		if f.closed {
			f.mu.Unlock()
			return
		}
		wait := f.schedule.due() - f.environment.Now()
		if wait <= 0 {
			f.beginCallLocked()
		}
		changed := f.changed
		f.mu.Unlock()
		if wait > 0 {
			env.Sleep(f.environment, wait, changed)
		}
	}
}

func (f *Follower) beginCallLocked() {
	c := &Call{follower: f}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if displaced := f.schedule.begin(c, f.environment.Now()); displaced != nil {
		supersede(displaced)
	}
	f.tasks.Go(f.environment, func() { f.runCall(c) })
}

// runCall performs a call, and records its end unless it was superseded.
func (f *Follower) runCall(c *Call) {
	err := f.handler.Perform(c)
	c.cancel()
	if c.isSuperseded() {
		return
	}
	f.handler.Ended(err) // before the next call begins
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.superseded {
		f.schedule.ended(c, f.environment.Now(), env.IsTimeout(err))
		f.notifyLocked()
	}
}

func (c *Call) isSuperseded() bool {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return c.superseded
}

// supersede ends calls that are not needed any more. The follower's mutex is held.
func supersede(calls ...*Call) {
	for _, c := range calls {
		c.superseded = true
		c.cancel()
		if c.conn != nil {
			c.conn.Close()
		}
	}
}

// Dial opens the call's connection, which is closed when the call is not needed any more.
func (c *Call) Dial(address string) (net.Conn, error) {
	f := c.follower
	conn, err := f.environment.Dial(c.ctx, "tcp", address, c.patience) // patience changes later only
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.superseded {
		conn.Close()
		return nil, ErrSuperseded
	}
	c.conn = conn
	return conn, nil
}

// Answered records that the first bytes of the response have come.
func (c *Call) Answered() {
	f := c.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	if !c.superseded {
		f.schedule.answered(c, f.environment.Now())
		f.notifyLocked()
	}
}

// AnswerDeadline returns until when the response has to begin.
func (c *Call) AnswerDeadline() time.Time {
	f := c.follower
	return f.environment.Deadline(c.beganAt + c.Patience() - f.environment.Now())
}

// ReadDeadline returns until when the next progress has to come.
func (c *Call) ReadDeadline() time.Time { return c.follower.environment.Deadline(c.Patience()) }

// Patience returns how long the call may make no progress.
func (c *Call) Patience() time.Duration {
	c.follower.mu.Lock()
	defer c.follower.mu.Unlock()
	return c.patience
}

// Age returns the time since the call began.
func (c *Call) Age() time.Duration { return c.follower.environment.Now() - c.beganAt }

// Hold records how many bytes of an incomplete message the call holds. Where all calls together hold too
// many, those with less give way to the one with the most.
func (c *Call) Hold(bytes int) {
	f := c.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	c.heldBytes = bytes
	for !c.superseded {
		total, smallest := 0, c
		for _, other := range f.schedule.calls {
			total += other.heldBytes
			if other.heldBytes > 0 && other.heldBytes < smallest.heldBytes {
				smallest = other
			}
		}
		if total <= f.schedule.MaxHeldBytes {
			return
		}
		f.schedule.remove(smallest)
		supersede(smallest)
	}
}

// Message is something that a call has received.
type Message struct {
	// Check reports why the message cannot be applied. It runs under the follower's mutex and may
	// update what later messages are checked against.
	Check func() error
	// Pass passes the message on; nil if there is nothing to pass on.
	Pass func()
	// Last tells that the call has done its work: the next one is opened at once.
	Last bool
}

// Deliver checks a message, follows its call from now on, and passes the message on, once the one before
// it has been. It returns ErrSuperseded if the call is not needed any more, or the error of Check.
func (c *Call) Deliver(m Message) error {
	if err := c.accept(m); err != nil {
		return err
	}
	if m.Pass != nil {
		m.Pass()
	}
	f := c.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivery.Open()
	f.delivery = nil
	return nil
}

// accept is the first part of Deliver. Unless it returns an error, it leaves delivery set.
func (c *Call) accept(m Message) error {
	f := c.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.delivery != nil {
		delivery := f.delivery
		f.mu.Unlock()
		delivery.Wait(f.environment)
		f.mu.Lock()
	}
	if c.superseded {
		return ErrSuperseded
	}
	if err := m.Check(); err != nil {
		return err
	}
	if m.Last {
		supersede(f.schedule.reset(f.environment.Now())...)
	} else {
		supersede(f.schedule.heard(c, f.environment.Now())...)
	}
	f.notifyLocked()
	f.delivery = &env.Gate{}
	return nil
}
