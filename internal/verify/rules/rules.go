// Package rules checks a trail of socket traffic against the rules of the service. It uses no
// information that a gateway reports about itself. A Checker takes events one at a time; the time
// per event does not grow with the length of the run.
//
// Events of two sockets may be recorded in another order than the host saw them, by the delay
// between the host and the recording relay. Comparisons across sockets allow MaxRelayDelay for it.
package rules

import (
	"cmp"
	"fmt"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// MaxRelayDelay is the longest delay of a frame between a host and the relay beside it, in us.
const MaxRelayDelay = 20_000

// Rule is the number of a rule.
type Rule int

// The rules, by their published numbers.
const (
	Answers Rule = iota + 1 // one final answer in time, no attempt after it
	Effects                 // no repeated effect beyond what the class allows
	Drains                  // no attempt to a draining or removed server after the grace period
	Cold                    // no cold server overloaded
	Limits                  // no volume above its rate limit, summed over all hosts
	Order                   // requests of one key in order, one at a time
	Budget                  // retries within the budget
	// Homes applies to a service of two regions: once a shard was served in one region under a
	// generation, no attempt sent later is served in the other under the same or an older one.
	Homes
)

var ruleNames = [...]string{"", "one final answer", "no effect twice", "drains kept", "no cold server pushed over", "limits kept", "order by key", "resends within budget", "one home at a time"}

func (r Rule) String() string { return ruleNames[r] }

// Violation describes one violation of a rule.
type Violation struct {
	Rule Rule
	Time int64 // us since the run began
	Text string
	// Conn and Tag identify the command, HostID and Seq the request; 0 where there is none.
	Conn, Tag   uint32
	HostID, Seq uint64
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d (%s) at %.3f s: %s", b.Rule, b.Rule, float64(b.Time)/1e6, b.Text)
}

// maxViolations bounds the violations that are kept as they occur; all are counted.
const maxViolations = 100

// Checker checks a stream of events. Checks and ViolationCounts are indexed by Rule and count the
// checks made and the violations found.
type Checker struct {
	meta            *trail.Meta
	settings        *settings.Settings
	volumes         map[string]*settings.Volume
	plans           map[string]*settings.Plan
	Checks          [9]int
	ViolationCounts [9]int
	Violations      []Violation

	conns          map[uint32]*conn    // by the connection number of the trail
	sessions       map[sessionID]*conn // client connection of the latest login
	requests       map[requestID]*request
	processes      map[string]*hostProcess   // by Event.Host
	serverStarts   map[string]int64          // latest start of a server by its address, us
	coldSends      map[string][]coldSend     // by server, within the overload window
	buckets        map[string]*tokenBucket   // by volume
	keyQueues      map[keyQueueID][]*request // ordered requests that may hold the key
	firstServed    map[int32][]servedHome    // by shard; empty unless there are two regions
	lastEventAt    int64                     // us
	Stats          *Stats
	volumeVariants map[string][]*settings.Volume // see variants
}

type sessionID struct {
	host    string
	session uint32
}

// requestID identifies a request over all hosts.
type requestID struct{ hostID, seq uint64 }

// keyQueueID identifies the queue of an ordering key at a host process.
type keyQueueID struct{ host, key string }

// conn is a connection from a client or to a disk server.
type conn struct {
	id           uint32
	host         string
	volume       *settings.Volume
	open         map[uint32]*command   // by tag
	orderedQueue []*command            // commands of ordered classes that have not ended, by arrival
	endedAt      map[uint32]int64      // by tag: when the host knew at the latest that the command had ended
	endedTags    []uint32              // keys of endedAt, oldest first
	aborting     map[uint32][]*command // commands that a task management function ends, by the function's tag
	outstanding  map[uint32]*attempt   // by tag, on a connection to a disk server
}

// command is a client command. Times are in us.
type command struct {
	conn         *conn
	tag          uint32
	op           scsi.Op
	class        *settings.Class
	plan         string
	lba          uint64
	blocks       uint32
	issuedAt     int64
	missingBytes int64 // write data that has not been sent yet
	parts        int   // requests that it is split into; the maximum over the volume's layouts
	ended        bool
	endedAt      int64
	aborted      bool             // an outstanding task management function ends it
	overtakenAt  map[string]int64 // by key: when a later command of the connection was sent before it
	requests     []*request
	executedBy   map[uint64]requestID // by address of a part of a write: the request that executed it
}

// request is a part of a command for one shard.
type request struct {
	id       requestID
	orderKey string   // requests with the same key are ordered if their class is
	cmd      *command // nil if not found
	class    *settings.Class
	attempts []*attempt
	served   bool
	ended    bool   // its command ended
	lba      uint64 // of its first block
}

// attempt is one send of a request to a server. Times are in us.
type attempt struct {
	req        *request
	sentAt     int64
	server     string
	generation uint64
	deadline   int64
	answered   bool
	result     diskproto.Result
	lostAt     int64 // when the connection closed before the answer; 0: it did not
}

// hostProcess is one process of a host, from its start to its end.
type hostProcess struct {
	notReadySince map[string]int64 // by server: when the host was told that it drains or is gone
	knownStarts   map[string]int64 // by server: its start as known to the host
	knownServers  map[string]bool
	arrivals      []int64     // times of requests that arrived within the budget window
	retries       []int64     // times of attempts after the first within the budget window
	diedAt        int64       // when it was killed or closed its inventory connection; 0: alive
	killed        bool        // was killed; a connection that it had dialled may still open
	unanswered    []Violation // commands whose connection the host closed; no violation if it died then
	stalls        []stall
}

// stall is a period, in us, during which a host did not run.
type stall struct{ from, to int64 }

// seenAt returns when the host can process what arrives at the given time: at the end of a stall.
func (h *hostProcess) seenAt(at int64) int64 {
	for _, s := range h.stalls {
		if s.from <= at && at < s.to {
			return s.to
		}
	}
	return at
}

// extendByStalls returns end, later by the time that the host was stalled between start and end.
func (h *hostProcess) extendByStalls(start, end int64) int64 {
	for _, s := range h.stalls {
		if start < s.to && s.from < end {
			end += s.to - max(s.from, start)
		}
	}
	return end
}

// coldSend is an attempt sent to a server during its warm-up.
type coldSend struct {
	sentAt     int64
	units      float64
	startKnown bool // the sending host knew of the server's start
}

// tokenBucket meters a volume against the rate limit of its plan.
type tokenBucket struct {
	level     float64
	updatedAt int64
}

// New returns a Checker for the run that meta describes.
func New(meta *trail.Meta) *Checker {
	c := &Checker{meta: meta, settings: meta.Settings, volumes: map[string]*settings.Volume{}, plans: map[string]*settings.Plan{},
		conns: map[uint32]*conn{}, sessions: map[sessionID]*conn{}, requests: map[requestID]*request{},
		processes: map[string]*hostProcess{}, serverStarts: map[string]int64{}, coldSends: map[string][]coldSend{},
		firstServed: map[int32][]servedHome{}, buckets: map[string]*tokenBucket{}, keyQueues: map[keyQueueID][]*request{}, volumeVariants: map[string][]*settings.Volume{}, Stats: newStats()}
	for i := range c.settings.Volumes {
		c.volumes[c.settings.Volumes[i].Name] = &c.settings.Volumes[i]
	}
	for i := range c.settings.Plans {
		c.plans[c.settings.Plans[i].Name] = &c.settings.Plans[i]
	}
	return c
}

// Check checks a complete trail.
func Check(meta *trail.Meta, events []trail.Event) *Checker {
	c := New(meta)
	for i := range events {
		c.Feed(&events[i])
	}
	c.Finish()
	return c
}

func (c *Checker) violate(violation Violation, format string, args ...any) {
	violation.Text = fmt.Sprintf(format, args...)
	c.ViolationCounts[violation.Rule]++
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, violation)
	}
}

