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

// SettingsChangeResult is the result of a run during which operators change the settings.
type SettingsChangeResult struct {
	*Result
	Versions                  *rules.VersionChecker
	Requested                 int
	Accepted, Merged, Refused int
	Unknown                   int      // calls without a response
	Records                   int      // in the hosts' audit records
	RecordFaults              []string // inconsistencies in the audit records
	AdminReads                int      // answered calls that read the settings or the status
	trail                     []trail.Event
	meta                      *trail.Meta
	applied                   map[string][]rules.AppliedSettings
}

// OK reports whether all checks passed.
func (r *SettingsChangeResult) OK() bool {
	return r.Result.OK() && r.Versions.ViolationCount == 0 && len(r.RecordFaults) == 0
}

// settingsChange is one call of an operator. Times are in microseconds.
type settingsChange struct {
	host                    string
	reason                  string
	version                 uint64 // 0: refused or unknown
	requestedAt, answeredAt int64
	unknown                 bool
	merged                  bool
}

// changeOperators runs the operators of a run and holds the changes that they made.
type changeOperators struct {
	fleet       *Fleet
	changesEach int
	meanPause   time.Duration
	mu          sync.Mutex
	changes     []settingsChange
	operators   env.WaitGroup
}

// RunSettingsChanges runs BadDay while operators change the settings concurrently. Each makes an
// equal part of the changes, each on a random host, half of them with Merge set. The settings and the
// status of each host are read all the time; if a host does not answer, a *hangError is returned, and
// the fleet is left as it is.
func RunSettingsChanges(ctx context.Context, options Options, operators, changes int) (*SettingsChangeResult, error) {
	dir, err := os.MkdirTemp("", "records-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	options.stateDir = dir
	changers := &changeOperators{changesEach: changes / operators}
	watch := newAdminWatch()
	var events []trail.Event
	var meta *trail.Meta
	options.onStart = func(run *dayRun, duration time.Duration) {
		changers.fleet, changers.meanPause = run.fleet, duration*4/10/time.Duration(max(changers.changesEach, 1))
		for operator := range operators {
			rng := rand.New(rand.NewPCG(options.Seed, uint64(100+operator)))
			changers.operators.Go(run.fleet.Environment, func() { changers.runOperator(ctx, operator, rng) })
		}
		watch.start(ctx, run.fleet)
	}
	options.onQuiescent = func(*dayRun) { watch.stop() }
	options.onStopped = func(run *dayRun, recorded []trail.Event) {
		changers.operators.Wait(run.fleet.Environment)
		events, meta = recorded, run.fleet.Meta
	}
	result, err := badDayOrHang(ctx, options, watch.hangs)
	if err != nil {
		return nil, err
	}
	checked, err := changers.check(dir, result, meta, events)
	if err != nil {
		return nil, err
	}
	checked.AdminReads = int(watch.calls.Load())
	return checked, nil
}

// badDayOrHang runs BadDay, but returns the first error of hangs at once.
func badDayOrHang(ctx context.Context, options Options, hangs <-chan error) (*Result, error) {
	type outcome struct {
		result *Result
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		result, err := BadDay(ctx, options)
		ended <- outcome{result, err}
	}()
	select {
	case err := <-hangs:
		return nil, err
	case day := <-ended:
		return day.result, day.err
	}
}

// runOperator makes the changes of one operator.
func (ch *changeOperators) runOperator(ctx context.Context, operator int, rng *rand.Rand) {
	for number := range ch.changesEach {
		env.SleepContext(ctx, ch.fleet.Environment, time.Duration(float64(ch.meanPause)*(0.5+rng.Float64())))
		hosts := ch.fleet.AdminAPIs()
		if len(hosts) == 0 {
			continue
		}
		host := hosts[rng.IntN(len(hosts))]
		ch.changeOnce(ctx, host.Name, host.API, fmt.Sprintf("op%d/%d", operator, number), rng)
		for _, host := range hosts {
			host.API.Close()
		}
	}
}

// changeOnce reads the settings of a host, alters them, and puts them after a random pause.
func (ch *changeOperators) changeOnce(ctx context.Context, host string, api *settings.API, reason string, rng *rand.Rand) {
	proposed, err := api.Get(ctx)
	if err != nil {
		return // the host was stopped in between
	}
	ch.mutate(proposed, rng)
	env.SleepContext(ctx, ch.fleet.Environment, time.Duration(float64(2*ch.meanPause)*rng.Float64())) // lets other operators change the settings in between
	change := settingsChange{host: trail.HostName(host), reason: reason, requestedAt: ch.now()}
	applied, err := api.Put(ctx, proposed, settings.ChangeOptions{Why: reason, Who: "operator", Merge: rng.IntN(2) == 0})
	change.answeredAt = ch.now()
	var stale *settings.StaleError
	var faults *settings.FaultsError
	switch {
	case err == nil:
		change.version, change.merged = applied.Version, applied.Version != proposed.Version+1
	case errors.As(err, &stale), errors.As(err, &faults):
	default:
		change.unknown = true
	}
	ch.mu.Lock()
	ch.changes = append(ch.changes, change)
	ch.mu.Unlock()
}

func (ch *changeOperators) now() int64 { return int64(ch.fleet.Environment.Now() / time.Microsecond) }

// mutate applies one to three random changes. Deadlines, limits and attempts never exceed the
// initial settings, by which the rules are checked.
func (ch *changeOperators) mutate(proposed *settings.Settings, rng *rand.Rand) {
	initial := ch.fleet.Settings
	for range 1 + rng.IntN(3) {
		switch rng.IntN(6) {
		case 0:
			i := rng.IntN(len(proposed.Classes))
			class := initial.Classes[i]
			factor := 0.5 + rng.Float64()/2
			proposed.Classes[i].Deadline, proposed.Classes[i].LatencyTarget = class.Deadline*factor, class.LatencyTarget*factor
		case 1:
			for i := range proposed.Plans {
				if limit := initial.Plans[i].Limit; limit > 0 {
					proposed.Plans[i].Limit = limit * (0.4 + 0.6*rng.Float64())
				}
			}
		case 2:
			proposed.Limits.MaxAttempts = 1 + rng.IntN(initial.Limits.MaxAttempts)
		case 3:
			i := rng.IntN(len(proposed.Plans))
			proposed.Plans[i].Price = initial.Plans[i].Price * (0.5 + rng.Float64())
		case 4: // between plans that have no limit and the same classes
			unlimited := []string{"normal", "prioritario"}
			i := rng.IntN(len(proposed.Volumes))
			if slices.Contains(unlimited, proposed.Volumes[i].Plan) {
				proposed.Volumes[i].Plan = unlimited[rng.IntN(2)]
			}
		case 5:
			proposed.Rules.KeyHoldoff = initial.Rules.KeyHoldoff * (1 + rng.Float64())
		}
	}
}

// check reads the hosts' audit records and checks the trail against them.
func (ch *changeOperators) check(dir string, result *Result, meta *trail.Meta, events []trail.Event) (*SettingsChangeResult, error) {
	checked := &SettingsChangeResult{Result: result, Requested: len(ch.changes), trail: events, meta: meta, applied: map[string][]rules.AppliedSettings{}}
	changesByHost := map[string]map[string]settingsChange{}
	for _, change := range ch.changes {
		if changesByHost[change.host] == nil {
			changesByHost[change.host] = map[string]settingsChange{}
		}
		changesByHost[change.host][change.reason] = change
		switch {
		case change.unknown:
			checked.Unknown++
		case change.version == 0:
			checked.Refused++
		case change.merged:
			checked.Merged++
			checked.Accepted++
		default:
			checked.Accepted++
		}
	}
	for i := range meta.Settings.Hosts {
		name := fmt.Sprintf("h%d", i)
		if err := checked.checkRecord(dir, name, changesByHost[name]); err != nil {
			return nil, err
		}
	}
	checked.Versions = rules.CheckVersions(meta, events, checked.applied)
	return checked, nil
}

// checkRecord compares a host's audit records with the responses to its operators, and collects
// from them the versions that the host applied.
func (r *SettingsChangeResult) checkRecord(dir, name string, changes map[string]settingsChange) error {
	store, err := settings.Open(filepath.Join(dir, name), nil)
	if err != nil {
		return err
	}
	defer store.Close()
	if _, err := store.Verify(); err != nil {
		r.RecordFaults = append(r.RecordFaults, name+": "+err.Error())
	}
	seen := map[string]bool{}
	var records []*audit.Record
	for from := uint64(1); ; from = records[len(records)-1].Seq + 1 {
		if records, err = store.Log(from, 500); err != nil || len(records) == 0 {
			break
		}
		for _, record := range records {
			r.Records++
			applied, err := store.AtVersion(record.Version)
			if err != nil {
				return err
			}
			version := rules.AppliedSettings{Settings: applied}
			if record.Seq > 1 {
				change, known := changes[record.Why]
				switch {
				case !known:
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: record %d (%s) matches no requested change", name, record.Seq, record.Why))
				case seen[record.Why]:
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: change %s is recorded twice", name, record.Why))
				case change.version != record.Version && !change.unknown:
					r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: change %s has version %d in the record, %d in the response", name, record.Why, record.Version, change.version))
				}
				seen[record.Why] = true
				version.RequestedAt, version.AppliedBy = change.requestedAt, change.answeredAt
			}
			r.applied[name] = append(r.applied[name], version)
		}
	}
	for reason, change := range changes {
		if change.version != 0 && !seen[reason] {
			r.RecordFaults = append(r.RecordFaults, fmt.Sprintf("%s: accepted change %s is missing from the record", name, reason))
		}
	}
	return err
}

// Print writes the counts of the run and the first violations.
func (r *SettingsChangeResult) Print(w io.Writer) {
	r.Checker.Print(w)
	fmt.Fprintf(w, "%d changes asked for: %d accepted (%d of them merged), %d refused, %d without an answer; %d records at the hosts, %d faults; settings and status read %d times\n",
		r.Requested, r.Accepted, r.Merged, r.Refused, r.Unknown, r.Records, len(r.RecordFaults), r.AdminReads)
	fmt.Fprintln(w, r.Versions.Summary())
	fmt.Fprintf(w, "goodput %.3f; %d blocks read and judged, %d wrong, %d not read back; %d keyed effects twice; %.0f s\n",
		r.Checker.Stats.Goodput(), r.CheckedReads, len(r.InvalidReads), r.UnreadBlocks, r.RepeatedEffects, r.Elapsed.Seconds())
	for _, problems := range [][]string{r.RecordFaults, r.Versions.Violations, r.InvalidReads} {
		for _, problem := range problems[:min(len(problems), 5)] {
			fmt.Fprintln(w, "BROKEN:", problem)
		}
	}
	for _, violation := range r.Checker.Violations[:min(len(r.Checker.Violations), 5)] {
		fmt.Fprintln(w, "BROKEN:", violation)
	}
}
