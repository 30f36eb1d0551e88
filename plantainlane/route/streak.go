package route

import "math"

const (
	// recentShare is the part of the counted calls that each Review keeps.
	recentShare = 0.8
	// minRecent is the number of recent calls that a share of failures needs.
	minRecent = 20
	// usualChance is the chance of a run of failures that counts as the usual scatter.
	usualChance = 0.1
	// outlierChance is the chance of a run of failures that marks an upstream as worse than the others.
	outlierChance = 0.001
	maxStreak     = 100
)

// streaks are lengths of runs of failures, judged by the share of calls that fail at all upstreams of the
// service together. A fault that they have in common says nothing against one of them.
type streaks struct {
	// usual runs are no reason to avoid an upstream.
	usual int32
	// outlier is the least run that ejects an upstream, whatever the policy allows.
	outlier int32
}

func streaksFor(failureShare float64) streaks {
	return streaks{usual: streakOf(usualChance, failureShare), outlier: streakOf(outlierChance, failureShare)}
}

// streakOf is the length of a run of failures that has the given chance.
func streakOf(chance, failureShare float64) int32 {
	if failureShare <= 0 {
		return 0
	}
	if failureShare >= 1 {
		return maxStreak
	}
	return int32(min(math.Log(chance)/math.Log(failureShare), maxStreak))
}

// reviewStreaks takes in the calls since the last Review.
func (s *service) reviewStreaks() {
	s.ended *= recentShare
	s.failed *= recentShare
	for _, u := range s.members {
		failed := float64(u.failed.Swap(0))
		samples := u.samples.Load()
		s.ended += failed + float64(max(samples-u.sampled, 0))
		s.failed += failed
		u.sampled = samples
	}
	next := streaks{}
	if s.ended >= minRecent {
		next = streaksFor(s.failed / s.ended)
	}
	s.streaks.Store(&next)
}

// unusualFailures is the length of the upstream's run of failures over the usual.
func (u *upstream) unusualFailures() int32 {
	failures := u.failures.Load()
	if failures == 0 {
		return 0
	}
	return max(failures-u.service.streaks.Load().usual, 0)
}
