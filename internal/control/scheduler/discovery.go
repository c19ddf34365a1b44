package scheduler

import (
	"context"
	"errors"
	"fmt"

	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/runtime/locks"
)

// discoveryClient follows the changes of the disk server list over a watch, which starts at the last
// version received. After an unreadable message it fetches the full list first. A call that has not
// answered yet stays open while others are tried beside it (callSchedule). The first one that says
// something is followed, and the others are closed, so all open calls but the one that said the last
// word were opened after it: an older list cannot replace a newer one.
type discoveryClient struct {
	environment env.Environment
	onList      func(ServerList) // called for one list at a time
	onError     func(string, error)
	tasks       env.WaitGroup

	mu            locks.Mutex
	addr          string
	schedule      callSchedule
	seq           uint64    // version of the last list
	needsFullList bool      // changes may have been missed
	delivery      *env.Gate // opens when the list that is being passed on has been; nil if there is none
	changed       *env.Gate // opened when schedule has changed
	closed        bool
}

func newDiscoveryClient(w env.Environment, addr string, seq uint64, onList func(ServerList), onError func(string, error)) *discoveryClient {
	d := &discoveryClient{environment: w, onList: onList, onError: onError, addr: addr, seq: seq, schedule: newCallSchedule(w.Now()), changed: &env.Gate{}}
	d.tasks.Go(w, d.run)
	return d
}

// setAddress changes the address of discovery; open calls to the old one are closed.
func (d *discoveryClient) setAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	d.schedule.backoff, d.schedule.responseTime = minCallBackoff, 0
	supersede(d.schedule.reset(d.environment.Now())...)
	d.notifyLocked()
}

func (d *discoveryClient) close() {
	d.mu.Lock()
	d.closed = true
	supersede(d.schedule.reset(d.environment.Now())...)
	d.notifyLocked()
	d.mu.Unlock()
	d.tasks.Wait(d.environment)
}

// notifyLocked wakes run after a change of the schedule.
func (d *discoveryClient) notifyLocked() {
	d.changed.Open()
	d.changed = &env.Gate{}
}

// run opens calls as they are due until the client is closed.
func (d *discoveryClient) run() {
	for {
		d.mu.Lock()
		if d.closed {
			d.mu.Unlock()
			return
		}
		now := d.environment.Now()
		wait := d.schedule.due() - now
		if wait <= 0 {
			c := d.beginCallLocked()
			d.tasks.Go(d.environment, func() { d.runCall(c) })
		}
		changed := d.changed
		d.mu.Unlock()
		if wait > 0 {
			env.Sleep(d.environment, wait, changed)
		}
	}
}

func (d *discoveryClient) beginCallLocked() *discoveryCall {
	c, displaced := d.schedule.begin(d.environment.Now())
	if displaced != nil {
		supersede(displaced)
	}
	c.addr, c.target, c.fullList = d.addr, fmt.Sprintf("%s?stream=1&index=%d", discoveryPath, d.seq), d.needsFullList
	if c.fullList {
		c.target = discoveryPath
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// runCall performs a call, and records its end unless it was superseded.
func (d *discoveryClient) runCall(c *discoveryCall) {
	err := d.perform(c)
	c.cancel()
	d.mu.Lock()
	superseded := c.superseded
	if !superseded {
		d.needsFullList = d.needsFullList || isUnreadable(err)
		d.schedule.ended(c, d.environment.Now(), isCallTimeout(err))
		d.notifyLocked()
	}
	d.mu.Unlock()
	if !superseded {
		d.onError("watch ended", err)
	}
}

// headReceived records that a call's response has begun.
func (d *discoveryClient) headReceived(c *discoveryCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !c.superseded {
		d.schedule.headReceived(c, d.environment.Now())
		d.notifyLocked()
	}
}

// hold records how many bytes of an incomplete message a call holds. All calls together hold
// maxMessageBytes at most: beyond that those with less give way to the one with the most.
func (d *discoveryClient) hold(c *discoveryCall, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c.heldBytes = bytes
	for !c.superseded {
		total := 0
		smallest := c
		for _, other := range d.schedule.calls {
			total += other.heldBytes
			if other.heldBytes > 0 && other.heldBytes < smallest.heldBytes {
				smallest = other
			}
		}
		if total <= maxMessageBytes {
			return
		}
		d.schedule.remove(smallest)
		supersede(smallest)
	}
}

// errSuperseded ends a call that is not needed any more.
var errSuperseded = errors.New("superseded by another call to discovery")

// errFullListNeeded ends a watch that goes on from a version that is in doubt.
var errFullListNeeded = errors.New("changes may have been missed: waiting for the full list")

// deliver checks a list that a call has received, follows this call from now on, and passes the list on
// if pass is set. It waits until the list before it has been passed on.
func (d *discoveryClient) deliver(c *discoveryCall, list ServerList, pass bool) error {
	if err := d.accept(c, list); err != nil {
		return err
	}
	if pass {
		d.onList(list)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delivery.Open()
	d.delivery = nil
	return nil
}

// accept is the first part of deliver. Unless it returns an error, it leaves delivery set.
func (d *discoveryClient) accept(c *discoveryCall, list ServerList) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.delivery != nil {
		delivery := d.delivery
		d.mu.Unlock()
		delivery.Wait(d.environment)
		d.mu.Lock()
	}
	if c.superseded {
		return errSuperseded
	}
	if err := d.checkLocked(c, list); err != nil {
		return err
	}
	now := d.environment.Now()
	d.seq, d.needsFullList = list.Seq, d.needsFullList && !list.Full
	if c.fullList {
		supersede(d.schedule.reset(now)...)
	} else {
		supersede(d.schedule.lineReceived(c, now)...)
	}
	d.notifyLocked()
	d.delivery = &env.Gate{}
	return nil
}

// checkLocked reports why a list cannot be applied. A partial list with an older version is rejected,
// since changes would be missing.
func (d *discoveryClient) checkLocked(c *discoveryCall, list ServerList) error {
	switch {
	case list.Full:
		return nil
	case c.fullList:
		return &unreadableError{errors.New("got a partial list, want the full list")}
	case d.needsFullList:
		return errFullListNeeded
	case list.Seq < d.seq:
		return &unreadableError{fmt.Errorf("list version went back: got %d after %d", list.Seq, d.seq)}
	case list.malformed:
		return &unreadableError{fmt.Errorf("invalid entries in list version %d: %v", list.Seq, list.faults)}
	}
	return nil
}
