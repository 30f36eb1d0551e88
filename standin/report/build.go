package report

import (
	"time"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// Run is everything a report is built from.
type Run struct {
	Policy   string
	Scenario *scenario.Scenario
	Schedule []*load.Request
	Outcomes []load.Outcome
	// Before and After are the fakes' ledgers around the run.
	Before, After Ledgers
	// CostBefore and CostAfter are the system's totals around the run, if Charges.
	CostBefore, CostAfter []wire.CostRow
	// Charges reports whether the system was asked for its totals.
	Charges bool
	Faults  []FaultLine
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
	rep.Seconds = make([]Second, (s.DurationMs+999)/1000)
	for i, req := range r.Schedule {
		o := &r.Outcomes[i]
		second := &rep.Seconds[min(int(req.Arrival/time.Second), len(rep.Seconds)-1)]
		second.Offered++
		if o.Result == load.Whole {
			second.Whole++
		}
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
	during := r.After.since(r.Before)
	rep.Executions = compareExecutions(r.Schedule, r.Outcomes, during)
	if r.Charges {
		rep.Cost = compareCost(s, during, r.CostBefore, r.CostAfter)
	} else {
		rep.Cost = ledgerCost(during)
	}
	rep.Verdicts = judge(r, &rep)
	return rep
}

// ledgerCost returns the ledgers' cost alone.
func ledgerCost(l Ledgers) []CostLine {
	lines := []CostLine{}
	for _, t := range l.Ledger.Totals {
		if t.Executions != 0 {
			lines = append(lines, CostLine{Workspace: t.Workspace, Service: t.Service, Path: t.Path, Ledger: t.Units})
		}
	}
	return lines
}
