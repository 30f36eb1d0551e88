package limit

import (
	"math"
	"time"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

const (
	// floorFraction is the fraction of a limit that is split evenly between instances, whatever their demand.
	floorFraction = 0.1
	// rotationPeriod is the time after which a limit smaller than the number of instances moves on to other
	// instances.
	rotationPeriod = 2 * time.Second
	// budgetStepFraction is the largest fraction of a budget that is granted to an instance at a time.
	budgetStepFraction = declaration.BudgetStepFraction
)

// Demand is the demand of one instance for one contract, and the grant that the instance may be using.
type Demand struct {
	wire.GrantDemand
	// InUse is the largest grant that the instance may be using, including requests in flight that started under a
	// larger share.
	InUse wire.Grant
}

// totals are the sums over the instances with grants of one contract.
type totals struct {
	// requesting is the number of instances that request shares.
	requesting int
	// demand is the sum of the demands of the requesting instances.
	demand wire.GrantDemand
	// inUse is the sum of the grants that the requesting instances may be using.
	inUse wire.Grant
	// reserved is the sum of the grants that instances which stopped requesting may still be using.
	reserved wire.Grant
}

func (t *totals) add(d Demand) {
	t.requesting++
	t.demand.RequestsPerSecond += d.RequestsPerSecond
	t.demand.TokensPerSecond += d.TokensPerSecond
	t.demand.InFlight += d.InFlight
	t.inUse = addGrants(t.inUse, d.InUse)
}

func (t *totals) remove(d Demand) {
	t.requesting--
	t.demand.RequestsPerSecond = max(t.demand.RequestsPerSecond-d.RequestsPerSecond, 0)
	t.demand.TokensPerSecond = max(t.demand.TokensPerSecond-d.TokensPerSecond, 0)
	t.demand.InFlight -= d.InFlight
	t.inUse = subtractGrants(t.inUse, d.InUse)
}

// share returns the grant for the instance with demand d at the given position among the requesting instances.
// unitsLeft is the number of cost units left in the budget's period. The grant never exceeds the contract minus the
// grants that other instances may be using.
func (t *totals) share(now time.Time, c *wire.Contract, d Demand, position int, unitsLeft float64) wire.Grant {
	others := addGrants(t.reserved, subtractGrants(t.inUse, d.InUse))
	w := t.weightsOf(d)
	turn := turnFunc(now, t.requesting, position)
	g := wire.Grant{Workspace: c.Workspace}
	g.Requests.PerSecond = divisibleShare(c.Rate.PerSecond, t.reserved.Requests.PerSecond, others.Requests.PerSecond, w.requests)
	g.Requests.Burst = wholeShare(c.Rate.Burst, t.reserved.Requests.Burst, others.Requests.Burst, w.requests, t.requesting, turn)
	g.Tokens.PerSecond = divisibleShare(c.Tokens.PerSecond, t.reserved.Tokens.PerSecond, others.Tokens.PerSecond, w.tokens)
	g.Tokens.Burst = divisibleShare(c.Tokens.Burst, t.reserved.Tokens.Burst, others.Tokens.Burst, w.tokens)
	g.Concurrency = int(wholeShare(float64(c.Concurrency), float64(t.reserved.Concurrency), float64(others.Concurrency),
		w.inFlight, t.requesting, turn))
	if c.Budget.Units > 0 {
		g.UnitsLeft = budgetShare(c, unitsLeft-t.reserved.UnitsLeft, unitsLeft-others.UnitsLeft, w.requests, t.requesting)
	}
	return g
}

// weights are the fractions of the limits for one instance. Each kind adds up to 1 over all instances.
type weights struct {
	requests, tokens, inFlight float64
}

// weightsOf returns the weights of the instance with demand d.
func (t *totals) weightsOf(d Demand) weights {
	requests := fractionOf(d.RequestsPerSecond, t.demand.RequestsPerSecond, t.requesting)
	// Generated tokens and requests in flight lag behind arrivals, so the request rate makes up half of their
	// weights.
	tokens := requests
	if t.demand.TokensPerSecond > 0 {
		tokens = (requests + fractionOf(d.TokensPerSecond, t.demand.TokensPerSecond, t.requesting)) / 2
	}
	inFlight := requests
	if t.demand.InFlight > 0 {
		inFlight = (requests + fractionOf(float64(d.InFlight), float64(t.demand.InFlight), t.requesting)) / 2
	}
	return weights{withFloor(requests, t.requesting), withFloor(tokens, t.requesting), withFloor(inFlight, t.requesting)}
}

// fractionOf returns part/sum, at most 1; without a sum, an even split between n instances.
func fractionOf(part, sum float64, n int) float64 {
	if sum <= 0 {
		return 1 / float64(n)
	}
	return min(part/sum, 1)
}

// withFloor returns the weight after floorFraction of the limit is split evenly between n instances.
func withFloor(weight float64, n int) float64 {
	return floorFraction/float64(n) + (1-floorFraction)*weight
}

// divisibleShare returns a share of a limit that can be split into any fractions, rounded down by roundRateDown. The
// share never exceeds the limit minus others, the sum that other instances may be using. reserved is the part of others
// that is held by instances which stopped requesting; only the rest of the limit is split by weight.
func divisibleShare(limit, reserved, others, weight float64) float64 {
	return roundRateDown(max(min((limit-reserved)*weight, limit-others), 0))
}

// wholeShare returns a share of a limit that is split in integers. Each of the n instances gets 1, and the rest is
// split by weight. A limit smaller than n rotates between the instances: those whose turn it is get 1. limit,
// reserved and others are as in divisibleShare, turn is the result of turnFunc.
func wholeShare(limit, reserved, others, weight float64, n int, turn func(limit int) bool) float64 {
	free := math.Floor(limit - reserved)
	share := 1 + math.Floor((free-float64(n))*weight)
	if free < float64(n) {
		share = 0
		if turn(int(free)) {
			share = 1
		}
	}
	return max(math.Floor(min(share, limit-others)), 0)
}

// turnFunc returns a function that reports whether the instance at a position of n is now among those that get 1 of a
// limit smaller than n.
func turnFunc(now time.Time, n, position int) func(limit int) bool {
	return func(limit int) bool {
		round := int(now.UnixNano() / int64(rotationPeriod))
		return (position+round)%n < limit
	}
}

// budgetShare returns the cost units for one of n instances: budgetStepFraction of the budget times the instance's
// weight, but at least an even part of half of shared (up to budgetStepFraction of the budget), and at most free.
// shared is the number of units left without those of instances that stopped requesting, free the number left without
// those of all other instances. A grant holds only a small part of the budget, since the units that an instance holds
// when it fails count as used.
func budgetShare(c *wire.Contract, shared, free, weight float64, n int) float64 {
	step := c.Budget.Units * budgetStepFraction
	share := max(step*weight, min(shared/float64(2*n), step))
	return max(min(share, free), 0)
}

// addGrants returns the sum of each limit.
func addGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond += b.Requests.PerSecond
	a.Requests.Burst += b.Requests.Burst
	a.Tokens.PerSecond += b.Tokens.PerSecond
	a.Tokens.Burst += b.Tokens.Burst
	a.Concurrency += b.Concurrency
	a.UnitsLeft += b.UnitsLeft
	return a
}

// subtractGrants returns the difference of each limit. Rates, bursts and units don't fall below 0.
func subtractGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond = max(a.Requests.PerSecond-b.Requests.PerSecond, 0)
	a.Requests.Burst = max(a.Requests.Burst-b.Requests.Burst, 0)
	a.Tokens.PerSecond = max(a.Tokens.PerSecond-b.Tokens.PerSecond, 0)
	a.Tokens.Burst = max(a.Tokens.Burst-b.Tokens.Burst, 0)
	a.Concurrency -= b.Concurrency
	a.UnitsLeft = max(a.UnitsLeft-b.UnitsLeft, 0)
	return a
}

// maxGrants returns the larger of each limit.
func maxGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond = max(a.Requests.PerSecond, b.Requests.PerSecond)
	a.Requests.Burst = max(a.Requests.Burst, b.Requests.Burst)
	a.Tokens.PerSecond = max(a.Tokens.PerSecond, b.Tokens.PerSecond)
	a.Tokens.Burst = max(a.Tokens.Burst, b.Tokens.Burst)
	a.Concurrency = max(a.Concurrency, b.Concurrency)
	a.UnitsLeft = max(a.UnitsLeft, b.UnitsLeft)
	return a
}
