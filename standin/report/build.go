package report

import (
	"time"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// Run holds all data of one run that its report is computed from.
type Run struct {
	Policy   string
	Scenario *scenario.Scenario
	Schedule []*load.Request
	// Outcomes are those of the requests in Schedule, in the same order.
	Outcomes []load.Outcome
	// Before and After are the fakes' ledgers, read before and after the run.
	Before, After Ledgers
	// CostBefore and CostAfter are the system's cost totals before and after the run, valid if CostRead is set.
	CostBefore, CostAfter []wire.CostRow
	// CostRead is set if the system's cost totals were read.
	CostRead bool
	// Faults are the faults and marks of the run in order of time, also the faults that could not be set.
	Faults []FaultLine
}

// Build computes the report of a run.
func Build(r Run) Report {
	s := r.Scenario
	rep := Report{
		Policy: r.Policy, Scenario: s.Name, Seed: s.Seed, Faults: r.Faults,
		Measured: scenario.Window{FromMs: s.WarmUpMs, ToMs: s.DurationMs},
	}
	overall := newTally("")
	tallies := make(map[string]*tally)
	for _, w := range s.Workspaces {
		tallies[w.Name] = newTally(w.Name)
	}
	rep.Seconds = figuresBySecond(r)
	for i, req := range r.Schedule {
		o := &r.Outcomes[i]
		if inWindow(rep.Measured, req.Arrival) {
			overall.add(o)
			tallies[req.Workspace].add(o)
		}
	}
	measured := time.Duration(s.DurationMs-s.WarmUpMs) * time.Millisecond
	rep.Overall = overall.finish(measured)
	for _, w := range s.Workspaces {
		rep.Workspaces = append(rep.Workspaces, tallies[w.Name].finish(measured))
	}
	added := r.After.subtractTotals(r.Before)
	rep.Executions = compareExecutions(r.Schedule, r.Outcomes, added)
	if r.CostRead {
		rep.Cost = compareCost(s, added, r.CostBefore, r.CostAfter)
	} else {
		rep.Cost = ledgerCost(added)
	}
	rep.Verdicts = evaluateTargets(r, &rep)
	return rep
}

// figuresBySecond returns the figures of each second of the run, by the arrival of requests. It includes the warm-up.
func figuresBySecond(r Run) []Second {
	out := make([]Second, (r.Scenario.DurationMs+999)/1000)
	tallies := make([]*tally, len(out))
	for i := range tallies {
		tallies[i] = newTally("")
	}
	for i, req := range r.Schedule {
		tallies[min(int(req.Arrival/time.Second), len(out)-1)].add(&r.Outcomes[i])
	}
	for i, t := range tallies {
		q := quantiles(t.latency)
		out[i] = Second{Offered: t.group.Offered, Whole: t.group.Whole, P50Ms: q.P50, P99Ms: q.P99}
	}
	return out
}

// ledgerCost returns the cost in the ledgers, for a run in which the system's totals were not read.
func ledgerCost(l Ledgers) []CostLine {
	lines := []CostLine{}
	for _, t := range l.Ledger.Totals {
		if t.Executions != 0 {
			lines = append(lines, CostLine{Workspace: t.Workspace, Service: t.Service, Path: t.Path, Ledger: t.Units})
		}
	}
	return lines
}
