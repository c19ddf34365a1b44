// Package policy decides, for one host, which storage request is sent to which
// node and when. It does no input or output: its caller feeds it events and
// carries out the actions that it returns.
//
// All times and durations are in milliseconds. Times are read from the host's
// own monotonic clock, whose zero has no meaning. The size of a request is
// measured in units.
package policy

// Scheduler is one host's instance. It is not safe for concurrent use, and
// instances share no state.
type Scheduler interface {
	// Handle processes an event that happened at time now and returns the actions
	// to carry out, in order. The slice is valid until the next call.
	Handle(now float64, ev Event) []Action
	// View returns a snapshot of the instance at now, which must not be before the last event.
	View(now float64) View
}

// New returns a fresh instance. The same seed and events give the same actions.
func New(s Settings, seed uint64) Scheduler { return newScheduler(s, seed) }

// Effect says what a repeated attempt of a request does.
type Effect int

// The kinds of effect.
const (
	NonIdempotent Effect = iota // every further attempt takes effect once more
	Keyed                       // the nodes of the DedupScope drop repeats of one key for DedupWindow
	Idempotent                  // repeating does no harm
)

// DedupScope is the set of nodes among which repeats of a keyed request are dropped.
type DedupScope int

// The scopes of deduplication.
const (
	DedupShard DedupScope = iota // the nodes that hold one shard
	DedupZone                    // the nodes of one zone
	DedupAll                     // all nodes
)

// Settings is the configuration of a host's instance. Zero values mean "not present".
type Settings struct {
	Hosts   int // schedulers in this tier, this one included
	Self    int // this host's number among them; this policy does not read it
	Zone    string
	Tick    float64 // least time between two events
	Classes []Class
	Plans   []Plan
	Limits  Limits
	Rules   Rules

	MustSubscribe bool    // the node list is sent only to subscribers
	Shards        int     // number of shards
	MeanUnits     float64 // mean size of a request
	MaxUnits      float64 // largest size of a request
	FairFactor    float64 // factor on a request's value within its volume's fair share
	SpareFactor   float64 // factor beyond the fair share
	// This policy does not read the following.
	UsePeriod    float64 // period that Outcome.Use covers
	CountsOthers bool    // Outcome.FromOthers is filled in
}

// Class is a kind of request.
type Class struct {
	Name          string
	Value         float64 // value of a unit answered within LatencyTarget
	LateValue     float64 // value of a later answer; this policy does not read it
	LatencyTarget float64 // time within which an answer has its full value
	Deadline      float64 // time for which a client keeps trying
	Effect        Effect
	DedupScope    DedupScope // for Keyed
	DedupWindow   float64    // for Keyed: how long repeats are dropped
	Ordered       bool       // requests of one key run one at a time, in order
	Streamed      bool       // the answer is a stream, whose attempts have no time-out
}

// Plan is a service level that volumes are assigned to. Rates are units per second over all hosts.
type Plan struct {
	Name      string
	Price     float64 // factor on the value of each request
	Weight    float64 // initial share of a node, relative to the other plans
	Rate      float64 // fair share; 0: unbounded
	Reserve   float64 // rate at which requests have their full value
	Limit     float64 // rate limit; 0: none
	Burst     float64 // capacity of the limit's token bucket, units
	Overdraft float64 // units by which that bucket may go below zero
}

// Limits says what an installation permits its hosts to do.
type Limits struct {
	MaxAttempts int     // attempts per request; 0: unlimited
	Cancel      bool    // attempts may be cancelled
	Probe       bool    // nodes may be probed; this policy does not read it
	Peers       bool    // hosts may send messages to each other; this policy does not read it
	Duplicates  bool    // two attempts of a request may be outstanding at once
	RetryAfter  float64 // delay that a refused client is told to wait
}

