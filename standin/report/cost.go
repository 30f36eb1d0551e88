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
	// costSettle is how long the system's totals are read again until they stand still.
	costSettle   = 8 * time.Second
	costPause    = 700 * time.Millisecond
	maxCostBytes = 64 << 20
)

// ReadCost reads the system's cost totals. It reads until two readings agree, since instances report
// theirs with a lag.
func ReadCost(ctx context.Context, client *http.Client, s *scenario.Scenario) ([]wire.CostRow, error) {
	if s.Operator == "" {
		return nil, nil
	}
	url := "http://" + s.Operator + "/v1/cost"
	var last []wire.CostRow
	same := 0
	for end := time.Now().Add(costSettle); ; {
		var answer wire.CostAnswer
		if err := fetch.JSON(ctx, client, url, s.OperatorCredential, maxCostBytes, &answer); err != nil {
			return nil, err
		}
		if last != nil && slices.Equal(last, answer.Rows) {
			same++
		} else {
			same = 0
		}
		last = answer.Rows
		if same == 2 || time.Now().After(end) {
			return last, nil
		}
		time.Sleep(costPause)
	}
}

type costKey struct {
	workspace string
	service   string
	path      string
}

// compareCost sets the system's totals of a run beside the ledgers'.
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
			stage, ok := stageOf(s, r)
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

func stageOf(s *scenario.Scenario, r wire.CostRow) (wire.Stage, bool) {
	p := s.Pipelines[r.Pipeline]
	i := slices.IndexFunc(p.Stages, func(st wire.Stage) bool { return st.Name == r.Stage })
	if i < 0 {
		return wire.Stage{}, false
	}
	return p.Stages[i], true
}

func largestDifference(lines []CostLine) float64 {
	largest := 0.0
	for _, c := range lines {
		largest = max(largest, math.Abs(c.Difference))
	}
	return largest
}
