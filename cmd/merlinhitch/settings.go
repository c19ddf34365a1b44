package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"os/user"
	"strconv"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/rollout"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/simulation/lab"
	"merlinhitch/internal/storage/audit"
)

type settingsCmd struct {
	Get     settingsGetCmd     `cmd:"" help:"Print the settings in force."`
	Put     settingsPutCmd     `cmd:"" help:"Submit new settings, edited from those in force."`
	Log     settingsLogCmd     `cmd:"" help:"List the recorded changes: who changed what, when and why."`
	Show    settingsShowCmd    `cmd:"" help:"Print the settings of an earlier version."`
	Diff    settingsDiffCmd    `cmd:"" help:"Print the changes between two versions."`
	Revert  settingsRevertCmd  `cmd:"" help:"Restore an earlier version as a new version."`
	Roll    settingsRollCmd    `cmd:"" help:"Roll out settings to all hosts in steps, and roll back if metrics get worse."`
	Verify  settingsVerifyCmd  `cmd:"" help:"Verify the hash chain of the audit record and name the first broken entry."`
	Day     settingsDayCmd     `cmd:"" help:"Run fault workloads on loopback while operators change settings, and check the audit record and the trail."`
	Limits  settingsLimitsCmd  `cmd:"" help:"Offer eight times a limit on loopback, change the limit every 100 ms, and check what is admitted."`
	Example settingsExampleCmd `cmd:"" help:"Print example settings to start from."`
}

// apiTimeout bounds a command that uses the admin API.
const apiTimeout = 10 * time.Second

// adminFlag selects the admin API of one gateway.
type adminFlag struct {
	keysFlag
	Admin string `default:"${admin}" help:"Admin address of the gateway: HOST:PORT or unix:PATH."`
}

// reloadKeys makes a gateway reload its keys.
func reloadKeys(ctx context.Context, api *settings.API) error { return api.Call(ctx, "/keys/reload") }

// withAPI calls f with a client of the admin API and a context that ends after apiTimeout.
func (a adminFlag) withAPI(f func(ctx context.Context, api *settings.API) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), apiTimeout)
	defer cancel()
	api, err := a.api(a.Admin)
	if err != nil {
		return err
	}
	defer api.Close()
	return f(ctx, api)
}

type settingsGetCmd struct{ adminFlag }

func (c *settingsGetCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		s, err := api.Get(ctx)
		if err != nil {
			return err
		}
		return printJSON(s)
	})
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// changeFlags give the reason and author of a change.
type changeFlags struct {
	Why string `help:"Reason for the change, for the audit record."`
	Who string `help:"Author, recorded as claimed if the gateway cannot authenticate the caller; by default, the login name." `
}

func (w changeFlags) provenance() settings.ChangeOptions {
	if w.Who == "" {
		if u, err := user.Current(); err == nil {
			w.Who = u.Username
		}
	}
	return settings.ChangeOptions{Why: w.Why, Who: w.Who}
}

type settingsPutCmd struct {
	adminFlag
	changeFlags
	Expect string `help:"File of expectations that the settings must meet before they are submitted." placeholder:"FILE"`
	Merge  bool   `help:"Merge with later changes if they do not conflict."`
	File   string `arg:"" help:"File of the settings, or - for standard input."`
}

func (c *settingsPutCmd) Run() error {
	s, err := readSettings(c.File)
	if err != nil {
		return err
	}
	if c.Expect != "" {
		if err := checkExpectations(s, c.Expect, false); err != nil {
			return err
		}
	}
	provenance := c.provenance()
	provenance.Merge = c.Merge
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		accepted, err := api.Put(ctx, s, provenance)
		if err != nil {
			return err
		}
		fmt.Println("in force as version", accepted.Version)
		return nil
	})
}

