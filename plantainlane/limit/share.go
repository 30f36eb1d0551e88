package limit

import (
	"math"
	"time"

	"plantainlane/wire"
)

const (
	// floorShare is the part of a limit that is split evenly, whatever the demand.
	floorShare = 0.1
	// rotateEvery is how long a limit smaller than the number of instances stays with one of them.
	rotateEvery = 2 * time.Second
	// unitShare is the part of a budget that is handed out at once.
	unitShare = 0.02
)

// Demand is what one instance asks for of one contract, and what it may be using.
type Demand struct {
	wire.GrantDemand
	// Outstanding is the most that the instance may use now under the grants it was given.
	Outstanding wire.Grant
}

// totals sums over the instances that ask for a share of one contract.
type totals struct {
	// asking is the number of instances.
	asking int
	// demand sums what they ask for.
	demand wire.GrantDemand
	// inUse sums what they may be using.
	inUse wire.Grant
	// reserved is what instances that no longer ask may still use.
	reserved wire.Grant
}

func (t *totals) add(d Demand) {
	t.asking++
	t.demand.RequestsPerSecond += d.RequestsPerSecond
	t.demand.TokensPerSecond += d.TokensPerSecond
	t.demand.InFlight += d.InFlight
	t.inUse = addGrants(t.inUse, d.Outstanding)
}

func (t *totals) remove(d Demand) {
	t.asking--
	t.demand.RequestsPerSecond = max(t.demand.RequestsPerSecond-d.RequestsPerSecond, 0)
	t.demand.TokensPerSecond = max(t.demand.TokensPerSecond-d.TokensPerSecond, 0)
	t.demand.InFlight -= d.InFlight
	t.inUse = subtractGrants(t.inUse, d.Outstanding)
}

// share is the part of the instance with demand d, the one at position i of those that ask.
func (t *totals) share(now time.Time, c *wire.Contract, d Demand, i int, left float64) wire.Grant {
	others := addGrants(t.reserved, subtractGrants(t.inUse, d.Outstanding))
	w := t.weigh(d)
	turn := takesTurn(now, t.asking, i)
	g := wire.Grant{Workspace: c.Workspace}
	g.Requests.PerSecond = part(c.Rate.PerSecond, t.reserved.Requests.PerSecond, others.Requests.PerSecond, w.requests)
	g.Requests.Burst = whole(c.Rate.Burst, t.reserved.Requests.Burst, others.Requests.Burst, w.requests, t.asking, turn)
	g.Tokens.PerSecond = part(c.Tokens.PerSecond, t.reserved.Tokens.PerSecond, others.Tokens.PerSecond, w.tokens)
	g.Tokens.Burst = part(c.Tokens.Burst, t.reserved.Tokens.Burst, others.Tokens.Burst, w.tokens)
	g.Concurrency = int(whole(float64(c.Concurrency), float64(t.reserved.Concurrency), float64(others.Concurrency),
		w.inFlight, t.asking, turn))
	if c.Budget.Units > 0 {
		g.UnitsLeft = unitsFor(c, left-t.reserved.UnitsLeft, left-others.UnitsLeft, w.requests, t.asking)
	}
	return g
}

// weights are the parts of the limits that fall to one instance; each adds up to 1 over all instances.
type weights struct {
	requests, tokens, inFlight float64
}

func (t *totals) weigh(d Demand) weights {
	requests := quotient(d.RequestsPerSecond, t.demand.RequestsPerSecond, t.asking)
	// Tokens and calls in flight follow requests late, so requests count for half.
	tokens := requests
	if t.demand.TokensPerSecond > 0 {
		tokens = (requests + quotient(d.TokensPerSecond, t.demand.TokensPerSecond, t.asking)) / 2
	}
	inFlight := requests
	if t.demand.InFlight > 0 {
		inFlight = (requests + quotient(float64(d.InFlight), float64(t.demand.InFlight), t.asking)) / 2
	}
	return weights{withFloor(requests, t.asking), withFloor(tokens, t.asking), withFloor(inFlight, t.asking)}
}

func quotient(part, sum float64, n int) float64 {
	if sum <= 0 {
		return 1 / float64(n)
	}
	return min(part/sum, 1)
}

func withFloor(weight float64, n int) float64 {
	return floorShare/float64(n) + (1-floorShare)*weight
}

// part splits a limit that can be split at will.
func part(limit, reserved, others, weight float64) float64 {
	return inSteps(max(min((limit-reserved)*weight, limit-others), 0))
}

// whole splits a limit of which less than 1 is of no use. Each instance gets 1 before demand counts; a limit
// smaller than the number of instances goes around between them.
func whole(limit, reserved, others, weight float64, n int, turn func(limit int) bool) float64 {
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

// takesTurn tells whether instance i of n is among the few that have a scarce limit now.
func takesTurn(now time.Time, n, i int) func(limit int) bool {
	return func(limit int) bool {
		round := int(now.UnixNano() / int64(rotateEvery))
		return (i+round)%n < limit
	}
}

// unitsFor hands out a budget in small parts, since what an instance holds when it dies counts as used.
func unitsFor(c *wire.Contract, shared, free, weight float64, n int) float64 {
	step := c.Budget.Units * unitShare
	share := max(step*weight, min(shared/float64(2*n), step))
	return max(min(share, free), 0)
}

func addGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond += b.Requests.PerSecond
	a.Requests.Burst += b.Requests.Burst
	a.Tokens.PerSecond += b.Tokens.PerSecond
	a.Tokens.Burst += b.Tokens.Burst
	a.Concurrency += b.Concurrency
	a.UnitsLeft += b.UnitsLeft
	return a
}

func subtractGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond = max(a.Requests.PerSecond-b.Requests.PerSecond, 0)
	a.Requests.Burst = max(a.Requests.Burst-b.Requests.Burst, 0)
	a.Tokens.PerSecond = max(a.Tokens.PerSecond-b.Tokens.PerSecond, 0)
	a.Tokens.Burst = max(a.Tokens.Burst-b.Tokens.Burst, 0)
	a.Concurrency -= b.Concurrency
	a.UnitsLeft = max(a.UnitsLeft-b.UnitsLeft, 0)
	return a
}

// maxGrants takes the larger of each limit.
func maxGrants(a, b wire.Grant) wire.Grant {
	a.Requests.PerSecond = max(a.Requests.PerSecond, b.Requests.PerSecond)
	a.Requests.Burst = max(a.Requests.Burst, b.Requests.Burst)
	a.Tokens.PerSecond = max(a.Tokens.PerSecond, b.Tokens.PerSecond)
	a.Tokens.Burst = max(a.Tokens.Burst, b.Tokens.Burst)
	a.Concurrency = max(a.Concurrency, b.Concurrency)
	a.UnitsLeft = max(a.UnitsLeft, b.UnitsLeft)
	return a
}
