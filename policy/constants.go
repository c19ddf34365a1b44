package policy

// Constants of the policy. Times are in milliseconds.

const (
	samplePeriod = 1000.0 // sample interval of the regulators, ms
	maxDepth     = 32.0   // upper bound of a host's depth at one node
	// minTotalDepth is the least depth at a node of all hosts together. It keeps a node with one or
	// two cores busy during a round trip.
	minTotalDepth = 6.0
	// part of the weight of a node's samples that is left after a second: a memory of about 2 s
	sampleDecay       = 0.6
	sparseSampleDecay = 0.9 // the same while they are fewer than minSamples: about 10 s
	// age limit, ms, of the samples of all nodes, and time constant of the counts for errorFraction
	sampleSpan      = 3000.0
	maxNewerSamples = 31  // number of newer samples that push one out
	priorWeight     = 2.0 // number of samples that the median of all nodes counts as in the mean of one
	rankJitter      = 0.1 // relative spread given to equal values, so that a cutoff can separate them
	// lower bound of a depth below 1; without any sends, nothing would be learnt about a node
	minFraction    = 0.2
	depthRecovery  = 0.2 // gain per second that raises a depth below 1 towards 1 while samples are few
	maxNewerDemand = 63  // number of newer requests that push one out of recentDemand
	// targetFraction is the part of the least latency target that queueing and mean service may
	// take together. The rest is for the variance of service times and for pauses.
	targetFraction = 0.3
	// the same below a depth of 1, where service times include other hosts' queueing
	lowDepthTargetFraction = 0.5
	// value of maxDepth in the units of the depth model, which keeps its inputs near 1
	depthScale = 10.0
	// Few samples err in both directions, so a depth changes by a bounded factor each second.
	minDepthStep     = 0.7 // least factor by which a depth changes in a second
	maxDepthStep     = 2.0 // largest factor by which a depth changes in a second
	initialOwnGain   = 0.3 // initial gain of a flow's previous output in the share model
	initialShareGain = 0.7 // initial gain of a flow's own share in the share model
	// weight of depth changes in the control law; relative to its gain it exceeds sharePenalty
	depthPenalty     = 0.15
	initialDepthGain = 0.10 // initial gain and constant of the depth model, in latency targets
	minGain          = 0.02 // lower bound of fitted gains, whose sign is known
	sharePenalty     = 0.3  // weight of share changes in the control law; a full step takes about 3 s
	minShare         = 0.04 // least share of a flow before normalization, so that none starves
	latencyWeight    = 0.5  // weight of inverse latency errors, relative to throughput errors
	forgettingFactor = 0.97 // RLS forgetting factor: a memory of about 30 samples
	// bound of the covariance trace, which would grow without excitation: above it, RLS does not forget
	maxCovTrace   = 100.0
	maxShareSteps = 1000.0 // increments in which shares are allocated, at most; finer ones change nothing
	minSamples    = 3      // number of samples or answers below which nothing is learnt from them

	// latency targets after which an attempt is given up; bound of a service time sample
	stuckTargets      = 1.5
	stuckServiceTimes = 5 // least number of service times before that: the node may be slow
	// waiting requests above which minWalkInterval applies; number of deferred requests examined per dispatch
	longQueue          = 256
	minWalkInterval    = 2.0        // least time, ms, between two walks of a long queue by shed
	rejectSpan         = minBackoff // time constant, ms, of a node's counts of served and rejected
	minServedPerReject = 8.0        // ratio of these counts from which a node isn't full: no backoff is made
	idleFactor         = 1.3        // up to this many unloaded service times, no request waits at a node
	// gain per second by which the unloaded service time follows a larger median
	unloadedGain = 0.05
	// error fraction of a node up to which a lost connection does not make it suspect
	maxFailedFraction   = 0.3
	minBackoff          = 60.0              // first backoff from a node, ms; doubled each time, see backOff
	maxBackoff          = 1000              // upper bound of the backoff, ms, before backoffScale
	resubscribeInterval = 700.0             // delay before another attempt to subscribe to the node list, ms
	answerMargin        = 1.0               // a request ends this long, ms, plus a tick before it expires
	fairBurstSeconds    = 0.5               // capacity of the fair share bucket, in seconds of its rate
	volumeIdleTime      = 30 * samplePeriod // time, ms, after which an unused volume is removed
	// part of the time to its expiry that a request may wait without reaching a node
	maxWaitFraction = 0.45
	// latency targets that it may wait beyond its target time: clients with short time-outs can
	// still be answered
	lateGraceTargets = 0.5
	fairRateFactor   = 4.0 // ratio of a volume's fair rate to the rate of its plan
	// ms by which sends may arrive closer together at a node, where limits apply
	arrivalSkew = 20.0
)
