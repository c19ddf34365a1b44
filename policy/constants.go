package policy

// The module's constants, with their units and reasons.

const (
	samplePeriod = 1000.0 // sample interval of the regulators, as in the paper
	maxDepth     = 32.0   // the design's ceiling for a host's depth at one node
	// minTotalDepth is the design's "few", as floor, for all hosts together: a node of a
	// core or two stays busy over a round trip. Below 1 a host's depth is a part.
	minTotalDepth     = 6.0
	sampleDecay       = 0.6    // of a second's answers kept for the next: a memory of some two seconds
	sparseSampleDecay = 0.9    // the same while they are fewer than minSample: of some ten
	answerSpan        = 3000.0 // age at which an answer leaves the pool of all nodes
	maxNewerAnswers   = 31     // and how many newer ones push it out
	priorWeight       = 2.0    // answers that the mean over all nodes counts for in a node's own
	rankJitter        = 0.1    // spread of equal worths, so that a part can be cut between them
	minFraction       = 0.2    // of what is asked, that goes at the least: who sends nothing learns nothing
	depthRecovery     = 0.2    // a second's pull of a part back to the whole while nothing is learnt
	maxNewerDemand    = 63     // requests before the newest whose worths tell what is asked
	// targetFraction of the tightest aim is what wait and mean service may take
	// together; the rest is for the spread of service times and for pauses.
	targetFraction         = 0.3
	lowDepthTargetFraction = 0.5    // the same below a depth of 1: only a queue of others' takes so long
	depthScale             = 10.0   // depths are fitted in tenths of the ceiling, for numbers near 1
	minDepthStep           = 0.7    // a second's largest fall of a depth, and
	maxDepthStep           = 2.0    // its largest rise: thin samples err either way
	initialOwnGain         = 0.3    // starting figures of the shares' model: a flow's own last value
	initialShareGain       = 0.7    // and its share
	depthPenalty           = 0.15   // penalty on depth changes; larger, against its gain, than shareQ
	initialDepthGain       = 0.10   // starting figure: service time in aims that one more request out adds
	minGain                = 0.02   // known sign: fitted gains never fall below this
	sharePenalty           = 0.3    // penalty on share changes: a full step takes some three seconds
	minShare               = 0.04   // no flow is ever shut out
	latencyWeight          = 0.5    // inverse latency misses weigh half of throughput misses
	forgettingFactor       = 0.97   // RLS forgetting: a memory of about half a minute
	maxCovTrace            = 100.0  // trace above which nothing is forgotten: bounded without excitation
	maxShareSteps          = 1000.0 // request-shares that are given out at most; finer ones change nothing
	minSamples             = 3      // answers, of a node's own and of the pool, below which nothing is taught

	stuckTargets        = 1.5               // an attempt out for so many of its aims is given up,
	stuckServiceTimes   = 5                 // but not before so many service times: the node may be slow
	longQueue           = 256               // waiting requests at a shard above which
	minWalkInterval     = 2.0               // they are looked through no more often than this
	rejectSpan          = minHold           // memory of what a node served and turned away
	minServedPerReject  = 8.0               // served so many times what it turns away, it is not full
	idleFactor          = 1.3               // a node this near its own unloaded service time has nothing waiting
	baseGain            = 0.05              // a second's pull on the unloaded service time from above
	maxFailedFraction   = 0.3               // of a node's answers failed, up to which it is well but for that
	minHold             = 60.0              // wait after a refused connection or a full node, doubled each time
	maxHold             = 1000              // and at most this
	resubscribeInterval = 700.0             // wait before asking again for the node list
	answerMargin        = 1.0               // final answers of held requests leave this much (plus a tick) early
	fairBurstSeconds    = 0.5               // seconds of its rate that a volume may save up as due
	volumeIdleTime      = 30 * samplePeriod // a volume unseen for so long is forgotten
	maxWaitFraction     = 0.45              // of its time that a request may wait which no node has had: see expire
	minWaitTargets      = 0.5               // but that long beyond its aim in any case: short tries can be in time
	fairRateFactor      = 4.0               // of its rate that a volume is taken to be due, see volume
	arrivalSkew         = 20.0              // by which sends may come closer on their way: limits hold where they arrive
)
