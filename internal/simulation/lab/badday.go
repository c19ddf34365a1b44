package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/standin"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// Options of a bad day.
type Options struct {
	Seed     uint64
	Commands int
	Troubles []string // kinds; nil: all, "none": a calm day
	Script   []Strike // in place of one that is drawn; nil: none
	Hosts    int
	Servers  int
	Rate     float64 // commands a second
	Out      string  // folder for the trail and the table, or none
	Log      *zap.Logger
	Progress io.Writer
	// Settings of the service; nil: the example's.
	Settings *settings.Settings
	// Shared has the disk servers share their shelves, as layouts that change need.
	Shared bool
	// Routing has clients find hosts by the announcements in a router's table (RouteOn),
	// or by a fixed choice among all hosts (RouteFixed); "": by the order of each
	// volume's hosts.
	Routing string
	// during is started with the day, for what is more than a kind of trouble.
	during func(d *day, span time.Duration)
	// still, if set, is called once nothing is under way, before the hosts stop.
	still func(d *day)
	// after, if set, is given the trail once the hosts have stopped.
	after func(d *day, events []trail.Event)
	// live, if set, is given the fleet before the day begins and returns the checker that
	// hears of each event as it happens.
	live func(*Fleet) *rules.Checker
	// lateBy is how much later than its time a command may still take effect once its
	// client has lost it, for what stands still on the way.
	lateBy time.Duration
	// keep is a folder for the hosts' snapshots and records; "": a host that starts anew
	// is given the settings anew.
	keep string
	// fixedShares has parts of limits never move between regions.
	fixedShares bool
}

// Result of a day.
type Result struct {
	Check   *rules.Checker
	Wrong   []string // blocks read that could not be
	Blocks  int      // judged
	Missed  int      // blocks that could not be read back
	Repeats int      // effects that took place once more, counted at the racks
	Fell    []string
	Trail   string
	Took    time.Duration
	Events  int
	Steps   int // of a layout that were applied
	// Of a service over two regions: writes that were acknowledged before their copy and
	// lost with a region, what the operator said, and when a region was lost.
	Lost   int
	Said   map[string]int
	Losses []Loss
	// Strays and Unanswered are the clients': see Crowd. Wanted is the goodput with
	// the worth of strays counted as asked for.
	Strays, Unanswered int
	Wanted             float64

	ledger *Ledger
}

// OK tells whether the day kept everything.
func (r *Result) OK() bool {
	return r.Check.OK() && len(r.Wrong) == 0 && r.Missed == 0 && r.Repeats == 0 && r.Check.Stats.Commands == r.Check.Stats.Finished
}

// trouble says in a few words what was not kept.
func (r *Result) trouble() string {
	s := fmt.Sprintf("%d commands, %d answers, %d not read back, %d twice", r.Check.Stats.Commands, r.Check.Stats.Finished, r.Missed, r.Repeats)
	for _, b := range r.Check.Violations {
		s += "; " + b.String()
	}
	for _, t := range r.Wrong {
		s += "; " + t
	}
	return s[:min(len(s), 600)]
}

// Strike is one trouble of a day.
type Strike struct {
	Kind string        `json:"kind"`
	At   time.Duration `json:"at_ns"`  // after the day's begin
	Len  time.Duration `json:"len_ns"` // how long it lasts
	Seed uint64        `json:"seed"`   // draws its sizes and whom it strikes
}

// kinds of trouble, each with what it does for so long.
var kinds = map[string]func(d *day, rng *rand.Rand, len time.Duration){
	"crash":          crash,
	"slow":           slow,
	"pauses":         pauses,
	"neighbour":      neighbour,
	"fast_errors":    fastErrors,
	"mass_restart":   massRestart,
	"deploy":         deploy,
	"report_late":    reportLate,
	"hot_key":        hotKey,
	"burst":          burst,
	"tenant_burst":   tenantBurst,
	"reconnect":      reconnect,
	"retry_abuse":    retryAbuse,
	"give_up":        giveUp,
	"balancer_crash": balancerCrash,
	"net_hang":       netHang,
	"net_torn":       netTorn,
	"net_bytewise":   netBytewise,
	"net_late":       netLate,
	"list_cut":       listCut,
}

