// Package settings holds the operators' configuration of a service: classes, plans,
// volumes with their layouts, limits and rules. Settings are validated as a whole, with
// each fault reported by its path, and are versioned, saved as one snapshot and recorded
// in an audit log.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"merlinhitch/internal/fleet/region"
	"merlinhitch/internal/protocol/scsi"
	"merlinhitch/policy"
)

// Settings is the configuration that the gateways of a service share. Times are in
// milliseconds, rates in units per second over all hosts.
type Settings struct {
	// Version is incremented by each accepted change.
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
	Shards  int    `json:"shards"`
	// UnitBytes is the size that counts as one unit; MeanUnits and MaxUnits are the mean
	// and the largest size of a request in units.
	UnitBytes   int      `json:"unit_bytes"`
	MeanUnits   float64  `json:"mean_units"`
	MaxUnits    float64  `json:"most_units"`
	FairFactor  float64  `json:"fair_worth"`
	SpareFactor float64  `json:"spare_worth"`
	Classes     []Class  `json:"classes"`
	Plans       []Plan   `json:"plans"`
	Limits      Limits   `json:"limits"`
	Rules       Rules    `json:"rules"`
	Volumes     []Volume `json:"volumes"`
	Target      Target   `json:"target"`
	// Nodes describes the disk server of each shard; it may be empty where layouts are
	// not planned.
	Nodes     []Node    `json:"nodes,omitempty"`
	Placement Placement `json:"placement,omitzero"`
	Announce  *Announce `json:"announce,omitempty"`
	// Regions is set for a service that runs over two regions.
	Regions *Regions `json:"regions,omitempty"`
	// Roll is set during a rollout, while hosts use two versions.
	Roll *Roll `json:"roll,omitempty"`
}

// Regions holds the times of package region and the region of each host. The inventories
// of both regions must have the same times, which they read from their own configuration.
type Regions struct {
	LeaseTime   float64 `json:"lease_ms"`
	PeerTimeout float64 `json:"quiet_ms"`
	Drift       float64 `json:"drift"` // fraction by which any clock may run fast or slow
	Hosts       []int   `json:"hosts"` // region of each host: 0 or 1
}

// Config returns the times as package region takes them.
func (r *Regions) Config() region.Config {
	return region.Config{Lease: r.LeaseTime, Quiet: r.PeerTimeout, Drift: r.Drift}
}

// SameRegion returns those of hosts that are in the same region as host self: all of them
// where the service has no regions.
func (s *Settings) SameRegion(self int, hosts []int) []int {
	if s.Regions == nil {
		return hosts
	}
	var out []int
	for _, h := range hosts {
		if s.Regions.Hosts[h] == s.Regions.Hosts[self] {
			out = append(out, h)
		}
	}
	return out
}

func (s *Settings) checkRegions(c *checker) {
	r := s.Regions
	if r == nil {
		return
	}
	c.inRange("regions.lease_ms", r.LeaseTime, 200, 60000)
	c.inRange("regions.quiet_ms", r.PeerTimeout, 200, 60000)
	c.inRange("regions.drift", r.Drift, 0, 0.2)
	c.failIf(len(r.Hosts) != s.Hosts, "regions.hosts", "has %d entries for %d hosts", len(r.Hosts), s.Hosts)
	for i, number := range r.Hosts {
		c.failIf(number != 0 && number != 1, fmt.Sprintf("regions.hosts[%d]", i), "is %d, must be 0 or 1", number)
	}
}

// Announce configures which service addresses are announced to which routers, and when.
// Times are in ms; those of 0 mean the defaults of package announce and of the gateway.
type Announce struct {
	AS                uint32         `json:"as"`
	HoldTime          float64        `json:"hold_ms"` // BGP hold time; 0: none
	Routers           []Router       `json:"routers"`
	Groups            []AddressGroup `json:"groups"`
	ProbeInterval     float64        `json:"probe_ms,omitempty"` // between two probes of a disk server
	ProbeTimeout      float64        `json:"answer_ms,omitempty"`
	StableTime        float64        `json:"steady_ms,omitempty"`
	MaxStableTime     float64        `json:"steady_most_ms,omitempty"`
	MaxLastResortTime float64        `json:"resort_most_ms,omitempty"`
	LossHalfLife      float64        `json:"half_life_ms,omitempty"`
	MaxListAge        float64        `json:"list_bound_ms,omitempty"`
	HeartbeatTimeout  float64        `json:"beat_bound_ms,omitempty"`
	DrainTime         float64        `json:"move_ms,omitempty"` // for clients to move to another gateway at a graceful stop
}

// Router configures a BGP peer.
type Router struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"` // host:port
	AS      uint32 `json:"as"`
	Passive bool   `json:"passive,omitempty"`
	Hosts   []int  `json:"hosts,omitempty"` // hosts that peer with it; empty: all
}

