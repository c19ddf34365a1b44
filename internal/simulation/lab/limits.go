package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/verify/trail"
)

// LimitResult is what passed of a limit that changes all the time.
type LimitResult struct {
	*Result
	Changes       int
	SentUnits     float64 // units of the limited volume that were sent first, over all hosts
	LimitIntegral float64 // of the limit over the same time
	// UpperBound and LowerBound bound Passed: the integral and the store of the beginning, and the
	// integral less the stores that shrank and a request of each host.
	UpperBound, LowerBound float64
	RequestedUnits         float64 // units that clients asked for, at the least
}

// OK tells whether the bounds and all else were kept.
func (r *LimitResult) OK() bool {
	return r.Result.OK() && r.SentUnits <= r.UpperBound && r.SentUnits >= r.LowerBound
}

// limitStep is a limit that came into force at a host.
type limitStep struct {
	host         int
	time         int64 // us, when the call was answered
	limit, burst float64
}

// The limits that are drawn, units a second over all hosts, and how often.
const (
	limitLow, limitHigh = 20, 60
	limitInterval       = 100 * time.Millisecond
	limitLoadFactor     = 8
)

// LimitDay has clients ask for eight times the mean limit of one volume through two hosts
// on loopback, for so long, while the limit is changed at both every 100 ms.
func LimitDay(ctx context.Context, opt Options, span time.Duration) (*LimitResult, error) {
	set := settings.Example(2, 6)
	v := set.Volumes[0]
	v.Hosts, v.Layout = []int{0, 1}, []int{0, 1, 2, 3, 4, 5}
	v.Copies, v.MaxNodes = 1, 0
	set.Volumes, set.Placement.SurviveLoss = []settings.Volume{v}, false
	set.Plans[0].Limit, set.Plans[0].Burst, set.Plans[0].Overdraft = limitHigh, 12, 4
	opt.Settings, opt.Hosts, opt.Servers, opt.FaultKinds = set, 2, 6, []string{"none"}
	opt.Rate = limitLoadFactor * (limitLow + limitHigh) / 2 / set.MeanUnits
	opt.Commands = int(opt.Rate * span.Seconds())
	var mu sync.Mutex
	var steps []limitStep
	var events []trail.Event
	var over env.Gate
	var done env.WaitGroup
	var begin int64
	opt.onStart = func(d *dayRun, span time.Duration) {
		now := func() int64 { return int64(d.fleet.Environment.Now() / time.Microsecond) }
		begin = now()
		done.Go(d.fleet.Environment, func() {
			rng := rand.New(rand.NewPCG(opt.Seed, 8))
			for env.Sleep(d.fleet.Environment, limitInterval, &over) {
				limit := limitLow + float64(rng.IntN(limitHigh-limitLow+1))
				for i, h := range d.fleet.hosts {
					s := *h.gateway.Settings().Get()
					s.Plans = append([]settings.Plan(nil), s.Plans...)
					s.Plans[0].Limit = limit
					if _, err := h.gateway.Settings().Put(&s); err != nil {
						return // the host has been stopped
					}
					mu.Lock()
					steps = append(steps, limitStep{i, now(), limit, s.Plans[0].Burst})
					mu.Unlock()
				}
			}
		})
	}
	opt.onStopped = func(_ *dayRun, all []trail.Event) {
		over.Open()
		events = all
	}
	res, err := BadDay(ctx, opt)
	over.Open()
	if err != nil {
		return nil, err
	}
	out := &LimitResult{Result: res, Changes: len(steps)}
	out.measure(set, steps, events, begin, begin+int64(span/time.Microsecond))
	return out, nil
}

// measure adds up what passed between two times, and the integral of the limit there.
func (r *LimitResult) measure(set *settings.Settings, steps []limitStep, events []trail.Event, from, to int64) {
	last := from
	for i := range events {
		e := &events[i]
		switch {
		case e.Time < from || e.Time > to:
		case e.Kind == trail.Do && e.Attempt == 0 && e.Session != 0:
			r.SentUnits += e.Units
			last = e.Time
		case e.Kind == trail.Command:
			r.RequestedUnits += set.Units(int(e.Blocks) * set.Volumes[0].BlockSize)
		}
	}
	hosts := float64(set.Hosts)
	for h := range set.Hosts {
		at, limit := from, set.Plans[0].Limit
		for _, s := range steps {
			if s.host != h || s.time > last {
				continue
			}
			r.LimitIntegral += limit / hosts * float64(max(s.time-at, 0)) / 1e6
			at, limit = s.time, s.limit
		}
		r.LimitIntegral += limit / hosts * float64(last-at) / 1e6
	}
	p := set.Plans[0]
	r.UpperBound = r.LimitIntegral + p.Burst + p.Overdraft
	r.LowerBound = r.LimitIntegral - p.Burst - hosts*set.MaxUnits
}

// Print writes the figures.
func (r *LimitResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%d changes of a limit between %d and %d units a second; %.0f units asked for, %.1f passed, the integral of the limit is %.1f, bounds %.1f to %.1f\n",
		r.Changes, limitLow, limitHigh, r.RequestedUnits, r.SentUnits, r.LimitIntegral, r.LowerBound, r.UpperBound)
	r.Checker.Print(w)
}
