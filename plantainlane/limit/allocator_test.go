package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// member is an instance in a test: a Limiter, its traffic, and answers that are still on their way.
type member struct {
	name     string
	limiter  *Limiter
	rate     float64
	cutOff   bool
	arriving []wire.GrantAnswer
	tickets  []Ticket
	admitted int
}

// site is a leader's Allocator, its instances and one contract.
type site struct {
	contract wire.Contract
	ledger   *Allocator
	leader   string
	members  []*member
	random   *rand.Rand
	now      time.Time
	admitted int
	inFlight int
}

func newSite(n int) *site {
	s := &site{contract: contract("w"), random: rand.New(rand.NewPCG(7, 8)), now: epoch, leader: "first"}
	s.contract.Budget.Units = 0
	s.ledger = NewAllocator(epoch)
	s.setContract(s.contract)
	for i := range n {
		m := &member{name: fmt.Sprint("i", i), limiter: New(epoch), rate: 30}
		m.limiter.SetContracts(epoch, tableOf(s.contract))
		s.members = append(s.members, m)
	}
	return s
}

func (s *site) setContract(c wire.Contract) {
	s.contract = c
	s.ledger.SetContracts(tableOf(c), func(*wire.Contract) float64 { return 0 })
}

// ask lets each instance ask for its grant; answers are lost or late as lossy says.
func (s *site) ask(lossy bool) {
	for _, m := range s.members {
		if m.cutOff {
			continue
		}
		request := m.limiter.GrantRequest(s.now, s.leader, m.name, 1)
		answer, ok := s.ledger.Answer(s.now, request, 1)
		if !ok || lossy && s.random.Float64() < 0.2 {
			continue
		}
		m.arriving = append(m.arriving, answer)
		if lossy && s.random.Float64() < 0.2 {
			continue // arrives with the next one
		}
		for _, a := range m.arriving {
			m.limiter.ApplyGrant(s.now, a)
		}
		m.arriving = nil
	}
}

// traffic runs for a time; each admitted request ends after 50 ms.
func (s *site) traffic(period time.Duration) {
	const step = 10 * time.Millisecond
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(step) {
		for _, m := range s.members {
			if len(m.tickets) > 0 && s.random.IntN(5) == 0 {
				m.tickets[0].Done(s.now, Usage{Tokens: 1})
				m.tickets = m.tickets[1:]
				s.inFlight--
			}
			if s.random.Float64() >= m.rate*step.Seconds() {
				continue
			}
			ticket, err := m.limiter.TryAdmit(s.now, Request{Workspace: "w"})
			if err == nil {
				m.tickets = append(m.tickets, ticket)
				m.admitted++
				s.admitted++
				s.inFlight++
			}
		}
	}
}

func TestSumOfGrantsNeverExceedsTheContract(t *testing.T) {
	is := is.New(t)
	s := newSite(8)
	for second := range 240 {
		s.ask(second%60 > 10)
		before, start := s.admitted, s.now
		s.traffic(time.Second)
		is.True(s.inFlight <= s.contract.Concurrency)
		bound := s.contract.Rate.Burst + s.contract.Rate.PerSecond*s.now.Sub(start).Seconds()
		is.True(float64(s.admitted-before) <= bound)
		m := s.members[s.random.IntN(len(s.members))]
		switch second % 7 {
		case 2:
			m.cutOff = !m.cutOff
		case 4:
			m.rate = s.random.Float64() * 200
		}
		if second%90 == 50 {
			s.leader += "+"
			s.ledger = NewAllocator(s.now, "i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7")
			s.setContract(s.contract)
		}
	}
	is.True(float64(s.admitted) <= s.contract.Rate.Burst+s.contract.Rate.PerSecond*240)
	is.True(s.admitted > 240*30) // and the limit is put to use, with instances cut off and answers lost
}

func TestGrantsMoveToDemandWithinSeconds(t *testing.T) {
	is := is.New(t)
	s := newSite(5)
	s.contract.Concurrency = 1000
	s.setContract(s.contract)
	for _, m := range s.members {
		m.limiter.SetContracts(s.now, tableOf(s.contract))
		m.rate = 0
	}
	run := func(busy int, seconds int) int {
		for i, m := range s.members {
			m.rate = 0
			if i == busy {
				m.rate = 90
			}
		}
		before := s.members[busy].admitted
		for range seconds {
			s.ask(false)
			s.traffic(time.Second)
		}
		return s.members[busy].admitted - before
	}
	run(0, 5)
	run(3, 4) // moves
	is.True(run(3, 5) >= 5*75)
}

