package scheduler

import "merlinhitch/internal/runtime/locks"

// serverStates holds the last state of each disk server that discovery reported. The goroutine
// that reads discovery updates it, and exchanges check it just before they write, so that a
// drain, removal or restart takes effect at once even if the loop has not handled the list yet.
// It is safe for concurrent use.
type serverStates struct {
	mu     locks.RWMutex
	byHost map[string]serverState
}

type serverState struct {
	active    bool
	startedMS int64
}

// apply records a full list or the changes to one.
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

// allows reports whether requests may be sent to the disk server's process that started at
// startedMS, Unix time in ms: it is listed, active and has not restarted since.
func (n *serverStates) allows(host string, startedMS int64) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	state, listed := n.byHost[host]
	return listed && state.active && state.startedMS == startedMS
}
