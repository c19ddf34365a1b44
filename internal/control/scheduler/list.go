package scheduler

import (
	"encoding/json"
	"fmt"
	"strconv"

	"merlinhitch/policy"
)

// List is the list of disk servers, or what changed of it.
type List struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`

	faults   []entryFault // entries that cannot be right
	doubtful bool         // one could not be read: a whole list may say what it was to be
}

// Entry is a disk server in discovery's words.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"` // the shard that it holds
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"` // Unix time of its last start; 0: long ago
}

// The states of a disk server in discovery's words.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

var health = map[string]policy.Health{stateActive: policy.Ready, stateLeaving: policy.Draining, stateLeft: policy.Removed}

// strictness orders the states by what they forbid.
var strictness = map[string]int{stateActive: 0, stateLeaving: 1, stateLeft: 2}

// entryFault is a fault of one entry of a list; the others are taken as they are.
type entryFault struct{ host, reason string }

// parseList reads a message of discovery. An entry that cannot be right costs only itself:
// one without a name is left out, one of an unknown state gets nothing new, and of a server
// that is named twice the entry that forbids more counts, else the later one.
func parseList(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return List{}, err
	}
	hosts := l.Hosts
	l.Hosts = hosts[:0]
	place := make(map[string]int, len(hosts))
	for _, e := range hosts {
		if e.Host == "" {
			l.fault(e.Host, "has no name")
			l.doubtful = true
			continue
		}
		if _, known := health[e.Health]; !known {
			l.fault(e.Host, fmt.Sprintf("has the unknown state %q", e.Health))
			e.Health = stateLeaving
			l.doubtful = true
		}
		at, twice := place[e.Host]
		if !twice {
			place[e.Host] = len(l.Hosts)
			l.Hosts = append(l.Hosts, e)
			continue
		}
		l.fault(e.Host, "is named twice")
		if strictness[e.Health] >= strictness[l.Hosts[at].Health] {
			l.Hosts[at] = e
		}
	}
	return l, nil
}

func (f entryFault) String() string { return strconv.Quote(f.host) + " " + f.reason }

func (l *List) fault(host, reason string) { l.faults = append(l.faults, entryFault{host, reason}) }