// AddressGroup is a set of volumes that are reached through the same service addresses.
type AddressGroup struct {
	Name     string   `json:"name"`
	Prefixes []string `json:"prefixes"`
	Volumes  []string `json:"volumes"`
}

// Node describes the disk server of one shard for the placement of volumes.
type Node struct {
	Shard    int     `json:"shard"`
	Hall     string  `json:"hall"`
	Region   int     `json:"region,omitempty"` // 0 or 1
	Capacity float64 `json:"capacity"`         // units per second
	Cost     float64 `json:"cost,omitempty"`
	// Draining excludes the node from the placement of new data. It is independent of the
	// draining state of the server's process, which the inventory reports.
	Draining bool `json:"draining,omitempty"`
}

// Values of Placement.FailureDomain.
const (
	DomainHall   = "hall"
	DomainRegion = "region"
)

// DomainOf returns the name of a node's failure domain: its hall, or region-0 or region-1.
func (s *Settings) DomainOf(n *Node) string {
	if s.Placement.FailureDomain == DomainRegion {
		return fmt.Sprintf("region-%d", n.Region)
	}
	return n.Hall
}

// Placement configures the planning of layouts. The zero value means DefaultPlacement.
type Placement struct {
	Parts       int  `json:"parts"` // number of parts that a volume's extents are divided into
	SurviveLoss bool `json:"survive,omitempty"`
	// FailureDomain is what fails as a whole and what the copies of data are spread over:
	// "hall" (also if empty) or "region".
	FailureDomain string `json:"domain,omitempty"`
	// Margin is the multiple of a measured rate's standard deviation that is added to it.
	Margin float64 `json:"margin"`
	// MaxMoved bounds the load that one step of a plan moves, in units per second.
	MaxMoved float64 `json:"most_moved"`
}

// DefaultPlacement applies where settings have no placement.
var DefaultPlacement = Placement{Parts: 8, Margin: 2, MaxMoved: 50}

// Class is a class of requests. A request belongs to the first class that matches it.
type Class struct {
	Name          string  `json:"name"`
	Match         Match   `json:"match"`
	Value         float64 `json:"worth"`
	LateValue     float64 `json:"late_worth"`
	LatencyTarget float64 `json:"aim_ms"`
	Deadline      float64 `json:"deadline_ms"`
	Effect        string  `json:"effect"` // safe, keyed, unsafe
	DedupScope    string  `json:"group"`  // for keyed: cell, zone, all
	DedupWindow   float64 `json:"window_ms"`
	Ordered       bool    `json:"ordered"`
}

// Match selects the commands of a class by operations of package scsi, by size in bytes
// (MaxBytes 0: unbounded) and by plan (Plans empty: all).
type Match struct {
	Ops      []string `json:"ops"`
	MinBytes int      `json:"min_bytes"`
	MaxBytes int      `json:"max_bytes"`
	Plans    []string `json:"plans,omitempty"`
}

// Plan is the service level of a volume. Its fields are those of policy.Plan.
type Plan struct {
	Name      string  `json:"name"`
	Price     float64 `json:"price"`
	Weight    float64 `json:"weight"`
	Rate      float64 `json:"rate"`
	Reserve   float64 `json:"reserve"`
	Limit     float64 `json:"limit"`
	Burst     float64 `json:"burst"`
	Overdraft float64 `json:"slack"`
	// WriteAck applies to a service over two regions. "before" acknowledges a write before
	// its copy is in the other region, so that writes can be lost with the region; "after",
	// which is also the meaning of "", does so once it is there.
	WriteAck string `json:"copied,omitempty"`
}

// Values of Plan.WriteAck.
const (
	AckBeforeCopy = "before"
	AckAfterCopy  = "after"
)

// Limits bounds the attempts, connection set-up and open requests of a host.
type Limits struct {
	MaxAttempts int     `json:"max_attempts"`
	Duplicates  bool    `json:"copies"`
	RetryAfter  float64 `json:"retry_after_ms"`
	DialTimeout float64 `json:"dial_timeout_ms"`
	// MaxOpen bounds the open requests of a host.
	MaxOpen int `json:"max_open"`
}

// Rules holds the parameters of the policy. Its fields are those of policy.Rules.
type Rules struct {
	AnswerSlack    float64 `json:"answer_slack_ms"`
	DrainGrace     float64 `json:"drain_grace_ms"`
	OverloadFactor float64 `json:"fall_multiple"`
	OverloadWindow float64 `json:"fall_time_ms"`
	ColdCapacity   float64 `json:"cold_from"`
	WarmUpTime     float64 `json:"cold_time_ms"`
	ColdUnits      float64 `json:"cold_units"`
	KeyHoldoff     float64 `json:"key_rest_ms"`
	Budget         *Budget `json:"budget,omitempty"`
}

