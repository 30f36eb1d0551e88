package state

import (
	"time"

	"plantainlane/wire"
)

// BudgetUse is the cost units a workspace used in one period of its budget.
type BudgetUse struct {
	// Period counts periods since 1970.
	Period int `cbor:"period"`
	// Units used, wasted ones included.
	Units float64 `cbor:"units"`
}

// Period returns the number of the budget period that a time, in milliseconds since 1970, falls into.
func Period(c *wire.Contract, atMs int) int {
	length := time.Duration(max(c.Budget.PeriodHours, 1)) * time.Hour
	return atMs / int(length/time.Millisecond)
}

// UsedIn returns the cost units that a workspace used in the period of a time, as far as reported.
func (s *State) UsedIn(c *wire.Contract, atMs int) float64 {
	spent, _ := s.BudgetUse.Get(c.Workspace)
	if spent.Period != Period(c, atMs) {
		return 0
	}
	return spent.Units
}

// spend counts units used. A report from before the newest period changes nothing.
func (s *State) spend(workspace string, atMs int, used float64) {
	c, ok := s.Config.Contracts.Get(workspace)
	if !ok || c.Budget.Units <= 0 {
		return
	}
	period := Period(c, atMs)
	spent, _ := s.BudgetUse.Get(workspace)
	if period < spent.Period {
		return
	}
	if period > spent.Period {
		spent = BudgetUse{Period: period}
	}
	spent.Units += used
	s.BudgetUse = s.BudgetUse.With(workspace, spent)
}

func units(r wire.CostRow) float64 {
	return r.Units + r.WastedUnits
}
