package policy

// Constants of the policy. Times are in milliseconds.

const (
	samplePeriod = 1000.0 // sample interval of the regulators, ms
	maxDepth     = 32.0   // upper bound of a host's depth at one node
	// minTotalDepth is the least depth at a node of all hosts together. It keeps a node with one or
	// two cores busy during a round trip.
	minTotalDepth     = 6.0
	sampleDecay       = 0.6    // part of the weight of a node's samples that is left after a second
	sparseSampleDecay = 0.9    // the same while they are fewer than minSamples
	sampleSpan        = 3000.0 // age limit, ms, of the samples of all nodes; time constant of the counts for errorFraction
	maxNewerSamples   = 31     // number of newer samples that push one out
	priorWeight       = 2.0    // number of samples that the median of all nodes counts as in the mean of one
	rankJitter        = 0.1    // relative spread given to equal values, so that a cutoff can separate them
	minFraction       = 0.2    // lower bound of a depth below 1; without any sends, nothing would be learnt about a node
	depthRecovery     = 0.2    // gain per second that raises a depth below 1 towards 1 while samples are few
	maxNewerDemand    = 63     // number of newer requests that push one out of recentDemand
	// targetFraction is the part of the least latency target that queueing and mean service may
	// take together. The rest is for the variance of service times and for pauses.
	targetFraction         = 0.3
	lowDepthTargetFraction = 0.5    // the same below a depth of 1, where service times include other hosts' queueing
	depthScale             = 10.0   // value of maxDepth in the units of the depth model, which keeps its inputs near 1
	minDepthStep           = 0.7    // least factor by which a depth changes in a second
	maxDepthStep           = 2.0    // largest factor by which a depth changes in a second
	initialOwnGain         = 0.3    // initial gain of a flow's previous output in the share model
	initialShareGain       = 0.7    // initial gain of a flow's own share in the share model
	depthPenalty           = 0.15   // weight of depth changes in the control law
	initialDepthGain       = 0.10   // initial gain and constant of the depth model, in latency targets
	minGain                = 0.02   // lower bound of fitted gains, whose sign is known
	sharePenalty           = 0.3    // weight of share changes in the control law; a full step takes about 3 s
	minShare               = 0.04   // least share of a flow before normalization, so that none starves
	latencyWeight          = 0.5    // weight of inverse latency errors, relative to throughput errors
	forgettingFactor       = 0.97   // RLS forgetting factor: a memory of about 30 samples
	maxCovTrace            = 100.0  // trace of the covariance above which RLS does not forget, which bounds it
	maxShareSteps          = 1000.0 // upper bound of the increments in which the optimizer allocates the shares
	minSamples             = 3      // number of samples or answers below which nothing is learnt from them

	stuckTargets        = 1.5               // latency targets after which an attempt is given up; bound of a service time sample
	stuckServiceTimes   = 5                 // least number of service times before that: the node may be slow
	longQueue           = 256               // waiting requests above which minWalkInterval applies; deferred ones examined per dispatch
	minWalkInterval     = 2.0               // least time, ms, between two walks of a long queue by shed
	rejectSpan          = minBackoff        // time constant, ms, of the counts of a node's served and rejected attempts
	minServedPerReject  = 8.0               // ratio of these counts from which rejections do not cause a backoff
	idleFactor          = 1.3               // ratio to the unloaded service time up to which a node counts as idle
	unloadedGain        = 0.05              // gain per second by which the unloaded service time follows a larger median
	maxFailedFraction   = 0.3               // error fraction of a node up to which a lost connection does not make it suspect
	minBackoff          = 60.0              // first backoff from a node, ms; doubled each time, see backOff
	maxBackoff          = 1000              // upper bound of the backoff, ms, before backoffScale
	resubscribeInterval = 700.0             // delay before another attempt to subscribe to the node list, ms
	answerMargin        = 1.0               // a request ends this long, ms, plus a tick before it expires
	fairBurstSeconds    = 0.5               // capacity of the fair share bucket, in seconds of its rate
	volumeIdleTime      = 30 * samplePeriod // time, ms, after which an unused volume is removed
	maxWaitFraction     = 0.45              // part of the time to its expiry that a request may wait without reaching a node
	lateGraceTargets    = 0.5               // latency targets after its target time for which it may wait in any case
	fairRateFactor      = 4.0               // ratio of a volume's fair rate to the rate of its plan
	arrivalSkew         = 20.0              // ms by which sends may arrive closer together at a node, where limits apply
)
