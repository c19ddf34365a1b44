package policy

import "math"

// The shares of the plans, reset each second by recursive least squares, a greedy optimizer
// and an optimal control law.

// step is one sample: fit, optimize, control.
func (g *shareRegulator) step() {
	n := len(g.share)
	total, units := 0.0, 0.0
	for i := range n {
		total += g.answers[i]
		units += g.units[i]
	}
	defer g.clear()
	if total < minSample || n < 2 || units <= 0 {
		return
	}
	for i := range n {
		if g.answers[i] == 0 {
			continue
		}
		thr, inv := g.units[i]/units, min(g.targetSum[i]/max(g.latencySum[i], 1), 2)
		for k, output := range map[int]float64{i: thr, n + i: inv} {
			g.models[k].update(g.regressors(k, g.share), output)
			g.models[k].theta[1+i] = max(g.models[k].theta[1+i], minGain)
			g.output[k] = output
		}
	}
	g.applyControl(g.optimalOutputs(min(total, shareSteps)))
}

// flowUtility is worth got: throughput up to what was asked, by the part of its
// answers inside the aim, at the plan's mean worth.
func (g *shareRegulator) flowUtility(i int, u []float64) float64 {
	if g.answers[i] == 0 {
		return 0
	}
	return g.valueSum[i] / g.units[i] * g.predict(i, u) * min(g.predict(len(u)+i, u), 1)
}

// optimalOutputs is the greedy optimizer of the paper's figure 4.
func (g *shareRegulator) optimalOutputs(total float64) []float64 {
	n := len(g.share)
	share, cur := make([]float64, n), make([]float64, n)
	for left := int(total); left > 0; {
		pick, step, gain := 0, 1, math.Inf(-1)
		for i := range n {
			d, got := left, 0.0 // what nobody asked of gains nothing by any share
			if g.answers[i] > 0 {
				d, got = 1, g.utilityWith(i, share, 1/total)
			}
			for got <= cur[i] && d < left {
				d++
				got = g.utilityWith(i, share, float64(d)/total)
			}
			if v := (got - cur[i]) / float64(d); v > gain {
				pick, step, gain = i, d, v
			}
		}
		share[pick] += float64(step) / total
		cur[pick] = g.utilityWith(pick, share, 0)
		left -= step
	}
	ref := make([]float64, 2*n)
	for i := range ref {
		ref[i] = g.predict(i, share)
	}
	return ref
}

// applyControl minimises |W(y-yref)|^2 + |Q du|^2 over the next shares.
func (g *shareRegulator) applyControl(ref []float64) {
	b, miss := g.weightedSystem(ref, latencyW)
	du := controlStep(b, miss, shareQ)
	if du == nil {
		return
	}
	sum := 0.0
	for k := range g.share {
		g.share[k] = max(g.share[k]+du[k], minShare)
		sum += g.share[k]
	}
	for k := range g.share {
		g.share[k] = max(g.share[k]/sum, minShare/float64(len(g.share)))
	}
}

// shareRegulator sets the flows' shares.
type shareRegulator struct {
	share      []float64
	output     []float64 // last throughputs, then inverse latencies
	models     []*rlsEstimator
	units      []float64
	latencySum []float64
	answers    []float64
	valueSum   []float64
	targetSum  []float64
	waitCount  float64
	waitSum    float64
}

func (g *shareRegulator) init(plans []Plan) {
	n := len(plans)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	for _, pl := range plans {
		g.share = append(g.share, max(pl.Weight, minShare)/sum)
	}
	g.output = make([]float64, 2*n)
	for i := range 2 * n {
		theta := make([]float64, n+2) // own last value, shares, constant
		theta[0], theta[1+i%n] = ownStart, shareStart
		g.models = append(g.models, newRLS(theta, forget, maxCov))
	}
	g.clear()
}

func (g *shareRegulator) clear() {
	n := len(g.share)
	g.units, g.latencySum, g.answers = make([]float64, n), make([]float64, n), make([]float64, n)
	g.valueSum, g.targetSum = make([]float64, n), make([]float64, n)
	g.waitSum, g.waitCount = 0, 0
}

// recordServed counts an answer towards this second.
func (g *shareRegulator) recordServed(r *request, latency float64) {
	i := r.flow
	g.units[i] += r.Units
	g.latencySum[i] += latency
	g.answers[i]++
	g.valueSum[i] += r.value * r.Units
	g.targetSum[i] += r.class.LatencyTarget
	g.waitSum += r.sentAt - r.arrived
	g.waitCount++
}

// meanWait is the mean wait in the queues, at most the aim.
func (g *shareRegulator) meanWait(aim float64) float64 {
	return min(g.waitSum/max(g.waitCount, 1), aim)
}

// addFlow makes room for one more flow; what was learnt of the others stays.
func (g *shareRegulator) addFlow(plans []Plan) {
	n := len(g.share)
	sum := 0.0
	for _, pl := range plans {
		sum += max(pl.Weight, minShare)
	}
	g.share = append(g.share, max(plans[n].Weight, minShare)/sum)
	rest := 1 - g.share[n]
	for i := range n {
		g.share[i] *= rest
	}
	models, output := g.models, g.output
	g.models, g.output = nil, make([]float64, 2*n+2)
	for half := range 2 {
		for i := range n {
			g.output[half*(n+1)+i] = output[half*n+i]
			g.models = append(g.models, models[half*n+i].withCoefficient(n+1))
		}
		theta := make([]float64, n+3)
		theta[0], theta[1+n] = ownStart, shareStart
		g.models = append(g.models, newRLS(theta, forget, maxCov))
	}
	units, latencySum, answers, valueSum, targetSum := g.units, g.latencySum, g.answers, g.valueSum, g.targetSum
	waitSum, waitCount := g.waitSum, g.waitCount
	g.clear()
	copy(g.units, units)
	copy(g.latencySum, latencySum)
	copy(g.answers, answers)
	copy(g.valueSum, valueSum)
	copy(g.targetSum, targetSum)
	g.waitSum, g.waitCount = waitSum, waitCount
}

// utilityWith is the utility of flow i utilityWith so much more share.
func (g *shareRegulator) utilityWith(i int, u []float64, more float64) float64 {
	old := u[i]
	u[i] += more
	defer func() { u[i] = old }()
	return g.flowUtility(i, u)
}
