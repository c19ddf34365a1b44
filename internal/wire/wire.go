// Package wire implements the line-based text protocol by which a simulator drives
// scheduler instances: a Reader parses batches of events, a Writer prints the actions with
// which the instances reply. It also decodes the instances' settings. Times and durations
// are in ms.
package wire

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"merlinhitch/policy"
)

// Batch is the events that happen at one time, Now (ms).
type Batch struct {
	Now    float64
	Events []Event
}

// Event is an event for one instance. If Boot is not nil, the instance starts with those
// settings and Seed; if Stop is true, it ends; otherwise Event is the event to handle.
type Event struct {
	Instance int
	Boot     *policy.Settings
	Seed     uint64
	Stop     bool
	Event    policy.Event
}

// Reader parses batches of events. It keeps the node lists ("pools") that it has read, by
// number, for the membership events that refer to them.
type Reader struct {
	in    *bufio.Reader
	line  int
	pools [16][]policy.Node
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<20)}
}

// readLine returns the next line without its newline.
func (r *Reader) readLine() (string, error) {
	s, err := r.in.ReadString('\n')
	if err != nil && (s == "" || err != io.EOF) {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(s, "\n"), nil
}

// Next returns the next batch, or io.EOF at the end of input. It skips empty lines between
// batches.
func (r *Reader) Next() (*Batch, error) {
	s, err := r.readLine()
	for err == nil && s == "" {
		s, err = r.readLine()
	}
	if err != nil {
		return nil, err
	}
	f := lineFields{parts: strings.Split(s, " ")}
	if name := f.text(); name != "begin_batch" {
		return nil, r.lineError(s, fmt.Errorf("want begin_batch, got %q", name))
	}
	b := &Batch{Now: f.number()}
	if f.err != nil {
		return nil, r.lineError(s, f.err)
	}
	for {
		s, err := r.readLine()
		if err == io.EOF {
			return nil, fmt.Errorf("line %d: batch has no end", r.line)
		}
		if err != nil {
			return nil, err
		}
		if s == "end" {
			return b, nil
		}
		ev, ok, err := r.parseEvent(s)
		if err != nil {
			return nil, r.lineError(s, err)
		}
		if ok {
			b.Events = append(b.Events, ev)
		}
	}
}

// lineError adds the line number and the beginning of line s to err.
func (r *Reader) lineError(s string, err error) error {
	const maxQuoted = 120
	if len(s) > maxQuoted {
		s = s[:maxQuoted] + "..."
	}
	return fmt.Errorf("line %d: %w in %q", r.line, err, s)
}

// lineFields parses the space-separated fields of a line from left to right. It keeps the
// first error in err, so that callers can check once after several fields. In all methods
// but raw and rest, "-" stands for an empty or zero value.
type lineFields struct {
	parts []string
	err   error
}

func (f *lineFields) raw() string {
	if len(f.parts) == 0 {
		if f.err == nil {
			f.err = errors.New("line too short")
		}
		return ""
	}
	s := f.parts[0]
	f.parts = f.parts[1:]
	return s
}

func (f *lineFields) text() string {
	if s := f.raw(); s != "-" {
		return s
	}
	return ""
}

func (f *lineFields) rest() string {
	s := strings.Join(f.parts, " ")
	f.parts = nil
	return s
}

func (f *lineFields) number() float64 {
	s := f.text()
	if s == "" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if (err != nil || math.IsNaN(v) || math.IsInf(v, 0)) && f.err == nil {
		f.err = fmt.Errorf("bad number %q", s)
	}
	return v
}

func (f *lineFields) integer() int {
	s := f.text()
	if s == "" {
		return 0
	}
	v, err := strconv.Atoi(s)
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("bad integer %q", s)
	}
	return v
}

func (f *lineFields) flag() bool { return f.integer() != 0 }

func (f *lineFields) hex() []byte {
	b, err := hex.DecodeString(f.text())
	if err != nil && f.err == nil {
		f.err = errors.New("bad hexadecimal data")
	}
	return b
}

// readings parses comma-separated name:value pairs.
func (f *lineFields) readings() []policy.Reading {
	s := f.text()
	if s == "" {
		return nil
	}
	var out []policy.Reading
	for p := range strings.SplitSeq(s, ",") {
		name, val, ok := strings.Cut(p, ":")
		v, err := strconv.ParseFloat(val, 64)
		if (!ok || err != nil) && f.err == nil {
			f.err = fmt.Errorf("bad report value %q", p)
		}
		out = append(out, policy.Reading{Name: name, Value: v})
	}
	return out
}