func readSettings(file string) (*settings.Settings, error) {
	if file == "-" {
		return settings.Parse(os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return settings.Parse(f)
}

type settingsLogCmd struct {
	adminFlag
	From    uint64 `default:"1" help:"Sequence number of the first record."`
	Changes bool   `help:"Print each changed value too."`
	JSON    bool   `help:"Print JSON lines."`
}

func (c *settingsLogCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		for from := c.From; ; {
			var records []*audit.Record
			if err := api.Read(ctx, "/settings/log?from="+strconv.FormatUint(from, 10), &records); err != nil || len(records) == 0 {
				return err
			}
			from = records[len(records)-1].Seq + 1
			if err := c.print(os.Stdout, records); err != nil {
				return err
			}
		}
	})
}

func (c *settingsLogCmd) print(w io.Writer, records []*audit.Record) error {
	if c.JSON {
		encoder := json.NewEncoder(w)
		for _, r := range records {
			if err := encoder.Encode(r); err != nil {
				return err
			}
		}
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range records {
		fmt.Fprintf(table, "%d\t%s\tversion %d from %d\t%s\t%d changes\t%s\n", r.Seq, time.UnixMilli(r.At).UTC().Format(time.RFC3339), r.Version, r.From, r.Who, len(r.Changes), r.Why)
		for _, change := range r.Changes {
			if c.Changes {
				fmt.Fprintf(table, "\t\t%v\n", change)
			}
		}
	}
	return table.Flush()
}

type settingsShowCmd struct {
	adminFlag
	Version uint64 `arg:"" help:"Version to print."`
}

func (c *settingsShowCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		s := &settings.Settings{}
		if err := api.Read(ctx, "/settings/at?version="+strconv.FormatUint(c.Version, 10), s); err != nil {
			return err
		}
		return printJSON(s)
	})
}

type settingsDiffCmd struct {
	adminFlag
	From uint64 `arg:"" help:"Earlier version."`
	To   uint64 `arg:"" optional:"" help:"Later version; by default, the one in force."`
}

func (c *settingsDiffCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		if c.To == 0 {
			s, err := api.Get(ctx)
			if err != nil {
				return err
			}
			c.To = s.Version
		}
		var changes []audit.Change
		query := url.Values{"from": {strconv.FormatUint(c.From, 10)}, "to": {strconv.FormatUint(c.To, 10)}}
		if err := api.Read(ctx, "/settings/diff?"+query.Encode(), &changes); err != nil {
			return err
		}
		for _, change := range changes {
			fmt.Println(change)
		}
		return nil
	})
}

type settingsRevertCmd struct {
	adminFlag
	changeFlags
	Version uint64 `arg:"" help:"Version to restore."`
}

func (c *settingsRevertCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		accepted, err := api.Revert(ctx, c.Version, c.provenance())
		if err != nil {
			return err
		}
		fmt.Printf("version %d restored as version %d\n", c.Version, accepted.Version)
		return nil
	})
}

type settingsVerifyCmd struct {
	adminFlag
	Record string `help:"Audit record file of a stopped gateway to verify instead." placeholder:"FILE"`
}

func (c *settingsVerifyCmd) Run() error {
	if c.Record != "" {
		return verifyRecordFile(c.Record)
	}
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		var result settings.Verification
		if err := api.Read(ctx, "/settings/verify", &result); err != nil {
			return err
		}
		printVerification(result)
		return nil
	})
}

func printVerification(result settings.Verification) {
	fmt.Printf("%d records up to version %d, head %v: the hash chain is intact; the clock stepped back %d times\n", result.Records, result.Version, result.Head, result.ClockStepsBack)
	if result.SnapshotBehind != "" {
		fmt.Println("the snapshot is behind the audit record:", result.SnapshotBehind)
	}
}

func verifyRecordFile(file string) error {
	if _, err := os.Stat(file); err != nil {
		return err
	}
	store, err := audit.OpenStore(file)
	if err != nil {
		return err
	}
	defer store.Close()
	printVerification(settings.NewVerification(store.Chain()))
	return nil
}

