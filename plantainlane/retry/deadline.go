package retry

import (
	"time"

	"plantainlane/wire"
)

// maxExcessFactor bounds a stage's expected excess over its median time, as a multiple of the median.
const maxExcessFactor = 2

// Estimate holds the median and the 90th percentile of a stage's duration; both are 0 while unknown.
type Estimate struct {
	Median, High time.Duration
}

// Estimate returns the estimate for calls to the service.
func (s *Service) Estimate() Estimate {
	return Estimate{s.Latency.Median(), s.Latency.High()}
}

// ExpectedTime returns the expected duration of stages that run one after the other: the sum of their medians plus the
// largest single excess of a 90th percentile over its median, since stages are rarely all slow at the same time. An
// excess counts for at most maxExcessFactor times the median, so that a few slow upstreams don't make every deadline
// look unreachable.
func ExpectedTime(estimates []Estimate) time.Duration {
	var sum, excess time.Duration
	for _, e := range estimates {
		sum += e.Median
		excess = max(excess, min(e.High-e.Median, maxExcessFactor*e.Median))
	}
	return sum + excess
}

// StageDeadline returns the latest end of a stage that leaves enough time for the later stages. The time reserved for a
// later stage is its median, but at most its planned share of total, the time for the whole request; if its median is
// unknown, the planned share is reserved. estimates are those of the later stages, in the same order.
func StageDeadline(deadline time.Time, total time.Duration, later []wire.Stage, estimates []Estimate) time.Time {
	for i, stage := range later {
		planned := time.Duration(stage.DeadlineShare * float64(total))
		reserved := planned
		if median := estimates[i].Median; median > 0 {
			reserved = min(planned, median)
		}
		deadline = deadline.Add(-reserved)
	}
	return deadline
}
