package rollout

import (
	"context"
	"fmt"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/roll"
	"merlinhitch/internal/runtime/env"
	"merlinhitch/internal/storage/audit"
)

// RollOptions of a roll.
type RollOptions struct {
	ID, Why, Who string
	// Watch is how long figures are gathered before a step and after it.
	Watch time.Duration
	// Progress is told each thing that is done; nil: nobody.
	Progress func(string)
}

// StrangeError says that a host has settings that are neither of a roll's versions, as
// when another operator changed them meanwhile.
type StrangeError struct {
	Host        string
	Differences []audit.Change // from the roll's new version
}

func (e *StrangeError) Error() string {
	s := fmt.Sprintf("roll: %s has neither the old version nor the new one; against the new one", e.Host)
	for i, d := range e.Differences {
		if i == 5 {
			return s + fmt.Sprintf(", and %d more", len(e.Differences)-5)
		}
		s += "\n  " + d.String()
	}
	return s
}

// BackError says that a roll went back, and why. The old version is in force again at
// every host, unless Left names some that could not be reached.
type BackError struct {
	Why  string
	Left []string
}

func (e *BackError) Error() string {
	s := "roll: went back: " + e.Why
	if len(e.Left) > 0 {
		s += fmt.Sprintf("; still to be led back: %v", e.Left)
	}
	return s
}

// roller is a roll under way.
type roller struct {
	w     env.Environment
	hosts []*Host
	opt   RollOptions
	*roll.Roll
	stages []roll.Stage
	halls  []string
}

// Roll takes all hosts from the settings that they have to others. First every host is
// given the limits of both versions beside its own; then one host, its hall and the rest
// are given the new version, with figures watched after each step; then the limits of
// both are lifted. One that was cut off is taken up again by a call with the same from,
// to and ID, whoever makes it.
func Roll(ctx context.Context, w env.Environment, hosts []*Host, from, to *settings.Settings, opt RollOptions) error {
	x, err := newRoller(ctx, w, hosts, from, to, opt)
	if err != nil {
		return err
	}
	if err := x.lead(ctx, all(len(hosts)), roll.Prepared); err != nil {
		return err
	}
	for _, step := range roll.Steps(x.halls) {
		if err := x.step(ctx, step); err != nil {
			return err
		}
	}
	return x.lead(ctx, all(len(hosts)), roll.Done)
}

