package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/storage/audit"
	"merlinhitch/internal/verify/rules"
	"merlinhitch/internal/verify/trail"
)

// ChangeResult is what came of a day on which operators change the settings all the time.
type ChangeResult struct {
	*Result
	Versions                  *rules.VersionChecker
	Asked                     int
	Accepted, Merged, Refused int
	Unknown                   int      // calls whose answer was lost
	Records                   int      // in the hosts' records
	Faults                    []string // of the records
	trail                     []trail.Event
	meta                      *trail.Meta
	hosts                     map[string][]rules.AppliedSettings
}

// OK tells whether all was kept.
func (r *ChangeResult) OK() bool {
	return r.Result.OK() && r.Versions.ViolationCount == 0 && len(r.Faults) == 0
}

// change is one call of an operator.
type change struct {
	host        string
	why         string
	version     uint64 // 0: refused
	asked, said int64
	unknown     bool
	merged      bool
}

// changing is the operators of a day.
type changing struct {
	f    *Fleet
	each int
	gap  time.Duration
	mu   sync.Mutex
	made []change
	done env.WaitGroup
}

// ChangeDay plays a bad day while operators change what hosts are told: each has so many
// changes for hosts drawn anew, all at once, and merges where it may.
func ChangeDay(ctx context.Context, opt Options, operators, changes int) (*ChangeResult, error) {
	dir, err := os.MkdirTemp("", "records-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	opt.stateDir = dir
	ch := &changing{each: changes / operators}
	var events []trail.Event
	var meta *trail.Meta
	opt.onStart = func(d *dayRun, span time.Duration) {
		ch.f, ch.gap = d.fleet, span*4/10/time.Duration(max(ch.each, 1))
		for op := range operators {
			rng := rand.New(rand.NewPCG(opt.Seed, uint64(100+op)))
			ch.done.Go(d.fleet.Environment, func() { ch.operate(ctx, op, rng) })
		}
	}
	opt.onStopped = func(d *dayRun, all []trail.Event) {
		ch.done.Wait(d.fleet.Environment)
		events, meta = all, d.fleet.Meta
	}
	res, err := BadDay(ctx, opt)
	if err != nil {
		return nil, err
	}
	return ch.judge(dir, res, meta, events)
}

// operate is one operator's day.
func (ch *changing) operate(ctx context.Context, op int, rng *rand.Rand) {
	for n := range ch.each {
		env.SleepContext(ctx, ch.f.Environment, time.Duration(float64(ch.gap)*(0.5+rng.Float64())))
		hosts := ch.f.AdminAPIs()
		if len(hosts) == 0 {
			continue
		}
		h := hosts[rng.IntN(len(hosts))]
		ch.one(ctx, h.Name, h.API, fmt.Sprintf("op%d/%d", op, n), rng)
		for _, h := range hosts {
			h.API.Close()
		}
	}
}

func (ch *changing) one(ctx context.Context, name string, api *settings.API, why string, rng *rand.Rand) {
	s, err := api.Get(ctx)
	if err != nil {
		return // the host was ended in between
	}
	ch.alter(s, rng)
	env.SleepContext(ctx, ch.f.Environment, time.Duration(float64(2*ch.gap)*rng.Float64())) // meanwhile others change things
	c := change{host: trail.HostName(name), why: why, asked: ch.now()}
	now, err := api.Put(ctx, s, settings.ChangeOptions{Why: why, Who: "operator", Merge: rng.IntN(2) == 0})
	c.said = ch.now()
	var stale *settings.StaleError
	var faults *settings.FaultsError
	switch {
	case err == nil:
		c.version, c.merged = now.Version, now.Version != s.Version+1
	case errors.As(err, &stale), errors.As(err, &faults):
	default:
		c.unknown = true
	}
	ch.mu.Lock()
	ch.made = append(ch.made, c)
	ch.mu.Unlock()
}

func (ch *changing) now() int64 { return int64(ch.f.Environment.Now() / time.Microsecond) }

// alter draws a change. None goes beyond the settings of the day's beginning, by which
// the rules are checked: deadlines, limits and attempts only shrink from there and grow
// back to it.
func (ch *changing) alter(s *settings.Settings, rng *rand.Rand) {
	first := ch.f.Settings
	for range 1 + rng.IntN(3) {
		switch rng.IntN(6) {
		case 0:
			i := rng.IntN(len(s.Classes))
			k := first.Classes[i]
			part := 0.5 + rng.Float64()/2
			s.Classes[i].Deadline, s.Classes[i].LatencyTarget = k.Deadline*part, k.LatencyTarget*part
		case 1:
			for i := range s.Plans {
				if l := first.Plans[i].Limit; l > 0 {
					s.Plans[i].Limit = l * (0.4 + 0.6*rng.Float64())
				}
			}
		case 2:
			s.Limits.MaxAttempts = 1 + rng.IntN(first.Limits.MaxAttempts)
		case 3:
			i := rng.IntN(len(s.Plans))
			s.Plans[i].Price = first.Plans[i].Price * (0.5 + rng.Float64())
		case 4: // between plans that have no limit and the same classes
			open := []string{"normal", "prioritario"}
			i := rng.IntN(len(s.Volumes))
			if slices.Contains(open, s.Volumes[i].Plan) {
				s.Volumes[i].Plan = open[rng.IntN(2)]
			}
		case 5:
			s.Rules.KeyHoldoff = first.Rules.KeyHoldoff * (1 + rng.Float64())
		}
	}
}

// judge reads the hosts' records again and holds the trail to them.
func (ch *changing) judge(dir string, res *Result, meta *trail.Meta, events []trail.Event) (*ChangeResult, error) {
	out := &ChangeResult{Result: res, Asked: len(ch.made), trail: events, meta: meta, hosts: map[string][]rules.AppliedSettings{}}
	by := map[string]map[string]change{}
	for _, c := range ch.made {
		if by[c.host] == nil {
			by[c.host] = map[string]change{}
		}
		by[c.host][c.why] = c
		switch {
		case c.unknown:
			out.Unknown++
		case c.version == 0:
			out.Refused++
		case c.merged:
			out.Merged++
			out.Accepted++
		default:
			out.Accepted++
		}
	}
	for i := range meta.Settings.Hosts {
		name := fmt.Sprintf("h%d", i)
		if err := out.record(dir, name, by[name]); err != nil {
			return nil, err
		}
	}
	out.Versions = rules.CheckVersions(meta, events, out.hosts)
	return out, nil
}

// record holds a host's record to what its operators were answered, and takes from it
// which version was in force when.
func (r *ChangeResult) record(dir, name string, made map[string]change) error {
	st, err := settings.Open(filepath.Join(dir, name), nil)
	if err != nil {
		return err
	}
	defer st.Close()
	if _, err := st.Verify(); err != nil {
		r.Faults = append(r.Faults, name+": "+err.Error())
	}
	seen := map[string]bool{}
	var log []*audit.Record
	for from := uint64(1); ; from = log[len(log)-1].Seq + 1 {
		if log, err = st.Log(from, 500); err != nil || len(log) == 0 {
			break
		}
		for _, x := range log {
			r.Records++
			s, err := st.AtVersion(x.Version)
			if err != nil {
				return err
			}
			v := rules.AppliedSettings{Settings: s}
			if x.Seq > 1 {
				c, known := made[x.Why]
				switch {
				case !known:
					r.Faults = append(r.Faults, fmt.Sprintf("%s: record %d (%s) was never asked for", name, x.Seq, x.Why))
				case seen[x.Why]:
					r.Faults = append(r.Faults, fmt.Sprintf("%s: change %s stands twice", name, x.Why))
				case c.version != x.Version && !c.unknown:
					r.Faults = append(r.Faults, fmt.Sprintf("%s: change %s is version %d in the record and was answered %d", name, x.Why, x.Version, c.version))
				}
				seen[x.Why] = true
				v.RequestedAt, v.AppliedBy = c.asked, c.said
			}
			r.hosts[name] = append(r.hosts[name], v)
		}
	}
	for why, c := range made {
		if c.version != 0 && !seen[why] {
			r.Faults = append(r.Faults, fmt.Sprintf("%s: change %s was accepted and is not in the record", name, why))
		}
	}
	return err
}

// Print writes what came of the day.
func (r *ChangeResult) Print(w io.Writer) {
	r.Checker.Print(w)
	fmt.Fprintf(w, "%d changes asked for: %d accepted (%d of them merged), %d refused, %d without an answer; %d records at the hosts, %d faults\n",
		r.Asked, r.Accepted, r.Merged, r.Refused, r.Unknown, r.Records, len(r.Faults))
	fmt.Fprintln(w, r.Versions.Summary())
	fmt.Fprintf(w, "goodput %.3f; %d blocks read and judged, %d wrong, %d not read back; %d keyed effects twice; %.0f s\n",
		r.Checker.Stats.Goodput(), r.CheckedReads, len(r.InvalidReads), r.UnreadBlocks, r.RepeatedEffects, r.Elapsed.Seconds())
	for _, list := range [][]string{r.Faults, r.Versions.Violations, r.InvalidReads} {
		for _, t := range list[:min(len(list), 5)] {
			fmt.Fprintln(w, "BROKEN:", t)
		}
	}
	for _, b := range r.Checker.Violations[:min(len(r.Checker.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