var resultsByName = map[string]policy.Result{
	"served": policy.Served, "server_error": policy.ServerError,
	"turned_away": policy.Rejected, "no_answer": policy.NoAnswer,
	"no_connection": policy.NoConnection, "connection_lost": policy.ConnectionLost,
	"called_off": policy.Cancelled, "not_sent": policy.NotSent,
}

func (f *lineFields) result() policy.Result {
	s := f.text()
	v, ok := resultsByName[s]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("unknown outcome %q", s)
	}
	return v
}

func (f *lineFields) poolIndex() int {
	n := f.integer()
	if (n < 0 || n > 15) && f.err == nil {
		f.err = fmt.Errorf("pool number %d out of range", n)
	}
	if f.err != nil {
		return 0
	}
	return n
}

// parseEvent parses one line of a batch. ok is false for a pool, which is stored but is not
// an event of an instance.
func (r *Reader) parseEvent(s string) (ev Event, ok bool, err error) {
	f := &lineFields{parts: strings.Split(s, " ")}
	name := f.text()
	if name == "pool" {
		n, count := f.poolIndex(), f.integer()
		if f.err != nil {
			return ev, false, f.err
		}
		r.pools[n], err = r.readPool(count)
		return ev, false, err
	}
	ev.Instance = f.integer()
	switch name {
	case "boot":
		n := f.text()
		if ev.Seed, err = strconv.ParseUint(n, 10, 64); err != nil {
			v, err := strconv.ParseInt(n, 10, 64)
			if err != nil {
				return ev, false, fmt.Errorf("bad seed %q", n)
			}
			ev.Seed = uint64(v)
		}
		if ev.Boot, _, err = ParseSettings([]byte(f.rest())); err != nil {
			return ev, false, err
		}
	case "detach":
		ev.Stop = true
	case "membership":
		ev.Event, err = r.parseMembership(f)
	case "call":
		ev.Event = parseCall(f)
	case "settled":
		ev.Event = parseSettled(f)
	case "alarm":
		ev.Event = policy.TimerFired{Name: f.rest()}
	case "mail":
		ev.Event = policy.PeerMessage{From: f.integer(), Data: f.hex()}
	case "hangup":
		ev.Event = policy.ClientGone{ID: f.raw()}
	case "sampled":
		p := policy.ProbeResult{Node: f.raw(), Elapsed: f.number()}
		p.Result, p.Report = f.result(), f.readings()
		ev.Event = p
	case "begun":
		ev.Event = policy.StreamStarted{ID: f.raw(), Attempt: f.integer(), Node: f.raw()}
	default:
		return ev, false, fmt.Errorf("unknown event %q", name)
	}
	if err == nil {
		err = f.err
	}
	return ev, err == nil, err
}

func (r *Reader) parseMembership(f *lineFields) (policy.Event, error) {
	mode := f.integer()
	f.raw()
	if mode == 1 {
		return policy.ListFailed{}, f.err
	}
	if mode != 0 && mode != 3 && mode != 4 {
		return nil, fmt.Errorf("unknown membership mode %d", mode)
	}
	n := f.poolIndex()
	return policy.NodeList{Full: mode != 3, Cached: mode == 4, Nodes: r.pools[n]}, f.err
}

func parseCall(f *lineFields) policy.Event {
	request := policy.Request{ID: f.raw()}
	bits := f.integer()
	request.Repeat, request.Write = bits&2 != 0, bits&4 != 0
	request.Class, request.Plan, request.Volume = f.text(), f.text(), f.text()
	request.Shard = f.integer()
	request.Units = f.number()
	request.Key = f.text()
	request.Expires, request.Hosts = f.number(), f.integer()
	return request
}

func parseSettled(f *lineFields) policy.Event {
	outcome := policy.Outcome{ID: f.raw(), Node: f.raw(), Done: f.flag(), FromOthers: f.number()}
	outcome.Elapsed, outcome.Attempt, outcome.Use = f.number(), f.integer(), f.number()
	outcome.Result, outcome.Report = f.result(), f.readings()
	return outcome
}

