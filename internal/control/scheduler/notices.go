package scheduler

import "sync"

// notices is what discovery last said of each disk server. The goroutine that reads
// discovery keeps it; whoever is about to send looks at it, so that a drain, a departure or
// a restart binds from the moment in which it was read, though the loop has not come to it
// yet. It is safe for concurrent use.
type notices struct {
	mu sync.RWMutex
	of map[string]notice
}

type notice struct {
	active bool
	born   int64
}

// take notes a list, or what changed.
func (n *notices) take(l ServerList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.Full || n.of == nil {
		n.of = make(map[string]notice, len(l.Entries))
	}
	for _, e := range l.Entries {
		if e.Health == stateLeft {
			delete(n.of, e.Host)
		} else {
			n.of[e.Host] = notice{e.Health == stateActive, e.StartedMS}
		}
	}
}

// admits tells whether the process of a disk server that started then may be sent to.
func (n *notices) admits(host string, born int64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	last, listed := n.of[host]
	return listed && last.active && last.born == born
}
