package state

import (
	"strconv"

	"plantainlane/wire"
)

// CostRow is the cumulative cost of one workspace, pipeline and stage: as reported by one instance incarnation, or
// summed over the resolved claims of all instances (see claimCostInstance).
type CostRow struct {
	// Sequence is the number of the report that set the row. Only a report with a higher number changes the row. It is
	// 0 for the cost of claims.
	Sequence int `cbor:"sequence"`
	// Row is the cumulative total.
	Row wire.CostRow `cbor:"row"`
}

// claimCostInstance is used in place of an instance ID for costs that were committed with the resolution of a claim.
const claimCostInstance = ""

// costKey returns the key of a row in State.Costs.
func costKey(instance string, incarnation int, r wire.CostRow) string {
	return instance + "\x00" + strconv.Itoa(incarnation) + "\x00" + r.Workspace + "\x00" + r.Pipeline + "\x00" + r.Stage
}

// addCostTotals replaces rows by newer totals and adds the difference to the budget use. A report that is resent or
// arrives after a newer one changes nothing.
func (s *State) addCostTotals(t wire.CostTotals) {
	for _, r := range t.Rows {
		key := costKey(t.Instance, t.Incarnation, r)
		old, _ := s.Costs.Get(key)
		if old.Sequence < t.Sequence {
			s.Costs = s.Costs.With(key, CostRow{Sequence: t.Sequence, Row: r})
			s.addBudgetUse(r.Workspace, t.AtMs, totalUnits(r)-totalUnits(old.Row))
		}
	}
}

// addResolvedCost adds the cost that a resolution reports for its claim. The rows are increments, not totals: they must
// be added only once per claim.
func (s *State) addResolvedCost(c wire.Claim, rows []wire.CostRow, atMs int) {
	for _, r := range rows {
		r.Workspace, r.Pipeline = c.Workspace, c.Pipeline
		key := costKey(claimCostInstance, 0, r)
		old, _ := s.Costs.Get(key)
		s.Costs = s.Costs.With(key, CostRow{Row: SumCost(old.Row, r)})
		s.addBudgetUse(r.Workspace, atMs, totalUnits(r))
	}
}

// SumCost returns the sum of two rows of the same workspace, pipeline and stage, which it takes from b. So a may be the
// zero row.
func SumCost(a, b wire.CostRow) wire.CostRow {
	b.Units += a.Units
	b.WastedUnits += a.WastedUnits
	b.Attempts += a.Attempts
	b.Requests += a.Requests
	return b
}

// CostTotals returns the cost of each workspace, pipeline and stage over all instances, in any order. An empty
// workspace selects all workspaces.
func (s *State) CostTotals(workspace string) []wire.CostRow {
	// The keys are rows in which only the workspace, the pipeline and the stage are set.
	sums := make(map[wire.CostRow]wire.CostRow)
	for _, c := range s.Costs.All() {
		if workspace != "" && c.Row.Workspace != workspace {
			continue
		}
		id := wire.CostRow{Workspace: c.Row.Workspace, Pipeline: c.Row.Pipeline, Stage: c.Row.Stage}
		sums[id] = SumCost(sums[id], c.Row)
	}
	out := make([]wire.CostRow, 0, len(sums))
	for _, r := range sums {
		out = append(out, r)
	}
	return out
}
