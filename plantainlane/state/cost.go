package state

import (
	"strconv"

	"plantainlane/wire"
)

// CostRow is a cumulative total of one instance incarnation.
type CostRow struct {
	// Sequence is the report the row came with. A report with a lower sequence doesn't change the row.
	Sequence int `cbor:"sequence"`
	// Row is the total.
	Row wire.CostRow `cbor:"row"`
}

// claimCostHolder stands in place of an instance for costs that were committed with a result.
const claimCostHolder = ""

func costKey(instance string, incarnation int, r wire.CostRow) string {
	return instance + "\x00" + strconv.Itoa(incarnation) + "\x00" + r.Workspace + "\x00" + r.Pipeline + "\x00" + r.Stage
}

// addCost replaces rows by newer totals; a resent or late report changes nothing.
func (s *State) addCost(t wire.CostTotals) {
	for _, r := range t.Rows {
		key := costKey(t.Instance, t.Incarnation, r)
		old, _ := s.Costs.Get(key)
		if old.Sequence < t.Sequence {
			s.Costs = s.Costs.With(key, CostRow{Sequence: t.Sequence, Row: r})
			s.spend(r.Workspace, t.AtMs, units(r)-units(old.Row))
		}
	}
}

// addResolvedCost adds the cost that came with the end of a claim. It runs once a claim.
func (s *State) addResolvedCost(c wire.Claim, rows []wire.CostRow, atMs int) {
	for _, r := range rows {
		r.Workspace, r.Pipeline = c.Workspace, c.Pipeline
		key := costKey(claimCostHolder, 0, r)
		old, _ := s.Costs.Get(key)
		s.Costs = s.Costs.With(key, CostRow{Row: SumCost(old.Row, r)})
		s.spend(r.Workspace, atMs, units(r))
	}
}

// SumCost returns the sum of two rows of the same workspace, pipeline and stage.
func SumCost(a, b wire.CostRow) wire.CostRow {
	b.Units += a.Units
	b.WastedUnits += a.WastedUnits
	b.Attempts += a.Attempts
	b.Requests += a.Requests
	return b
}

// CostTotals returns the totals over all instances, of one workspace or, if it is empty, of all.
func (s *State) CostTotals(workspace string) []wire.CostRow {
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