func (c *Checker) process(name string) *hostProcess {
	process := c.processes[name]
	if process == nil {
		process = &hostProcess{notReadySince: map[string]int64{}, knownStarts: map[string]int64{}, knownServers: map[string]bool{}}
		c.processes[name] = process
	}
	return process
}

// Feed processes the next event. Events must come in the order of the trail.
func (c *Checker) Feed(e *trail.Event) {
	c.lastEventAt = max(c.lastEventAt, e.Time)
	switch e.Link {
	case trail.LinkClient:
		c.clientEvent(e)
	case trail.LinkDisk:
		c.diskEvent(e)
	case trail.LinkInventory:
		c.inventoryEvent(e)
	case trail.LinkFault:
		process := c.process(e.Host)
		if e.Kind == trail.Killed {
			if !process.killed { // a host may be reported killed more than once
				process.diedAt, process.killed = e.Time, true
			}
			break
		}
		process.stalls = append(process.stalls, stall{e.Time, e.Deadline})
	}
}

// Finish ends the check at the last event: it reports the commands whose answer is overdue, and
// those whose connection a host closed without dying at that time.
func (c *Checker) Finish() {
	for _, id := range sortedConnIDs(c.conns) {
		connection := c.conns[id]
		for _, cmd := range sortedByTag(connection.open) {
			if !cmd.aborted && c.lastEventAt > c.answerDue(cmd) {
				c.violate(Violation{Rule: Answers, Time: c.lastEventAt, Conn: connection.id, Tag: cmd.tag}, "%s on %s was never answered", cmd.op, connection.volume.Name)
			}
		}
	}
	for _, process := range c.processes {
		const closeWindow = 2_000_000 // us around a host's death within which its connections close
		for _, violation := range process.unanswered {
			if process.diedAt == 0 || process.diedAt < violation.Time-closeWindow || process.diedAt > violation.Time+closeWindow {
				c.ViolationCounts[violation.Rule]++
				c.Violations = append(c.Violations, violation)
			}
		}
	}
	slices.SortStableFunc(c.Violations, func(a, b Violation) int { return cmp.Compare(a.Time, b.Time) })
}

func sortedConnIDs(conns map[uint32]*conn) []uint32 {
	var ids []uint32
	for id := range conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// OK reports whether no violation was found.
func (c *Checker) OK() bool { return len(c.Violations) == 0 }
