package scheduler

import (
	"encoding/json"
	"fmt"
	"strconv"

	"merlinhitch/policy"
)

// ServerList is the list of disk servers, or what changed of it.
type ServerList struct {
	Seq     uint64        `json:"seq"`
	Full    bool          `json:"whole"`
	Entries []ServerEntry `json:"hosts"`

	faults    []entryFault // entries that cannot be right
	malformed bool         // one could not be read: a whole list may say what it was to be
}

// ServerEntry is a disk server in discovery's words.
type ServerEntry struct {
	Host       string  `json:"host"`
	Address    string  `json:"dial"`
	Site       string  `json:"site"`
	ShardIndex int     `json:"block"` // the shard that it holds
	Health     string  `json:"health"`
	Share      float64 `json:"share"`
	StartedMS  int64   `json:"born_ms"` // Unix time of its last start; 0: long ago
}

// The states of a disk server in discovery's words.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

var policyHealth = map[string]policy.Health{stateActive: policy.Ready, stateLeaving: policy.Draining, stateLeft: policy.Removed}

// severity orders the states by what they forbid.
var severity = map[string]int{stateActive: 0, stateLeaving: 1, stateLeft: 2}

// entryFault is a fault of one entry of a list; the others are taken as they are.
type entryFault struct{ host, reason string }

// parseServerList reads a message of discovery. An entry that cannot be right costs only itself:
// one without a name is left out, one of an unknown state gets nothing new, and of a server
// that is named twice the entry that forbids more counts, else the later one.
func parseServerList(data []byte) (ServerList, error) {
	var list ServerList
	if err := json.Unmarshal(data, &list); err != nil {
		return ServerList{}, err
	}
	received := list.Entries
	list.Entries = received[:0]
	indexByHost := make(map[string]int, len(received))
	for _, e := range received {
		if e.Host == "" {
			list.addFault(e.Host, "has no name")
			list.malformed = true
			continue
		}
		if _, known := policyHealth[e.Health]; !known {
			list.addFault(e.Host, fmt.Sprintf("has the unknown state %q", e.Health))
			e.Health = stateLeaving
			list.malformed = true
		}
		index, duplicate := indexByHost[e.Host]
		if !duplicate {
			indexByHost[e.Host] = len(list.Entries)
			list.Entries = append(list.Entries, e)
			continue
		}
		list.addFault(e.Host, "is named twice")
		if severity[e.Health] >= severity[list.Entries[index].Health] {
			list.Entries[index] = e
		}
	}
	return list, nil
}

func (f entryFault) String() string { return strconv.Quote(f.host) + " " + f.reason }

func (l *ServerList) addFault(host, reason string) {
	l.faults = append(l.faults, entryFault{host, reason})
}
