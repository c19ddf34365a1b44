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

// LimitResult compares the units sent under a continually changing limit with the limit's integral.
type LimitResult struct {
	*Result
	Changes       int
	SentUnits     float64 // units of first attempts, over all hosts
	LimitIntegral float64 // integral of the limit until the last first attempt, in units
	// UpperBound and LowerBound are the bounds of SentUnits: the integral plus the burst and the
	// overdraft; the integral minus the burst and one request of the maximum size per host.
	UpperBound, LowerBound float64
	RequestedUnits         float64 // units of the commands that clients issued
}

// OK reports whether SentUnits is within its bounds and all other checks passed.
func (r *LimitResult) OK() bool {
	return r.Result.OK() && r.SentUnits <= r.UpperBound && r.SentUnits >= r.LowerBound
}

// limitStep is a limit that came into force at one host.
type limitStep struct {
	host         int
	time         int64 // time in us after the change was applied
	limit, burst float64
}

// Limits are drawn from [limitLow, limitHigh], in units per second over all hosts, every
// limitInterval. The load is limitLoadFactor times the mean limit.
const (
	limitLow, limitHigh = 20, 60
	limitInterval       = 100 * time.Millisecond
	limitLoadFactor     = 8
)

// LimitDay runs two hosts on loopback under a load of eight times the mean limit of one volume, for
// the given time, while the limit changes at both hosts every limitInterval.
func LimitDay(ctx context.Context, options Options, span time.Duration) (*LimitResult, error) {
	config := settings.Example(2, 6)
	volume := config.Volumes[0]
	volume.Hosts, volume.Layout = []int{0, 1}, []int{0, 1, 2, 3, 4, 5}
	volume.Copies, volume.MaxNodes = 1, 0
	config.Volumes, config.Placement.SurviveLoss = []settings.Volume{volume}, false
	config.Plans[0].Limit, config.Plans[0].Burst, config.Plans[0].Overdraft = limitHigh, 12, 4
	options.Settings, options.Hosts, options.Servers, options.FaultKinds = config, 2, 6, []string{"none"}
	options.Rate = limitLoadFactor * (limitLow + limitHigh) / 2 / config.MeanUnits
	options.Commands = int(options.Rate * span.Seconds())
	var mu sync.Mutex
	var steps []limitStep
	var events []trail.Event
	var finished env.Gate
	var changer env.WaitGroup
	var begin int64
	options.onStart = func(run *dayRun, span time.Duration) {
		now := func() int64 { return int64(run.fleet.Environment.Now() / time.Microsecond) }
		begin = now()
		changer.Go(run.fleet.Environment, func() {
			rng := rand.New(rand.NewPCG(options.Seed, 8))
			for env.Sleep(run.fleet.Environment, limitInterval, &finished) {
				limit := limitLow + float64(rng.IntN(limitHigh-limitLow+1))
				for index, host := range run.fleet.hosts {
					changed := *host.gateway.Settings().Get()
					changed.Plans = append([]settings.Plan(nil), changed.Plans...)
					changed.Plans[0].Limit = limit
					if _, err := host.gateway.Settings().Put(&changed); err != nil {
						return // the host has been stopped
					}
					mu.Lock()
					steps = append(steps, limitStep{index, now(), limit, changed.Plans[0].Burst})
					mu.Unlock()
				}
			}
		})
	}
	options.onStopped = func(_ *dayRun, trailEvents []trail.Event) {
		finished.Open()
		events = trailEvents
	}
	dayResult, err := BadDay(ctx, options)
	finished.Open()
	if err != nil {
		return nil, err
	}
	result := &LimitResult{Result: dayResult, Changes: len(steps)}
	result.measure(config, steps, events, begin, begin+int64(span/time.Microsecond))
	return result, nil
}

// measure sums the units between two times in us and integrates the limit over that period.
func (r *LimitResult) measure(config *settings.Settings, changes []limitStep, events []trail.Event, from, to int64) {
	last := from
	for i := range events {
		event := &events[i]
		switch {
		case event.Time < from || event.Time > to:
		case event.Kind == trail.Do && event.Attempt == 0 && event.Session != 0:
			r.SentUnits += event.Units
			last = event.Time
		case event.Kind == trail.Command:
			r.RequestedUnits += config.Units(int(event.Blocks) * config.Volumes[0].BlockSize)
		}
	}
	hosts := float64(config.Hosts)
	for host := range config.Hosts {
		since, limit := from, config.Plans[0].Limit
		for _, change := range changes {
			if change.host != host || change.time > last {
				continue
			}
			r.LimitIntegral += limit / hosts * float64(max(change.time-since, 0)) / 1e6
			since, limit = change.time, change.limit
		}
		r.LimitIntegral += limit / hosts * float64(last-since) / 1e6
	}
	plan := config.Plans[0]
	r.UpperBound = r.LimitIntegral + plan.Burst + plan.Overdraft
	r.LowerBound = r.LimitIntegral - plan.Burst - hosts*config.MaxUnits
}

// Print writes the result as text.
func (r *LimitResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%d changes of a limit between %d and %d units/s; %.0f units requested, %.1f sent; limit integral %.1f units, bounds %.1f to %.1f\n",
		r.Changes, limitLow, limitHigh, r.RequestedUnits, r.SentUnits, r.LimitIntegral, r.LowerBound, r.UpperBound)
	r.Checker.Print(w)
}
