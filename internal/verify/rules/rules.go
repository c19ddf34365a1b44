// Package rules checks the seven rules on a trail: on what passed on the sockets,
// and on nothing that a gateway says of itself. A Checker is fed events one by
// one, with a cost for each that does not grow with the run.
//
// Where two sockets are compared, the trail's order may differ from the host's by
// the way between host and relay; Margin is allowed for that, and for nothing
// else.
package rules

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/protocol/diskproto"
	"merlinhitch/internal/protocol/inventory"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/internal/verify/trail"
)

// MaxRelayDelay is what a frame may take between a host and the relay beside it, us.
const MaxRelayDelay = 20_000

// Rule numbers one of the seven.
type Rule int

// The rules, as the operators number them.
const (
	Answers Rule = iota + 1 // one final answer in time, nothing sent after it
	Effects                 // no effect twice beyond what the class allows
	Drains                  // nothing new to what drains or is gone
	Cold                    // no cold server pushed over
	Limits                  // no limit passed, over all hosts
	Order                   // order by key
	Budget                  // further attempts within the budget
	// Homes is kept by a service over two regions beside the seven: once a shard was served
	// in one of them under a generation, nothing is served in the other under an older one.
	Homes
)

var names = [...]string{"", "one final answer", "no effect twice", "drains kept", "no cold server pushed over", "limits kept", "order by key", "resends within budget", "one home at a time"}

func (r Rule) String() string { return names[r] }

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	Time int64 // us
	Text string
	// Conn and Tag name the command, HostID and Seq the request, where one is
	// concerned.
	Conn, Tag   uint32
	HostID, Seq uint64
}

func (b Violation) String() string {
	return fmt.Sprintf("rule %d (%s) at %.3f s: %s", b.Rule, b.Rule, float64(b.Time)/1e6, b.Text)
}

// keepBreaks bounds the breaches that are kept; all are counted.
const keepBreaks = 100

// Checker is the state of a check.
type Checker struct {
	meta            *trail.Meta
	set             *settings.Settings
	vols            map[string]*settings.Volume
	plans           map[string]*settings.Plan
	Checks          [9]int
	ViolationCounts [9]int
	Violations      []Violation

	conns    map[uint32]*conn
	sessions map[sessionKey]*conn
	requests map[requestKey]*request
	hosts    map[string]*host
	starts   map[string]int64 // server's last start, us
	pushes   map[string][]push
	stores   map[string]*store
	chains   map[chainKey][]*request
	served   map[int32][]servedUnder // by shard, where there are two regions
	last     int64
	Stats    *Stats
	layouts  map[string][]*settings.Volume
}

type sessionKey struct {
	host    string
	session uint32
}

type requestKey struct{ host, seq uint64 }

type chainKey struct{ host, key string }

type conn struct {
	id     uint32
	host   string
	volume *settings.Volume
	open   map[uint32]*command
	taken  []*command            // of ordered classes, in order, without an end
	ended  map[uint32]int64      // when a command was over for its host, at the latest
	recent []uint32              // tags of ended, oldest first
	asked  map[uint32][]*command // by the tag of the function that ends them
	links  map[uint32]*attempt
}

type command struct {
	conn     *conn
	tag      uint32
	op       scsi.Op
	class    *settings.Class
	plan     string
	lba      uint64
	blocks   uint32
	at       int64
	missing  int64 // bytes of data still to come
	parts    int
	over     bool
	overAt   int64
	aborted  bool             // by a task management function under way
	passed   map[string]int64 // keys for which a later command was sent first
	requests []*request
}

type request struct {
	key      requestKey
	piece    string
	cmd      *command
	class    *settings.Class
	attempts []*attempt
	served   bool
	gone     bool
}

type attempt struct {
	req      *request
	at       int64
	server   string
	gen      uint64
	deadline int64
	answered bool
	result   diskproto.Result
	lostAt   int64 // connection over without an answer
}

// host is one start of a host.
type host struct {
	told    map[string]int64 // server told off, by when
	started map[string]int64 // server's start that it was told
	known   map[string]bool
	takenAt []int64
	resent  []int64
	diedAt  int64
	ended   bool        // it was killed: what it had dialled may still open
	lost    []Violation // commands dropped by the host, unless it died
	still   []span      // when it stood still
}

