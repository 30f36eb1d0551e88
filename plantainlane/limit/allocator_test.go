package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// testInstance is an instance with its traffic and the answers that have not arrived yet.
type testInstance struct {
	name    string
	limiter *Limiter
	// rate is the number of requests per second.
	rate float64
	// isPartitioned is set while the instance can't reach the leader.
	isPartitioned bool
	delayed       []wire.GrantAnswer
	tickets       []Ticket
	admitted      int
}

// cluster is a leader's Allocator and its instances, with one contract.
type cluster struct {
	contract  wire.Contract
	allocator *Allocator
	leader    string
	instances []*testInstance
	random    *rand.Rand
	now       time.Time
	admitted  int
	inFlight  int
}

func newCluster(n int) *cluster {
	cl := &cluster{contract: contract("w"), random: rand.New(rand.NewPCG(7, 8)), now: epoch, leader: "first"}
	cl.contract.Budget.Units = 0
	cl.allocator = NewAllocator(epoch)
	cl.setContract(cl.contract)
	for i := range n {
		inst := &testInstance{name: fmt.Sprint("i", i), limiter: New(epoch), rate: 30}
		inst.limiter.SetContracts(epoch, tableOf(cl.contract))
		cl.instances = append(cl.instances, inst)
	}
	return cl
}

func (cl *cluster) setContract(c wire.Contract) {
	cl.contract = c
	cl.allocator.SetContracts(tableOf(c), func(*wire.Contract) float64 { return 0 })
}

// requestGrants has each instance request its grant. If lossy is set, a fifth of the answers is lost, and a fifth of
// the rest arrives with the next answer.
func (cl *cluster) requestGrants(lossy bool) {
	for _, inst := range cl.instances {
		if inst.isPartitioned {
			continue
		}
		request := inst.limiter.GrantRequest(cl.now, cl.leader, inst.name, 1)
		answer, ok := cl.allocator.Answer(cl.now, request, 1)
		if !ok || lossy && cl.random.Float64() < 0.2 {
			continue
		}
		inst.delayed = append(inst.delayed, answer)
		if lossy && cl.random.Float64() < 0.2 {
			continue
		}
		for _, a := range inst.delayed {
			inst.limiter.ApplyGrant(cl.now, a)
		}
		inst.delayed = nil
	}
}

// runTraffic sends requests for the period. The oldest admitted request of each instance ends after 50 ms on average.
func (cl *cluster) runTraffic(period time.Duration) {
	const step = 10 * time.Millisecond
	for end := cl.now.Add(period); cl.now.Before(end); cl.now = cl.now.Add(step) {
		for _, inst := range cl.instances {
			if len(inst.tickets) > 0 && cl.random.IntN(5) == 0 {
				inst.tickets[0].Done(cl.now, Usage{Tokens: 1})
				inst.tickets = inst.tickets[1:]
				cl.inFlight--
			}
			if cl.random.Float64() >= inst.rate*step.Seconds() {
				continue
			}
			ticket, err := inst.limiter.TryAdmit(cl.now, Request{Workspace: "w"})
			if err == nil {
				inst.tickets = append(inst.tickets, ticket)
				inst.admitted++
				cl.admitted++
				cl.inFlight++
			}
		}
	}
}

// TestSumOfGrantsNeverExceedsTheContract guards against admitting more requests over all instances than the contract
// allows, while answers are lost or late, instances lose the leader, demand changes and new leaders take over.
func TestSumOfGrantsNeverExceedsTheContract(t *testing.T) {
	is := is.New(t)
	cl := newCluster(8)
	for second := range 240 {
		cl.requestGrants(second%60 > 10)
		before, start := cl.admitted, cl.now
		cl.runTraffic(time.Second)
		is.True(cl.inFlight <= cl.contract.Concurrency)
		bound := cl.contract.Rate.Burst + cl.contract.Rate.PerSecond*cl.now.Sub(start).Seconds()
		is.True(float64(cl.admitted-before) <= bound)
		inst := cl.instances[cl.random.IntN(len(cl.instances))]
		switch second % 7 {
		case 2:
			inst.isPartitioned = !inst.isPartitioned
		case 4:
			inst.rate = cl.random.Float64() * 200
		}
		if second%90 == 50 {
			cl.leader += "+"
			cl.allocator = NewAllocator(cl.now, "i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7")
			cl.setContract(cl.contract)
		}
	}
	is.True(float64(cl.admitted) <= cl.contract.Rate.Burst+cl.contract.Rate.PerSecond*240)
	is.True(cl.admitted > 240*30) // the limit is used despite partitioned instances and lost answers
}

// TestGrantsFollowDemandWithinSeconds guards against grants that stay with an instance whose traffic has moved to
// another.
func TestGrantsFollowDemandWithinSeconds(t *testing.T) {
	is := is.New(t)
	cl := newCluster(5)
	cl.contract.Concurrency = 1000
	cl.setContract(cl.contract)
	for _, inst := range cl.instances {
		inst.limiter.SetContracts(cl.now, tableOf(cl.contract))
		inst.rate = 0
	}
	run := func(busy int, seconds int) int {
		for i, inst := range cl.instances {
			inst.rate = 0
			if i == busy {
				inst.rate = 90
			}
		}
		before := cl.instances[busy].admitted
		for range seconds {
			cl.requestGrants(false)
			cl.runTraffic(time.Second)
		}
		return cl.instances[busy].admitted - before
	}
	run(0, 5)
	run(3, 4) // the grants move to instance 3
	is.True(run(3, 5) >= 5*75)
}

