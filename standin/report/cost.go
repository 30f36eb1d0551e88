package report

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"plantainlane/standin/fetch"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

const (
	// maxCostWait bounds the time in which the system's totals are read again until they no longer change.
	maxCostWait      = 8 * time.Second
	costReadInterval = 700 * time.Millisecond
	maxCostBytes     = 64 << 20 // of one reading
)

// ReadCost reads the system's cost totals at the scenario's operator listener. Instances report their totals with a
// delay, so it reads until three successive readings are equal or maxCostWait has passed, and returns the last one. It
// returns nil for a scenario without an operator listener.
func ReadCost(ctx context.Context, client *http.Client, s *scenario.Scenario) ([]wire.CostRow, error) {
	if s.Operator == "" {
		return nil, nil
	}
	url := "http://" + s.Operator + "/v1/cost"
	var last []wire.CostRow
	unchanged := 0
	for end := time.Now().Add(maxCostWait); ; {
		var answer wire.CostAnswer
		if err := fetch.JSON(ctx, client, url, s.OperatorCredential, maxCostBytes, &answer); err != nil {
			return nil, err
		}
		if last != nil && slices.Equal(last, answer.Rows) {
			unchanged++
		} else {
			unchanged = 0
		}
		last = answer.Rows
		if unchanged == 2 || time.Now().After(end) {
			return last, nil
		}
		time.Sleep(costReadInterval)
	}
}

// costKey identifies a line of the cost comparison.
type costKey struct {
	workspace string
	service   string
	path      string
}

// compareCost returns the cost of a run for each workspace, service and path: by the ledgers, and by the growth of the
// system's totals from before to after. Rows of stages that the scenario doesn't declare are left out.
func compareCost(s *scenario.Scenario, l Ledgers, before, after []wire.CostRow) []CostLine {
	lines := make(map[costKey]*CostLine)
	line := func(k costKey) *CostLine {
		if lines[k] == nil {
			lines[k] = &CostLine{Workspace: k.workspace, Service: k.service, Path: k.path}
		}
		return lines[k]
	}
	for _, t := range l.Ledger.Totals {
		if t.Executions != 0 || t.Units != 0 {
			line(costKey{t.Workspace, t.Service, t.Path}).Ledger += t.Units
		}
	}
	addRows := func(rows []wire.CostRow, sign float64) {
		for _, r := range rows {
			stage, ok := findStage(s, r)
			if !ok {
				continue
			}
			c := line(costKey{r.Workspace, stage.Service, stage.Path})
			c.Useful += sign * r.Units
			c.Wasted += sign * r.WastedUnits
		}
	}
	addRows(before, -1)
	addRows(after, 1)
	out := make([]CostLine, 0, len(lines))
	for _, c := range lines {
		c.Charged = c.Useful + c.Wasted
		c.Difference = c.Charged - c.Ledger
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b CostLine) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Path, b.Path))
	})
	return out
}

// findStage returns the scenario's declaration of the stage that a cost row is about.
func findStage(s *scenario.Scenario, r wire.CostRow) (wire.Stage, bool) {
	p := s.Pipelines[r.Pipeline]
	i := slices.IndexFunc(p.Stages, func(st wire.Stage) bool { return st.Name == r.Stage })
	if i < 0 {
		return wire.Stage{}, false
	}
	return p.Stages[i], true
}

// largestDifference returns the largest absolute difference between charged cost and ledger of one line.
func largestDifference(lines []CostLine) float64 {
	largest := 0.0
	for _, c := range lines {
		largest = max(largest, math.Abs(c.Difference))
	}
	return largest
}