// span is a time during which a host did nothing, us.
type span struct{ from, to int64 }

// awake is when a host can see what comes at t.
func (h *host) awake(t int64) int64 {
	for _, s := range h.still {
		if s.from <= t && t < s.to {
			return s.to
		}
	}
	return t
}

// due is the end of a time that begins at t and that the host must be awake for.
func (h *host) due(t, end int64) int64 {
	for _, s := range h.still {
		if t < s.to && s.from < end {
			end += s.to - max(s.from, t)
		}
	}
	return end
}

type push struct {
	at    int64
	units float64
	told  bool // by a host that knew of the start
}

type store struct {
	level float64
	at    int64
}

// New returns a checker of a run.
func New(m *trail.Meta) *Checker {
	c := &Checker{meta: m, set: m.Settings, vols: map[string]*settings.Volume{}, plans: map[string]*settings.Plan{},
		conns: map[uint32]*conn{}, sessions: map[sessionKey]*conn{}, requests: map[requestKey]*request{},
		hosts: map[string]*host{}, starts: map[string]int64{}, pushes: map[string][]push{},
		served: map[int32][]servedUnder{}, stores: map[string]*store{}, chains: map[chainKey][]*request{}, layouts: map[string][]*settings.Volume{}, Stats: newTable()}
	for i := range c.set.Volumes {
		c.vols[c.set.Volumes[i].Name] = &c.set.Volumes[i]
	}
	for i := range c.set.Plans {
		c.plans[c.set.Plans[i].Name] = &c.set.Plans[i]
	}
	return c
}

// Check runs a whole trail.
func Check(m *trail.Meta, events []trail.Event) *Checker {
	c := New(m)
	for i := range events {
		c.Feed(&events[i])
	}
	c.Finish()
	return c
}

func (c *Checker) broke(b Violation, format string, args ...any) {
	b.Text = fmt.Sprintf(format, args...)
	c.ViolationCounts[b.Rule]++
	if len(c.Violations) < keepBreaks {
		c.Violations = append(c.Violations, b)
	}
}

func (c *Checker) host(name string) *host {
	h := c.hosts[name]
	if h == nil {
		h = &host{told: map[string]int64{}, started: map[string]int64{}, known: map[string]bool{}}
		c.hosts[name] = h
	}
	return h
}

// Feed takes the next event.
func (c *Checker) Feed(e *trail.Event) {
	c.last = max(c.last, e.Time)
	switch e.Link {
	case trail.LinkClient:
		c.client(e)
	case trail.LinkDisk:
		c.disk(e)
	case trail.LinkInventory:
		c.list(e)
	case trail.LinkFault:
		h := c.host(e.Host)
		if e.Kind == trail.Killed {
			if !h.ended { // once
				h.diedAt, h.ended = e.Time, true
			}
			break
		}
		h.still = append(h.still, span{e.Time, e.Deadline})
	}
}

// Client side.

func (c *Checker) client(e *trail.Event) {
	k := c.conns[e.Conn]
	if k == nil {
		k = &conn{id: e.Conn, host: e.Host, open: map[uint32]*command{}, ended: map[uint32]int64{}, asked: map[uint32][]*command{}}
		c.conns[e.Conn] = k
	}
	switch e.Kind {
	case trail.Login:
		k.volume = c.vols[e.Volume]
		c.sessions[sessionKey{e.Host, e.Session}] = k
	case trail.Command:
		c.command(k, e)
	case trail.DataOut:
		if cmd := k.open[e.Tag]; cmd != nil && cmd.missing > 0 {
			if cmd.missing -= int64(e.Length); cmd.missing <= 0 {
				c.taken(cmd, e.Time)
			}
		}
	case trail.Status:
		c.status(k, e)
	case trail.TaskResponse:
		c.managed(k, e)
	case trail.TaskRequest:
		c.manage(k, e)
	case trail.Close:
		c.closeClient(k, e)
	}
}

