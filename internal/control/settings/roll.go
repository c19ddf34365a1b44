package settings

import (
	"fmt"
	"slices"
)

// Roll is part of settings during their rollout over the hosts. It has the constraints that
// apply in addition, so that hosts with two versions together exceed no limit.
type Roll struct {
	ID      string       `json:"id"`
	Plans   []RollPlan   `json:"plans,omitempty"`
	Volumes []RollVolume `json:"volumes,omitempty"`
}

// RollPlan is the limit of a plan that satisfies both versions.
type RollPlan struct {
	Name      string  `json:"name"`
	Limit     float64 `json:"limit"`
	Burst     float64 `json:"burst"`
	Overdraft float64 `json:"slack"`
}

// RollVolume is a volume that changes its plan or its hosts: during the rollout the stricter
// plan applies ("": each version's own), and its limit is divided by the hosts of both versions.
type RollVolume struct {
	Name  string `json:"name"`
	Plan  string `json:"plan"`
	Hosts []int  `json:"hosts"`
}

// NewRoll returns the constraints for a rollout from settings a to b. A fault is a volume
// whose change of plan can't be rolled out in one step.
func NewRoll(id string, a, b *Settings) (*Roll, []Fault) {
	r := &Roll{ID: id}
	for i := range a.Plans {
		x := &a.Plans[i]
		j := slices.IndexFunc(b.Plans, func(p Plan) bool { return p.Name == x.Name })
		if j < 0 {
			continue
		}
		y := &b.Plans[j]
		if x.Limit == y.Limit && x.Burst == y.Burst && x.Overdraft == y.Overdraft {
			continue
		}
		p := RollPlan{x.Name, x.Limit, x.Burst, x.Overdraft}
		p.tighten(y.Limit, y.Burst, y.Overdraft)
		r.Plans = append(r.Plans, p)
	}
	was := make(map[string]*Volume, len(a.Volumes))
	for i := range a.Volumes {
		was[a.Volumes[i].Name] = &a.Volumes[i]
	}
	var faults []Fault
	for i := range b.Volumes {
		y := &b.Volumes[i]
		x := was[y.Name]
		if x == nil || x.Plan == y.Plan && slices.Equal(x.Hosts, y.Hosts) {
			continue
		}
		v, ok := rollVolume(a, b, x, y)
		if !ok {
			faults = append(faults, Fault{fmt.Sprintf("volumes[%d].plan", i), fmt.Sprintf("changes from %s to %s, which are not both in both versions, and one is limited: roll the plan out first", x.Plan, y.Plan)})
			continue
		}
		r.Volumes = append(r.Volumes, v)
	}
	return r, faults
}

// tighten lowers p to a second limit if that is lower; limit 0 means unlimited.
func (p *RollPlan) tighten(limit, burst, slack float64) {
	switch {
	case limit == 0:
	case p.Limit == 0:
		p.Limit, p.Burst, p.Overdraft = limit, burst, slack
	default:
		p.Limit, p.Burst, p.Overdraft = min(p.Limit, limit), min(p.Burst, burst), min(p.Overdraft, slack)
	}
}

func (s *Settings) plan(name string) *Plan {
	if i := slices.IndexFunc(s.Plans, func(p Plan) bool { return p.Name == name }); i >= 0 {
		return &s.Plans[i]
	}
	return nil
}

// rollVolume returns the constraint of a volume with the plan that has the lower limit, and
// whether both versions have that plan.
func rollVolume(a, b *Settings, x, y *Volume) (RollVolume, bool) {
	v := RollVolume{Name: x.Name, Plan: x.Plan, Hosts: slices.Clone(x.Hosts)}
	for _, h := range y.Hosts {
		if !slices.Contains(v.Hosts, h) {
			v.Hosts = append(v.Hosts, h)
		}
	}
	slices.Sort(v.Hosts)
	if x.Plan == y.Plan {
		return v, true
	}
	least := func(name string) float64 { // lowest limit of a plan over both versions
		limit := 0.0
		for _, s := range []*Settings{a, b} {
			if p := s.plan(name); p != nil && p.Limit > 0 && (limit == 0 || p.Limit < limit) {
				limit = p.Limit
			}
		}
		return limit
	}
	lx, ly := least(x.Plan), least(y.Plan)
	if ly > 0 && (lx == 0 || ly < lx) {
		v.Plan = y.Plan
	}
	if lx == 0 && ly == 0 {
		v.Plan = "" // neither plan is limited: each version's own applies
		return v, true
	}
	return v, a.plan(v.Plan) != nil && b.plan(v.Plan) != nil
}

// Effective returns the settings with the constraints of a rollout applied, if one is running.
func (s *Settings) Effective() *Settings {
	if s.Roll == nil {
		return s
	}
	h := *s
	h.Plans, h.Volumes = slices.Clone(s.Plans), slices.Clone(s.Volumes)
	for _, p := range s.Roll.Plans {
		if i := slices.IndexFunc(h.Plans, func(x Plan) bool { return x.Name == p.Name }); i >= 0 {
			own := RollPlan{p.Name, h.Plans[i].Limit, h.Plans[i].Burst, h.Plans[i].Overdraft}
			own.tighten(p.Limit, p.Burst, p.Overdraft)
			h.Plans[i].Limit, h.Plans[i].Burst, h.Plans[i].Overdraft = own.Limit, own.Burst, own.Overdraft
		}
	}
	held := make(map[string]*RollVolume, len(s.Roll.Volumes))
	for i := range s.Roll.Volumes {
		held[s.Roll.Volumes[i].Name] = &s.Roll.Volumes[i]
	}
	for i := range h.Volumes {
		if v := held[h.Volumes[i].Name]; v != nil && v.Plan != "" {
			h.Volumes[i].Plan = v.Plan
		}
	}
	return &h
}

// HostCount returns the number of hosts that divide a volume's limit, as seen by host self:
// those of its region.
func (s *Settings) HostCount(self int, v *Volume) int {
	hosts := v.Hosts
	if s.Roll != nil {
		if i := slices.IndexFunc(s.Roll.Volumes, func(r RollVolume) bool { return r.Name == v.Name }); i >= 0 {
			hosts = s.Roll.Volumes[i].Hosts
		}
	}
	return len(s.SameRegion(self, hosts))
}

func (s *Settings) checkRoll(c *checker) {
	if s.Roll == nil {
		return
	}
	c.failIf(s.Roll.ID == "" || len(s.Roll.ID) > 80, "roll.id", "must have 1 to 80 bytes")
	for i, p := range s.Roll.Plans {
		at := fmt.Sprintf("roll.plans[%d].", i)
		c.inRange(at+"limit", p.Limit, 0, 1e9)
		c.inRange(at+"burst", p.Burst, 0, 1e9)
		c.inRange(at+"slack", p.Overdraft, 0, 1e9)
	}
	for i, v := range s.Roll.Volumes {
		at := fmt.Sprintf("roll.volumes[%d].", i)
		c.failIf(v.Plan != "" && s.plan(v.Plan) == nil, at+"plan", "there is no plan %.70q", v.Plan)
		c.failIf(len(v.Hosts) == 0 || slices.ContainsFunc(v.Hosts, func(h int) bool { return h < 0 || h >= 10000 }), at+"hosts", "must list hosts from 0 to 9999")
	}
}
