package policy

import "math"

// The shares of the plans, reset each second by recursive least squares, a greedy optimizer
// and an optimal control law.

// step is one sample: fit, optimize, control.
func (g *regulator) step() {
	n := len(g.u)
	total, units := 0.0, 0.0
	for i := range n {
		total += g.count[i]
		units += g.units[i]
	}
	defer g.clear()
	if total < minSample || n < 2 || units <= 0 {
		return
	}
	for i := range n {
		if g.count[i] == 0 {
			continue
		}
		thr, inv := g.units[i]/units, min(g.aims[i]/max(g.lat[i], 1), 2)
		for k, y := range map[int]float64{i: thr, n + i: inv} {
			g.fits[k].update(g.row(k, g.u), y)
			g.fits[k].theta[1+i] = max(g.fits[k].theta[1+i], minGain)
			g.y[k] = y
		}
	}
	g.control(g.targets(min(total, shareSteps)))
}

// utility is worth got: throughput up to what was asked, by the part of its
// answers inside the aim, at the plan's mean worth.
func (g *regulator) utility(i int, u []float64) float64 {
	if g.count[i] == 0 {
		return 0
	}
	return g.worth[i] / g.units[i] * g.predict(i, u) * min(g.predict(len(u)+i, u), 1)
}

// targets is the greedy optimizer of the paper's figure 4.
func (g *regulator) targets(total float64) []float64 {
	n := len(g.u)
	u, cur := make([]float64, n), make([]float64, n)
	for left := int(total); left > 0; {
		pick, step, gain := 0, 1, math.Inf(-1)
		for i := range n {
			d, got := left, 0.0 // what nobody asked of gains nothing by any share
			if g.count[i] > 0 {
				d, got = 1, g.with(i, u, 1/total)
			}
			for got <= cur[i] && d < left {
				d++
				got = g.with(i, u, float64(d)/total)
			}
			if v := (got - cur[i]) / float64(d); v > gain {
				pick, step, gain = i, d, v
			}
		}
		u[pick] += float64(step) / total
		cur[pick] = g.with(pick, u, 0)
		left -= step
	}
	ref := make([]float64, 2*n)
	for i := range ref {
		ref[i] = g.predict(i, u)
	}
	return ref
}

// control minimises |W(y-yref)|^2 + |Q du|^2 over the next shares.
func (g *regulator) control(ref []float64) {
	b, miss := g.weighted(ref, latencyW)
	du := controlStep(b, miss, shareQ)
	if du == nil {
		return
	}
	sum := 0.0
	for k := range g.u {
		g.u[k] = max(g.u[k]+du[k], minShare)
		sum += g.u[k]
	}
	for k := range g.u {
		g.u[k] = max(g.u[k]/sum, minShare/float64(len(g.u)))
	}
}

// regulator sets the flows' shares.
type regulator struct {
	u     []float64
	y     []float64 // last throughputs, then inverse latencies
	fits  []*rls
	units []float64
	lat   []float64
	count []float64
	worth []float64
	aims  []float64
	waitN float64
	waits float64
}

func (g *regulator) init(plans []Plan) {
	n := len(plans)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	for _, pl := range plans {
		g.u = append(g.u, max(pl.Weight, minShare)/sum)
	}
	g.y = make([]float64, 2*n)
	for i := range 2 * n {
		theta := make([]float64, n+2) // own last value, shares, constant
		theta[0], theta[1+i%n] = ownStart, shareStart
		g.fits = append(g.fits, newRLS(theta, forget, maxCov))
	}
	g.clear()
}

func (g *regulator) clear() {
	n := len(g.u)
	g.units, g.lat, g.count = make([]float64, n), make([]float64, n), make([]float64, n)
	g.worth, g.aims = make([]float64, n), make([]float64, n)
	g.waits, g.waitN = 0, 0
}

// served counts an answer towards this second.
func (g *regulator) served(r *request, latency float64) {
	i := r.flow
	g.units[i] += r.Units
	g.lat[i] += latency
	g.count[i]++
	g.worth[i] += r.value * r.Units
	g.aims[i] += r.class.LatencyTarget
	g.waits += r.sentAt - r.arrived
	g.waitN++
}

// tightWait is the mean wait in the queues, at most the aim.
func (g *regulator) tightWait(aim float64) float64 {
	return min(g.waits/max(g.waitN, 1), aim)
}

// grow makes room for one more flow; what was learnt of the others stays.
func (g *regulator) grow(plans []Plan) {
	n := len(g.u)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	g.u = append(g.u, max(plans[n].Weight, minShare)/sum)
	rest := 1 - g.u[n]
	for i := range n {
		g.u[i] *= rest
	}
	fits, y := g.fits, g.y
	g.fits, g.y = nil, make([]float64, 2*n+2)
	for half := range 2 {
		for i := range n {
			g.y[half*(n+1)+i] = y[half*n+i]
			g.fits = append(g.fits, fits[half*n+i].grown(n+1))
		}
		theta := make([]float64, n+3)
		theta[0], theta[1+n] = ownStart, shareStart
		g.fits = append(g.fits, newRLS(theta, forget, maxCov))
	}
	units, lat, count, worth, aims := g.units, g.lat, g.count, g.worth, g.aims
	waits, waitN := g.waits, g.waitN
	g.clear()
	copy(g.units, units)
	copy(g.lat, lat)
	copy(g.count, count)
	copy(g.worth, worth)
	copy(g.aims, aims)
	g.waits, g.waitN = waits, waitN
}

// with is the utility of flow i with so much more share.
func (g *regulator) with(i int, u []float64, more float64) float64 {
	old := u[i]
	u[i] += more
	defer func() { u[i] = old }()
	return g.utility(i, u)
}