func (c *Checker) command(k *conn, e *trail.Event) {
	cmd := &command{conn: k, tag: e.Tag, op: scsi.OpByName(e.Op), lba: e.LBA, blocks: e.Blocks, at: e.Time,
		missing: int64(e.Length) - int64(e.Advice), parts: 1}
	if k.open[e.Tag] != nil {
		c.broke(Violation{Rule: Answers, Time: e.Time, Conn: k.id, Tag: e.Tag}, "the client used tag %d twice: the trail can't be read", e.Tag)
	}
	k.open[e.Tag] = cmd
	if k.volume == nil || cmd.op == 0 {
		return
	}
	size := int(cmd.blocks) * k.volume.BlockSize
	cmd.class, cmd.plan = c.set.Class(cmd.op, size, k.volume.Plan), k.volume.Plan
	for _, v := range c.laid(k.volume) {
		parts := 0
		for range v.Parts(cmd.lba, cmd.blocks) {
			parts++
		}
		cmd.parts = max(cmd.parts, parts)
	}
	c.Stats.asked(cmd)
	if cmd.missing <= 0 {
		c.taken(cmd, e.Time)
	}
}

// taken notes that the host has all of a command.
func (c *Checker) taken(cmd *command, t int64) {
	h := c.host(cmd.conn.host)
	for range cmd.parts {
		h.takenAt = append(h.takenAt, h.awake(t))
	}
	if cmd.class != nil && cmd.class.Ordered {
		cmd.conn.taken = append(cmd.conn.taken, cmd)
	}
}

// finalFor is the time by which a command's final answer is due.
func (c *Checker) finalFor(cmd *command) int64 {
	if cmd.class == nil {
		return math.MaxInt64
	}
	return c.host(cmd.conn.host).due(cmd.at, cmd.at+int64((cmd.class.Deadline+c.set.Rules.AnswerSlack)*1000))
}

func (c *Checker) status(k *conn, e *trail.Event) {
	cmd := k.open[e.Tag]
	at := Violation{Time: e.Time, Conn: k.id, Tag: e.Tag}
	if cmd == nil {
		at.Rule = Answers
		c.broke(at, "an answer to %s for a command that is over or was never sent (tag %d)", e.Peer, e.Tag)
		return
	}
	c.Checks[Answers]++
	if due := c.finalFor(cmd); e.Time > due {
		at.Rule = Answers
		c.broke(at, "%s of %s answered %.1f ms after its client's time was up", cmd.op, k.volume.Name, float64(e.Time-due)/1000)
	}
	if cmd.class != nil {
		c.Stats.answered(cmd, e)
	}
	if byte(e.Status) == scsi.Busy {
		c.refused(cmd, e)
	}
	c.passedOver(cmd, e.Time)
	c.over(cmd, e.Time)
}

// keepEnded bounds how many ended commands of a connection are remembered.
const keepEnded = 4096

// over ends a command. The host knows of it at the latest at by.
func (c *Checker) over(cmd *command, by int64) {
	k := cmd.conn
	cmd.over, cmd.overAt = true, by
	delete(k.open, cmd.tag)
	k.ended[cmd.tag] = by
	if k.recent = append(k.recent, cmd.tag); len(k.recent) > keepEnded {
		delete(k.ended, k.recent[0])
		k.recent = k.recent[1:]
	}
	for _, r := range cmd.requests {
		r.gone = true
	}
	if cmd.class != nil && cmd.class.Ordered {
		k.taken = slices.DeleteFunc(k.taken, func(x *command) bool { return x == cmd })
	}
}

// refused checks what a BUSY promises: that another try does no harm.
func (c *Checker) refused(cmd *command, e *trail.Event) {
	for _, r := range cmd.requests {
		if r.class == nil || r.class.Effect == "safe" || r.class.Effect == "keyed" && r.class.Group == "all" {
			continue
		}
		c.Checks[Effects]++
		if i := slices.IndexFunc(r.attempts, (*attempt).mayHaveRun); i >= 0 {
			c.broke(Violation{Rule: Effects, Time: e.Time, Conn: cmd.conn.id, Tag: cmd.tag, HostID: r.key.host, Seq: r.key.seq},
				"%s (%s) refused although attempt %d may have run", r.class.Name, r.class.Effect, i)
		}
	}
}

