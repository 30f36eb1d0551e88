package retry

import (
	"time"

	"plantainlane/wire"
)

// maxExcess bounds how far above its usual time a stage is expected to be.
const maxExcess = 2

// Estimate is the time a stage usually takes and seldom exceeds; both 0 while unknown.
type Estimate struct {
	Median, High time.Duration
}

// Estimate returns the service's.
func (s *Service) Estimate() Estimate {
	return Estimate{s.Latency.Median(), s.Latency.High()}
}

// ExpectedTime is the time that stages are expected to take one after the other: usual times, with the largest of
// their excesses once, since not all stages are slow together. An excess counts for at most maxExcess times the
// usual time, so that a few slow upstreams don't make every deadline look hopeless.
func ExpectedTime(estimates []Estimate) time.Duration {
	var sum, excess time.Duration
	for _, e := range estimates {
		sum += e.Median
		excess = max(excess, min(e.High-e.Median, maxExcess*e.Median))
	}
	return sum + excess
}

// StageDeadline is the latest end of a stage that leaves the stages after it the time they usually take. The
// share of the whole that a later stage is planned to use bounds what is kept for it, and stands in while its
// usual time is unknown.
func StageDeadline(deadline time.Time, whole time.Duration, later []wire.Stage, estimates []Estimate) time.Time {
	for i, stage := range later {
		planned := time.Duration(stage.DeadlineShare * float64(whole))
		keep := planned
		if usual := estimates[i].Median; usual > 0 {
			keep = min(planned, usual)
		}
		deadline = deadline.Add(-keep)
	}
	return deadline
}