// Budget bounds retries: Base per Window in any case and Ratio more for each request that
// arrived in the window. Without a budget they are unbounded.
type Budget struct {
	Base   float64 `json:"free"`
	Ratio  float64 `json:"share"`
	Window float64 `json:"span_ms"`
}

// Volume is a disk that clients see as a logical unit.
type Volume struct {
	Name      string `json:"name"`
	Plan      string `json:"plan"`
	Blocks    uint64 `json:"blocks"`
	BlockSize int    `json:"block_size"`
	// ExtentBlocks is the number of blocks of an extent; extent e is on shard
	// Layout[e % len(Layout)].
	ExtentBlocks int   `json:"extent_blocks"`
	Layout       []int `json:"layout"`
	Hosts        []int `json:"hosts"` // hosts that its requests come through
	ReadOnly     bool  `json:"read_only,omitempty"`
	// CopyLayout has for each entry of Layout the shard with its copy, which takes over
	// when the failure domain of the entry is lost; empty: no copies.
	CopyLayout []int `json:"copy,omitempty"`
	// Constraints on layouts, see package placement. Rate 0 means the plan's rate.
	Rate           float64 `json:"rate,omitempty"`
	WriteFraction  float64 `json:"writes,omitempty"` // fraction of the rate that is writes
	MaxNodes       int     `json:"max_nodes,omitempty"`
	MinDomains     int     `json:"spread,omitempty"`
	Copies         int     `json:"copies,omitempty"` // including the data itself; 0 means 1
	PinnedShards   []int   `json:"pins,omitempty"`
	ExcludedShards []int   `json:"bans,omitempty"`
}

// Target configures the iSCSI target that initiators connect to. Times are in ms.
type Target struct {
	// Prefix, a colon and a volume's name make up the volume's target name.
	Prefix        string  `json:"prefix"`
	CommandWindow int     `json:"window"` // commands per session
	MaxSessions   int     `json:"max_sessions"`
	MemoryBytes   int     `json:"memory_bytes"` // bound of the data that a host buffers for clients
	LoginTimeout  float64 `json:"login_ms"`     // for a whole login
	WriteTimeout  float64 `json:"write_ms"`     // for a client to receive what it is sent
	PingInterval  float64 `json:"ping_ms"`      // of silence after which the client is pinged
	LogoutTimeout float64 `json:"stop_ms"`      // for clients to log out at a graceful stop
	Chap          []Chap  `json:"chap,omitempty"`
	Mutual        *Chap   `json:"mutual,omitempty"`
}

// Chap is a CHAP user name with its secret.
type Chap struct {
	User   string `json:"user"`
	Secret string `json:"secret"`
}

// Fault is an invalid setting: its path and what is wrong with it.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// FaultsError lists all faults of settings.
type FaultsError struct{ Faults []Fault }

func (e *FaultsError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings: %d faults", len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  %s: %s", f.Path, f.Reason)
	}
	return b.String()
}

// MaxSize is the largest accepted size of settings as JSON, in bytes.
const MaxSize = 16 << 20

// Parse decodes settings from JSON and checks them. Faults, also those of the JSON, are a
// *FaultsError.
func Parse(r io.Reader) (*Settings, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return nil, err
	}
	if len(b) > MaxSize {
		return nil, &FaultsError{[]Fault{{"", "larger than 16 MiB"}}}
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	s := &Settings{}
	if err := dec.Decode(s); err != nil {
		return nil, &FaultsError{[]Fault{jsonFault(err)}}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &FaultsError{[]Fault{{"", "more than one value"}}}
	}
	return s, s.Check()
}

func jsonFault(err error) Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Fault{typeErr.Field, fmt.Sprintf("is a %s, want a %s", typeErr.Value, typeErr.Type)}
	}
	return Fault{"", strings.TrimPrefix(err.Error(), "json: ")}
}

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) failIf(faulty bool, path, format string, args ...any) {
	if faulty {
		c.faults = append(c.faults, Fault{path, fmt.Sprintf(format, args...)})
	}
}

// inRange adds a fault if a value is outside its bounds, as NaN always is.
func (c *checker) inRange(path string, value, low, high float64) {
	c.failIf(!(value >= low && value <= high), path, "is %g, must be from %g to %g", value, low, high)
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	prefixPattern = regexp.MustCompile(`^iqn\.[0-9]{4}-[0-9]{2}\.[a-z0-9.-]{1,120}$`)
)

const (
	maxClasses = 64
	maxPlans   = 64
	maxVolumes = 100000
	maxLayout  = 4096
	dayMS      = 24 * 3600 * 1000.0
)

