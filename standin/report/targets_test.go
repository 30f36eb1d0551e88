package report

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// tenSeconds returns a run of 100 requests per second for ten seconds. failures maps a second of the run to the number
// of its requests that are lost.
func tenSeconds(failures map[int]int) Run {
	s := &scenario.Scenario{
		DurationMs: 10_000, WarmUpMs: 1000, Workspaces: []scenario.Workspace{{Name: "w"}},
		Pipelines: map[string]wire.Pipeline{"p": {Name: "p", Stages: []wire.Stage{{Name: "s", Service: "v", Path: "/x"}}}},
	}
	r := Run{Scenario: s}
	for i := range 1000 {
		at := time.Duration(i) * 10 * time.Millisecond
		result := load.Whole
		if i%100 < failures[i/100] {
			result = load.Lost
		}
		r.Schedule = append(r.Schedule, &load.Request{Workspace: "w", Arrival: at})
		r.Outcomes = append(r.Outcomes, load.Outcome{Result: result, Elapsed: time.Millisecond})
	}
	return r
}

// The figure of a target must come from the requests in its window and workspaces only. The run loses requests in known
// seconds, the first of them in the warm-up, which must not count unless the window asks for it.
func TestTargetsAreMeasuredInTheirWindow(t *testing.T) {
	window := func(from, to int) scenario.Window { return scenario.Window{FromMs: from, ToMs: to} }
	failures := map[int]int{0: 50, 4: 50, 5: 20, 7: 1}
	tests := map[string]struct {
		target scenario.Target
		want   float64
	}{
		"attainment after the warm-up": {scenario.Target{Metric: scenario.Attainment}, 829.0 / 900},
		"attainment of a window":       {scenario.Target{Metric: scenario.Attainment, Window: window(4000, 5000)}, 0.5},
		"ratio": {scenario.Target{
			Metric: scenario.AttainmentRatio, Window: window(4000, 5000), Reference: window(1000, 4000),
		}, 0.5},
		"recovery": {scenario.Target{
			Metric: scenario.RecoveryMs, Window: window(4000, 0), Reference: window(1000, 4000),
		}, 2000},
		"goodput": {scenario.Target{
			Metric: scenario.GoodputOfCapacity, Window: window(4000, 5000), CapacityPerSecond: 100,
		}, 0.5},
		"other workspace": {scenario.Target{Metric: scenario.Attainment, Workspaces: []string{"x"}}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := tenSeconds(failures)
			least, most := tt.want, tt.want-0.001
			missed := tt.target
			tt.target.AtLeast, missed.AtMost = &least, &most
			r.Scenario.Targets = []scenario.Target{tt.target, missed}
			rep := Build(r)
			is.Equal(rep.Verdicts[0].Value, tt.want)
			is.True(rep.Verdicts[0].Met)
			is.True(!rep.Verdicts[1].Met)
		})
	}
}

// A target such as "no false notRun" must not be met because nothing ran or a ledger could not be read: its figure is 0
// then without showing anything.
func TestPartialFigureMeetsNoTarget(t *testing.T) {
	is := is.New(t)
	zero := 0.0
	r := tenSeconds(nil)
	r.Scenario.Targets = []scenario.Target{
		{Metric: scenario.FalseNotRun, AtMost: &zero},
		{Metric: scenario.CostDifference, AtMost: &zero},
		{Metric: scenario.ExecutionsPerKey, AtMost: &zero},
	}
	is.True(!Build(r).Verdicts[0].Met) // nothing ran
	r.After.Ledger.Totals = []wire.LedgerTotal{{Executions: 1}}
	is.True(Build(r).Verdicts[0].Met)
	is.True(!Build(r).Verdicts[1].Met) // the system's totals were not read
	is.True(!Build(r).Verdicts[2].Met) // no non-idempotent request ran
	r.After.Unreadable = []string{"127.0.0.1:1"}
	is.True(!Build(r).Verdicts[0].Met)
}

// The cost of a run is the growth of totals and ledgers, and the difference has the sign of charged less ledger.
func TestCompareCost(t *testing.T) {
	is := is.New(t)
	r := tenSeconds(nil)
	r.CostRead = true
	total := func(units float64) Ledgers {
		return Ledgers{Ledger: wire.Ledger{Totals: []wire.LedgerTotal{
			{Workspace: "w", Service: "v", Path: "/x", Executions: int(units), Units: units},
		}}}
	}
	rows := func(units, wasted float64) []wire.CostRow {
		return []wire.CostRow{{Workspace: "w", Pipeline: "p", Stage: "s", Units: units, WastedUnits: wasted}}
	}
	r.Before, r.After = total(10), total(25)
	r.CostBefore, r.CostAfter = rows(8, 1), rows(20, 3)
	cost := Build(r).Cost
	is.Equal(cost, []CostLine{{
		Workspace: "w", Service: "v", Path: "/x", Ledger: 15, Charged: 14, Useful: 12, Wasted: 2, Difference: -1,
	}})
}

// The plot has one line for offered requests and two for each report, and texts of faults are escaped, so that they
// can't break the file.
func TestWriteSVG(t *testing.T) {
	is := is.New(t)
	rep := Build(tenSeconds(nil))
	rep.Faults = []FaultLine{{AtMs: 4000, What: "<killed>"}}
	var b strings.Builder
	is.NoErr(WriteSVG(&b, []Report{rep, rep}))
	is.Equal(strings.Count(b.String(), "<polyline"), 5)
	is.True(strings.Contains(b.String(), "&lt;killed&gt;"))
}
