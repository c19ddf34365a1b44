package policy

// The depth bound of each shard, updated every second by a self-tuning regulator.

// minDepth is the least depth of this host at a node: its part of minTotalDepth, but not below
// minFraction.
func (p *scheduler) minDepth() float64 {
	return max(minTotalDepth/float64(p.settings.Hosts), minFraction)
}

// updateDepth sets the depth of sh for the next second, by a control law on the mean service time.
// The reference is targetFraction of the tightest latency target, less the mean wait of served
// requests; below a depth of 1 it is lowDepthTargetFraction of the target. A depth of at least 1
// that delayed no request is kept while the service time is below targetFraction, since the depth
// did not cause that time.
func (p *scheduler) updateDepth(sh *shard) {
	target := p.minLatencyTarget()
	mean, wasLimited := p.meanServiceTime(sh), sh.depthLimited
	output := mean / target
	sh.depthLimited = false
	sh.meetsTargetAtMaxDepth = sh.servedTime.n >= minSamples &&
		sh.servedTime.mean(p.medianTime, priorWeight)*maxDepth <= targetFraction*target
	sh.servedTime.decay(sampleDecay)
	if sh.serviceTime.n < minSamples {
		sh.serviceTime.decay(sparseSampleDecay)
	} else {
		sh.serviceTime.decay(sampleDecay)
	}
	samples := sh.serviceTime.n + float64(len(p.serviceSamples))
	if sh.depth < 1 {
		sh.depth += depthRecovery / (1 + samples) * (1 - sh.depth)
	}
	if samples < minSamples || sh.node == nil || sh.node.suspect {
		return
	}
	lastOutput := sh.prevOutput
	sh.prevOutput = output
	if !wasLimited && sh.depth >= 1 && output < targetFraction {
		return
	}
	sh.depthModel.update([]float64{lastOutput, sh.depth / maxDepth * depthScale, 1}, output)
	sh.depthModel.theta[1] = max(sh.depthModel.theta[1], minGain)
	gain := sh.depthModel.theta[1] * depthScale / maxDepth
	reference := lowDepthTargetFraction
	if sh.depth >= 1 { // below 1, requests are shed rather than kept waiting
		reference = max(targetFraction-p.shares.meanWait(target)/target, targetFraction/2)
	}
	change := controlStep([][]float64{{gain}}, []float64{reference - output}, depthPenalty)
	if change == nil {
		return
	}
	next := sh.depth + change[0]
	if sh.meetsTargetAtMaxDepth {
		// Even maxDepth requests, served one by one, meet the target. The control law's steps are
		// sized for service times near the target: with them it would take a minute until a node
		// with a service time of a millisecond had enough to do.
		next = sh.depth * maxDepthStep
	}
	sh.depth = min(max(next, p.minDepth(), sh.depth*minDepthStep), maxDepth, sh.depth*maxDepthStep)
}

// resetDepth discards what was learned of the shard's node.
func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = max(p.minDepth(), 1)
	sh.depthModel = newRLS([]float64{0, initialDepthGain, initialDepthGain}, forgettingFactor, maxCovTrace)
	sh.serviceTime, sh.servedTime = decayingMean{}, decayingMean{}
}