// Check returns a *FaultsError with all faults, or nil.
func (s *Settings) Check() error {
	c := &checker{}
	c.inRange("hosts", float64(s.Hosts), 1, 10000)
	c.inRange("shards", float64(s.Shards), 1, 100000)
	c.inRange("unit_bytes", float64(s.UnitBytes), 512, 1<<24)
	c.inRange("mean_units", s.MeanUnits, 0.001, 1e6)
	c.inRange("most_units", s.MaxUnits, 1, 1e6)
	c.inRange("fair_worth", s.FairFactor, 0, 1)
	c.inRange("spare_worth", s.SpareFactor, 0, 1)
	s.checkClasses(c)
	s.checkPlans(c)
	s.Rules.check(c)
	l := s.Limits
	c.inRange("limits.max_attempts", float64(l.MaxAttempts), 1, 100)
	c.inRange("limits.retry_after_ms", l.RetryAfter, 0, dayMS)
	c.inRange("limits.dial_timeout_ms", l.DialTimeout, 1, 60000)
	c.inRange("limits.max_open", float64(l.MaxOpen), 1, 1e6)
	c.failIf(l.Duplicates, "limits.copies", "must be false: the gateway sends no duplicate attempts")
	s.checkVolumes(c)
	s.Target.check(c)
	s.checkNodes(c)
	s.checkAnnounce(c)
	s.checkRegions(c)
	s.checkRoll(c)
	if len(c.faults) > 0 {
		return &FaultsError{c.faults}
	}
	return nil
}

// uniqueNames checks that a list is neither empty nor too long and that its names are
// well-formed and unique.
func (c *checker) uniqueNames(list string, limit int, names []string) {
	c.failIf(len(names) == 0, list, "is empty")
	c.failIf(len(names) > limit, list, "has %d entries, at most %d", len(names), limit)
	seen := map[string]int{}
	for i, n := range names {
		path := fmt.Sprintf("%s[%d].name", list, i)
		c.failIf(!namePattern.MatchString(n), path, "%.70q must be 1 to 63 lower-case letters, digits, dots or dashes, the first a letter or digit", n)
		first, duplicate := seen[n]
		c.failIf(duplicate, path, "%q is already used at %s[%d]", n, list, first)
		if !duplicate {
			seen[n] = i
		}
	}
}

func collectNames[T any](list []T, name func(*T) string) []string {
	out := make([]string, len(list))
	for i := range list {
		out[i] = name(&list[i])
	}
	return out
}

func (s *Settings) planNames() []string {
	return collectNames(s.Plans, func(p *Plan) string { return p.Name })
}

func (s *Settings) checkClasses(c *checker) {
	c.uniqueNames("classes", maxClasses, collectNames(s.Classes, func(k *Class) string { return k.Name }))
	for i := range s.Classes {
		class, prefix := &s.Classes[i], fmt.Sprintf("classes[%d].", i)
		c.inRange(prefix+"worth", class.Value, 0, 1e6)
		c.inRange(prefix+"late_worth", class.LateValue, 0, 1)
		c.inRange(prefix+"deadline_ms", class.Deadline, 10, dayMS)
		c.inRange(prefix+"aim_ms", class.LatencyTarget, 1, max(class.Deadline, 1))
		class.checkEffect(c, prefix)
		c.failIf(len(class.Match.Ops) == 0, prefix+"match.ops", "is empty")
		for j, name := range class.Match.Ops {
			op := scsi.OpByName(name)
			path := fmt.Sprintf("%smatch.ops[%d]", prefix, j)
			c.failIf(op == 0, path, "unknown operation %.40q", name)
			c.failIf(op == scsi.CompareAndWrite && class.Effect != "unsafe", path, "compare-and-write needs an unsafe class: a retry would compare with the effect of the first attempt")
			c.failIf(op.Writes() && class.Effect == "safe", path, "a write can't be safe: a retry may overwrite a later write")
		}
		c.failIf(class.Match.MinBytes < 0, prefix+"match.min_bytes", "is below 0")
		c.failIf(class.Match.MaxBytes != 0 && class.Match.MaxBytes < class.Match.MinBytes, prefix+"match.max_bytes", "is below min_bytes")
		for j, p := range class.Match.Plans {
			c.failIf(!slices.Contains(s.planNames(), p), fmt.Sprintf("%smatch.plans[%d]", prefix, j), "there is no plan %.70q", p)
		}
	}
}

func (k *Class) checkEffect(c *checker, prefix string) {
	_, known := effectByName[k.Effect]
	c.failIf(!known, prefix+"effect", "%.20q must be safe, keyed or unsafe", k.Effect)
	if k.Effect == "keyed" {
		_, known = dedupScopeByName[k.DedupScope]
		c.failIf(!known, prefix+"group", "%.20q must be cell, zone or all", k.DedupScope)
		c.inRange(prefix+"window_ms", k.DedupWindow, 1, dayMS)
		c.failIf(k.DedupWindow < k.Deadline, prefix+"window_ms", "is below deadline_ms: a late attempt could run after its key has expired")
		return
	}
	c.failIf(k.DedupScope != "" || k.DedupWindow != 0, prefix+"group", "only keyed classes have a group and a window")
}

