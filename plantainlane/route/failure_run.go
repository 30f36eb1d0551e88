package route

import "math"

const (
	// recentCallsRetained is the fraction of the counts of recent calls that each Review retains before it adds the
	// calls since the previous Review.
	recentCallsRetained = 0.8
	// minRecentCalls is the number of recent calls from which the fraction of failures is used.
	minRecentCalls = 20
	// typicalRunProbability is the probability down to which a failure run counts as typical variation.
	typicalRunProbability = 0.1
	// outlierRunProbability is the probability from which down a failure run marks its upstream as worse than the
	// others.
	outlierRunProbability = 0.001
	// maxRunLength bounds the run limits, which would be infinite if all calls failed.
	maxRunLength = 100
)

// runLimits are limits for the length of a failure run (a run of consecutive failures). They grow with the fraction of
// failed calls at all upstreams of the service together, because a fault that all of them have in common is no
// reason to avoid or eject one of them.
type runLimits struct {
	// typical is the length up to which a failure run does not raise the upstream's score.
	typical int32
	// outlier is the least length of a failure run that ejects an upstream, even if the policy's limit is lower.
	outlier int32
}

// runLimitsFor returns the limits for a service with this fraction of failed calls, 0 to 1.
func runLimitsFor(failureFraction float64) runLimits {
	return runLimits{
		typical: runLength(typicalRunProbability, failureFraction),
		outlier: runLength(outlierRunProbability, failureFraction),
	}
}

// runLength returns the length of a failure run that has the given probability, rounded down, if each call fails with
// the probability failureFraction independently of the others.
func runLength(probability, failureFraction float64) int32 {
	if failureFraction <= 0 {
		return 0
	}
	if failureFraction >= 1 {
		return maxRunLength
	}
	return int32(min(math.Log(probability)/math.Log(failureFraction), maxRunLength))
}

// reviewRunLimits adds the calls since the previous Review to the recent calls and recomputes the limits. Calls are
// counted as failures plus latency samples, so a failure that gave a sample counts twice as a call, and a call that was
// refused or cancelled without a sample does not count.
func (s *service) reviewRunLimits() {
	s.recentCalls *= recentCallsRetained
	s.recentFailures *= recentCallsRetained
	for _, u := range s.members {
		failed := float64(u.failuresSinceReview.Swap(0))
		samples := u.samples.Load()
		s.recentCalls += failed + float64(max(samples-u.samplesAtReview, 0))
		s.recentFailures += failed
		u.samplesAtReview = samples
	}
	limits := runLimits{}
	if s.recentCalls >= minRecentCalls {
		limits = runLimitsFor(s.recentFailures / s.recentCalls)
	}
	s.runLimits.Store(&limits)
}

// excessFailures returns by how much the upstream's failure run exceeds the typical length; 0 if it does not.
func (u *upstream) excessFailures() int32 {
	failures := u.failureRun.Load()
	if failures == 0 {
		return 0
	}
	return max(failures-u.service.runLimits.Load().typical, 0)
}
