package report

import (
	"slices"
	"time"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
)

// recoveredRatio is the share of the reference's attainment that counts as recovered.
const recoveredRatio = 0.99

// judge compares the scenario's targets with the run.
func judge(r Run, rep *Report) []Verdict {
	verdicts := make([]Verdict, 0, len(r.Scenario.Targets))
	for _, t := range r.Scenario.Targets {
		v := Verdict{Target: t, Value: measure(r, rep, t), Partial: partial(r, rep, t.Metric)}
		v.Met = v.Partial == "" && (t.AtLeast == nil || v.Value >= *t.AtLeast) && (t.AtMost == nil || v.Value <= *t.AtMost)
		verdicts = append(verdicts, v)
	}
	return verdicts
}

func measure(r Run, rep *Report, t scenario.Target) float64 {
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
		return r.recovery(window, t.Reference, t.Workspaces)
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
	default:
		return largestDifference(rep.Cost)
	}
}

// partial says why a figure is not of the whole run.
func partial(r Run, rep *Report, m scenario.Metric) string {
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
	case fromLedger && rep.Executions.Dropped > 0 && m != scenario.CostDifference:
		return "a ledger is incomplete"
	case rep.Overall.Unsent > 0:
		return "the load program could not send all requests"
	}
	return ""
}

// count returns the requests of some workspaces that arrived in a window, and those answered whole in
// time.
func (r Run) count(w scenario.Window, workspaces []string) (offered, whole int) {
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

func (r Run) attainment(w scenario.Window, workspaces []string) float64 {
	offered, whole := r.count(w, workspaces)
	return ratio(float64(whole), float64(offered))
}

func (r Run) goodput(w scenario.Window, workspaces []string) float64 {
	_, whole := r.count(w, workspaces)
	if w.ToMs == 0 {
		w.ToMs = r.Scenario.DurationMs
	}
	return ratio(float64(whole), (time.Duration(w.ToMs-w.FromMs) * time.Millisecond).Seconds())
}

// recovery returns the milliseconds from the window's start to the end of its last second that falls
// short of the reference.
func (r Run) recovery(w, reference scenario.Window, workspaces []string) float64 {
	want := recoveredRatio * r.attainment(reference, workspaces)
	if w.ToMs == 0 {
		w.ToMs = r.Scenario.DurationMs
	}
	last := 0
	for from := w.FromMs; from < w.ToMs; from += 1000 {
		to := min(from+1000, w.ToMs)
		offered, whole := r.count(scenario.Window{FromMs: from, ToMs: to}, workspaces)
		if offered > 0 && ratio(float64(whole), float64(offered)) < want {
			last = to - w.FromMs
		}
	}
	return float64(last)
}