func (s *Settings) checkPlans(c *checker) {
	c.uniqueNames("plans", maxPlans, s.planNames())
	for i := range s.Plans {
		plan, prefix := &s.Plans[i], fmt.Sprintf("plans[%d].", i)
		c.inRange(prefix+"price", plan.Price, 0, 1e6)
		c.inRange(prefix+"weight", plan.Weight, 0.001, 1e6)
		c.inRange(prefix+"rate", plan.Rate, 0, 1e9)
		c.inRange(prefix+"reserve", plan.Reserve, 0, 1e9)
		c.inRange(prefix+"limit", plan.Limit, 0, 1e9)
		if plan.Limit > 0 {
			c.inRange(prefix+"burst", plan.Burst, s.MaxUnits, 1e9)
			c.inRange(prefix+"slack", plan.Overdraft, 0, 1e9)
			c.failIf(plan.Reserve > plan.Limit, prefix+"reserve", "is above the limit")
		} else {
			c.failIf(plan.Burst != 0 || plan.Overdraft != 0, prefix+"limit", "is 0, but burst or slack is set")
		}
		c.failIf(plan.WriteAck != "" && plan.WriteAck != AckBeforeCopy && plan.WriteAck != AckAfterCopy, prefix+"copied", "%.20q must be before or after", plan.WriteAck)
	}
}

func (r *Rules) check(c *checker) {
	c.inRange("rules.answer_slack_ms", r.AnswerSlack, 1, 60000)
	c.inRange("rules.drain_grace_ms", r.DrainGrace, 0, 60000)
	c.inRange("rules.fall_multiple", r.OverloadFactor, 1, 1000)
	c.inRange("rules.fall_time_ms", r.OverloadWindow, 1, 60000)
	c.inRange("rules.cold_from", r.ColdCapacity, 0.001, 1)
	c.inRange("rules.cold_time_ms", r.WarmUpTime, 0, dayMS)
	c.inRange("rules.cold_units", r.ColdUnits, 0, 1e9)
	c.inRange("rules.key_rest_ms", r.KeyHoldoff, 0, 60000)
	if b := r.Budget; b != nil {
		c.inRange("rules.budget.free", b.Base, 0, 1e6)
		c.inRange("rules.budget.share", b.Ratio, 0, 100)
		c.inRange("rules.budget.span_ms", b.Window, 1, dayMS)
	}
}

func (s *Settings) checkVolumes(c *checker) {
	c.failIf(len(s.Volumes) > maxVolumes, "volumes", "has %d entries, at most %d", len(s.Volumes), maxVolumes)
	plans := s.planNames()
	if len(s.Volumes) > 0 {
		c.uniqueNames("volumes", maxVolumes, collectNames(s.Volumes, func(v *Volume) string { return v.Name }))
	}
	for i := range s.Volumes {
		volume, prefix := &s.Volumes[i], fmt.Sprintf("volumes[%d].", i)
		c.failIf(!slices.Contains(plans, volume.Plan), prefix+"plan", "there is no plan %.70q", volume.Plan)
		c.failIf(volume.BlockSize != 512 && volume.BlockSize != 4096, prefix+"block_size", "is %d, must be 512 or 4096", volume.BlockSize)
		c.failIf(volume.Blocks == 0 || volume.Blocks > 1<<48, prefix+"blocks", "is %d, must be from 1 to 2^48", volume.Blocks)
		c.inRange(prefix+"extent_blocks", float64(volume.ExtentBlocks), 1, 1<<20)
		c.failIf(len(volume.Layout) == 0 || len(volume.Layout) > maxLayout, prefix+"layout", "has %d shards, must be from 1 to %d", len(volume.Layout), maxLayout)
		s.checkShards(c, prefix+"layout", volume.Layout)
		s.checkVolumePlacement(c, volume, prefix)
		c.failIf(len(volume.Hosts) == 0, prefix+"hosts", "is empty")
		for j, h := range volume.Hosts {
			path := fmt.Sprintf("%shosts[%d]", prefix, j)
			c.failIf(h < 0 || h >= s.Hosts, path, "there is no host %d", h)
			c.failIf(slices.Contains(volume.Hosts[:j], h), path, "host %d is listed twice", h)
		}
	}
}

// checkShards checks that every shard of a list exists.
func (s *Settings) checkShards(c *checker, path string, list []int) {
	for j, shard := range list {
		c.failIf(shard < 0 || shard >= s.Shards, fmt.Sprintf("%s[%d]", path, j), "there is no shard %d", shard)
	}
}

