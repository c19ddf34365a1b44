package policy

// The depth bound of each shard, reset each second by a self-tuning regulator.

func (p *scheduler) minDepth() float64 { return max(fewDepth/float64(p.s.Hosts), minPart) }

// updateDepth aims the node's service time at a part of the tightest aim, less
// that class's wait, by the control law; it moves only when the depth held
// something back, for otherwise depth was not what made the service time.
func (p *scheduler) updateDepth(sh *shard) {
	aim := p.tightest()
	mean, full := p.meanServiceTime(sh), sh.wasFull
	y := mean / aim
	sh.wasFull = false
	sh.quick = sh.took.n >= minSample && sh.took.mean(p.median, poolWeight)*maxDepth <= aimPart*aim
	sh.took.fade(gatherKeep)
	if sh.got.n < minSample {
		sh.got.fade(thinKeep)
	} else {
		sh.got.fade(gatherKeep)
	}
	known := sh.got.n + float64(len(p.pool))
	if sh.depth < 1 {
		sh.depth += blindPull / (1 + known) * (1 - sh.depth)
	}
	if known < minSample || sh.node == nil || sh.node.suspect {
		return
	}
	last := sh.lastY
	sh.lastY = y
	if !full && sh.depth >= 1 && y < aimPart {
		return
	}
	sh.fit.update([]float64{last, sh.depth / maxDepth * depthScale, 1}, y)
	sh.fit.theta[1] = max(sh.fit.theta[1], minGain)
	b := sh.fit.theta[1] * depthScale / maxDepth
	ref := partAim
	if sh.depth >= 1 { // a part holds nothing back for long: what waits is let go of
		ref = max(aimPart-p.shares.meanWait(aim)/aim, aimPart/2)
	}
	du := controlStep([][]float64{{b}}, []float64{ref - y}, depthQ)
	if du == nil {
		return
	}
	d := sh.depth + du[0]
	if sh.quick {
		// What the ceiling would put there, served one by one, still meets the aim.
		// The law's steps are sized for service times near the aim: it would take a
		// minute to give an idle node of a millisecond enough to do.
		d = sh.depth * riseStep
	}
	sh.depth = min(max(d, p.minDepth(), sh.depth*fallStep), maxDepth, sh.depth*riseStep)
}

// resetDepth forgets what was learnt of the shard's node.
func (p *scheduler) resetDepth(sh *shard) {
	sh.depth = max(p.minDepth(), 1)
	sh.fit = newRLS([]float64{0, depthGain, depthGain}, forget, maxCov)
	sh.got, sh.took = gathered{}, gathered{}
}
