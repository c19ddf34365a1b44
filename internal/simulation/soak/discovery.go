package soak

import (
	"bufio"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinhitch/internal/protocol/http1"
	"merlinhitch/internal/runtime/env"
)

// DiscoveryEntry is a disk server in the JSON of discovery.
type DiscoveryEntry struct {
	Host      string  `json:"host"`
	Dial      string  `json:"dial"`
	Site      string  `json:"site"`
	Class     string  `json:"class"`
	Block     int     `json:"block"`
	Health    string  `json:"health"`
	Share     float64 `json:"share"`
	StartedMS int64   `json:"born_ms"`
}

type listMessage struct {
	Seq   int              `json:"seq"`
	Full  bool             `json:"whole"`
	Hosts []DiscoveryEntry `json:"hosts"`
}

// keepAliveInterval is the time between the empty lines that agents write to open watches.
const keepAliveInterval = 2 * time.Second

// Directory is the state of discovery: the disk servers and their changes by version.
type Directory struct {
	mu               sync.Mutex
	version          int
	entries          []DiscoveryEntry   // by server index, newest state
	changesByVersion [][]DiscoveryEntry // element i holds the changes of version i+1
	agents           []*Agent
}

// NewDirectory returns a directory in which all servers are active.
func NewDirectory(servers *Servers) *Directory {
	directory := &Directory{}
	for i := range servers.servers {
		directory.entries = append(directory.entries, DiscoveryEntry{Host: hostName(i), Dial: servers.Address(i), Site: "a", Class: "m", Block: i, Health: "active", Share: 1})
	}
	return directory
}

func hostName(server int) string { return "s-" + strconv.FormatInt(int64(0x10000000+server), 16) }

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// SetHealth sets the health of servers in one new version and notifies all agents. A server
// that becomes active gets the present time as its start.
func (d *Directory) SetHealth(servers []int, health string) {
	d.mu.Lock()
	d.version++
	var changed []DiscoveryEntry
	for _, i := range servers {
		entry := &d.entries[i]
		if health == "active" && entry.Health != "active" {
			entry.StartedMS = time.Now().UnixMilli()
		}
		entry.Health = health
		changed = append(changed, *entry)
	}
	d.changesByVersion = append(d.changesByVersion, changed)
	agents := slices.Clone(d.agents)
	d.mu.Unlock()
	for _, a := range agents {
		a.applyNewVersions()
	}
}

// Agent is the discovery agent that one scheduler is connected to.
type Agent struct {
	directory      *Directory
	scheduler      int
	record         *Record
	listener       net.Listener
	alwaysFullList bool // every watch starts with the full list
	indentedJSON   bool
	tasks          sync.WaitGroup
	done           chan struct{}

	mu            sync.Mutex
	down          bool // it answers nothing and applies no new versions
	version       int  // newest version applied
	watches       map[net.Conn]*watchState
	silentSince   time.Duration  // since when open watches get no data; 0: they do
	undelivered   []HealthChange // changes since silentSince; a new watch makes them effective at once
	effectiveFrom time.Duration  // no change takes effect earlier, since the scheduler was just moved here
	spoiltAnswers int            // calls that were answered late or not at all
	answerDelay   time.Duration  // answers to calls are late or refused (DiscoveryFault); 0: they are sound
}

// A change takes effect at the latest maxSilenceDetection after an open watch went silent, and
// not before maxMoveTime after a scheduler was moved to another agent.
const (
	maxSilenceDetection = 6 * time.Second
	maxMoveTime         = 4 * time.Second
)

type watchState struct {
	sentVersion int // newest version written
	silent      bool
}

// StartAgent starts the discovery agent of one scheduler on a loopback port.
func StartAgent(directory *Directory, scheduler int, alwaysFullList, indentedJSON bool, record *Record) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	agent := &Agent{directory: directory, scheduler: scheduler, record: record, listener: listener, alwaysFullList: alwaysFullList, indentedJSON: indentedJSON,
		done: make(chan struct{}), watches: map[net.Conn]*watchState{}}
	directory.mu.Lock()
	directory.agents = append(directory.agents, agent)
	directory.mu.Unlock()
	agent.tasks.Add(2)
	go agent.accept()
	go agent.sendKeepAlives()
	return agent, nil
}

