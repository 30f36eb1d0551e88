package load

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"plantainlane/standin/scenario"
)

// Policy is a way to send requests. One policy serves all requests of a run concurrently.
type Policy interface {
	// Name returns the name of the policy.
	Name() string
	// Run sends a request, whose deadline counts from its scheduled arrival, and returns how it ended.
	Run(ctx context.Context, req *Request, arrival time.Time) Outcome
	// Close releases connections.
	Close()
}

// Limits bound what the load program itself does in a run.
type Limits struct {
	// Requests is the maximum number of requests of a schedule.
	Requests int
	// InFlight is the maximum number of requests in flight. A request that arrives beyond it is Unsent.
	InFlight int
	// Duration is how long a run may take. At its end, requests in flight are cancelled and further ones are Unsent.
	Duration time.Duration
}

// DefaultLimits returns limits for a run whose processes share one machine.
func DefaultLimits() Limits {
	return Limits{Requests: 200_000, InFlight: 10_000, Duration: 5 * time.Minute}
}

// Step is an action at a time of a run, such as setting a fault. At counts from the start of the run.
type Step struct {
	At time.Duration
	Do func(ctx context.Context)
}

// Run sends the requests of a schedule at their arrival times, whether or not earlier requests have ended, and performs
// the steps at their times. It returns the start time and the outcome of each request, in the order of the schedule.
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

// runSteps performs steps at their times, one after another, until the context ends.
func runSteps(ctx context.Context, start time.Time, steps []Step) {
	for _, s := range steps {
		if !sleepUntil(ctx, start.Add(s.At)) {
			return
		}
		s.Do(ctx)
	}
}

// sleepUntil waits until a time and reports false if the context ended first.
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

// Steps returns the faults and marks of a scenario as steps in order of time. A step calls setFault for a fault and
// printMark for a mark.
func Steps(s *scenario.Scenario, setFault func(context.Context, scenario.Fault), printMark func(scenario.Mark)) []Step {
	var steps []Step
	for _, f := range s.Faults {
		at := time.Duration(f.AtMs) * time.Millisecond
		steps = append(steps, Step{At: at, Do: func(ctx context.Context) { setFault(ctx, f) }})
	}
	for _, m := range s.Marks {
		at := time.Duration(m.AtMs) * time.Millisecond
		steps = append(steps, Step{At: at, Do: func(context.Context) { printMark(m) }})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}
