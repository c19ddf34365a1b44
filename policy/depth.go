package policy

// The depth bound of each shard, reset each second by a self-tuning regulator.

func (p *scheduler) minDepth() float64 { return max(fewDepth/float64(p.s.Hosts), minPart) }

// updateDepth aims the node's service time at a part of the tightest aim, less
// that class's wait, by the control law; it moves only when the depth held
// something back, for otherwise depth was not what made the service time.
func (p *scheduler) updateDepth(sh *shard) {
	target := p.tightest()
	mean, limited := p.meanServiceTime(sh), sh.wasFull
	output := mean / target
	sh.wasFull = false
	sh.quick = sh.took.n >= minSample && sh.took.mean(p.median, poolWeight)*maxDepth <= aimPart*target
	sh.took.fade(gatherKeep)
	if sh.got.n < minSample {
		sh.got.fade(thinKeep)
	} else {
		sh.got.fade(gatherKeep)
	}
	samples := sh.got.n + float64(len(p.pool))
	if sh.depth < 1 {
		sh.depth += blindPull / (1 + samples) * (1 - sh.depth)
	}
	if samples < minSample || sh.node == nil || sh.node.suspect {
		return
	}
	lastOutput := sh.lastY
	sh.lastY = output
	if !limited && sh.depth >= 1 && output < aimPart {
		return
	}
	sh.fit.update([]float64{lastOutput, sh.depth / maxDepth * depthScale, 1}, output)
	sh.fit.theta[1] = max(sh.fit.theta[1], minGain)
	gain := sh.fit.theta[1] * depthScale / maxDepth
	reference := partAim
	if sh.depth >= 1 { // a part holds nothing back for long: what waits is let go of
		reference = max(aimPart-p.shares.meanWait(target)/target, aimPart/2)
	}
	change := controlStep([][]float64{{gain}}, []float64{reference - output}, depthQ)
	if change == nil {
		return
	}
	next := sh.depth + change[0]
	if sh.quick {
		// What the ceiling would put there, served one by one, still meets the aim.
		// The law's steps are sized for service times near the aim: it would take a
		// minute to give an idle node of a millisecond enough to do.
		next = sh.depth * riseStep
	}
	sh.depth = min(max(next, p.minDepth(), sh.depth*fallStep), maxDepth, sh.depth*riseStep)
}

// resetDepth forgets what was learnt of the shard's node.
func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = max(p.minDepth(), 1)
	sh.fit = newRLS([]float64{0, depthGain, depthGain}, forget, maxCov)
	sh.got, sh.took = gathered{}, gathered{}
}