// checkVolumePlacement checks a volume's constraints on its layouts and its copies.
func (s *Settings) checkVolumePlacement(c *checker, v *Volume, prefix string) {
	c.inRange(prefix+"rate", v.Rate, 0, 1e9)
	c.inRange(prefix+"writes", v.WriteFraction, 0, 1)
	c.inRange(prefix+"max_nodes", float64(v.MaxNodes), 0, maxLayout)
	c.inRange(prefix+"spread", float64(v.MinDomains), 0, maxLayout)
	c.inRange(prefix+"copies", float64(v.Copies), 0, 2)
	c.failIf(len(v.CopyLayout) > 0 && len(v.CopyLayout) != len(v.Layout), prefix+"copy", "has %d shards, the layout %d", len(v.CopyLayout), len(v.Layout))
	s.checkShards(c, prefix+"copy", v.CopyLayout)
	s.checkShards(c, prefix+"pins", v.PinnedShards)
	s.checkShards(c, prefix+"bans", v.ExcludedShards)
	for j, shard := range v.PinnedShards {
		c.failIf(slices.Contains(v.ExcludedShards, shard), fmt.Sprintf("%spins[%d]", prefix, j), "shard %d is also in bans", shard)
		c.failIf(slices.Contains(v.PinnedShards[:j], shard), fmt.Sprintf("%spins[%d]", prefix, j), "shard %d is listed twice", shard)
	}
}

// checkNodes checks the placement, and that there is a node for every shard or none at all.
func (s *Settings) checkNodes(c *checker) {
	if p := s.Placement; p != (Placement{}) {
		c.inRange("placement.parts", float64(p.Parts), 1, 1024)
		c.inRange("placement.margin", p.Margin, 0, 100)
		c.failIf(p.FailureDomain != "" && p.FailureDomain != DomainHall && p.FailureDomain != DomainRegion, "placement.domain", "%.20q must be hall or region", p.FailureDomain)
		c.inRange("placement.most_moved", p.MaxMoved, 0.001, 1e9)
	}
	if len(s.Nodes) == 0 {
		return
	}
	c.failIf(len(s.Nodes) != s.Shards, "nodes", "has %d entries for %d shards", len(s.Nodes), s.Shards)
	seen := make(map[int]int, len(s.Nodes))
	for i, n := range s.Nodes {
		prefix := fmt.Sprintf("nodes[%d].", i)
		c.failIf(n.Shard < 0 || n.Shard >= s.Shards, prefix+"shard", "there is no shard %d", n.Shard)
		other, duplicate := seen[n.Shard]
		c.failIf(duplicate, prefix+"shard", "shard %d is already used at nodes[%d]", n.Shard, other)
		if !duplicate {
			seen[n.Shard] = i
		}
		c.failIf(!namePattern.MatchString(n.Hall), prefix+"hall", "%.70q must be 1 to 63 lower-case letters, digits, dots or dashes, the first a letter or digit", n.Hall)
		c.failIf(n.Region != 0 && n.Region != 1, prefix+"region", "is %d, must be 0 or 1", n.Region)
		c.inRange(prefix+"capacity", n.Capacity, 0, 1e9)
		c.inRange(prefix+"cost", n.Cost, 0, 1e9)
	}
}

const (
	maxRouters  = 256
	maxGroups   = 4096
	maxPrefixes = 64
)

func (s *Settings) checkAnnounce(c *checker) {
	a := s.Announce
	if a == nil {
		return
	}
	c.failIf(a.AS == 0 || a.AS == 23456, "announce.as", "%d can't be the service's own AS number", a.AS)
	c.failIf(a.HoldTime != 0 && !(a.HoldTime >= 3000 && a.HoldTime <= 65535000), "announce.hold_ms", "is %g, must be 0 or from 3000 to 65535000 (RFC 4271 section 4.2)", a.HoldTime)
	for _, t := range []struct {
		name             string
		value, low, high float64
	}{{"probe", a.ProbeInterval, 20, 60000}, {"answer", a.ProbeTimeout, 20, 60000}, {"steady", a.StableTime, 10, dayMS}, {"steady_most", a.MaxStableTime, 10, dayMS},
		{"resort_most", a.MaxLastResortTime, 10, dayMS}, {"half_life", a.LossHalfLife, 10, dayMS}, {"list_bound", a.MaxListAge, 100, dayMS}, {"beat_bound", a.HeartbeatTimeout, 50, 60000}, {"move", a.DrainTime, 0, 600000}} {
		if t.value != 0 {
			c.inRange("announce."+t.name+"_ms", t.value, t.low, t.high)
		}
	}
	c.failIf(len(a.Routers) > maxRouters, "announce.routers", "has %d entries, at most %d", len(a.Routers), maxRouters)
	if len(a.Routers) > 0 {
		c.uniqueNames("announce.routers", maxRouters, collectNames(a.Routers, func(r *Router) string { return r.Name }))
	}
	for i := range a.Routers {
		router, prefix := &a.Routers[i], fmt.Sprintf("announce.routers[%d].", i)
		_, err := netip.ParseAddrPort(router.Addr)
		c.failIf(err != nil, prefix+"addr", "%.70q is not an IP address with a port", router.Addr)
		c.failIf(router.AS == 0, prefix+"as", "is 0 (RFC 7607)")
		for j, h := range router.Hosts {
			c.failIf(h < 0 || h >= s.Hosts, fmt.Sprintf("%shosts[%d]", prefix, j), "there is no host %d", h)
		}
	}
	s.checkGroups(c, a)
}

