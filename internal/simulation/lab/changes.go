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

// SettingsChangeResult is what came of a day on which operators change the settings all the time.
type SettingsChangeResult struct {
	*Result
	Versions                  *rules.VersionChecker
	Requested                 int
	Accepted, Merged, Refused int
	Unknown                   int      // calls whose answer was lost
	Records                   int      // in the hosts' records
	RecordFaults              []string // of the records
	trail                     []trail.Event
	meta                      *trail.Meta
	applied                   map[string][]rules.AppliedSettings
}

// OK tells whether all was kept.
func (r *SettingsChangeResult) OK() bool {
	return r.Result.OK() && r.Versions.ViolationCount == 0 && len(r.RecordFaults) == 0
}

// settingsChange is one call of an operator.
type settingsChange struct {
	host                    string
	reason                  string
	version                 uint64 // 0: refused
	requestedAt, answeredAt int64
	unknown                 bool
	merged                  bool
}

// changeOperators is the operators of a day.
type changeOperators struct {
	fleet       *Fleet
	changesEach int
	meanPause   time.Duration
	mu          sync.Mutex
	changes     []settingsChange
	operators   env.WaitGroup
}

// RunSettingsChanges plays a bad day while operators change what hosts are told: each has so many
// changes for hosts drawn anew, all at once, and merges where it may.
func RunSettingsChanges(ctx context.Context, opt Options, operators, changes int) (*SettingsChangeResult, error) {
	dir, err := os.MkdirTemp("", "records-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	opt.stateDir = dir
	ch := &changeOperators{changesEach: changes / operators}
	var events []trail.Event
	var meta *trail.Meta
	opt.onStart = func(d *dayRun, span time.Duration) {
		ch.fleet, ch.meanPause = d.fleet, span*4/10/time.Duration(max(ch.changesEach, 1))
		for op := range operators {
			rng := rand.New(rand.NewPCG(opt.Seed, uint64(100+op)))
			ch.operators.Go(d.fleet.Environment, func() { ch.runOperator(ctx, op, rng) })
		}
	}
	opt.onStopped = func(d *dayRun, all []trail.Event) {
		ch.operators.Wait(d.fleet.Environment)
		events, meta = all, d.fleet.Meta
	}
	res, err := BadDay(ctx, opt)
	if err != nil {
		return nil, err
	}
	return ch.check(dir, res, meta, events)
}

// runOperator is one operator's day.
func (ch *changeOperators) runOperator(ctx context.Context, op int, rng *rand.Rand) {
	for n := range ch.changesEach {
		env.SleepContext(ctx, ch.fleet.Environment, time.Duration(float64(ch.meanPause)*(0.5+rng.Float64())))
		hosts := ch.fleet.AdminAPIs()
		if len(hosts) == 0 {
			continue
		}
		h := hosts[rng.IntN(len(hosts))]
		ch.changeOnce(ctx, h.Name, h.API, fmt.Sprintf("op%d/%d", op, n), rng)
		for _, h := range hosts {
			h.API.Close()
		}
	}
}

func (ch *changeOperators) changeOnce(ctx context.Context, name string, api *settings.API, why string, rng *rand.Rand) {
	s, err := api.Get(ctx)
	if err != nil {
		return // the host was ended in between
	}
	ch.mutate(s, rng)
	env.SleepContext(ctx, ch.fleet.Environment, time.Duration(float64(2*ch.meanPause)*rng.Float64())) // meanwhile others change things
	c := settingsChange{host: trail.HostName(name), reason: why, requestedAt: ch.now()}
	now, err := api.Put(ctx, s, settings.ChangeOptions{Why: why, Who: "operator", Merge: rng.IntN(2) == 0})
	c.answeredAt = ch.now()
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
	ch.changes = append(ch.changes, c)
	ch.mu.Unlock()
}

func (ch *changeOperators) now() int64 { return int64(ch.fleet.Environment.Now() / time.Microsecond) }

// mutate draws a change. None goes beyond the settings of the day's beginning, by which
// the rules are checked: deadlines, limits and attempts only shrink from there and grow
// back to it.
func (ch *changeOperators) mutate(s *settings.Settings, rng *rand.Rand) {
	first := ch.fleet.Settings
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

// check reads the hosts' records again and holds the trail to them.
func (ch *changeOperators) check(dir string, res *Result, meta *trail.Meta, events []trail.Event) (*SettingsChangeResult, error) {
	out := &SettingsChangeResult{Result: res, Requested: len(ch.changes), trail: events, meta: meta, applied: map[string][]rules.AppliedSettings{}}
	by := map[string]map[string]settingsChange{}
	for _, c := range ch.changes {
		if by[c.host] == nil {
			by[c.host] = map[string]settingsChange{}
		}
		by[c.host][c.reason] = c
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
		if err := out.checkRecord(dir, name, by[name]); err != nil {
			return nil, err
		}
	}
	out.Versions = rules.CheckVersions(meta, events, out.applied)
	return out, nil
}

// checkRecord holds a host's checkRecord to what its operators were answered, and takes from it
// which version was in force when.
func (r *SettingsChangeResult) checkRecord(dir, name string, made map[string]settingsChange) error {
	st, err := settings.Open(filepath.Join(dir, name), nil)
	if err != nil {
		return err
	}
	defer st.Close()
	if _, err := st.Verify(); err != nil {
		r.RecordFaults = append(r.RecordFaults, name+": "+err.Error())
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
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: record %d (%s) was never asked for", name, x.Seq, x.Why))
				case seen[x.Why]:
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: change %s stands twice", name, x.Why))
				case c.version != x.Version && !c.unknown:
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: change %s is version %d in the record and was answered %d", name, x.Why, x.Version, c.version))
				}
				seen[x.Why] = true
				v.RequestedAt, v.AppliedBy = c.requestedAt, c.answeredAt
			}
			r.applied[name] = append(r.applied[name], v)
		}
	}
	for why, c := range made {
		if c.version != 0 && !seen[why] {
			r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: change %s was accepted and is not in the record", name, why))
		}
	}
	return err
}

// Print writes what came of the day.
func (r *SettingsChangeResult) Print(w io.Writer) {
	r.Checker.Print(w)
	fmt.Fprintf(w, "%d changes asked for: %d accepted (%d of them merged), %d refused, %d without an answer; %d records at the hosts, %d faults\n",
		r.Requested, r.Accepted, r.Merged, r.Refused, r.Unknown, r.Records, len(r.RecordFaults))
	fmt.Fprintln(w, r.Versions.Summary())
	fmt.Fprintf(w, "goodput %.3f; %d blocks read and judged, %d wrong, %d not read back; %d keyed effects twice; %.0f s\n",
		r.Checker.Stats.Goodput(), r.CheckedReads, len(r.InvalidReads), r.UnreadBlocks, r.RepeatedEffects, r.Elapsed.Seconds())
	for _, list := range [][]string{r.RecordFaults, r.Versions.Violations, r.InvalidReads} {
		for _, t := range list[:min(len(list), 5)] {
			fmt.Fprintln(w, "BROKEN:", t)
		}
	}
	for _, b := range r.Checker.Violations[:min(len(r.Checker.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", b)
	}
}
