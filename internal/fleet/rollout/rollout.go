// Package rollout hands the steps of a layout to the hosts of a service, one after
// the other by their admin APIs, as an operator would. It stops at the first step
// that a host refuses. It decides nothing: the steps are package placement's, and a
// host takes or refuses settings as a whole.
package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/fleet/placement"
	"merlinhitch/internal/fleet/plan"
	"merlinhitch/internal/fleet/rates"
	"merlinhitch/internal/runtime/env"
)

// Host is one gateway's admin API.
type Host struct {
	Name string
	API  *settings.API
	now  *settings.Settings
	was  []settings.Volume
}

// DifferError says that two hosts do not hold the same settings, so that there is
// no one layout to go on from.
type DifferError struct{ Host, From string }

func (e *DifferError) Error() string {
	return fmt.Sprintf("rollout: the settings of %s are not those of %s; put the same on both first", e.Host, e.From)
}

// RefusedError says which step was refused, and by which host. The steps before it
// are in force on every host; this one on none, unless Left says otherwise.
type RefusedError struct {
	Step, Steps int
	Host        string
	Err         error
	Left        []string // hosts that took the step and could not be led back
}

func (e *RefusedError) Error() string {
	s := fmt.Sprintf("rollout: %s refused step %d of %d: %v; a new plan starts from where things stand", e.Host, e.Step, e.Steps, e.Err)
	if len(e.Left) > 0 {
		s += fmt.Sprintf("; still one step ahead: %v", e.Left)
	}
	return s
}

func (e *RefusedError) Unwrap() error { return e.Err }

// Read fetches the settings of all hosts, which must be the same but for their
// versions.
func Read(ctx context.Context, hosts []*Host) (*settings.Settings, error) {
	var first []byte
	for i, h := range hosts {
		s, err := h.API.Get(ctx)
		if err != nil {
			return nil, fmt.Errorf("rollout: %s: %w", h.Name, err)
		}
		h.now = s
		plain := *s
		plain.Version = 0
		b, err := json.Marshal(plain)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			first = b
		} else if string(b) != string(first) {
			return nil, &DifferError{h.Name, hosts[0].Name}
		}
	}
	return hosts[0].now, nil
}

// Rates adds up what the hosts measured.
func Rates(ctx context.Context, hosts []*Host) ([]rates.Rate, error) {
	all := make([][]rates.Rate, len(hosts))
	for i, h := range hosts {
		if err := h.API.Read(ctx, "/rates", &all[i]); err != nil {
			return nil, fmt.Errorf("rollout: %s: %w", h.Name, err)
		}
	}
	joined := rates.Merge(all...)
	if joined == nil {
		joined = []rates.Rate{} // measured, and nothing was asked for
	}
	return joined, nil
}

// Apply takes the hosts, which Read has seen, through the steps of a plan, with a
// pause after each. Done is told the number of steps that are in force.
func Apply(ctx context.Context, w env.Environment, hosts []*Host, pl *plan.Plan, steps []placement.Step, pause time.Duration, done func(int)) error {
	for i, st := range steps {
		next, err := pl.ApplyStep(st)
		if err != nil {
			return err
		}
		for k, h := range hosts {
			if err := h.put(ctx, next.Volumes); err != nil {
				return &RefusedError{i + 1, len(steps), h.Name, err, back(ctx, hosts[:k])}
			}
		}
		done(i + 1)
		if i+1 < len(steps) && pause > 0 && !env.SleepContext(ctx, w, pause) {
			return ctx.Err()
		}
	}
	return nil
}

// put changes only the volumes of the settings that the host is known to have.
func (h *Host) put(ctx context.Context, volumes []settings.Volume) error {
	s := *h.now
	s.Volumes = volumes
	now, err := h.API.Put(ctx, &s, settings.ChangeOptions{Why: "a step of a new layout", Who: "rollout"})
	if err != nil {
		return err
	}
	h.was, h.now = h.now.Volumes, now
	return nil
}

// back undoes the last step at hosts that took it; it names those that did not let it.
func back(ctx context.Context, hosts []*Host) (left []string) {
	for _, h := range hosts {
		if h.put(ctx, h.was) != nil {
			left = append(left, h.Name)
		}
	}
	return left
}