type settingsRollCmd struct {
	changeFlags
	keysFlag
	Hosts  []string      `required:"" help:"Admin addresses of all hosts." placeholder:"ADDRESS,..."`
	ID     string        `required:"" help:"Name of the rollout; the same name resumes one that was interrupted."`
	Watch  time.Duration `default:"10s" help:"How long metrics are collected before and after each step."`
	Back   bool          `help:"Roll back an interrupted rollout instead."`
	Expect string        `help:"File of expectations that the settings must meet before the rollout starts." placeholder:"FILE"`
	File   string        `arg:"" help:"File of the settings, or - for standard input."`
}

func (c *settingsRollCmd) Run() error {
	target, err := readSettings(c.File)
	if err != nil {
		return err
	}
	if c.Expect != "" {
		if err := checkExpectations(target, c.Expect, false); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	hosts, err := c.hosts(c.Hosts)
	if err != nil {
		return err
	}
	defer closeHosts(hosts)
	source, err := rollout.From(ctx, hosts, target)
	if err != nil {
		return err
	}
	rollOut := rollout.Roll
	if c.Back {
		rollOut = rollout.Return
	}
	provenance := c.provenance()
	return rollOut(ctx, env.NewReal(), hosts, source, target, rollout.RollOptions{ID: c.ID, Why: provenance.Why, Who: provenance.Who, Watch: c.Watch,
		Progress: func(s string) { fmt.Fprintln(os.Stderr, s) }})
}

type settingsDayCmd struct {
	Seed      uint64   `default:"1" help:"First seed."`
	Seeds     int      `default:"1" help:"Number of seeds to run."`
	Hosts     int      `default:"4" help:"Number of hosts."`
	Servers   int      `default:"9" help:"Number of disk servers, in three halls."`
	Commands  int      `default:"4000" help:"Commands that clients send in a run."`
	Rate      float64  `default:"220" help:"Mean rate in commands per second."`
	Operators int      `default:"4" help:"Number of concurrent operators."`
	Changes   int      `default:"1000" help:"Total number of changes that operators request in a run."`
	Troubles  []string `help:"Kinds of fault; by default all, 'none' for no faults." placeholder:"KIND,..."`
}

func (c *settingsDayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 1 || c.Servers < 3 || c.Commands < 1 || !(c.Rate > 0) || c.Operators < 1 || c.Changes < c.Operators {
		return errors.New("settings day: needs at least 1 host, 3 servers, 1 command, a rate above 0, 1 operator and 1 change per operator")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed := 0
	for i := range c.Seeds {
		result, err := lab.RunSettingsChanges(ctx, lab.Options{Seed: c.Seed + uint64(i), Commands: c.Commands, Rate: c.Rate, Hosts: c.Hosts, Servers: c.Servers,
			FaultKinds: c.Troubles, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Operators, c.Changes)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d\n", c.Seed+uint64(i))
		result.Print(os.Stdout)
		if !result.OK() {
			failed++
		}
	}
	fmt.Printf("%d runs of %d changes by %d operators at %d hosts, %d failed\n", c.Seeds, c.Changes, c.Operators, c.Hosts, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

type settingsLimitsCmd struct {
	Seed uint64        `default:"1" help:"Seed of the limits and of the client workload."`
	Span time.Duration `default:"1m" help:"Duration of the run."`
}

func (c *settingsLimitsCmd) Run(log *zap.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := lab.LimitDay(ctx, lab.Options{Seed: c.Seed, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Span)
	if err != nil {
		return err
	}
	result.Print(os.Stdout)
	if !result.OK() {
		return errReported
	}
	return nil
}

type settingsExampleCmd struct {
	Hosts  int `default:"3" help:"Number of hosts."`
	Shards int `default:"9" help:"Number of shards."`
}

func (c *settingsExampleCmd) Run() error {
	if c.Hosts < 1 || c.Shards < 1 {
		return errors.New("settings example: needs at least 1 host and 1 shard")
	}
	return printJSON(settings.Example(c.Hosts, c.Shards))
}
