package rules

import (
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/verify/trail"
)

// This file checks rule 6, the order of requests with the same key.

// checkOrder checks rule 6. Within a connection it checks the order of arrival. Between
// connections that order is not known exactly, so only overlap and the key's holdoff are checked.
func (c *Checker) checkOrder(req *request, e *trail.Event, violation Violation) {
	if req.class == nil || !req.class.Ordered {
		return
	}
	violation.Rule = Order
	c.Checks[Order]++
	queueID := keyQueueID{e.Host, e.Key}
	unreleased := c.keyQueues[queueID][:0]
	for _, other := range c.keyQueues[queueID] {
		if other == req || !other.keyReleased(e.Time, c.settings.Rules.KeyHoldoff) {
			unreleased = append(unreleased, other)
		}
		if other != req {
			c.checkKeyFree(other, req, e, violation)
		}
	}
	c.keyQueues[queueID] = unreleased
	if len(req.attempts) > 0 {
		return
	}
	if overtakenAt, overtaken := req.cmd.overtakenAt[e.Key]; overtaken {
		c.violate(violation, "%s of key %s (tag %d) sent %.1f ms after a later command of the same connection", req.class.Name, e.Key, req.cmd.tag, float64(e.Time-overtakenAt)/1000)
	}
	for _, cmd := range req.cmd.conn.orderedQueue {
		if cmd == req.cmd {
			break
		}
		if c.hasKey(cmd, e.Key) && !cmd.sentKey(e.Key) {
			if cmd.overtakenAt == nil {
				cmd.overtakenAt = map[string]int64{}
			}
			cmd.overtakenAt[e.Key] = e.Time
		}
	}
}

// checkOvertaken checks that cmd did not stay open after a later command of its key was sent. It
// skips commands of several parts: the host may give up one part before the answer to the command,
// which the sockets do not show, and checkOrder still checks that the part is not sent afterwards.
func (c *Checker) checkOvertaken(cmd *command, now int64) {
	if cmd.parts != 1 {
		return
	}
	for key, overtakenAt := range cmd.overtakenAt {
		if now > overtakenAt+MaxRelayDelay {
			c.violate(Violation{Rule: Order, Time: overtakenAt, Conn: cmd.conn.id, Tag: cmd.tag},
				"a later command of key %s was sent %.1f ms before the end of tag %d", key, float64(now-overtakenAt)/1000, cmd.tag)
		}
	}
}

// hasKey reports whether cmd has a part with that key under every layout that its volume had, since
// the layout that the host used is not known.
func (c *Checker) hasKey(cmd *command, key string) bool {
	for _, v := range c.variants(cmd.conn.volume) {
		found := false
		for p := range v.Segments(cmd.lba, cmd.blocks) {
			found = found || v.Key(p.Extent) == key
		}
		if !found {
			return false
		}
	}
	return true
}

// variants returns a copy of the volume for each layout that it had during the run.
func (c *Checker) variants(volume *settings.Volume) []*settings.Volume {
	list := c.volumeVariants[volume.Name]
	if list == nil {
		list = []*settings.Volume{volume}
		for _, l := range c.meta.Layouts[volume.Name] {
			variant := *volume
			variant.Layout = l
			list = append(list, &variant)
		}
		c.volumeVariants[volume.Name] = list
	}
	return list
}

// sentKey reports whether the part with that key was sent.
func (cmd *command) sentKey(key string) bool {
	return slices.ContainsFunc(cmd.requests, func(r *request) bool { return r.orderKey == key })
}

// checkKeyFree checks that no attempt of earlier still holds the key when req is sent.
func (c *Checker) checkKeyFree(earlier, req *request, e *trail.Event, violation Violation) {
	for i, a := range earlier.attempts {
		switch {
		case a.outstandingAt(e.Time):
			c.violate(violation, "%s of key %s sent while attempt %d of an earlier request is outstanding", req.class.Name, e.Key, i)
		case !a.answered && e.Time < a.endedBy()+int64(c.settings.Rules.KeyHoldoff*1000)-MaxRelayDelay:
			c.violate(violation, "%s of key %s sent %.1f ms after a lost attempt, within the key holdoff of %.0f ms", req.class.Name, e.Key, float64(e.Time-a.endedBy())/1000, c.settings.Rules.KeyHoldoff)
		}
	}
}

// endedBy returns when the host gave up an unanswered attempt, at the latest.
func (a *attempt) endedBy() int64 {
	if a.lostAt > 0 {
		return min(a.lostAt, a.deadline)
	}
	return a.deadline
}

// keyReleased reports whether the request can no longer hold its key.
func (r *request) keyReleased(now int64, holdoff float64) bool {
	if !r.ended && !r.served {
		return false
	}
	for _, a := range r.attempts {
		if !a.answered && now < a.endedBy()+int64(holdoff*1000)+MaxRelayDelay {
			return false
		}
	}
	return true
}
