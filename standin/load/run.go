package load

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"plantainlane/standin/scenario"
)

// Policy sends requests; it is shared by all of a run.
type Policy interface {
	// Name returns the name of the policy.
	Name() string
	// Run sends a request that arrived at a time and returns how it ended.
	Run(ctx context.Context, req *Request, arrival time.Time) Outcome
	// Close releases connections.
	Close()
}

// Limits bound a run.
type Limits struct {
	// Requests is the most requests sent.
	Requests int
	// InFlight is the most requests in flight; further ones are Unsent.
	InFlight int
	// Duration is the longest run.
	Duration time.Duration
}

// DefaultLimits returns bounds that suit one machine.
func DefaultLimits() Limits {
	return Limits{Requests: 200_000, InFlight: 10_000, Duration: 5 * time.Minute}
}

// Step is what happens at a time of a run beside requests.
type Step struct {
	At time.Duration
	Do func(ctx context.Context)
}

// Run sends the requests of a schedule at their times, whatever becomes of the earlier ones, and
// returns the start and the outcome of each request.
func Run(ctx context.Context, p Policy, schedule []*Request, steps []Step, limits Limits) (time.Time, []Outcome) {
	ctx, cancel := context.WithTimeout(ctx, limits.Duration)
	defer cancel()
	start := time.Now()
	outcomes := make([]Outcome, len(schedule))
	slots := make(chan struct{}, limits.InFlight)
	var running sync.WaitGroup
	running.Go(func() { runSteps(ctx, start, steps) })
	for i, req := range schedule {
		arrival := start.Add(req.Arrival)
		if !sleepUntil(ctx, arrival) {
			markUnsent(outcomes[i:])
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			outcomes[i].Result = Unsent
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			outcomes[i] = p.Run(ctx, req, arrival)
		})
	}
	running.Wait()
	return start, outcomes
}

func markUnsent(outcomes []Outcome) {
	for i := range outcomes {
		outcomes[i].Result = Unsent
	}
}

func runSteps(ctx context.Context, start time.Time, steps []Step) {
	for _, s := range steps {
		if !sleepUntil(ctx, start.Add(s.At)) {
			return
		}
		s.Do(ctx)
	}
}

// sleepUntil reports false if the context ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Steps returns the faults and marks of a scenario in order of time.
func Steps(s *scenario.Scenario, order func(context.Context, scenario.Fault), mark func(scenario.Mark)) []Step {
	var steps []Step
	for _, f := range s.Faults {
		at := time.Duration(f.AtMs) * time.Millisecond
		steps = append(steps, Step{At: at, Do: func(ctx context.Context) { order(ctx, f) }})
	}
	for _, m := range s.Marks {
		at := time.Duration(m.AtMs) * time.Millisecond
		steps = append(steps, Step{At: at, Do: func(context.Context) { mark(m) }})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
