package policy

import "math"

// The shares of the plans, updated every second: models fitted by recursive least squares predict the
// flows' throughput and latency, a greedy optimizer finds the best shares by these models, and an
// optimal control law moves the shares towards them.

// step ends a sample interval of one second: it updates the models with the outputs, finds the
// outputs of the highest utility and moves the shares towards them.
func (g *shareRegulator) step() {
	n := len(g.share)
	totalAnswers, units := 0.0, 0.0
	for i := range n {
		totalAnswers += g.answers[i]
		units += g.units[i]
	}
	defer g.clear()
	if totalAnswers < minSamples || n < 2 || units <= 0 {
		return
	}
	for i := range n {
		if g.answers[i] == 0 {
			continue
		}
		throughput, inverseLatency := g.units[i]/units, min(g.targetSum[i]/max(g.latencySum[i], 1), 2)
		for k, output := range map[int]float64{i: throughput, n + i: inverseLatency} {
			g.models[k].update(g.regressors(k, g.share), output)
			g.models[k].theta[1+i] = max(g.models[k].theta[1+i], minGain)
			g.output[k] = output
		}
	}
	g.applyControl(g.optimalOutputs(min(totalAnswers, maxShareSteps)))
}

// flowUtility predicts the utility of flow i at those shares: its mean value per unit, times its
// throughput, times the ratio of latency target to latency, capped at 1. Without answers it is 0.
func (g *shareRegulator) flowUtility(i int, share []float64) float64 {
	if g.answers[i] == 0 {
		return 0
	}
	return g.valueSum[i] / g.units[i] * g.predict(i, share) * min(g.predict(len(share)+i, share), 1)
}

// optimalOutputs returns the outputs predicted for the shares of the highest utility. Greedily, it
// gives each next part of the total to the flow that gains most from it; a flow whose utility does
// not rise with one part is tried with several.
func (g *shareRegulator) optimalOutputs(total float64) []float64 {
	n := len(g.share)
	share, utility := make([]float64, n), make([]float64, n)
	for remaining := int(total); remaining > 0; {
		best, increment, bestGain := 0, 1, math.Inf(-1)
		for i := range n {
			size, candidate := remaining, 0.0 // without answers, no share gains anything
			if g.answers[i] > 0 {
				size, candidate = 1, g.utilityWith(i, share, 1/total)
			}
			for candidate <= utility[i] && size < remaining {
				size++
				candidate = g.utilityWith(i, share, float64(size)/total)
			}
			if gain := (candidate - utility[i]) / float64(size); gain > bestGain {
				best, increment, bestGain = i, size, gain
			}
		}
		share[best] += float64(increment) / total
		utility[best] = g.utilityWith(best, share, 0)
		remaining -= increment
	}
	reference := make([]float64, 2*n)
	for i := range reference {
		reference[i] = g.predict(i, share)
	}
	return reference
}

// applyControl moves the shares by the change du that minimises |W(y - reference)|^2 + |Q du|^2 for
// the outputs y, then scales their sum to 1 and raises each to at least minShare / number of flows.
func (g *shareRegulator) applyControl(reference []float64) {
	gains, deviation := g.weightedSystem(reference, latencyWeight)
	change := controlStep(gains, deviation, sharePenalty)
	if change == nil {
		return
	}
	shareSum := 0.0
	for k := range g.share {
		g.share[k] = max(g.share[k]+change[k], minShare)
		shareSum += g.share[k]
	}
	for k := range g.share {
		g.share[k] = max(g.share[k]/shareSum, minShare/float64(len(g.share)))
	}
}

// shareRegulator sets the flows' shares.
type shareRegulator struct {
	share  []float64 // of each flow
	output []float64 // last throughputs (of all units served), then inverse latencies (target/latency)
	models []*rlsEstimator
	// Sums over the sample interval, the first five by flow; times in ms.
	units      []float64
	latencySum []float64
	answers    []float64
	valueSum   []float64
	targetSum  []float64
	waitCount  float64
	waitSum    float64
}

// init starts with shares in proportion to the weights of the plans.
func (g *shareRegulator) init(plans []Plan) {
	n := len(plans)
	weightSum := 0.0
	for _, plan := range plans {
		weightSum += max(plan.Weight, minShare)
	}
	for _, plan := range plans {
		g.share = append(g.share, max(plan.Weight, minShare)/weightSum)
	}
	g.output = make([]float64, 2*n)
	for i := range 2 * n {
		theta := make([]float64, n+2) // coefficients of the last output, the shares and the constant
		theta[0], theta[1+i%n] = initialOwnGain, initialShareGain
		g.models = append(g.models, newRLS(theta, forgettingFactor, maxCovTrace))
	}
	g.clear()
}

// clear starts a sample interval.
func (g *shareRegulator) clear() {
	n := len(g.share)
	g.units, g.latencySum, g.answers = make([]float64, n), make([]float64, n), make([]float64, n)
	g.valueSum, g.targetSum = make([]float64, n), make([]float64, n)
	g.waitSum, g.waitCount = 0, 0
}

// recordServed adds an answer, with its latency in ms, to the sample interval.
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

// meanWait is the mean time in ms that served requests waited until they were sent, at most limit.
func (g *shareRegulator) meanWait(limit float64) float64 {
	return min(g.waitSum/max(g.waitCount, 1), limit)
}

// addFlow adds a flow for the first of the plans that has none, at the share that its weight has
// among them. The models of the other flows are kept.
func (g *shareRegulator) addFlow(plans []Plan) {
	n := len(g.share)
	weightSum := 0.0
	for _, plan := range plans {
		weightSum += max(plan.Weight, minShare)
	}
	g.share = append(g.share, max(plans[n].Weight, minShare)/weightSum)
	remainder := 1 - g.share[n]
	for i := range n {
		g.share[i] *= remainder
	}
	models, output := g.models, g.output
	g.models, g.output = nil, make([]float64, 2*n+2)
	for outputKind := range 2 {
		for i := range n {
			g.output[outputKind*(n+1)+i] = output[outputKind*n+i]
			g.models = append(g.models, models[outputKind*n+i].withCoefficient(n+1))
		}
		theta := make([]float64, n+3)
		theta[0], theta[1+n] = initialOwnGain, initialShareGain
		g.models = append(g.models, newRLS(theta, forgettingFactor, maxCovTrace))
	}
	units, latencySum, answers, valueSum, targetSum :=
		g.units, g.latencySum, g.answers, g.valueSum, g.targetSum
	waitSum, waitCount := g.waitSum, g.waitCount
	g.clear()
	copy(g.units, units)
	copy(g.latencySum, latencySum)
	copy(g.answers, answers)
	copy(g.valueSum, valueSum)
	copy(g.targetSum, targetSum)
	g.waitSum, g.waitCount = waitSum, waitCount
}

// utilityWith is flowUtility after an increase of the share of flow i.
func (g *shareRegulator) utilityWith(i int, share []float64, increase float64) float64 {
	old := share[i]
	share[i] += increase
	defer func() { share[i] = old }()
	return g.flowUtility(i, share)
}
