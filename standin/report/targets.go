package report

import (
	"slices"
	"time"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
)

// recoveredFraction is the fraction of the reference's attainment from which the system counts as recovered.
const recoveredFraction = 0.99

// evaluateTargets returns the verdict on each target of the scenario. A target whose figure is partial is not met.
func evaluateTargets(r Run, rep *Report) []Verdict {
	verdicts := make([]Verdict, 0, len(r.Scenario.Targets))
	for _, t := range r.Scenario.Targets {
		v := Verdict{Target: t, Value: measureMetric(r, rep, t), Partial: partialReason(r, rep, t.Metric)}
		v.Met = v.Partial == "" && (t.AtLeast == nil || v.Value >= *t.AtLeast) && (t.AtMost == nil || v.Value <= *t.AtMost)
		verdicts = append(verdicts, v)
	}
	return verdicts
}

// measureMetric returns the value of a target's metric.
func measureMetric(r Run, rep *Report, t scenario.Target) float64 {
	window := t.Window
	if window == (scenario.Window{}) {
		window = rep.Measured
	}
	switch t.Metric {
	case scenario.Attainment:
		return r.attainment(window, t.Workspaces)
	case scenario.AttainmentRatio:
		return ratio(r.attainment(window, t.Workspaces), r.attainment(t.Reference, t.Workspaces))
	case scenario.RecoveryMs:
		return r.recoveryMs(window, t.Reference, t.Workspaces)
	case scenario.GoodputOfCapacity:
		return ratio(r.goodput(window, t.Workspaces), t.CapacityPerSecond)
	case scenario.Amplification:
		return rep.Executions.Amplification
	case scenario.ExecutionsPerKey:
		return float64(rep.Executions.MaxPerKey)
	case scenario.FalseNotRun:
		return float64(rep.Executions.FalseNotRun)
	case scenario.WrongAnswers:
		return float64(rep.Overall.Wrong)
	default: // scenario.CostDifference
		return largestDifference(rep.Cost)
	}
}

// partialReason returns why a metric doesn't cover the whole run or shows nothing, such as 0 wrong answers of 0
// answers. It returns an empty string for a valid figure.
func partialReason(r Run, rep *Report, m scenario.Metric) string {
	fromLedger := slices.Contains([]scenario.Metric{
		scenario.Amplification, scenario.ExecutionsPerKey, scenario.FalseNotRun, scenario.CostDifference,
	}, m)
	switch {
	case m == scenario.CostDifference && !r.CostRead:
		return "the system was not asked for its totals"
	case fromLedger && rep.Executions.Ran == 0:
		return "nothing ran"
	case m == scenario.ExecutionsPerKey && rep.Executions.Keys == 0:
		return "no non-idempotent request ran"
	case m == scenario.WrongAnswers && rep.Overall.Whole+rep.Overall.Late == 0:
		return "no request was answered"
	case fromLedger && len(rep.Executions.Unreadable) > 0:
		return "a ledger could not be read"
	// The totals of ledgers include dropped rows, so the cost is complete without them.
	case fromLedger && rep.Executions.Dropped > 0 && m != scenario.CostDifference:
		return "a ledger is incomplete"
	case rep.Overall.Unsent > 0:
		return "the load program could not send all requests"
	}
	return ""
}

// countRequests returns how many requests of the given workspaces arrived in a window, and how many of those were
// answered completely within their deadline. No workspaces means all.
func (r Run) countRequests(w scenario.Window, workspaces []string) (offered, whole int) {
	for i, req := range r.Schedule {
		if !inWindow(w, req.Arrival) || len(workspaces) > 0 && !slices.Contains(workspaces, req.Workspace) {
			continue
		}
		offered++
		if r.Outcomes[i].Result == load.Whole {
			whole++
		}
	}
	return offered, whole
}

// attainment returns the fraction of requests answered completely within their deadline.
func (r Run) attainment(w scenario.Window, workspaces []string) float64 {
	offered, whole := r.countRequests(w, workspaces)
	return ratio(float64(whole), float64(offered))
}

// goodput returns the complete answers within the deadline per second of the window.
func (r Run) goodput(w scenario.Window, workspaces []string) float64 {
	_, whole := r.countRequests(w, workspaces)
	if w.ToMs == 0 {
		w.ToMs = r.Scenario.DurationMs
	}
	return ratio(float64(whole), (time.Duration(w.ToMs-w.FromMs) * time.Millisecond).Seconds())
}

// recoveryMs returns the milliseconds from the start of the window to the end of its last second whose attainment is
// below recoveredFraction of the reference's; 0 if there is no such second.
func (r Run) recoveryMs(w, reference scenario.Window, workspaces []string) float64 {
	recovered := recoveredFraction * r.attainment(reference, workspaces)
	if w.ToMs == 0 {
		w.ToMs = r.Scenario.DurationMs
	}
	last := 0
	for from := w.FromMs; from < w.ToMs; from += 1000 {
		to := min(from+1000, w.ToMs)
		offered, whole := r.countRequests(scenario.Window{FromMs: from, ToMs: to}, workspaces)
		if offered > 0 && ratio(float64(whole), float64(offered)) < recovered {
			last = to - w.FromMs
		}
	}
	return float64(last)
}