// Rules holds the parameters of the safety rules.
type Rules struct {
	AnswerSlack    float64 // time after a request's expiry by which it must have its final answer
	DrainGrace     float64 // time within which sending to a draining node must stop; not read by this policy
	AskWithin      float64 // not read by this policy
	OverloadFactor float64 // multiple of a node's capacity at which it is overloaded; not read by this policy
	OverloadWindow float64 // time over which the load on a cold node is summed
	ColdCapacity   float64 // capacity of a node that has just started, as a fraction of its full one
	WarmUpTime     float64 // time from a node's start to its full capacity
	ColdUnits      float64 // units that all hosts may send to a node just started, per OverloadWindow
	KeyHoldoff     float64 // delay of a key's next request after an attempt whose outcome is unknown
	HasBudget      bool    // the number of retries is bounded, by the next three
	BudgetBase     float64 // retries allowed per BudgetWindow in any case
	BudgetRatio    float64 // further retries allowed per request that arrived in the window
	BudgetWindow   float64
	// MaxSendDelay is how long an attempt may wait at this host for its connection after the
	// Send. 0: attempts start at once, or the caller does not enforce StartBy.
	MaxSendDelay float64
}

// Health is the state of a node in the node list.
type Health int

// The states of a node.
const (
	Removed Health = iota
	Ready
	Draining
)

// Node is an entry of the node list.
type Node struct {
	Addr    string
	Health  Health
	Shard   int
	Started float64 // last start; 0: long ago
	Zone    string
	Weight  float64 // not read by this policy
}

// Result says how an attempt ended.
type Result int

// The results. Rejected, NoConnection and NotSent prove that the attempt never ran.
const (
	Served Result = iota
	ServerError
	Rejected // the node refused to queue it
	NoAnswer // it timed out
	NoConnection
	ConnectionLost
	Cancelled
	NotSent
)

func (r Result) String() string {
	return [...]string{"served", "server_error", "turned_away", "no_answer",
		"no_connection", "connection_lost", "cancelled", "not_sent"}[r]
}

// Event is one of the types below that have an event method.
type Event interface{ event() }

// NodeList brings the node list, or the entries of it that changed.
type NodeList struct {
	Full   bool // nodes that are not listed have been removed
	Cached bool // the list was stored before this host's start and may be outdated
	Nodes  []Node
}

// ListFailed reports that a Subscribe or FetchList failed or a subscription broke.
type ListFailed struct{}

// Request asks for a read or write. Unless its client leaves, it gets exactly one final answer.
type Request struct {
	ID      string
	Class   string
	Plan    string
	Volume  string
	Shard   int // -1: a new object, which any node can store
	Units   float64
	Key     string  // idempotency or ordering key
	Expires float64 // the client gives up at this time
	Hosts   int     // hosts that the volume's requests come through
	Repeat  bool    // not read by this policy
	Write   bool    // not read by this policy
	// Resubmitted is set if nodes refused an attempt of the same request under another ID without
	// effect. It counts as a retry, not as an arrival.
	Resubmitted bool
	Internal    bool // the host's own request, not a client's: no arrival for the retry budget
	// Fraction is the part of the plan's rates that those hosts have together; 0: all.
	// FractionSince is the time since which it has not been smaller; 0: always.
	Fraction, FractionSince float64
}

// VolumeChanged sets the number of hosts of a volume and their fraction of the plan's rates.
type VolumeChanged struct {
	Volume   string
	Hosts    int
	Fraction float64
}

// SettingsChanged replaces the settings. Requests that arrived before keep their class, number of
// attempts and times; what is counted over all requests (limits, budget, cold nodes) follows the
// new settings. Learnt state is kept.
type SettingsChanged struct{ Settings Settings }

// Outcome ends an attempt.
type Outcome struct {
	ID         string
	Node       string
	Attempt    int     // counted from 0
	Done       bool    // the request has ended: it was answered, or its client left
	Elapsed    float64 // time since the Send
	Result     Result
	FromOthers float64   // the node's figure for the load from other hosts; not read by this policy
	Use        float64   // the node's figure for its utilization; not read by this policy
	Report     []Reading // not read by this policy
}