func (a *attempt) mayHaveRun() bool { return !a.answered || !a.result.ProvesNothingRan() }

// outAt tells whether the attempt could still run or be answered at t.
func (a *attempt) outAt(t int64) bool {
	return !a.answered && a.lostAt == 0 && t < a.deadline-MaxRelayDelay
}

// Functions that end tasks, by number; the others only ask.
func ends(function int32) bool {
	return function >= 1 && function <= 7 && function != 3 || function == 11
}

// manage notes that the client gives commands up. An answer may still cross the
// function on its way: they are over with the function's response.
func (c *Checker) manage(k *conn, e *trail.Event) {
	if !ends(e.Status) {
		return
	}
	for _, cmd := range sorted(k.open) {
		if e.Status == 1 && cmd.tag != e.RefTag {
			continue
		}
		cmd.aborted = true
		k.asked[e.Tag] = append(k.asked[e.Tag], cmd)
	}
}

// managed: the response promises that the tasks can have no further effect.
func (c *Checker) managed(k *conn, e *trail.Event) {
	for _, cmd := range k.asked[e.Tag] {
		if cmd.over {
			continue
		}
		if cmd.class != nil {
			c.Stats.gaveUp(cmd)
		}
		for _, r := range cmd.requests {
			c.Checks[Effects]++
			for i, a := range r.attempts {
				if !a.answered && e.Time < a.deadline-MaxRelayDelay && cmd.op.Writes() {
					c.broke(Violation{Rule: Effects, Time: e.Time, Conn: k.id, Tag: cmd.tag, HostID: r.key.host, Seq: r.key.seq},
						"an abort was answered while attempt %d of the %s may still take effect", i, cmd.op)
				}
			}
		}
		c.over(cmd, e.Time)
	}
	delete(k.asked, e.Tag)
}

func sorted(open map[uint32]*command) []*command {
	var out []*command
	for _, cmd := range open {
		out = append(out, cmd)
	}
	slices.SortFunc(out, func(a, b *command) int { return cmp.Compare(a.tag, b.tag) })
	return out
}

// closeClient ends what a connection had open. If the host closed it, it owed
// answers, unless the host itself came to its end.
func (c *Checker) closeClient(k *conn, e *trail.Event) {
	for _, cmd := range sorted(k.open) {
		if cmd.class != nil {
			c.Stats.gaveUp(cmd)
		}
		if e.Dir == trail.Down && cmd.class != nil && !cmd.aborted {
			h := c.host(k.host)
			h.lost = append(h.lost, Violation{Rule: Answers, Time: e.Time, Conn: k.id, Tag: cmd.tag,
				Text: fmt.Sprintf("%s closed the connection that %s of %s waited on", k.host, cmd.op, k.volume.Name)})
		}
		c.over(cmd, e.Time+leaving)
	}
}

// leaving is how long a host may take to learn that a client has left, us. No
// answer is owed then, and none of the rules speaks of that time.
const leaving = 1_000_000

// Disk side.

func (c *Checker) disk(e *trail.Event) {
	k := c.conns[e.Conn]
	if k == nil {
		k = &conn{id: e.Conn, links: map[uint32]*attempt{}}
		c.conns[e.Conn] = k
	}
	switch e.Kind {
	case trail.Do:
		c.do(k, e)
	case trail.Answer:
		c.answer(k, e)
	case trail.Bye:
		c.Checks[Cold]++
		if e.Status != 0 && mostlyTold(c.pushes[e.Peer]) {
			c.broke(Violation{Rule: Cold, Time: e.Time}, "server %s was pushed over", c.server(e.Peer))
		}
	case trail.Close:
		for _, a := range k.links {
			a.lostAt = e.Time
		}
		delete(c.conns, e.Conn)
	}
}

func (c *Checker) server(addr string) string {
	if s, ok := c.meta.Servers[addr]; ok {
		return s.Name
	}
	return addr
}