// newRoller reads how far the hosts are with a roll.
func newRoller(ctx context.Context, w env.Environment, hosts []*Host, from, to *settings.Settings, opt RollOptions) (*roller, error) {
	r, err := roll.New(opt.ID, from, to)
	if err != nil {
		return nil, err
	}
	if opt.Progress == nil {
		opt.Progress = func(string) {}
	}
	x := &roller{w: w, hosts: hosts, opt: opt, Roll: r, stages: make([]roll.Stage, len(hosts)), halls: make([]string, len(hosts))}
	return x, x.look(ctx)
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// look reads how far each host is.
func (x *roller) look(ctx context.Context) error {
	for i, h := range x.hosts {
		if err := x.read(ctx, i); err != nil {
			return err
		}
		var st struct{ Zone string }
		if err := h.API.Read(ctx, "/status", &st); err != nil {
			return fmt.Errorf("roll: %s: %w", h.Name, err)
		}
		x.halls[i] = st.Zone
	}
	return nil
}

func (x *roller) read(ctx context.Context, i int) error {
	s, err := x.hosts[i].API.Get(ctx)
	if err != nil {
		return fmt.Errorf("roll: %s: %w", x.hosts[i].Name, err)
	}
	x.hosts[i].now = s
	if x.stages[i] = x.StageOf(s); x.stages[i] == roll.Strange {
		return &StrangeError{x.hosts[i].Name, x.Differences(s)}
	}
	return nil
}

// lead brings hosts to a stage, those that are not there yet.
func (x *roller) lead(ctx context.Context, which []int, to roll.Stage) error {
	for _, i := range which {
		if x.stages[i] >= to {
			continue
		}
		if err := x.put(ctx, i, to); err != nil {
			return err
		}
	}
	return nil
}

// put hands a stage's settings to one host. An answer that is lost is looked up.
func (x *roller) put(ctx context.Context, i int, to roll.Stage) error {
	h := x.hosts[i]
	why := fmt.Sprintf("roll %s, %v", x.opt.ID, to)
	if x.opt.Why != "" {
		why += ": " + x.opt.Why
	}
	now, err := h.API.Put(ctx, x.For(to, h.now.Version), settings.ChangeOptions{Why: why, Who: x.opt.Who})
	if err != nil {
		if again := x.read(ctx, i); again != nil {
			return again
		}
		if x.stages[i] != to {
			return fmt.Errorf("roll: %s: %w", h.Name, err)
		}
		return nil
	}
	h.now, x.stages[i] = now, to
	x.opt.Progress(fmt.Sprintf("%s: %v", h.Name, to))
	return nil
}

// step gives hosts the new version and watches them.
func (x *roller) step(ctx context.Context, which []int) error {
	var open []int
	for _, i := range which {
		if x.stages[i] < roll.Committed {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return nil
	}
	before, err := x.gather(ctx, open)
	if err != nil {
		return err
	}
	if err := x.lead(ctx, open, roll.Committed); err != nil {
		return err
	}
	after, err := x.gather(ctx, open)
	if err != nil {
		return err
	}
	v := roll.Judge(before, after)
	x.opt.Progress(v.Why)
	if v.Back {
		return x.back(ctx, v.Why)
	}
	return nil
}

// gather is what hosts counted over a watch.
func (x *roller) gather(ctx context.Context, which []int) (sum roll.Figures, err error) {
	begin := make([]roll.Figures, len(which))
	for k, i := range which {
		if begin[k], err = x.figures(ctx, i); err != nil {
			return sum, err
		}
	}
	if x.opt.Watch > 0 && !env.SleepContext(ctx, x.w, x.opt.Watch) {
		return sum, ctx.Err()
	}
	for k, i := range which {
		end, err := x.figures(ctx, i)
		if err != nil {
			return sum, err
		}
		sum = sum.Add(end.Since(begin[k]))
	}
	return sum, nil
}

func (x *roller) figures(ctx context.Context, i int) (roll.Figures, error) {
	var st struct{ Figures roll.Figures }
	if err := x.hosts[i].API.Read(ctx, "/status", &st); err != nil {
		return st.Figures, fmt.Errorf("roll: %s: %w", x.hosts[i].Name, err)
	}
	return st.Figures, nil
}

// back leads every host to the old version: first those that have the new one, under the
// limits of both, and then all out of them.
func (x *roller) back(ctx context.Context, why string) error {
	e := &BackError{Why: why}
	for _, to := range []roll.Stage{roll.Prepared, roll.Old} {
		for i, h := range x.hosts {
			if x.stages[i] <= to {
				continue
			}
			if x.put(ctx, i, to) != nil {
				e.Left = append(e.Left, h.Name)
			}
		}
		if len(e.Left) > 0 {
			return e // the limits of both stay until all are back
		}
	}
	return e
}

// Return takes a roll back that was cut off, whoever began it.
func Return(ctx context.Context, w env.Environment, hosts []*Host, from, to *settings.Settings, opt RollOptions) error {
	x, err := newRoller(ctx, w, hosts, from, to, opt)
	if err != nil {
		return err
	}
	for i, s := range x.stages { // done hosts hold the limits of both again first
		if s == roll.Done {
			if err := x.put(ctx, i, roll.Committed); err != nil {
				return err
			}
		}
	}
	if e := x.back(ctx, "asked for").(*BackError); len(e.Left) > 0 {
		return e
	}
	return nil
}

// From finds what a roll to some settings goes out from: what the first host has that is
// not yet there. Where all are, it is those settings themselves.
func From(ctx context.Context, hosts []*Host, to *settings.Settings) (*settings.Settings, error) {
	for _, h := range hosts {
		s, err := h.API.Get(ctx)
		if err != nil {
			return nil, fmt.Errorf("roll: %s: %w", h.Name, err)
		}
		plain := *s
		plain.Roll, plain.Version = nil, to.Version
		d, err := settings.Diff(&plain, to.Redacted(), nil)
		if err != nil {
			return nil, err
		}
		if len(d) > 0 {
			return &plain, nil
		}
	}
	return to, nil
}
