// Package roll decides how a change of settings goes over the hosts of a service: in
// which steps, under which limits while two versions are in force, and when it goes back.
// It asks no host anything and has no clock: package rollout does that.
package roll

import (
	"fmt"

	"merlinhitch/internal/control/settings"
	"merlinhitch/internal/storage/audit"
)

// Figures are what a host has counted since its start.
type Figures struct {
	Taken   uint64 `json:"taken"`  // requests
	Served  uint64 `json:"served"` // with an answer of a disk server
	InAim   uint64 `json:"in_aim"` // of those, within their class's aim
	Refused uint64 `json:"refused"`
	Failed  uint64 `json:"failed"`
}

func (f Figures) ended() float64 { return float64(f.Served + f.Refused + f.Failed) }

// Since is what was counted after an earlier reading. A host that started anew between
// the two has counted less; then all that it has is new.
func (f Figures) Since(old Figures) Figures {
	if f.Taken < old.Taken {
		return f
	}
	return Figures{f.Taken - old.Taken, f.Served - old.Served, f.InAim - old.InAim, f.Refused - old.Refused, f.Failed - old.Failed}
}

// Add sums figures of hosts.
func (f Figures) Add(o Figures) Figures {
	return Figures{f.Taken + o.Taken, f.Served + o.Served, f.InAim + o.InAim, f.Refused + o.Refused, f.Failed + o.Failed}
}

// The rule by which a roll goes back: parts of what ended at the hosts that have the new
// version, against the same hosts before.
const (
	// Enough is how many requests must have ended for a judgement.
	Enough = 50
	// MostLost is how much smaller the part in aim may be: noise of a few hundred
	// requests is a third of it.
	MostLost = 0.10
	// MostRefused is how much larger the part refused may be.
	MostRefused = 0.10
	// MostFailed is how much larger the part failed may be: failures are rare and dear.
	MostFailed = 0.02
)

// Verdict is what figures say of a step.
type Verdict struct {
	Known bool // enough ended, before and after
	Back  bool
	Why   string
}

// Judge compares what hosts did before they had the new version and since.
func Judge(before, after Figures) Verdict {
	if before.ended() < Enough || after.ended() < Enough {
		return Verdict{Why: fmt.Sprintf("%.0f requests ended before and %.0f since, %d are needed to judge", before.ended(), after.ended(), Enough)}
	}
	part := func(n uint64, f Figures) float64 { return float64(n) / f.ended() }
	was, is := part(before.InAim, before), part(after.InAim, after)
	refusedWas, refusedIs := part(before.Refused, before), part(after.Refused, after)
	failedWas, failedIs := part(before.Failed, before), part(after.Failed, after)
	v := Verdict{Known: true, Why: fmt.Sprintf("in aim %.3f, before %.3f; refused %.3f, before %.3f; failed %.3f, before %.3f", is, was, refusedIs, refusedWas, failedIs, failedWas)}
	v.Back = is < was-MostLost || refusedIs > refusedWas+MostRefused || failedIs > failedWas+MostFailed
	return v
}

// Stage is how far a host is.
type Stage int

// The stages, in order. While any host is past Prepared and another is not, two versions
// are in force, and all hosts hold the stricter limits.
const (
	Old       Stage = iota // has the old version
	Prepared               // has it under the limits of both
	Committed              // has the new one under the limits of both
	Done                   // has the new one
	Strange                // has something else
)

func (s Stage) String() string {
	return [...]string{"old", "prepared", "committed", "done", "something else"}[s]
}

// Roll is one change on its way from one version to another.
type Roll struct {
	From, To *settings.Settings // without a Roll block
	Both     *settings.Roll
}

// New prepares a roll; it fails where no limits could hold in between.
func New(id string, from, to *settings.Settings) (*Roll, error) {
	r := &Roll{From: plain(from), To: plain(to)}
	both, faults := settings.NewRoll(id, r.From, r.To)
	if len(faults) > 0 {
		return nil, &settings.FaultsError{Faults: faults}
	}
	r.Both = both
	return r, nil
}

func plain(s *settings.Settings) *settings.Settings {
	c := *s.Redacted()
	c.Roll, c.Version = nil, 0
	return &c
}

// StageOf tells how far a host with such settings is.
func (r *Roll) StageOf(s *settings.Settings) Stage {
	isOld, isNew := same(plain(s), r.From), same(plain(s), r.To)
	held := s.Roll != nil && s.Roll.ID == r.Both.ID
	switch {
	case s.Roll != nil && !held:
		return Strange
	case isNew && !held:
		return Done
	case isNew:
		return Committed
	case isOld && held:
		return Prepared
	case isOld:
		return Old
	}
	return Strange
}

func same(a, b *settings.Settings) bool {
	d, err := settings.Diff(a, b, nil)
	return err == nil && len(d) == 0
}

// Differences lists what a strange host has that neither version does.
func (r *Roll) Differences(s *settings.Settings) []audit.Change {
	d, err := settings.Diff(r.To, plain(s), nil)
	if err != nil {
		return nil
	}
	return d
}

// For returns the settings of a stage, as a change of a version that a host has.
func (r *Roll) For(stage Stage, version uint64) *settings.Settings {
	c := *r.From
	if stage >= Committed {
		c = *r.To
	}
	if stage == Prepared || stage == Committed {
		c.Roll = r.Both
	}
	c.Version = version
	return &c
}

// Steps groups hosts: one, the rest of its hall, all others.
func Steps(halls []string) (out [][]int) {
	if len(halls) == 0 {
		return nil
	}
	hall, rest := []int(nil), []int(nil)
	for i := 1; i < len(halls); i++ {
		if halls[i] == halls[0] {
			hall = append(hall, i)
		} else {
			rest = append(rest, i)
		}
	}
	for _, step := range [][]int{{0}, hall, rest} {
		if len(step) > 0 {
			out = append(out, step)
		}
	}
	return out
}