// TestShareOfDeadInstanceIsFreedWhenItsGrantExpires guards against giving away the share of an unreachable instance
// before its grant has expired, and against keeping it reserved afterwards.
func TestShareOfDeadInstanceIsFreedWhenItsGrantExpires(t *testing.T) {
	is := is.New(t)
	cl := newCluster(2)
	for range 5 {
		cl.requestGrants(false)
		cl.runTraffic(time.Second)
	}
	share := func() float64 { return cl.instances[1].limiter.workspace("w").granted.Requests.PerSecond }
	is.True(share() < 60)
	cl.instances[0].isPartitioned = true
	for range 9 {
		cl.requestGrants(false)
		cl.runTraffic(time.Second)
	}
	is.True(share() < 60) // the other instance may still use its grant
	for range 3 {
		cl.requestGrants(false)
		cl.runTraffic(time.Second)
	}
	is.Equal(share(), 100.0)
}

// TestNewLeaderKeepsSharesUntilAllHaveReported guards against a new leader that changes shares, or grants one to a new
// instance, before it knows all grants of the previous leader.
func TestNewLeaderKeepsSharesUntilAllHaveReported(t *testing.T) {
	is := is.New(t)
	cl := newCluster(3)
	for range 5 {
		cl.requestGrants(false)
		cl.runTraffic(time.Second)
	}
	cl.leader, cl.allocator = "second", NewAllocator(cl.now, "i0", "i1", "i2")
	cl.setContract(cl.contract)
	before := cl.instances[0].limiter.workspace("w").granted.Requests
	answer, ok := cl.allocator.Answer(cl.now, cl.instances[0].limiter.GrantRequest(cl.now, cl.leader, "i0", 1), 1)
	is.True(ok)
	is.Equal(answer.Grants[0].Requests, before)
	joined := New(cl.now)
	joined.SetContracts(cl.now, tableOf(cl.contract))
	answer, _ = cl.allocator.Answer(cl.now, joined.GrantRequest(cl.now, cl.leader, "new", 1), 1)
	is.Equal(answer.Grants[0].Requests.PerSecond, 0.0) // nothing is known to be free yet
}

// divide returns the grant for the instance at position i in demands, whose order must be the same at every call. See
// totals for reserved and totals.share for unitsLeft.
func divide(now time.Time, c *wire.Contract, demands []Demand, i int, reserved wire.Grant, unitsLeft float64) wire.Grant {
	t := totals{reserved: reserved}
	for _, d := range demands {
		t.add(d)
	}
	return t.share(now, c, demands[i], i, unitsLeft)
}

// TestScarceLimitsRotateBetweenInstances guards against instances that never get a share of a limit smaller than the
// number of instances, and against a sum of shares above the limit.
func TestScarceLimitsRotateBetweenInstances(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	c.Concurrency, c.Rate.Burst = 2, 3
	demands := make([]Demand, 5)
	hadTurn := map[int]bool{}
	for second := range 20 {
		now := epoch.Add(time.Duration(second) * time.Second)
		var concurrency int
		var burst float64
		for i := range demands {
			g := divide(now, &c, demands, i, wire.Grant{}, 0)
			demands[i].InUse = g
			concurrency += g.Concurrency
			burst += g.Requests.Burst
			hadTurn[i] = hadTurn[i] || g.Concurrency > 0
		}
		is.True(concurrency <= 2 && burst <= 3)
	}
	is.Equal(len(hadTurn), 5)
	for i := range demands {
		is.True(hadTurn[i])
	}
}

// TestBudgetHoldsWhenInstancesAreKilled guards against exceeding a budget when an instance is killed and restarts: the
// new incarnation doesn't know the cost units that its predecessor used.
func TestBudgetHoldsWhenInstancesAreKilled(t *testing.T) {
	is := is.New(t)
	c := contract("w") // 50 units a day
	allocator := NewAllocator(epoch)
	allocator.SetContracts(tableOf(c), func(*wire.Contract) float64 { return 10 })
	completed := 0
	var limiters [4]*Limiter
	for i := range limiters {
		limiters[i] = New(epoch)
		limiters[i].SetContracts(epoch, tableOf(c))
	}
	for second := range 400 {
		now := epoch.Add(time.Duration(second) * time.Second)
		for i, l := range limiters {
			if second == 30 && i == 0 {
				l = New(now) // killed and restarted
				l.SetContracts(now, tableOf(c))
				limiters[0] = l
			}
			incarnation := 1
			if second >= 30 && i == 0 {
				incarnation = 2
			}
			answer, ok := allocator.Answer(now, l.GrantRequest(now, "leader", fmt.Sprint(i), incarnation), 1)
			is.True(ok)
			l.ApplyGrant(now, answer)
			for range 3 {
				ticket, err := l.TryAdmit(now.Add(500*time.Millisecond), Request{Workspace: "w", Units: 0.25})
				if err == nil {
					ticket.Done(now.Add(600*time.Millisecond), Usage{Units: 0.25})
					completed++
				}
			}
		}
	}
	is.True(completed <= 40*4) // 40 units are left, each request costs a quarter unit
	is.True(completed >= 36*4) // only the units held by the killed instance are lost, at most
}

// TestGrantNeverExceedsTheBudgetStep guards against a plantainctl lint that reports requests as too expensive although
// an instance would be granted enough units for them.
func TestGrantNeverExceedsTheBudgetStep(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	for n := 1; n <= 5; n++ {
		demands := make([]Demand, n)
		demands[0].RequestsPerSecond = 100
		for i := range demands {
			units := divide(epoch, &c, demands, i, wire.Grant{}, c.Budget.Units).UnitsLeft
			is.True(units <= c.Budget.Units*declaration.BudgetStepFraction)
		}
	}
}
