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
	Put     settingsPutCmd     `cmd:"" help:"Hand in new settings, made from those in force."`
	Log     settingsLogCmd     `cmd:"" help:"Who changed what, when and why."`
	Show    settingsShowCmd    `cmd:"" help:"Print the settings of a former version."`
	Diff    settingsDiffCmd    `cmd:"" help:"What was changed from one version to another."`
	Revert  settingsRevertCmd  `cmd:"" help:"Put a former version in force again, as a change of its own."`
	Roll    settingsRollCmd    `cmd:"" help:"Take all hosts to other settings in steps, and back where figures fall."`
	Verify  settingsVerifyCmd  `cmd:"" help:"Read the whole record again and name a broken one."`
	Day     settingsDayCmd     `cmd:"" help:"Play bad days on loopback on which operators change settings all the time, and check record and trail."`
	Limits  settingsLimitsCmd  `cmd:"" help:"Change a limit every 100 ms on loopback at eight times its rate, and count what passes."`
	Example settingsExampleCmd `cmd:"" help:"Print working settings to begin with."`
}

const apiTimeout = 10 * time.Second

// adminFlag is where the gateway's admin API is.
type adminFlag struct {
	keysFlag
	Admin string `default:"${admin}" help:"Admin address of the gateway: HOST:PORT or unix:PATH."`
}

// reloadKeys has a gateway read its keys again.
func reloadKeys(ctx context.Context, api *settings.API) error { return api.Call(ctx, "/keys/reload") }

// withAPI calls f withAPI a client of the admin API, within its time.
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

// changeFlags go with a change.
type changeFlags struct {
	Why string `help:"Reason, for the record."`
	Who string `help:"Name, recorded as claimed where the gateway knows no better; empty: the user's." `
}

func (w changeFlags) provenance() settings.Ask {
	if w.Who == "" {
		if u, err := user.Current(); err == nil {
			w.Who = u.Username
		}
	}
	return settings.Ask{Why: w.Why, Who: w.Who}
}

type settingsPutCmd struct {
	adminFlag
	changeFlags
	Expect string `help:"Expectations that the settings must meet, or nothing is handed in." placeholder:"FILE"`
	Merge  bool   `help:"Merge with what was changed since, if the two touch nothing in common."`
	File   string `arg:"" help:"The settings, or - for standard input."`
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
	From    uint64 `default:"1" help:"First record."`
	Changes bool   `help:"Each change, too."`
	JSON    bool   `help:"As JSON lines."`
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
	Version uint64 `arg:"" help:"The version."`
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
	From uint64 `arg:"" help:"The earlier version."`
	To   uint64 `arg:"" optional:"" help:"The later one; left out: that in force."`
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
	Version uint64 `arg:"" help:"The version to go back to."`
}

func (c *settingsRevertCmd) Run() error {
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		accepted, err := api.Revert(ctx, c.Version, c.provenance())
		if err != nil {
			return err
		}
		fmt.Printf("version %d is in force again, as version %d\n", c.Version, accepted.Version)
		return nil
	})
}

type settingsVerifyCmd struct {
	adminFlag
	Record string `help:"File of a record to verify instead, of a gateway that is stopped." placeholder:"FILE"`
}

func (c *settingsVerifyCmd) Run() error {
	if c.Record != "" {
		return verifyRecordFile(c.Record)
	}
	return c.withAPI(func(ctx context.Context, api *settings.API) error {
		var result settings.Verified
		if err := api.Read(ctx, "/settings/verify", &result); err != nil {
			return err
		}
		printVerification(result)
		return nil
	})
}

func printVerification(result settings.Verified) {
	fmt.Printf("%d records up to version %d, head %v: the chain holds; the clock stepped back %d times\n", result.Records, result.Version, result.Head, result.Back)
	if result.Late != "" {
		fmt.Println("the snapshot is behind the record:", result.Late)
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
	printVerification(settings.VerifiedBy(store.Chain()))
	return nil
}

type settingsRollCmd struct {
	changeFlags
	keysFlag
	Hosts  []string      `required:"" help:"Admin addresses of all hosts." placeholder:"ADDRESS,..."`
	ID     string        `required:"" help:"Name of the roll; one that was cut off is taken up under the same."`
	Watch  time.Duration `default:"10s" help:"How long figures are gathered before and after each step."`
	Back   bool          `help:"Take a roll that was cut off back instead."`
	Expect string        `help:"Expectations that the settings must meet, or nothing is begun." placeholder:"FILE"`
	File   string        `arg:"" help:"The settings, or - for standard input."`
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
	Seeds     int      `default:"1" help:"Days."`
	Hosts     int      `default:"4" help:"Hosts."`
	Servers   int      `default:"9" help:"Disk servers, in three halls."`
	Commands  int      `default:"4000" help:"Commands of a day."`
	Rate      float64  `default:"220" help:"Commands a second."`
	Operators int      `default:"4" help:"Operators at once."`
	Changes   int      `default:"1000" help:"Changes that they ask for in a day, all together."`
	Troubles  []string `help:"Kinds of trouble, all by default; none for a calm day." placeholder:"KIND,..."`
}

func (c *settingsDayCmd) Run(log *zap.Logger) error {
	if c.Hosts < 1 || c.Servers < 3 || c.Commands < 1 || !(c.Rate > 0) || c.Operators < 1 || c.Changes < c.Operators {
		return errors.New("settings day: needs a host, three servers, a command, a rate above 0 and a change of each operator")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	failed := 0
	for i := range c.Seeds {
		result, err := lab.ChangeDay(ctx, lab.Options{Seed: c.Seed + uint64(i), Commands: c.Commands, Rate: c.Rate, Hosts: c.Hosts, Servers: c.Servers,
			Troubles: c.Troubles, Log: log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))}, c.Operators, c.Changes)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d\n", c.Seed+uint64(i))
		result.Print(os.Stdout)
		if !result.OK() {
			failed++
		}
	}
	fmt.Printf("%d days of %d changes by %d operators at %d hosts, %d failed\n", c.Seeds, c.Changes, c.Operators, c.Hosts, failed)
	if failed > 0 {
		return errReported
	}
	return nil
}

type settingsLimitsCmd struct {
	Seed uint64        `default:"1" help:"Draws the limits and what clients ask for."`
	Span time.Duration `default:"1m" help:"How long."`
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
	Hosts  int `default:"3" help:"Hosts."`
	Shards int `default:"9" help:"Shards."`
}

func (c *settingsExampleCmd) Run() error {
	if c.Hosts < 1 || c.Shards < 1 {
		return errors.New("settings example: needs a host and a shard")
	}
	return printJSON(settings.Example(c.Hosts, c.Shards))
}
