package settings

import (
	"fmt"
	"slices"
)

// Roll is in the settings while they are on their way over the hosts: what holds beside
// them, so that no limit is passed by hosts that go by two versions.
type Roll struct {
	ID      string       `json:"id"`
	Plans   []RollPlan   `json:"plans,omitempty"`
	Volumes []RollVolume `json:"volumes,omitempty"`
}

// RollPlan is the stricter limit of a plan.
type RollPlan struct {
	Name      string  `json:"name"`
	Limit     float64 `json:"limit"`
	Burst     float64 `json:"burst"`
	Overdraft float64 `json:"slack"`
}

// RollVolume is a volume that changes its plan or its hosts: it is held to the stricter
// plan and divided by all hosts of both versions.
type RollVolume struct {
	Name  string `json:"name"`
	Plan  string `json:"plan"`
	Hosts []int  `json:"hosts"`
}

// NewRoll works out what holds while hosts go by two versions. Faults say where nothing
// can.
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
			faults = append(faults, Fault{fmt.Sprintf("volumes[%d].plan", i), fmt.Sprintf("goes from %s to %s, of which one version has only one, and one is limited: roll the plan out first", x.Plan, y.Plan)})
			continue
		}
		r.Volumes = append(r.Volumes, v)
	}
	return r, faults
}

// tighten holds p to another limit as well; 0 is none.
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

// rollVolume picks the plan with the smaller limit, if both versions have both.
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
	least := func(name string) float64 { // of a plan in the version that has it
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
		v.Plan = "" // each version's own: neither is limited
		return v, true
	}
	return v, a.plan(v.Plan) != nil && b.plan(v.Plan) != nil
}

// Effective is s as it is in force: with what a roll holds beside it.
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

// HostCount is how many hosts a volume's limit is divided by, as one of them sees it.
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
		c.failIf(len(v.Hosts) == 0 || slices.ContainsFunc(v.Hosts, func(h int) bool { return h < 0 || h >= 10000 }), at+"hosts", "must name hosts")
	}
}
