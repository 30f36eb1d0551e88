package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestBudgetUseCountsOnlyNewestPeriod guards against wrong budget use: a resent report counts twice, a late report of
// an earlier period counts in the newest one, or a snapshot loses the budget use.
func TestBudgetUseCountsOnlyNewestPeriod(t *testing.T) {
	is := is.New(t)
	c := wire.Contract{Workspace: "w", Budget: wire.Budget{Units: 100, PeriodHours: 1}}
	s := &State{Config: Config{}.With(wire.Declarations{Contracts: []wire.Contract{c}}, nil, 1)}
	const hour = int(time.Hour / time.Millisecond)
	report := func(sequence, atMs int, units, wasted float64) {
		s.addCostTotals(wire.CostTotals{Instance: "i", Incarnation: 1, Sequence: sequence, AtMs: atMs, Rows: []wire.CostRow{{
			Workspace: "w", Stage: "s", Units: units, WastedUnits: wasted,
		}}})
	}
	report(1, 10, 3, 1)
	report(2, 20, 5, 1)
	report(2, 20, 5, 1) // resent
	is.Equal(s.UsedIn(&c, 30), 6.0)
	report(4, hour+10, 9, 1)
	report(3, 30, 8, 1) // late
	is.Equal(s.UsedIn(&c, hour+30), 4.0)
	is.Equal(s.UsedIn(&c, 30), 0.0)
	b, err := s.Encode()
	is.NoErr(err)
	restored, err := Decode(b)
	is.NoErr(err)
	is.Equal(restored.UsedIn(&c, hour+30), 4.0)
}