func (c *Checker) do(k *conn, e *trail.Event) {
	key := requestKey{e.HostID, e.Seq}
	r := c.requests[key]
	first := r == nil
	if first {
		r = &request{key: key, piece: e.Key}
		c.requests[key] = r
		c.join(r, e)
	}
	at := Violation{Time: e.Time, HostID: e.HostID, Seq: e.Seq}
	if r.cmd != nil {
		at.Conn, at.Tag = r.cmd.conn.id, r.cmd.tag
	}
	c.afterEnd(r, e, at)
	c.drain(e, at)
	c.coldPush(e, at)
	if first {
		c.limit(e, at)
	}
	c.repeat(r, e, at)
	c.order(r, e, at)
	if e.Attempt > 0 {
		c.budget(e, at)
	}
	a := &attempt{req: r, at: e.Time, server: e.Peer, deadline: e.Deadline, gen: e.Generation}
	r.attempts = append(r.attempts, a)
	k.links[e.Tag] = a
}

// join finds the command that a request is part of.
func (c *Checker) join(r *request, e *trail.Event) {
	k := c.sessions[sessionKey{e.Host, e.Session}]
	if k == nil {
		return
	}
	cmd := k.open[e.RefTag]
	if cmd == nil {
		return
	}
	r.cmd, r.class = cmd, cmd.class
	cmd.requests = append(cmd.requests, r)
	if r.class != nil && r.class.Ordered {
		ck := chainKey{e.Host, e.Key}
		c.chains[ck] = append(c.chains[ck], r)
	}
}

// afterEnd: nothing is sent for a request that is over (rule 1).
func (c *Checker) afterEnd(r *request, e *trail.Event, at Violation) {
	at.Rule = Answers
	c.Checks[Answers]++
	over, what := int64(math.MaxInt64), "command that never was"
	switch k := c.sessions[sessionKey{e.Host, e.Session}]; {
	case r.cmd != nil && r.cmd.over:
		over, what = r.cmd.overAt, "command that was over"
	case r.cmd != nil:
	case k == nil:
		over = 0
	default:
		over, what = k.ended[e.RefTag], "command that was over, or never was"
	}
	if c.host(e.Host).awake(over) < e.Time-MaxRelayDelay {
		c.broke(at, "%s sent attempt %d for a %s (session %d, tag %d)", e.Host, e.Attempt, what, e.Session, e.RefTag)
	}
}

// drain is rule 3.
func (c *Checker) drain(e *trail.Event, at Violation) {
	told, off := c.host(e.Host).told[e.Peer]
	if !off {
		return
	}
	at.Rule = Drains
	if late := e.Time - c.host(e.Host).awake(told) - int64(c.set.Rules.DrainGrace*1000); late > 0 {
		c.broke(at, "%s sent to %s %.1f ms after the grace", e.Host, c.server(e.Peer), float64(late)/1000)
	}
}

// coldPush is rule 4, on every window that ends with a send.
func (c *Checker) coldPush(e *trail.Event, at Violation) {
	start, ok := c.starts[e.Peer]
	ru := &c.set.Rules
	age := float64(e.Time-start) / 1000
	if !ok || age >= ru.ColdTime {
		return
	}
	c.Checks[Cold]++
	window := int64(ru.FallTime * 1000)
	ps := slices.DeleteFunc(c.pushes[e.Peer], func(p push) bool { return p.at <= e.Time-window })
	ps = append(ps, push{e.Time, e.Units, c.host(e.Host).started[e.Peer] == start})
	c.pushes[e.Peer] = ps
	total := 0.0
	for _, p := range ps {
		total += p.units
	}
	warm := ru.ColdFrom + (1-ru.ColdFrom)*max(age, 0)/ru.ColdTime
	bears := max(ru.ColdUnits, ru.FallMultiple*warm*c.meta.Servers[e.Peer].Rate*ru.FallTime/1000)
	if total > bears+1e-6 && mostlyTold(ps) {
		at.Rule = Cold
		c.broke(at, "cold server %s was sent %.1f units within %.0f ms, it bears %.1f", c.server(e.Peer), total, ru.FallTime, bears)
	}
}

// mostlyTold tells whether two thirds of the work came from hosts that knew.
func mostlyTold(ps []push) bool {
	all, told := 0.0, 0.0
	for _, p := range ps {
		all += p.units
		if p.told {
			told += p.units
		}
	}
	return told >= all*2/3
}