func TestDeadInstanceFreesItsShareWhenItExpires(t *testing.T) {
	is := is.New(t)
	s := newSite(2)
	for range 5 {
		s.ask(false)
		s.traffic(time.Second)
	}
	share := func() float64 { return s.members[1].limiter.workspace("w").granted.Requests.PerSecond }
	is.True(share() < 60)
	s.members[0].cutOff = true
	for range 9 {
		s.ask(false)
		s.traffic(time.Second)
	}
	is.True(share() < 60) // the other may still use its part
	for range 3 {
		s.ask(false)
		s.traffic(time.Second)
	}
	is.Equal(share(), 100.0)
}

func TestNewLeaderKeepsSharesUntilAllHaveAsked(t *testing.T) {
	is := is.New(t)
	s := newSite(3)
	for range 5 {
		s.ask(false)
		s.traffic(time.Second)
	}
	s.leader, s.ledger = "second", NewAllocator(s.now, "i0", "i1", "i2")
	s.setContract(s.contract)
	before := s.members[0].limiter.workspace("w").granted.Requests
	answer, ok := s.ledger.Answer(s.now, s.members[0].limiter.GrantRequest(s.now, s.leader, "i0", 1), 1)
	is.True(ok)
	is.Equal(answer.Grants[0].Requests, before)
	fresh := New(s.now)
	fresh.SetContracts(s.now, tableOf(s.contract))
	answer, _ = s.ledger.Answer(s.now, fresh.GrantRequest(s.now, s.leader, "new", 1), 1)
	is.Equal(answer.Grants[0].Requests.PerSecond, 0.0) // nothing is known to be free yet
}

// divide returns the share of the instance at position i in demands, whose order must be the same at
// every call. Reserved is what instances that no longer ask may still use; left is the cost units left in the period. The
// share and everything outstanding elsewhere never exceed the contract.
func divide(now time.Time, c *wire.Contract, demands []Demand, i int, reserved wire.Grant, left float64) wire.Grant {
	t := totals{reserved: reserved}
	for _, d := range demands {
		t.add(d)
	}
	return t.share(now, c, demands[i], i, left)
}

func TestScarceLimitsGoAround(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	c.Concurrency, c.Rate.Burst = 2, 3
	demands := make([]Demand, 5)
	had := map[int]bool{}
	for second := range 20 {
		now := epoch.Add(time.Duration(second) * time.Second)
		var concurrency int
		var burst float64
		for i := range demands {
			g := divide(now, &c, demands, i, wire.Grant{}, 0)
			demands[i].Outstanding = g
			concurrency += g.Concurrency
			burst += g.Requests.Burst
			had[i] = had[i] || g.Concurrency > 0
		}
		is.True(concurrency <= 2 && burst <= 3)
	}
	is.Equal(len(had), 5)
	for i := range demands {
		is.True(had[i])
	}
}

func TestBudgetHoldsWithInstancesThatDie(t *testing.T) {
	is := is.New(t)
	c := contract("w") // 50 units a day
	ledger := NewAllocator(epoch)
	ledger.SetContracts(tableOf(c), func(*wire.Contract) float64 { return 10 })
	spent := 0
	var limiters [4]*Limiter
	for i := range limiters {
		limiters[i] = New(epoch)
		limiters[i].SetContracts(epoch, tableOf(c))
	}
	for second := range 400 {
		now := epoch.Add(time.Duration(second) * time.Second)
		for i, l := range limiters {
			if second == 30 && i == 0 {
				l = New(now) // killed and started again
				l.SetContracts(now, tableOf(c))
				limiters[0] = l
			}
			incarnation := 1
			if second >= 30 && i == 0 {
				incarnation = 2
			}
			answer, ok := ledger.Answer(now, l.GrantRequest(now, "leader", fmt.Sprint(i), incarnation), 1)
			is.True(ok)
			l.ApplyGrant(now, answer)
			for range 3 {
				ticket, err := l.TryAdmit(now.Add(500*time.Millisecond), Request{Workspace: "w", Units: 0.25})
				if err == nil {
					ticket.Done(now.Add(600*time.Millisecond), Usage{Units: 0.25})
					spent++
				}
			}
		}
	}
	is.True(spent <= 40*4)
	is.True(spent >= 36*4) // at most a part of what the killed instance held is lost
}