// Kinds lists the kinds of trouble.
func Kinds() []string {
	return sortedKeys(kinds)
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// day is a running day.
type day struct {
	opt      Options
	fleet    *Fleet
	crowd    *Crowd
	mu       sync.Mutex
	now      map[string]int // kinds under way
	steps    int            // of a layout that are in force
	operator *operator
	err      error
	putBy    [2]*standin.InventoryState // the inventories' state as the day begins
	check    *rules.Checker             // that hears of the day as it goes; nil: it is checked at the end
}

// BadDay plays a day and checks it.
func BadDay(ctx context.Context, opt Options) (*Result, error) {
	for _, k := range opt.Troubles {
		if kinds[k] == nil && k != "none" {
			return nil, fmt.Errorf("unknown trouble %q; there are %s", k, strings.Join(Kinds(), ", "))
		}
	}
	if opt.Log == nil {
		opt.Log = zap.NewNop()
	}
	set := opt.Settings
	if set == nil {
		set = settings.Example(opt.Hosts, opt.Servers)
	}
	w := env.NewReal()
	return playDay(ctx, w, loopback{Environment: w}, set, opt)
}

// playDay plays and checks a day at a site, of which w is the part that clients and
// troubles have.
func playDay(ctx context.Context, w env.Environment, at site, set *settings.Settings, opt Options) (*Result, error) {
	f, err := NewFleet(w, at, set, Machine(set), opt)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &day{opt: opt, fleet: f, crowd: NewCrowd(f, opt.Seed), now: map[string]int{}}
	d.crowd.lateBy = opt.lateBy
	if opt.live != nil {
		d.check = opt.live(f)
	}
	defer d.crowd.Close()
	d.crowd.routed(opt.Routing)
	if set.Regions != nil {
		d.crowd.spanRegions()
	}
	d.crowd.Login()
	if opt.Routing == RouteOn {
		f.awaitRoutes(ctx, 10*time.Second)
	}
	return d.play(ctx)
}

func (d *day) play(ctx context.Context) (*Result, error) {
	rng := rand.New(rand.NewPCG(d.opt.Seed, 3))
	begin := d.fleet.Environment.Now()
	span := time.Duration(float64(d.opt.Commands) / d.opt.Rate * float64(time.Second))
	script := d.opt.Script
	if script == nil {
		script = drawScript(d.opt.Troubles, rng, span)
	}
	for _, t := range script {
		d.fleet.after(t.At, func() {
			d.count(t.Kind, 1)
			strikes(t.Kind)(d, rand.New(rand.NewPCG(t.Seed, 4)), t.Len)
			d.fleet.after(t.Len, func() { d.count(t.Kind, -1) })
		})
	}
	if d.opt.during != nil {
		d.opt.during(d, span)
	}
	var over env.Gate
	if d.fleet.Set.Regions != nil {
		d.putBy = d.fleet.PutBy()
		if d.opt.Progress != nil {
			fmt.Fprintf(d.opt.Progress, "inventories of regions 0 and 1: %s %s\n", at(&d.fleet.invs[0].where), at(&d.fleet.invs[1].where))
		}
		d.operator = &operator{f: d.fleet, Said: map[string]int{}, returns: true}
		d.fleet.Environment.Go(func() { d.operator.run(&over) })
	}
	progress := d.progress(begin)
	d.crowd.Run(ctx, d.opt.Commands, d.opt.Rate)
	d.crowd.Wait()
	res := &Result{}
	defer over.Open()
	res.Missed = d.crowd.ReadBack(ctx, 60*time.Second)
	progress()
	d.crowd.Close()
	if d.opt.still != nil {
		d.opt.still(d)
	}
	d.fleet.StopHosts(ctx)
	events := d.fleet.Rec.Stop()
	if d.opt.after != nil {
		d.opt.after(d, events)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if res.Steps = d.steps; d.err != nil {
		return nil, d.err
	}
	return d.judge(res, events, d.fleet.Environment.Now()-begin)
}

func (d *day) judge(res *Result, events []trail.Event, took time.Duration) (*Result, error) {
	res.Took, res.Events = took, len(events)
	if res.Check = d.check; d.check == nil {
		res.Check = rules.Check(d.fleet.Meta, events)
	} else {
		d.check.Finish()
	}
	res.ledger = d.crowd.ledger
	res.Wrong = d.crowd.ledger.Judge()
	res.Blocks = d.crowd.ledger.Checked
	res.Strays, res.Unanswered = int(d.crowd.Strays.Load()), int(d.crowd.Unanswered.Load())
	res.Wanted = res.Check.Stats.GoodputWithUnseen(d.crowd.StrayWorth)
	res.Lost = len(d.crowd.ledger.Lost)
	if o := d.operator; o != nil {
		res.Said, res.Losses = o.Said, d.fleet.losses
	}
	res.Repeats, res.Fell = d.fleet.Repeats(), d.fleet.Fell()
	if d.opt.Out == "" {
		return res, nil
	}
	if err := os.MkdirAll(d.opt.Out, 0o777); err != nil {
		return nil, err
	}
	res.Trail = filepath.Join(d.opt.Out, fmt.Sprintf("badday-%d.parquet", d.opt.Seed))
	return res, trail.Write(res.Trail, d.fleet.Meta, events)
}

// drawScript draws a day's troubles: each kind once, overlapping as they come.
func drawScript(which []string, rng *rand.Rand, span time.Duration) (out []Strike) {
	if len(which) == 0 {
		which = Kinds()
	}
	for _, k := range which {
		if k == "none" {
			continue
		}
		part := func(low, high float64) time.Duration {
			return time.Duration((low + (high-low)*rng.Float64()) * float64(span))
		}
		out = append(out, Strike{Kind: k, At: part(0.05, 0.7), Len: part(0.08, 0.2)})
	}
	for i := range out {
		out[i].Seed = rng.Uint64()
	}
	return out
}

func (d *day) count(kind string, by int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now[kind] += by; d.now[kind] == 0 {
		delete(d.now, kind)
	}
}

const progressEvery = 5 * time.Second

// progress prints a line now and then until the function it returns is called.
func (d *day) progress(begin time.Duration) (end func()) {
	if d.opt.Progress == nil {
		return func() {}
	}
	var mu sync.Mutex
	over := false
	var again func()
	again = func() {
		mu.Lock()
		defer mu.Unlock()
		if over {
			return
		}
		d.mu.Lock()
		var on []string
		for k := range d.now {
			on = append(on, k)
		}
		d.mu.Unlock()
		slices.Sort(on)
		if len(on) == 0 {
			on = []string{"none"}
		}
		fmt.Fprintf(d.opt.Progress, "%5.0f s  %d asked, %d ended; troubles: %s\n", (d.fleet.Environment.Now() - begin).Seconds(),
			d.crowd.Asked.Load(), d.crowd.Ended.Load(), strings.Join(on, " "))
		d.fleet.Environment.AfterFunc(progressEvery, again)
	}
	d.fleet.Environment.AfterFunc(progressEvery, again)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		over = true
	}
}

// Print writes what came of the day.
func (r *Result) Print(w io.Writer) {
	r.Check.Stats.Print(w)
	fmt.Fprintf(w, "goodput %.3f of the worth asked for\n\n", r.Check.Stats.Goodput())
	r.Check.Print(w)
	fmt.Fprintf(w, "%d blocks read and judged, %d wrong, %d not read back; %d keyed effects twice; %d frames and events on the trail; %.0f s\n",
		r.Blocks, len(r.Wrong), r.Missed, r.Repeats, r.Events, r.Took.Seconds())
	if len(r.Fell) > 0 {
		fmt.Fprintf(w, "pushed over: %s\n", strings.Join(r.Fell, ", "))
	}
	for _, t := range r.Wrong[:min(len(r.Wrong), 5)] {
		fmt.Fprintln(w, "WRONG:", t)
	}
	for _, b := range r.Check.Violations[:min(len(r.Check.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
