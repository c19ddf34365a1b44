package scheduler

import "sync"

// serverStates is what discovery last said of each disk server. The goroutine that reads
// discovery keeps it; whoever is about to send looks at it, so that a drain, a departure or
// a restart binds from the moment in which it was read, though the loop has not come to it
// yet. It is safe for concurrent use.
type serverStates struct {
	mu     sync.RWMutex
	byHost map[string]serverState
}

type serverState struct {
	active    bool
	startedMS int64
}

// apply notes a list, or what changed.
func (n *serverStates) apply(l ServerList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.Full || n.byHost == nil {
		n.byHost = make(map[string]serverState, len(l.Entries))
	}
	for _, e := range l.Entries {
		if e.Health == stateLeft {
			delete(n.byHost, e.Host)
		} else {
			n.byHost[e.Host] = serverState{e.Health == stateActive, e.StartedMS}
		}
	}
}

// allows tells whether the process of a disk server that started then may be sent to.
func (n *serverStates) allows(host string, startedMS int64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	state, listed := n.byHost[host]
	return listed && state.active && state.startedMS == startedMS
}