// limit is rule 5, on the first send of each request.
func (c *Checker) limit(e *trail.Event, at Violation) {
	v := c.vols[e.Volume]
	if v == nil {
		return
	}
	p := c.plans[v.Plan]
	if p == nil || p.Limit <= 0 {
		return
	}
	c.Checks[Limits]++
	s := c.stores[e.Volume]
	if s == nil {
		s = &store{level: p.Burst, at: e.Time}
		c.stores[e.Volume] = s
	}
	s.level = min(s.level+p.Limit*float64(e.Time-s.at)/1e6, p.Burst) - e.Units
	s.at = e.Time
	if s.level < -p.Slack-1e-6 {
		at.Rule = Limits
		c.broke(at, "volume %s is %.2f units below its limit, %.2f are allowed", e.Volume, -s.level, p.Slack)
	}
}

// repeat is rule 2 at each send after the first.
func (c *Checker) repeat(r *request, e *trail.Event, at Violation) {
	if len(r.attempts) == 0 || r.class == nil {
		return
	}
	at.Rule = Effects
	c.Checks[Effects]++
	if !c.set.Limits.Copies {
		if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.outAt(e.Time) }); i >= 0 {
			c.broke(at, "attempt %d of a %s sent while attempt %d is out", e.Attempt, r.class.Name, i)
		}
	}
	i := slices.IndexFunc(r.attempts, (*attempt).mayHaveRun)
	if i < 0 || r.class.Effect == "safe" {
		return
	}
	ran := r.attempts[i]
	if r.class.Effect == "unsafe" {
		c.broke(at, "attempt %d of unsafe %s sent although attempt %d may have run", e.Attempt, r.class.Name, i)
		return
	}
	if age := float64(e.Time-ran.at) / 1000; age > r.class.Window+MaxRelayDelay/1000 {
		c.broke(at, "attempt %d of %s sent %.0f ms after attempt %d, repeats are dropped for %.0f ms", e.Attempt, r.class.Name, age, i, r.class.Window)
	}
	if !c.sameGroup(r.class.Group, ran.server, e.Peer) {
		c.broke(at, "attempt %d of %s sent to %s, outside the group of %s, where attempt %d may have run", e.Attempt, r.class.Name, c.server(e.Peer), c.server(ran.server), i)
	}
}

func (c *Checker) sameGroup(group, a, b string) bool {
	x, y := c.meta.Servers[a], c.meta.Servers[b]
	switch {
	case group == "all":
		return true
	case x.Region != y.Region:
		return false
	case group == "zone":
		return x.Zone == y.Zone
	}
	return x.Shard == y.Shard
}

// order is rule 6. Within a connection the order taken is known exactly; between
// connections only that no two run at once, and that the key rests.
func (c *Checker) order(r *request, e *trail.Event, at Violation) {
	if r.class == nil || !r.class.Ordered {
		return
	}
	at.Rule = Order
	c.Checks[Order]++
	ck := chainKey{e.Host, e.Key}
	live := c.chains[ck][:0]
	for _, o := range c.chains[ck] {
		if o == r || !o.rested(e.Time, c.set.Rules.KeyRest) {
			live = append(live, o)
		}
		if o != r {
			c.between(o, r, e, at)
		}
	}
	c.chains[ck] = live
	if len(r.attempts) > 0 {
		return
	}
	if by, yes := r.cmd.passed[e.Key]; yes {
		c.broke(at, "%s of key %s (tag %d) sent %.1f ms after a later one of the same connection", r.class.Name, e.Key, r.cmd.tag, float64(e.Time-by)/1000)
	}
	for _, cmd := range r.cmd.conn.taken {
		if cmd == r.cmd {
			break
		}
		if c.touches(cmd, e.Key) && !cmd.sent(e.Key) {
			if cmd.passed == nil {
				cmd.passed = map[string]int64{}
			}
			cmd.passed[e.Key] = e.Time
		}
	}
}