// TakeOver continues from the version of the agent that the scheduler used before. Changes
// that the previous agent missed while it was down are applied now: active servers may be used at
// once, other changes take effect after maxMoveTime.
func (a *Agent) TakeOver(previous *Agent) {
	previous.mu.Lock()
	version, answerDelay := previous.version, previous.answerDelay
	previous.mu.Unlock()
	a.mu.Lock()
	a.version, a.answerDelay, a.effectiveFrom = version, answerDelay, a.record.Now()+maxMoveTime
	a.mu.Unlock()
	a.applyNewVersions()
}

// Address returns the listening address.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close stops the agent and waits for its goroutines.
func (a *Agent) Close() {
	a.listener.Close()
	a.ResetWatches()
	close(a.done)
	a.tasks.Wait()
}

// ResetWatches resets the connections of open watches.
func (a *Agent) ResetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.watches {
		resetConn(c)
	}
}

// SilenceWatches stops all writes to the watches that are open now; new watches are served.
func (a *Agent) SilenceWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, watch := range a.watches {
		watch.silent = true
	}
	if len(a.watches) > 0 && a.silentSince == 0 {
		a.silentSince = a.record.Now()
	}
}

// SetDown stops the agent from answering and from applying new versions, or resumes both. The
// changes that were missed are recorded when it resumes.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	a.down = down
	a.mu.Unlock()
	if !down {
		a.applyNewVersions()
	}
}

// applyNewVersions records the changes of new versions and sends them to the open watches.
func (a *Agent) applyNewVersions() {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return
	}
	now := a.record.Now()
	effectiveAt := max(now, a.effectiveFrom) // for changes other than to active; those may be acted on at once
	delayed := a.silentSince > 0 || a.answerDelay > 0 && !a.hasOpenWatchLocked()
	switch {
	case a.silentSince > 0:
		effectiveAt = max(effectiveAt, a.silentSince+maxSilenceDetection)
	case delayed:
		effectiveAt = max(effectiveAt, now+maxSilenceDetection)
	}
	for ; a.version < a.directory.version; a.version++ {
		for _, entry := range a.directory.changesByVersion[a.version] {
			change := HealthChange{Scheduler: a.scheduler, Server: entry.Block, Health: entry.Health, EffectiveAt: effectiveAt, StartedAt: a.startTime(entry)}
			if entry.Health == "active" {
				change.EffectiveAt = now
			}
			a.record.addHealthChanges(change)
			if delayed {
				a.undelivered = append(a.undelivered, change)
			}
		}
	}
	for conn, watch := range a.watches {
		a.sendChangesLocked(conn, watch)
	}
}

func (a *Agent) startTime(entry DiscoveryEntry) time.Duration {
	if entry.StartedMS == 0 {
		return 0
	}
	return time.UnixMilli(entry.StartedMS).Sub(a.record.start)
}

// sendChangesLocked writes the versions that a watch lacks. The caller holds both locks.
func (a *Agent) sendChangesLocked(conn net.Conn, watch *watchState) {
	for ; watch.sentVersion < a.version && !watch.silent; watch.sentVersion++ {
		a.writeChunk(conn, a.encodeLine(listMessage{watch.sentVersion + 1, false, a.directory.changesByVersion[watch.sentVersion]}))
	}
}

func (a *Agent) encodeLine(message listMessage) []byte {
	if !a.indentedJSON {
		return append(mustMarshal(message), '\n')
	}
	b, err := json.MarshalIndent(message, "", "    ")
	if err != nil {
		panic(err)
	}
	return append(b, '\n')
}

// writeChunk writes one chunk of the chunked response; the write deadline keeps a scheduler
// that does not read from blocking the agent.
func (a *Agent) writeChunk(conn net.Conn, data []byte) {
	a.record.discoveryBytes.Add(int64(len(data)))
	conn.SetWriteDeadline(time.Now().Add(keepAliveInterval))
	chunkHeader := strconv.AppendInt(nil, int64(len(data)), 16)
	conn.Write(append(append(append(chunkHeader, '\r', '\n'), data...), '\r', '\n'))
}

func (a *Agent) accept() {
	defer a.tasks.Done()
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.tasks.Add(1)
		go a.serve(conn)
	}
}

