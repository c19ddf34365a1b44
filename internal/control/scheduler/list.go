package scheduler

import (
	"encoding/json"
	"fmt"
	"strconv"

	"merlinhitch/policy"
)

// ServerList is a message of discovery: the full list of disk servers, or the entries that changed.
type ServerList struct {
	Seq     uint64        `json:"seq"`   // version
	Full    bool          `json:"whole"` // all servers, not only those that changed
	Entries []ServerEntry `json:"hosts"`

	faults    []entryFault // invalid entries
	malformed bool         // an entry has no name or an unknown state; a full list may correct it
}

// ServerEntry describes a disk server in a ServerList.
type ServerEntry struct {
	Host       string  `json:"host"`
	Address    string  `json:"dial"`
	Site       string  `json:"site"`
	ShardIndex int     `json:"block"` // shard that the server holds
	Health     string  `json:"health"`
	Share      float64 `json:"share"`
	StartedMS  int64   `json:"born_ms"` // Unix time of the server's last start, ms; 0: long ago
}

// States of a disk server in messages of discovery.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

var policyHealth = map[string]policy.Health{stateActive: policy.Ready, stateLeaving: policy.Draining, stateLeft: policy.Removed}

// severity orders the states by how restrictive they are.
var severity = map[string]int{stateActive: 0, stateLeaving: 1, stateLeft: 2}

// entryFault reports an invalid entry of a list; the list's other entries are unaffected.
type entryFault struct{ host, reason string }

// parseServerList decodes a message of discovery. An invalid entry does not affect the others: one
// without a name is dropped, one with an unknown state is taken as leaving, and of duplicate
// entries the one with the more restrictive state counts, the later one if they are equal.
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