// passedOver: a command of one part that stayed open after a later one of its key
// was sent was not over then. Of several parts, one may have been let go of
// before the command's answer, which the sockets don't show; it is only held to
// not being sent any more.
func (c *Checker) passedOver(cmd *command, t int64) {
	if cmd.parts != 1 {
		return
	}
	for key, by := range cmd.passed {
		if t > by+MaxRelayDelay {
			c.broke(Violation{Rule: Order, Time: by, Conn: cmd.conn.id, Tag: cmd.tag},
				"a later command of key %s was sent %.1f ms before tag %d was over", key, float64(t-by)/1000, cmd.tag)
		}
	}
}

// touches tells whether a command has a part with that key, under whichever of its
// volume's layouts the host had when it took it.
func (c *Checker) touches(cmd *command, key string) bool {
	for _, v := range c.laid(cmd.conn.volume) {
		has := false
		for p := range v.Parts(cmd.lba, cmd.blocks) {
			has = has || v.Key(p.Extent) == key
		}
		if !has {
			return false
		}
	}
	return true
}

// laid lists a volume under each layout that it had.
func (c *Checker) laid(v *settings.Volume) []*settings.Volume {
	list := c.layouts[v.Name]
	if list == nil {
		list = []*settings.Volume{v}
		for _, l := range c.meta.Layouts[v.Name] {
			other := *v
			other.Layout = l
			list = append(list, &other)
		}
		c.layouts[v.Name] = list
	}
	return list
}

// sent tells whether the part with that key was sent.
func (cmd *command) sent(key string) bool {
	return slices.ContainsFunc(cmd.requests, func(r *request) bool { return r.piece == key })
}

// between checks that o leaves the key free for r.
func (c *Checker) between(o, r *request, e *trail.Event, at Violation) {
	for i, a := range o.attempts {
		switch {
		case a.outAt(e.Time):
			c.broke(at, "%s of key %s sent while attempt %d of an earlier one is out", r.class.Name, e.Key, i)
		case !a.answered && e.Time < a.endAt()+int64(c.set.Rules.KeyRest*1000)-MaxRelayDelay:
			c.broke(at, "%s of key %s sent %.1f ms after a lost attempt, the key rests %.0f ms", r.class.Name, e.Key, float64(e.Time-a.endAt())/1000, c.set.Rules.KeyRest)
		}
	}
}

// endAt is when an unanswered attempt was given up, at the latest.
func (a *attempt) endAt() int64 {
	if a.lostAt > 0 {
		return min(a.lostAt, a.deadline)
	}
	return a.deadline
}

// rested tells whether a request can't hold its key any more.
func (r *request) rested(t int64, rest float64) bool {
	if !r.gone && !r.served {
		return false
	}
	for _, a := range r.attempts {
		if !a.answered && t < a.endAt()+int64(rest*1000)+MaxRelayDelay {
			return false
		}
	}
	return true
}

// budget is rule 7 at each attempt beyond a request's first.
func (c *Checker) budget(e *trail.Event, at Violation) {
	b := c.set.Rules.Budget
	if b == nil {
		return
	}
	c.Checks[Budget]++
	h := c.host(e.Host)
	span := int64(b.Span * 1000)
	h.resent = append(slices.DeleteFunc(h.resent, func(t int64) bool { return t <= e.Time-span+MaxRelayDelay }), e.Time)
	h.takenAt = dropBefore(h.takenAt, e.Time-span-MaxRelayDelay)
	if most := b.Free + b.Share*float64(len(h.takenAt)); float64(len(h.resent)) > most+1e-9 {
		at.Rule = Budget
		c.broke(at, "%s has sent %d further attempts within %.0f ms, %.1f are allowed", e.Host, len(h.resent), b.Span, most)
	}
}

func dropBefore(ts []int64, t int64) []int64 {
	i, _ := slices.BinarySearch(ts, t)
	return ts[i:]
}

func (c *Checker) answer(k *conn, e *trail.Event) {
	a := k.links[e.Tag]
	if a == nil {
		return
	}
	delete(k.links, e.Tag)
	if a.lostAt == 0 {
		a.answered, a.result = true, diskproto.Result(e.Status)
	}
	if a.result == diskproto.OK || a.result == diskproto.Miscompare {
		a.req.served = true
		c.home(a, e.Time)
	}
}

// servedUnder is the first answer that a shard's server gave under a generation.
type servedUnder struct {
	gen    uint64
	region int
	at     int64
}