// serve answers one request: a watch, which stays open, or a read of the full list. While the
// agent is down it sends nothing.
func (a *Agent) serve(conn net.Conn) {
	defer a.tasks.Done()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http1.ReadRequest(reader, messageLimits)
	if err != nil || !a.waitFor(conn, a.isUp) || !a.beginAnswer(conn) {
		return
	}
	heldVersion, isWatch := watchIndex(request.Target)
	a.respond(conn, heldVersion, isWatch)
	if isWatch {
		reader.Peek(1) // until the scheduler closes the watch
	}
	a.mu.Lock()
	delete(a.watches, conn)
	a.mu.Unlock()
}

func (a *Agent) isUp() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.down
}

// waitFor returns true once the condition holds, false if the caller has left or the agent is closed.
func (a *Agent) waitFor(conn net.Conn, condition func() bool) bool {
	for !condition() {
		var oneByte [1]byte
		conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := conn.Read(oneByte[:]); !env.IsTimeout(err) {
			return false
		}
		select {
		case <-a.done:
			return false
		default:
		}
		conn.SetReadDeadline(time.Time{})
	}
	return true
}

// respond writes, behind the head of the response, the list or the changes since heldVersion, and registers the connection if it
// is a watch. Undelivered changes take effect now.
func (a *Agent) respond(conn net.Conn, heldVersion int, isWatch bool) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.record.Now()
	for _, change := range a.undelivered {
		change.EffectiveAt = min(change.EffectiveAt, now)
		a.record.addHealthChanges(change)
	}
	a.silentSince, a.undelivered = 0, nil
	if !isWatch || a.alwaysFullList || heldVersion > a.version {
		a.writeChunk(conn, a.encodeLine(a.fullListLocked()))
		heldVersion = a.version
	}
	if !isWatch {
		conn.Write([]byte("0\r\n\r\n"))
		return
	}
	watch := &watchState{sentVersion: heldVersion}
	a.watches[conn] = watch
	if watch.sentVersion == a.version {
		a.writeChunk(conn, []byte{'\n'})
	}
	a.sendChangesLocked(conn, watch)
}

// FullListJSON returns the full list at the agent's version as JSON.
func (a *Agent) FullListJSON() []byte {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return mustMarshal(a.fullListLocked())
}

// fullListLocked returns the full list at the agent's version. The caller holds both locks.
func (a *Agent) fullListLocked() listMessage {
	message := listMessage{Seq: a.version, Full: true}
	previous := map[int]DiscoveryEntry{} // state at the agent's version of servers that have changed since
	for v := a.version; v < a.directory.version; v++ {
		for _, e := range a.directory.changesByVersion[v] {
			if _, ok := previous[e.Block]; !ok {
				previous[e.Block] = a.entryBefore(v, e.Block)
			}
		}
	}
	for i, e := range a.directory.entries {
		if old, ok := previous[i]; ok {
			e = old
		}
		if e.Health != "left" {
			message.Hosts = append(message.Hosts, e)
		}
	}
	return message
}

// entryBefore returns a server's entry as it was before the given version index.
func (a *Agent) entryBefore(version, server int) DiscoveryEntry {
	for v := version - 1; v >= 0; v-- {
		for _, e := range a.directory.changesByVersion[v] {
			if e.Block == server {
				return e
			}
		}
	}
	e := a.directory.entries[server]
	e.Health, e.StartedMS = "active", 0
	return e
}

// watchIndex returns the version in the index parameter of a watch; isWatch is false if there
// is none, which asks for the full list.
func watchIndex(target string) (heldVersion int, isWatch bool) {
	_, query, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(query, "&") {
		if name, value, _ := strings.Cut(part, "="); name == "index" {
			heldVersion, _ = strconv.Atoi(value)
			isWatch = true
		}
	}
	return heldVersion, isWatch
}

// sendKeepAlives writes an empty line to each open watch every keepAliveInterval, unless the
// watch is silenced or the agent is down.
func (a *Agent) sendKeepAlives() {
	defer a.tasks.Done()
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		for conn, watch := range a.watches {
			if !watch.silent && !a.down {
				a.writeChunk(conn, []byte{'\n'})
			}
		}
		a.mu.Unlock()
	}
}