// ResponseReceived reports that a node has answered an attempt whose Outcome is not known yet. The
// node has finished with the attempt, which therefore leaves the node's depth. It may be omitted.
type ResponseReceived struct {
	ID      string
	Attempt int // counted from 0
}

// Reading is a figure of a node's load report.
type Reading struct {
	Name  string
	Value float64
}

// TimerFired reports that the delay of a SetTimer is over.
type TimerFired struct{ Name string }

// ClientGone reports that a request's client left. The request needs no answer any more.
type ClientGone struct{ ID string }

// DeadlineShortened brings a request's expiry forward, since other requests that expire earlier
// wait behind its answer. A Deadline after the request's own expiry has no effect.
type DeadlineShortened struct {
	ID       string
	Deadline float64
}

// Stop reports that this host shuts down: every open request gets its final answer now.
type Stop struct{}

// StreamStarted reports that the answer to an attempt has begun. This policy ignores it.
type StreamStarted struct {
	ID      string
	Attempt int
	Node    string
}

// ProbeResult answers a Probe. This policy sends no Probe and ignores ProbeResult.
type ProbeResult struct {
	Node    string
	Elapsed float64
	Result  Result
	Report  []Reading
}

// PeerMessage is a message from another host. This policy sends none and ignores
// any that it receives, whatever their kind or length.
type PeerMessage struct {
	From int
	Data []byte
}

func (NodeList) event()          {}
func (ListFailed) event()        {}
func (Request) event()           {}
func (Outcome) event()           {}
func (ResponseReceived) event()  {}
func (TimerFired) event()        {}
func (ClientGone) event()        {}
func (DeadlineShortened) event() {}
func (Stop) event()              {}
func (VolumeChanged) event()     {}
func (SettingsChanged) event()   {}
func (StreamStarted) event()     {}
func (ProbeResult) event()       {}
func (PeerMessage) event()       {}

// Action is one of the types below that have an action method.
type Action interface{ action() }

// Send starts an attempt. TimeoutAt 0 leaves the time-out to the request's expiry. An attempt that
// waits for its connection has to start by StartBy, or else it ends as NotSent; 0 or +Inf: no bound.
type Send struct {
	ID, Node           string
	TimeoutAt, StartBy float64
}

// Withdraw takes back an attempt that still waits for its connection; it ends as NotSent.
// An attempt that has started goes on.
type Withdraw struct {
	ID      string
	Attempt int // counted from 0
}

// Refuse is a final answer that promises that trying again does no harm.
type Refuse struct {
	ID         string
	RetryAfter float64 // delay that the client should wait; 0: unspecified
	Cause      Reason
}

// Fail is a final answer without that promise.
type Fail struct {
	ID    string
	Cause Reason
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int // counted from 0
}

// SetTimer asks for a TimerFired after Delay.
type SetTimer struct {
	Delay float64
	Name  string
}

// Subscribe starts or ends a subscription to changes of the node list.
type Subscribe struct{ On bool }

// FetchList asks for the node list once.
type FetchList struct{}

// Probe asks a node for its load report.
type Probe struct{ Node string }

// SendPeerMessage sends a message to one host, or to all others if To is negative.
type SendPeerMessage struct {
	To   int
	Data []byte
}

// CloseIdle closes idle connections to a node.
type CloseIdle struct{ Node string }

// Log is a message for the operators.
type Log struct{ Text string }

func (Send) action()            {}
func (Refuse) action()          {}
func (Fail) action()            {}
func (CancelAttempt) action()   {}
func (Withdraw) action()        {}
func (SetTimer) action()        {}
func (Subscribe) action()       {}
func (FetchList) action()       {}
func (Probe) action()           {}
func (SendPeerMessage) action() {}
func (CloseIdle) action()       {}
func (Log) action()             {}