func (s *Settings) checkGroups(c *checker, a *Announce) {
	if len(a.Groups) > 0 {
		c.uniqueNames("announce.groups", maxGroups, collectNames(a.Groups, func(g *AddressGroup) string { return g.Name }))
	}
	volumes := make(map[string]bool, len(s.Volumes))
	for i := range s.Volumes {
		volumes[s.Volumes[i].Name] = true
	}
	prefixGroups, volumeGroups := map[netip.Prefix]string{}, map[string]string{}
	for i := range a.Groups {
		group, base := &a.Groups[i], fmt.Sprintf("announce.groups[%d].", i)
		c.failIf(len(group.Prefixes) == 0 || len(group.Prefixes) > maxPrefixes, base+"prefixes", "has %d entries, must be from 1 to %d", len(group.Prefixes), maxPrefixes)
		for j, text := range group.Prefixes {
			path := fmt.Sprintf("%sprefixes[%d]", base, j)
			prefix, err := netip.ParsePrefix(text)
			c.failIf(err != nil || prefix != prefix.Masked() || prefix.Addr().Is4In6(), path, "%.70q is not an IP prefix, or has bits set beyond its length", text)
			c.failIf(prefixGroups[prefix] != "" && err == nil, path, "%s is also in group %s", text, prefixGroups[prefix])
			prefixGroups[prefix] = group.Name
		}
		for j, v := range group.Volumes {
			path := fmt.Sprintf("%svolumes[%d]", base, j)
			c.failIf(!volumes[v], path, "there is no volume %.70q", v)
			c.failIf(volumeGroups[v] != "", path, "%.70q is also in group %s", v, volumeGroups[v])
			volumeGroups[v] = group.Name
		}
	}
}

// RateOf returns the expected rate of a volume in units per second: its own or its plan's.
func (s *Settings) RateOf(volume *Volume) float64 {
	if volume.Rate > 0 {
		return volume.Rate
	}
	for i := range s.Plans {
		if s.Plans[i].Name == volume.Plan {
			return s.Plans[i].Rate
		}
	}
	return 0
}

func (t *Target) check(c *checker) {
	c.failIf(!prefixPattern.MatchString(t.Prefix), "target.prefix", "%.70q is not of the form iqn.yyyy-mm.name", t.Prefix)
	c.inRange("target.window", float64(t.CommandWindow), 1, 4096)
	c.inRange("target.max_sessions", float64(t.MaxSessions), 1, 65535)
	c.inRange("target.memory_bytes", float64(t.MemoryBytes), 4<<20, math.MaxInt32)
	c.inRange("target.login_ms", t.LoginTimeout, 10, 600000)
	c.inRange("target.write_ms", t.WriteTimeout, 10, 600000)
	c.inRange("target.ping_ms", t.PingInterval, 10, 3600000)
	c.inRange("target.stop_ms", t.LogoutTimeout, 0, 600000)
	chaps := slices.Clone(t.Chap)
	if t.Mutual != nil {
		chaps = append(chaps, *t.Mutual)
	}
	for i, chap := range chaps {
		path := fmt.Sprintf("target.chap[%d]", i)
		if i >= len(t.Chap) {
			path = "target.mutual"
		}
		c.failIf(chap.User == "" || len(chap.User) > 255, path+".user", "must have 1 to 255 bytes")
		if chap.Secret == SecretPlaceholder { // the store fills the secret in, or reports that there is none
			continue
		}
		c.failIf(len(chap.Secret) < 12 || len(chap.Secret) > 255, path+".secret", "must have 12 to 255 bytes (RFC 7143 section 9.2.1 asks for 96 bits)")
		c.failIf(i >= len(t.Chap) && slices.ContainsFunc(t.Chap, func(o Chap) bool { return o.Secret == chap.Secret }), path+".secret", "equals a client's secret: each direction needs its own")
	}
}

var (
	effectByName     = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.Keyed, "unsafe": policy.NonIdempotent}
	dedupScopeByName = map[string]policy.DedupScope{"cell": policy.DedupShard, "zone": policy.DedupZone, "all": policy.DedupAll}
)

