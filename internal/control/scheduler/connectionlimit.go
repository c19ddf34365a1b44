package scheduler

import "merlinhitch/internal/runtime/env"

// This file decides which connection of a client gives way at the connection limit. Until one does, no
// other is accepted.

const (
	// A connection may be closed for another one if it has sent nothing for evictNewAfterMS, sent no
	// further byte of a request for evictStalledAfterMS, been idle for evictIdleAfterMS, or been
	// kept open for evictLingeringAfterMS after its last answer.
	evictNewAfterMS       = 100.0
	evictStalledAfterMS   = 100.0
	evictIdleAfterMS      = 500.0
	evictLingeringAfterMS = 50.0
	// Where there is none, the busiest connection ends, one each recycleIntervalMS: its open request and
	// the last one that was read behind it are served, those between are refused.
	recycleIntervalMS = 10.0
)

// evictionRank orders states by which connection gives way first.
var evictionRank = map[clientState]int{clientLingering: 0, clientNew: 1, clientReading: 2, clientIdle: 3}

// hasCapacity reports whether another connection may be accepted. At the limit it starts to close
// one evictable connection, or has a busy one end with an answer; with maxClosing closing beside
// maxClients, none is accepted.
func (f *frontend) hasCapacity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients.Len() < f.maxClients {
		return true
	}
	now := f.loop.now()
	open := 0
	var victim, busiest *client
	for _, c := range f.clients.All() {
		if c.state == clientClosing {
			continue
		}
		open++
		if c.evictable(now) && (victim == nil || c.evictedBefore(victim)) {
			victim = c
		}
		if c.recyclable() && (busiest == nil || c.answers > busiest.answers) {
			busiest = c
		}
	}
	switch {
	case open < f.maxClients:
	case victim != nil:
		victim.evict(now)
		open--
	case busiest != nil && now-f.recycledAt >= recycleIntervalMS:
		f.recycledAt = now
		busiest.recycled.Store(true)
	}
	return open < f.maxClients && f.clients.Len() < f.maxClients+f.maxClosing
}

// evictable reports whether the connection may be closed to make room for a new one.
func (c *client) evictable(now float64) bool {
	waited := now - c.stateSince
	switch c.state {
	case clientNew:
		return waited > evictNewAfterMS
	case clientReading:
		// Bytes that lie in the socket are progress too: this process may run late.
		return min(waited, now-c.readAhead.lastReadAt()) > evictStalledAfterMS && !env.HasUnread(c.conn)
	case clientIdle:
		return waited > evictIdleAfterMS
	case clientLingering:
		return waited > evictLingeringAfterMS
	}
	return false
}

// evictedBefore orders evictable connections: by their states first, then by the time in it.
func (c *client) evictedBefore(other *client) bool {
	if rank, otherRank := evictionRank[c.state], evictionRank[other.state]; rank != otherRank {
		return rank < otherRank
	}
	return c.stateSince < other.stateSince
}

// evict makes the connection's goroutine close it. The frontend's mutex is held.
func (c *client) evict(now float64) {
	if c.state == clientLingering {
		c.lingerCut.Open()
	}
	c.beginClose(now)
}

// recyclable reports whether the connection may end with an answer.
func (c *client) recyclable() bool {
	return (c.state == clientActive || c.state == clientIdle) && !c.recycled.Load()
}

// ending reports whether the connection ends once all that was read from it is answered.
func (c *client) ending() bool { return c.recycled.Load() || c.frontend.isFinishing() }