// readPool reads the item lines of a node list.
func (r *Reader) readPool(count int) ([]policy.Node, error) {
	if count < 0 {
		return nil, fmt.Errorf("negative pool size %d", count)
	}
	var nodes []policy.Node
	for range count {
		s, err := r.readLine()
		if err != nil {
			return nil, errors.New("pool has too few entries")
		}
		f := &lineFields{parts: strings.Split(s, " ")}
		if f.text() != "item" {
			return nil, fmt.Errorf("want item, got %q", s)
		}
		health := f.integer()
		if health < 0 || health > 2 {
			return nil, fmt.Errorf("unknown health %d", health)
		}
		n := policy.Node{Health: policy.Health(health), Weight: f.number()}
		f.raw()
		n.Shard, n.Started = f.integer(), f.number()
		n.Addr, n.Zone = f.raw(), f.text()
		if f.err != nil {
			return nil, f.err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// settingsJSON has the keys of the settings object that are used; others are ignored. Fields
// without a tag are matched with their keys by name, ignoring case.
type settingsJSON struct {
	Balancers int
	Me        int
	Zone      string
	TickMs    float64 `json:"tick_ms"`
	Discovery string
	Classes   []struct {
		Name      string
		Worth     float64
		LateValue float64 `json:"late_value"`
		AimMs     float64 `json:"aim_ms"`
		GiveUpMs  float64 `json:"give_up_ms"`
		Effect    string
		Group     string
		KeyTTLMs  float64 `json:"key_ttl_ms"`
		ByArrival bool    `json:"by_arrival"`
		Streamed  bool
	} `json:"request_classes"`
	Grades []struct {
		Name       string
		Price      float64
		Proportion float64
		Rate       float64
		Reserve    float64
		Limit      float64
		CapDepth   float64 `json:"cap_depth"`
		Tolerance  float64
	}
	Limits struct {
		AttemptsCap     int `json:"attempts_cap"`
		Cancel          bool
		MayProbe        bool `json:"may_probe"`
		Peers           bool
		MayDuplicate    bool    `json:"may_duplicate"`
		RetryAfter      bool    `json:"retry_after"`
		MaxRetryAfterMs float64 `json:"max_retry_after_ms"`
		DialTimeoutMs   float64 `json:"dial_timeout_ms"`
		ConnIdleMs      float64 `json:"conn_idle_ms"`
	}
	Safety struct {
		AnswerSlackMs       float64  `json:"answer_slack_ms"`
		StopSendingWithinMs float64  `json:"stop_sending_within_ms"`
		AskWithinMs         float64  `json:"ask_within_ms"`
		FallMultiple        float64  `json:"fall_multiple"`
		OverloadForMs       float64  `json:"overload_for_ms"`
		ColdFrom            float64  `json:"cold_from"`
		ColdMs              float64  `json:"cold_ms"`
		KeyRestMs           float64  `json:"key_rest_ms"`
		FreeResends         float64  `json:"free_resends"`
		ExtraRatio          *float64 `json:"extra_ratio"`
		ResendSpanMs        float64  `json:"resend_span_ms"`
	}
	Extra struct {
		ColdUnits   float64 `json:"cold_units"`
		UnitMean    float64 `json:"unit_mean"`
		Largest     float64
		SlotsTotal  int      `json:"slots_total"`
		FairWorth   *float64 `json:"fair_worth"`
		SpareWorth  *float64 `json:"spare_worth"`
		UsePeriodMs float64  `json:"use_period_ms"`
		CountsOther bool     `json:"counts_others"`
	}
}

func valueOrOne(p *float64) float64 {
	if p == nil {
		return 1
	}
	return *p
}

// ConnTimeouts is the part of the settings about connections, which package policy does not
// use.
type ConnTimeouts struct {
	DialTimeout float64 // ms within which a connection must be established
	IdleTimeout float64 // ms after which, at the latest, a disk server closes an idle connection
}

// ParseSettings decodes the JSON settings of an instance, as they stand in the boot event and
// in the configuration file of the scheduler process.
func ParseSettings(b []byte) (*policy.Settings, ConnTimeouts, error) {
	var decoded settingsJSON
	if err := json.Unmarshal(b, &decoded); err != nil {
		return nil, ConnTimeouts{}, fmt.Errorf("bad settings: %w", err)
	}
	timeouts := ConnTimeouts{decoded.Limits.DialTimeoutMs, decoded.Limits.ConnIdleMs}
	settings := &policy.Settings{
		Hosts: decoded.Balancers, Self: decoded.Me, Zone: decoded.Zone, Tick: decoded.TickMs,
		MustSubscribe: decoded.Discovery == "on_request", Shards: decoded.Extra.SlotsTotal,
		MeanUnits: decoded.Extra.UnitMean, MaxUnits: decoded.Extra.Largest,
		FairFactor: valueOrOne(decoded.Extra.FairWorth), SpareFactor: valueOrOne(decoded.Extra.SpareWorth),
		UsePeriod: decoded.Extra.UsePeriodMs, CountsOthers: decoded.Extra.CountsOther,
	}
	for _, c := range decoded.Classes {
		class := policy.Class{
			Name: c.Name, Value: c.Worth, LateValue: c.LateValue, LatencyTarget: c.AimMs,
			Deadline: c.GiveUpMs, DedupWindow: c.KeyTTLMs, Ordered: c.ByArrival, Streamed: c.Streamed,
		}
		switch c.Effect {
		case "read_like":
			class.Effect = policy.Idempotent
		case "idempotency_key":
			class.Effect = policy.Keyed
		}
		switch c.Group {
		case "all":
			class.DedupScope = policy.DedupAll
		case "zone":
			class.DedupScope = policy.DedupZone
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, g := range decoded.Grades {
		settings.Plans = append(settings.Plans, policy.Plan{
			Name: g.Name, Price: g.Price, Weight: g.Proportion, Rate: g.Rate,
			Reserve: g.Reserve, Limit: g.Limit, Burst: g.CapDepth, Overdraft: g.Tolerance,
		})
	}
	settings.Limits = policy.Limits{
		MaxAttempts: decoded.Limits.AttemptsCap, Cancel: decoded.Limits.Cancel, Probe: decoded.Limits.MayProbe,
		Peers: decoded.Limits.Peers, Duplicates: decoded.Limits.MayDuplicate,
	}
	if decoded.Limits.RetryAfter {
		settings.Limits.RetryAfter = decoded.Limits.MaxRetryAfterMs
	}
	settings.Rules = policy.Rules{
		AnswerSlack: decoded.Safety.AnswerSlackMs, DrainGrace: decoded.Safety.StopSendingWithinMs,
		AskWithin: decoded.Safety.AskWithinMs, OverloadFactor: decoded.Safety.FallMultiple,
		OverloadWindow: decoded.Safety.OverloadForMs, ColdCapacity: decoded.Safety.ColdFrom, WarmUpTime: decoded.Safety.ColdMs,
		ColdUnits: decoded.Extra.ColdUnits, KeyHoldoff: decoded.Safety.KeyRestMs,
		HasBudget:  decoded.Safety.ExtraRatio != nil || decoded.Safety.ResendSpanMs > 0,
		BudgetBase: decoded.Safety.FreeResends, BudgetWindow: decoded.Safety.ResendSpanMs,
	}
	if decoded.Safety.ExtraRatio != nil {
		settings.Rules.BudgetRatio = *decoded.Safety.ExtraRatio
	}
	return settings, timeouts, nil
}

// Writer prints the replies to batches: one line for each action, then "yield".
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

// End ends the reply to a batch and flushes it.
func (w *Writer) End() error {
	w.out.WriteString("yield\n")
	return w.out.Flush()
}

func formatMS(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func formatBool(b bool) string {
	if b {
		return "1"
	}
	return "0"
}

// Action prints an action of an instance. Action types without a line in the protocol are
// ignored.
func (w *Writer) Action(instance int, a policy.Action) {
	instanceID := strconv.Itoa(instance)
	switch a := a.(type) {
	case policy.Send:
		w.writeLine("route", instanceID, a.ID, a.Node, formatMS(a.TimeoutAt))
	case policy.Refuse:
		w.writeLine("refuse", instanceID, a.ID, formatMS(a.RetryAfter))
	case policy.Fail:
		w.writeLine("give_up", instanceID, a.ID)
	case policy.CancelAttempt:
		w.writeLine("cancel", instanceID, a.ID, strconv.Itoa(a.Attempt))
	case policy.SetTimer:
		w.writeLine("sleep", instanceID, formatMS(a.Delay), a.Name)
	case policy.Subscribe:
		w.writeLine("keep_informed", instanceID, formatBool(a.On))
	case policy.FetchList:
		w.writeLine("fetch", instanceID)
	case policy.Probe:
		w.writeLine("sample", instanceID, a.Node)
	case policy.SendPeerMessage:
		to, data := "all", "-"
		if a.To >= 0 {
			to = strconv.Itoa(a.To)
		}
		if len(a.Data) > 0 {
			data = hex.EncodeToString(a.Data)
		}
		w.writeLine("share", instanceID, to, data)
	case policy.CloseIdle:
		w.writeLine("hang_up", instanceID, a.Node)
	case policy.Log:
		w.writeLine("debug", instanceID, strings.ReplaceAll(a.Text, "\n", " "))
	}
}

func (w *Writer) writeLine(parts ...string) {
	for k, p := range parts {
		if k > 0 {
			w.out.WriteByte(' ')
		}
		w.out.WriteString(p)
	}
	w.out.WriteByte('\n')
}

// Fault reports that an instance's decision code failed, with the reason in text.
func (w *Writer) Fault(instance int, text string) {
	w.writeLine("bail_out", strconv.Itoa(instance), strings.ReplaceAll(text, "\n", " "))
}
