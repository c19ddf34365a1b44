// Package policy decides, for one host, which storage request goes to which
// node and when. It does no input or output: its caller feeds it events and
// carries out the actions that it returns.
package policy

// All times and durations are in milliseconds. Times are read from the host's
// own clock, which only goes forward; its zero has no meaning.

// Scheduler is one host's instance. It is not safe for concurrent use, and
// instances share nothing.
type Scheduler interface {
	// Handle takes one event that happened at time now and returns the actions
	// to carry out, in order. The slice is valid until the next call.
	Handle(now float64, ev Event) []Action
	// View tells what the instance holds at a time that is not before the last event's.
	View(now float64) View
}

// New returns a fresh instance. The same seed and events give the same actions.
func New(s Settings, seed uint64) Scheduler { return newScheduler(s, seed) }

// Effect says what a repeated attempt of a request does.
type Effect int

// The kinds of effect.
const (
	NonIdempotent Effect = iota // every further attempt takes effect once more
	Keyed                       // nodes of one Group drop repeats for a while
	Idempotent                  // repeating does no harm
)

// DedupScope names the nodes among which a keyed request's repeats are dropped.
type DedupScope int

// The kinds of group.
const (
	DedupShard DedupScope = iota // the nodes holding one shard
	DedupZone
	DedupAll
)

// Settings is what a host knows at start. Zero values mean "not present".
type Settings struct {
	Hosts   int // schedulers in this tier, this one included
	Self    int // this host's number among them
	Zone    string
	Tick    float64 // events come at most this often
	Classes []Class
	Plans   []Plan
	Limits  Limits
	Rules   Rules

	MustSubscribe bool    // the node list must be subscribed to
	Shards        int     // number of shards
	MeanUnits     float64 // mean units of a request
	MaxUnits      float64 // largest units of a request
	FairFactor    float64 // worth factor within a volume's weighted share
	SpareFactor   float64 // worth factor beyond it
	// Told for policies to come; this one does not read them.
	UsePeriod    float64 // period of Outcome.Use
	CountsOthers bool    // Outcome.FromOthers is filled in
}

// Class is a kind of request.
type Class struct {
	Name          string
	Value         float64
	LateValue     float64
	LatencyTarget float64 // full worth inside this time
	Deadline      float64
	Effect        Effect
	DedupScope    DedupScope // for Keyed
	DedupWindow   float64    // for Keyed: how long repeats are dropped
	Ordered       bool       // requests of one key run one at a time, in order
	Streamed      bool
}

// Plan is what a volume has bought. Rates are units a second over all hosts.
type Plan struct {
	Name      string
	Price     float64
	Weight    float64
	Rate      float64
	Reserve   float64
	Limit     float64 // 0: none
	Burst     float64 // depth of the limit's store
	Overdraft float64 // how far that store may go below zero
}

// Limits says what the site lets a host do.
type Limits struct {
	MaxAttempts int
	Cancel      bool
	Probe       bool
	Peers       bool
	Duplicates  bool // two attempts of a request may be out at once
	RetryAfter  float64
}

// Rules holds the figures of the safety rules.
type Rules struct {
	AnswerSlack    float64
	DrainGrace     float64
	AskWithin      float64
	OverloadFactor float64
	OverloadWindow float64
	ColdCapacity   float64
	WarmUpTime     float64
	ColdUnits      float64
	KeyHoldoff     float64
	HasBudget      bool
	BudgetBase     float64
	BudgetRatio    float64
	BudgetWindow   float64
	// MaxSendDelay is how long an attempt may wait at this host once it was decided, ms: for
	// its connection. 0: it goes at once, or whoever carries it out holds no By.
	MaxSendDelay float64
}

// Health is what the node list says of a node.
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
	Weight  float64
}

// Result says how an attempt ended.
type Result int

// The results. Rejected, NoConnection and NotSent prove that it never ran.
const (
	Served Result = iota
	ServerError
	Rejected
	NoAnswer
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
	Full   bool // entries left out are gone
	Cached bool // the list from before the start, maybe old
	Nodes  []Node
}

// ListFailed says that a Subscribe or FetchList failed or a subscription broke.
type ListFailed struct{}

// Request asks for a read or write; the host now owes one final answer.
type Request struct {
	ID      string
	Class   string
	Plan    string
	Volume  string
	Shard   int // -1: a new object that any node can take
	Units   float64
	Key     string
	Expires float64 // the client gives up at this time
	Hosts   int     // hosts that the volume's requests come through
	Repeat  bool
	Write   bool
	// Fraction is what those hosts have of the plan's figures, 0: all; FractionSince is since when
	// they had no less, 0: always.
	Fraction, FractionSince float64
}

// VolumeChanged says what a volume's hosts have of its plan's figures now.
type VolumeChanged struct {
	Volume   string
	Hosts    int
	Fraction float64
}

// SettingsChanged brings other settings. Requests taken before end under the classes, attempts and
// times that they were taken under; what is counted over all requests (limits, budget,
// cold nodes) is held to those in force. What was learnt stays.
type SettingsChanged struct{ Settings Settings }

// Outcome ends an attempt. Done is set if the request is over with it.
type Outcome struct {
	ID         string
	Node       string
	Attempt    int
	Done       bool
	Elapsed    float64
	Result     Result
	FromOthers float64
	Use        float64
	Report     []Reading
}

// Reading is a figure of a node's load report.
type Reading struct {
	Name  string
	Value float64
}

// TimerFired answers SetTimer.
type TimerFired struct{ Name string }

// ClientGone ends a request from the client's side.
type ClientGone struct{ ID string }

// DeadlineShortened brings a request's end forward: its final answer is wanted by a time before its own,
// for others wait behind it that have less time. A later time than its own changes nothing.
type DeadlineShortened struct {
	ID       string
	Deadline float64
}

// Stop says that this host ends: what it holds gets its final answer now.
type Stop struct{}

// StreamStarted says that the answer to an attempt has begun.
type StreamStarted struct {
	ID      string
	Attempt int
	Node    string
}

// ProbeResult answers Probe. This policy sends no Probe and passes ProbeResult over.
type ProbeResult struct {
	Node    string
	Elapsed float64
	Result  Result
	Report  []Reading
}

// PeerMessage is a message from another host. This policy sends none and passes
// all over, whatever their kind or length.
type PeerMessage struct {
	From int
	Data []byte
}

func (NodeList) event()          {}
func (ListFailed) event()        {}
func (Request) event()           {}
func (Outcome) event()           {}
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

// Send starts an attempt; Until 0 leaves its time-out to the deadline. One that waits for
// its connection has to begin by By; if it has not, it ends as never sent.
type Send struct {
	ID, Node           string
	TimeoutAt, StartBy float64
}

// Withdraw takes an attempt back that has not begun, for it waits for its connection still;
// it ends as never sent. One that has begun goes on.
type Withdraw struct {
	ID      string
	Attempt int
}

// Refuse is a final answer that promises that trying again is harmless.
type Refuse struct {
	ID         string
	RetryAfter float64 // advice to the client; 0: none
	Cause      Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID    string
	Cause Reason
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      string
	Attempt int
}

// SetTimer asks for a TimerFired after Delay.
type SetTimer struct {
	Delay float64
	Name  string
}

// Subscribe asks for changes of the node list from now on, or no longer.
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

// Log is a line for the operators.
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
