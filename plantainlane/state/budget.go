package state

import (
	"time"

	"plantainlane/wire"
)

// BudgetUse is the cost units that a workspace used in one period of its budget.
type BudgetUse struct {
	// Period is the number of the budget period since 1970, see Period.
	Period int `cbor:"period"`
	// Units is the cost units used, including wasted ones.
	Units float64 `cbor:"units"`
}

// Period returns the number of the budget period that a time, in milliseconds since 1970, falls into. Periods follow
// one another from 1970 on and last c.Budget.PeriodHours, at least one hour.
func Period(c *wire.Contract, atMs int) int {
	length := time.Duration(max(c.Budget.PeriodHours, 1)) * time.Hour
	return atMs / int(length/time.Millisecond)
}

// UsedIn returns the reported cost units that the contract's workspace used in the budget period of a time, in
// milliseconds since 1970. It returns 0 for any period but the newest reported one.
func (s *State) UsedIn(c *wire.Contract, atMs int) float64 {
	use, _ := s.BudgetUse.Get(c.Workspace)
	if use.Period != Period(c, atMs) {
		return 0
	}
	return use.Units
}

// addBudgetUse adds cost units to the budget use of a workspace. Units of a period before the newest reported one are
// ignored, and so are those of a workspace without a budget.
func (s *State) addBudgetUse(workspace string, atMs int, used float64) {
	c, ok := s.Config.Contracts.Get(workspace)
	if !ok || c.Budget.Units <= 0 {
		return
	}
	period := Period(c, atMs)
	use, _ := s.BudgetUse.Get(workspace)
	if period < use.Period {
		return
	}
	if period > use.Period {
		use = BudgetUse{Period: period}
	}
	use.Units += used
	s.BudgetUse = s.BudgetUse.With(workspace, use)
}

// totalUnits returns the cost units of a row, including wasted ones.
func totalUnits(r wire.CostRow) float64 {
	return r.Units + r.WastedUnits
}