// Policy converts the settings to those of the policy of host number self in that zone.
func (s *Settings) Policy(self int, zone string) policy.Settings {
	p := policy.Settings{
		Hosts: s.Hosts, Self: self, Zone: zone, Tick: 1, Shards: s.Shards,
		MeanUnits: s.MeanUnits, MaxUnits: s.MaxUnits, FairFactor: s.FairFactor, SpareFactor: s.SpareFactor,
		Limits: policy.Limits{MaxAttempts: s.Limits.MaxAttempts, Cancel: true, Probe: true,
			Duplicates: s.Limits.Duplicates, RetryAfter: s.Limits.RetryAfter},
		Rules: policy.Rules{AnswerSlack: s.Rules.AnswerSlack, DrainGrace: s.Rules.DrainGrace,
			OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: s.Rules.OverloadWindow, ColdCapacity: s.Rules.ColdCapacity,
			WarmUpTime: s.Rules.WarmUpTime, ColdUnits: s.Rules.ColdUnits, KeyHoldoff: s.Rules.KeyHoldoff,
			MaxSendDelay: 2 * s.Limits.DialTimeout}, // one dial time-out each for the connection and for the handshake
	}
	if s.Regions != nil {
		// A disk server measures its warm-up by its own clock, and two clocks may drift
		// apart in opposite directions: a host with a fast clock must not treat a server
		// as warm too early.
		driftFactor := (1 + s.Regions.Drift) / (1 - s.Regions.Drift)
		p.Rules.WarmUpTime *= driftFactor
		p.Rules.OverloadWindow *= driftFactor
	}
	if b := s.Rules.Budget; b != nil {
		p.Rules.HasBudget, p.Rules.BudgetBase, p.Rules.BudgetRatio, p.Rules.BudgetWindow = true, b.Base, b.Ratio, b.Window
	}
	for _, class := range s.Classes {
		p.Classes = append(p.Classes, policy.Class{Name: class.Name, Value: class.Value, LateValue: class.LateValue,
			LatencyTarget: class.LatencyTarget, Deadline: class.Deadline, Effect: effectByName[class.Effect], DedupScope: dedupScopeByName[class.DedupScope],
			DedupWindow: class.DedupWindow, Ordered: class.Ordered})
	}
	for _, plan := range s.Plans {
		p.Plans = append(p.Plans, policy.Plan{Name: plan.Name, Price: plan.Price, Weight: plan.Weight, Rate: plan.Rate, Reserve: plan.Reserve,
			Limit: plan.Limit, Burst: plan.Burst, Overdraft: plan.Overdraft})
	}
	return p
}

// Class returns the class of a command with an operation and a size in bytes on a volume
// of a plan, or nil.
func (s *Settings) Class(op scsi.Op, size int, plan string) *Class {
	name := op.String()
	for i := range s.Classes {
		m := &s.Classes[i].Match
		if size < m.MinBytes || m.MaxBytes > 0 && size > m.MaxBytes {
			continue
		}
		if slices.Contains(m.Ops, name) && (len(m.Plans) == 0 || slices.Contains(m.Plans, plan)) {
			return &s.Classes[i]
		}
	}
	return nil
}

// Units returns the size of a request of size bytes in units: rounded up, and from 1 to
// MaxUnits.
func (s *Settings) Units(size int) float64 {
	return min(max(math.Ceil(float64(size)/float64(s.UnitBytes)), 1), s.MaxUnits)
}

// Segment is a run of blocks on one shard. Extent is the extent that its first block is in.
type Segment struct {
	Shard  int
	LBA    uint64
	Blocks uint32
	Extent uint64
}

// Segments splits a run of blocks into segments of one shard each.
func (v *Volume) Segments(lba uint64, blocks uint32) iter.Seq[Segment] {
	return func(yield func(Segment) bool) {
		var segment Segment
		for blocks > 0 {
			extent := lba / uint64(v.ExtentBlocks)
			count := uint32(min(uint64(blocks), (extent+1)*uint64(v.ExtentBlocks)-lba))
			shard := v.Layout[extent%uint64(len(v.Layout))]
			switch {
			case segment.Blocks == 0:
				segment = Segment{shard, lba, count, extent}
			case segment.Shard == shard:
				segment.Blocks += count
			default:
				if !yield(segment) {
					return
				}
				segment = Segment{shard, lba, count, extent}
			}
			lba, blocks = lba+uint64(count), blocks-count
		}
		if segment.Blocks > 0 {
			yield(segment)
		}
	}
}

// Key returns the ordering key of an extent.
func (v *Volume) Key(extent uint64) string {
	var buf [96]byte
	return string(strconv.AppendUint(append(append(buf[:0], v.Name...), '/'), extent, 10))
}

// Disk returns the volume as a logical unit of package scsi.
func (v *Volume) Disk() *scsi.Disk {
	return &scsi.Disk{Blocks: v.Blocks, BlockSize: uint32(v.BlockSize), Name: v.Name, ReadOnly: v.ReadOnly, Extent: uint32(v.ExtentBlocks)}
}

// TargetName returns the iSCSI name of a volume's target.
func (s *Settings) TargetName(v *Volume) string { return s.Target.Prefix + ":" + v.Name }
