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
func NewRoll(id string, from, to *Settings) (*Roll, []Fault) {
	r := &Roll{ID: id}
	for i := range from.Plans {
		old := &from.Plans[i]
		j := slices.IndexFunc(to.Plans, func(p Plan) bool { return p.Name == old.Name })
		if j < 0 {
			continue
		}
		next := &to.Plans[j]
		if old.Limit == next.Limit && old.Burst == next.Burst && old.Overdraft == next.Overdraft {
			continue
		}
		p := RollPlan{old.Name, old.Limit, old.Burst, old.Overdraft}
		p.tighten(next.Limit, next.Burst, next.Overdraft)
		r.Plans = append(r.Plans, p)
	}
	oldVolumes := make(map[string]*Volume, len(from.Volumes))
	for i := range from.Volumes {
		oldVolumes[from.Volumes[i].Name] = &from.Volumes[i]
	}
	var faults []Fault
	for i := range to.Volumes {
		next := &to.Volumes[i]
		old := oldVolumes[next.Name]
		if old == nil || old.Plan == next.Plan && slices.Equal(old.Hosts, next.Hosts) {
			continue
		}
		v, ok := rollVolume(from, to, old, next)
		if !ok {
			faults = append(faults, Fault{fmt.Sprintf("volumes[%d].plan", i), fmt.Sprintf("changes from %s to %s, which are not both in both versions, and one is limited: roll the plan out first", old.Plan, next.Plan)})
			continue
		}
		r.Volumes = append(r.Volumes, v)
	}
	return r, faults
}

// tighten lowers p to a second limit if that is lower; limit 0 means unlimited.
func (p *RollPlan) tighten(limit, burst, overdraft float64) {
	switch {
	case limit == 0:
	case p.Limit == 0:
		p.Limit, p.Burst, p.Overdraft = limit, burst, overdraft
	default:
		p.Limit, p.Burst, p.Overdraft = min(p.Limit, limit), min(p.Burst, burst), min(p.Overdraft, overdraft)
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
func rollVolume(from, to *Settings, old, next *Volume) (RollVolume, bool) {
	v := RollVolume{Name: old.Name, Plan: old.Plan, Hosts: slices.Clone(old.Hosts)}
	for _, h := range next.Hosts {
		if !slices.Contains(v.Hosts, h) {
			v.Hosts = append(v.Hosts, h)
		}
	}
	slices.Sort(v.Hosts)
	if old.Plan == next.Plan {
		return v, true
	}
	lowestLimit := func(name string) float64 { // lowest limit of a plan over both versions
		limit := 0.0
		for _, s := range []*Settings{from, to} {
			if p := s.plan(name); p != nil && p.Limit > 0 && (limit == 0 || p.Limit < limit) {
				limit = p.Limit
			}
		}
		return limit
	}
	oldLimit, nextLimit := lowestLimit(old.Plan), lowestLimit(next.Plan)
	if nextLimit > 0 && (oldLimit == 0 || nextLimit < oldLimit) {
		v.Plan = next.Plan
	}
	if oldLimit == 0 && nextLimit == 0 {
		v.Plan = "" // neither plan is limited: each version's own applies
		return v, true
	}
	return v, from.plan(v.Plan) != nil && to.plan(v.Plan) != nil
}

// Effective returns the settings with the constraints of a rollout applied, if one is running.
func (s *Settings) Effective() *Settings {
	if s.Roll == nil {
		return s
	}
	effective := *s
	effective.Plans, effective.Volumes = slices.Clone(s.Plans), slices.Clone(s.Volumes)
	for _, plan := range s.Roll.Plans {
		if i := slices.IndexFunc(effective.Plans, func(x Plan) bool { return x.Name == plan.Name }); i >= 0 {
			tightened := RollPlan{plan.Name, effective.Plans[i].Limit, effective.Plans[i].Burst, effective.Plans[i].Overdraft}
			tightened.tighten(plan.Limit, plan.Burst, plan.Overdraft)
			effective.Plans[i].Limit, effective.Plans[i].Burst, effective.Plans[i].Overdraft = tightened.Limit, tightened.Burst, tightened.Overdraft
		}
	}
	rolling := make(map[string]*RollVolume, len(s.Roll.Volumes))
	for i := range s.Roll.Volumes {
		rolling[s.Roll.Volumes[i].Name] = &s.Roll.Volumes[i]
	}
	for i := range effective.Volumes {
		if volume := rolling[effective.Volumes[i].Name]; volume != nil && volume.Plan != "" {
			effective.Volumes[i].Plan = volume.Plan
		}
	}
	return &effective
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
	for i, plan := range s.Roll.Plans {
		prefix := fmt.Sprintf("roll.plans[%d].", i)
		c.inRange(prefix+"limit", plan.Limit, 0, 1e9)
		c.inRange(prefix+"burst", plan.Burst, 0, 1e9)
		c.inRange(prefix+"slack", plan.Overdraft, 0, 1e9)
	}
	for i, v := range s.Roll.Volumes {
		prefix := fmt.Sprintf("roll.volumes[%d].", i)
		c.failIf(v.Plan != "" && s.plan(v.Plan) == nil, prefix+"plan", "there is no plan %.70q", v.Plan)
		c.failIf(len(v.Hosts) == 0 || slices.ContainsFunc(v.Hosts, func(h int) bool { return h < 0 || h >= 10000 }), prefix+"hosts", "must list hosts from 0 to 9999")
	}
}