// FirstServed is when a shard was first served in a region under a generation.
type FirstServed struct {
	Shard, Region int
	Generation    uint64
	At            int64 // us
}

// HomeHistory lists where shards were served, each in the order of time.
func (c *Checker) HomeHistory() (out []FirstServed) {
	for _, shard := range slices.Sorted(maps.Keys(c.served)) {
		for _, s := range c.served[shard] {
			out = append(out, FirstServed{int(shard), s.region, s.gen, s.at})
		}
	}
	return out
}

// home is rule 8, on each attempt that was served.
func (c *Checker) home(a *attempt, t int64) {
	if a.gen == 0 {
		return
	}
	c.Checks[Homes]++
	at := c.meta.Servers[a.server]
	list := c.served[int32(at.Shard)]
	known := false
	for _, s := range list {
		known = known || s.gen == a.gen && s.region == at.Region
		if s.region != at.Region && s.gen >= a.gen && s.at < a.at {
			c.broke(Violation{Rule: Homes, Time: t, HostID: a.req.key.host, Seq: a.req.key.seq},
				"shard %d was served in region %d under generation %d, %.1f ms after region %d had served it under %d",
				at.Shard, at.Region, a.gen, float64(a.at-s.at)/1000, s.region, s.gen)
		}
	}
	if !known {
		c.served[int32(at.Shard)] = append(list, servedUnder{a.gen, at.Region, t})
	}
}

// List side.

func (c *Checker) list(e *trail.Event) {
	h := c.host(e.Host)
	switch e.Kind {
	case trail.Close:
		if e.Dir == trail.Up {
			h.diedAt = e.Time // the host's end closed; it comes again if it lives
		}
	case trail.Open:
		if !h.ended {
			h.diedAt = 0
		}
	case trail.List:
		var l inventory.List
		if json.Unmarshal([]byte(e.Detail), &l) == nil {
			c.told(h, &l, e.Time)
		}
	}
}

func (c *Checker) told(h *host, l *inventory.List, t int64) {
	named := map[string]bool{}
	for _, n := range l.Nodes {
		named[n.Addr], h.known[n.Addr] = true, true
		if n.Health == inventory.Ready {
			delete(h.told, n.Addr)
		} else {
			c.off(h, n.Addr, t)
		}
		if n.AgeMS > 0 {
			start := t - int64(n.AgeMS*1000)
			// The same start is told many times, never with the same delay.
			if old, ok := c.starts[n.Addr]; !ok || start > old+1_000_000 {
				c.starts[n.Addr] = start
			}
			h.started[n.Addr] = c.starts[n.Addr]
		}
	}
	if l.Kind == inventory.Full {
		for addr := range h.known {
			if !named[addr] {
				c.off(h, addr, t)
			}
		}
	}
}

func (c *Checker) off(h *host, addr string, t int64) {
	if _, already := h.told[addr]; !already {
		h.told[addr] = t
		c.Checks[Drains]++
	}
}

// Finish closes the books: what is overdue now stays so.
func (c *Checker) Finish() {
	for _, id := range sortedConns(c.conns) {
		k := c.conns[id]
		for _, cmd := range sorted(k.open) {
			if !cmd.aborted && c.last > c.finalFor(cmd) {
				c.broke(Violation{Rule: Answers, Time: c.last, Conn: k.id, Tag: cmd.tag}, "%s of %s never got its final answer", cmd.op, k.volume.Name)
			}
		}
	}
	for _, h := range c.hosts {
		const together = 2_000_000 // a dying host closes everything within that
		for _, b := range h.lost {
			if h.diedAt == 0 || h.diedAt < b.Time-together || h.diedAt > b.Time+together {
				c.ViolationCounts[b.Rule]++
				c.Violations = append(c.Violations, b)
			}
		}
	}
	slices.SortStableFunc(c.Violations, func(a, b Violation) int { return cmp.Compare(a.Time, b.Time) })
}

func sortedConns(m map[uint32]*conn) []uint32 {
	var out []uint32
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// OK tells whether no rule was broken.
func (c *Checker) OK() bool { return len(c.Violations) == 0 }
