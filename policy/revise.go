package policy

import "slices"

// Change of settings at run time.

// applySettings replaces the settings. Flows keep their numbers. The number of a plan that was
// removed stays while a request uses it and is then given to a new plan.
func (p *scheduler) applySettings(settings Settings) {
	old, next := p.settings.Plans, settings.withDefaults()
	shards := p.settings.Shards
	next.Plans = p.assignFlows(old, next.Plans)
	p.settings = next
	byPlan := make(map[*Plan]*Plan, len(old))
	for i := range old {
		byPlan[&old[i]] = &next.Plans[i]
	}
	for id, v := range p.volumes {
		if plan := byPlan[v.plan]; plan != nil && plan.Name == v.plan.Name {
			lastUsed := v.lastUsed
			p.volumeBuckets(Request{Volume: id}, v.plan) // refills its buckets at the old rates
			p.resizeBuckets(v, plan, v.divisor)
			v.lastUsed = lastUsed
		}
	}
	for i, n := len(old), len(next.Plans); i < n; i++ {
		p.shares.addFlow(next.Plans)
		for _, sh := range p.shards {
			sh.flows = append(sh.flows, flow{finishTag: sh.virtualTime})
		}
	}
	if shards != next.Shards {
		p.reapplyNodes()
	}
	p.recheckLimited()
}

// assignFlows returns the plans by flow number: a plan that existed before keeps its number, and a
// new one gets that of a removed plan without requests, else a further one.
func (p *scheduler) assignFlows(old, next []Plan) []Plan {
	inUse := make([]bool, len(old))
	for _, r := range p.requests {
		inUse[r.flow] = true
	}
	for i := range old {
		inUse[i] = inUse[i] || slices.ContainsFunc(next, func(n Plan) bool { return n.Name == old[i].Name })
	}
	assigned := slices.Clone(old)
	for _, n := range next {
		i := slices.IndexFunc(old, func(o Plan) bool { return o.Name == n.Name })
		if i < 0 {
			i = slices.Index(inUse, false)
		}
		if i < 0 {
			assigned = append(assigned, n)
			continue
		}
		assigned[i], inUse[i] = n, true
	}
	return assigned
}
