package policy

// The depth bound of each shard, reset each second by a self-tuning regulator.

func (p *scheduler) minDepth() float64 {
	return max(minTotalDepth/float64(p.settings.Hosts), minFraction)
}

// updateDepth aims the node's service time at a part of the tightest aim, less
// that class's wait, by the control law; it moves only when the depth held
// something back, for otherwise depth was not what made the service time.
func (p *scheduler) updateDepth(sh *shard) {
	target := p.minLatencyTarget()
	mean, limited := p.meanServiceTime(sh), sh.depthLimited
	output := mean / target
	sh.depthLimited = false
	sh.quick = sh.servedTime.n >= minSamples && sh.servedTime.mean(p.medianTime, priorWeight)*maxDepth <= targetFraction*target
	sh.servedTime.decay(sampleDecay)
	if sh.serviceTime.n < minSamples {
		sh.serviceTime.decay(sparseSampleDecay)
	} else {
		sh.serviceTime.decay(sampleDecay)
	}
	samples := sh.serviceTime.n + float64(len(p.answers))
	if sh.depth < 1 {
		sh.depth += depthRecovery / (1 + samples) * (1 - sh.depth)
	}
	if samples < minSamples || sh.node == nil || sh.node.suspect {
		return
	}
	lastOutput := sh.prevOutput
	sh.prevOutput = output
	if !limited && sh.depth >= 1 && output < targetFraction {
		return
	}
	sh.depthModel.update([]float64{lastOutput, sh.depth / maxDepth * depthScale, 1}, output)
	sh.depthModel.theta[1] = max(sh.depthModel.theta[1], minGain)
	gain := sh.depthModel.theta[1] * depthScale / maxDepth
	reference := lowDepthTargetFraction
	if sh.depth >= 1 { // a part holds nothing back for long: what waits is let go of
		reference = max(targetFraction-p.shares.meanWait(target)/target, targetFraction/2)
	}
	change := controlStep([][]float64{{gain}}, []float64{reference - output}, depthPenalty)
	if change == nil {
		return
	}
	next := sh.depth + change[0]
	if sh.quick {
		// What the ceiling would put there, served one by one, still meets the aim.
		// The law's steps are sized for service times near the aim: it would take a
		// minute to give an idle node of a millisecond enough to do.
		next = sh.depth * maxDepthStep
	}
	sh.depth = min(max(next, p.minDepth(), sh.depth*minDepthStep), maxDepth, sh.depth*maxDepthStep)
}

// resetDepth forgets what was learnt of the shard's node.
func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = max(p.minDepth(), 1)
	sh.depthModel = newRLS([]float64{0, initialDepthGain, initialDepthGain}, forgettingFactor, maxCovTrace)
	sh.serviceTime, sh.servedTime = decayingMean{}, decayingMean{}
}
