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

// DiscoveryEntry is a disk server in discovery's words.
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

// keepAliveInterval is how often an open watch says something at the least.
const keepAliveInterval = 2 * time.Second

// Directory is what discovery knows: the disk servers and their changes by version.
type Directory struct {
	mu               sync.Mutex
	version          int
	entries          []DiscoveryEntry   // by server, as they are now
	changesByVersion [][]DiscoveryEntry // of version i+1
	agents           []*Agent
}

// NewDirectory knows all servers as active.
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

// SetHealth gives servers another state in one version and tells all agents. A server that
// comes back has just started.
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

// Agent is discovery as one scheduler meets it, on the scheduler's own machine.
type Agent struct {
	directory      *Directory
	scheduler      int
	record         *Record
	listener       net.Listener
	alwaysFullList bool // each watch begins with the whole list
	indentedJSON   bool
	tasks          sync.WaitGroup
	done           chan struct{}

	mu            sync.Mutex
	down          bool // it is silent and learns nothing
	version       int  // version that it has
	watches       map[net.Conn]*watchState
	silentSince   time.Duration  // since when the open watches have been silent; 0: they are not
	undelivered   []HealthChange // that count as told by silentCounts after that, or with the next watch
	effectiveFrom time.Duration  // nothing counts as told before that: the scheduler was just sent here
}

// What counts as told when: maxSilenceDetection after an open watch fell silent at the latest, and
// not before maxMoveTime after the word to go to another discovery.
const (
	maxSilenceDetection = 6 * time.Second
	maxMoveTime         = 4 * time.Second
)

type watchState struct {
	sentVersion int // version
	silent      bool
}

// StartAgent listens for one scheduler.
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

// TakeOver takes over from the agent of a scheduler that is sent here: what that one had not
// heard, for it was down, may be known from now on, and what it forbids counts as told once
// the scheduler must have come.
func (a *Agent) TakeOver(previous *Agent) {
	previous.mu.Lock()
	version := previous.version
	previous.mu.Unlock()
	a.mu.Lock()
	a.version, a.effectiveFrom = version, a.record.Now()+maxMoveTime
	a.mu.Unlock()
	a.applyNewVersions()
}

// Address is where the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() {
	a.listener.Close()
	a.ResetWatches()
	close(a.done)
	a.tasks.Wait()
}

// ResetWatches resets the open watches.
func (a *Agent) ResetWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.watches {
		resetConn(c)
	}
}

// SilenceWatches has the open watches say nothing any more; new ones do.
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

// SetDown has the agent fall silent and learn nothing, or come back: what it gets then
// counts as told at once.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	a.down = down
	a.mu.Unlock()
	if !down {
		a.applyNewVersions()
	}
}

// applyNewVersions learns what the directory has and tells it to the open watches.
func (a *Agent) applyNewVersions() {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return
	}
	now := a.record.Now()
	effectiveAt := max(now, a.effectiveFrom) // what forbids counts as told no sooner, what allows may be known now
	if a.silentSince > 0 {
		effectiveAt = max(effectiveAt, a.silentSince+maxSilenceDetection)
	}
	for ; a.version < a.directory.version; a.version++ {
		for _, entry := range a.directory.changesByVersion[a.version] {
			change := HealthChange{Scheduler: a.scheduler, Server: entry.Block, Health: entry.Health, EffectiveAt: effectiveAt, StartedAt: a.startTime(entry)}
			if entry.Health == "active" {
				change.EffectiveAt = now
			}
			a.record.addHealthChanges(change)
			if a.silentSince > 0 {
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

// sendChangesLocked writes to a watch the versions that it lacks. Both locks are held.
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

// writeChunk sends one chunk; the kernel takes what the scheduler does not read yet.
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

// serve answers one call: a watch, which stays open, or the whole list. While the agent is
// down it says nothing until it is back or the scheduler leaves.
func (a *Agent) serve(conn net.Conn) {
	defer a.tasks.Done()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	request, err := http1.ReadRequest(reader, messageLimits)
	if err != nil || !a.waitWhileDown(conn) {
		return
	}
	heldVersion, isWatch := watchIndex(request.Target)
	a.respond(conn, heldVersion, isWatch)
	if isWatch {
		reader.Peek(1) // until the other end closes
	}
	a.mu.Lock()
	delete(a.watches, conn)
	a.mu.Unlock()
}

// waitWhileDown waits while the agent is down; false if the caller left or the agent ends.
func (a *Agent) waitWhileDown(conn net.Conn) bool {
	for {
		a.mu.Lock()
		down := a.down
		a.mu.Unlock()
		if !down {
			return true
		}
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
}

// respond answers with the list, and keeps the connection as a watch.
func (a *Agent) respond(conn net.Conn, heldVersion int, isWatch bool) {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
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

// FullListJSON is the whole list as the agent has it, as JSON.
func (a *Agent) FullListJSON() []byte {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return mustMarshal(a.fullListLocked())
}

// fullListLocked is the whole list as the agent has it. Both locks are held.
func (a *Agent) fullListLocked() listMessage {
	message := listMessage{Seq: a.version, Full: true}
	previous := map[int]DiscoveryEntry{} // what the directory has changed since, as it was before
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

// entryBefore is a server's entry in a version.
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

// watchIndex is the version that a watch names; false for a call of the whole list.
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

// sendKeepAlives gives the open watches a sign of life.
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
