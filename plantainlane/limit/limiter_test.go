package limit

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func contract(workspace string) wire.Contract {
	return wire.Contract{
		Workspace: workspace, Rate: wire.Rate{PerSecond: 100, Burst: 20}, Concurrency: 10,
		Tokens: wire.Rate{PerSecond: 1000, Burst: 500}, Budget: wire.Budget{Units: 50, PeriodHours: 24},
	}
}

// wholeGrant returns a grant of the whole contract.
func wholeGrant(c wire.Contract) wire.Grant {
	return wire.Grant{
		Workspace: c.Workspace, Requests: c.Rate, Tokens: c.Tokens, Concurrency: c.Concurrency, UnitsLeft: c.Budget.Units,
	}
}

// grantedLimiter returns a Limiter that holds a grant of the whole of each contract, with full buckets.
func grantedLimiter(now time.Time, contracts ...wire.Contract) *Limiter {
	l := New(now)
	l.SetContracts(now, tableOf(contracts...))
	answer := wire.GrantAnswer{DurationMs: 3600_000}
	for _, c := range contracts {
		answer.Grants = append(answer.Grants, wholeGrant(c))
	}
	answer.Sequence = l.GrantRequest(now, "leader", "i", 1).Sequence
	l.ApplyGrant(now, answer)
	for _, c := range contracts {
		w := l.workspace(c.Workspace)
		w.requests.pool.Store(w.requests.capacity.Load())
		w.tokens.pool.Store(w.tokens.capacity.Load())
	}
	return l
}

// TestTryAdmitRefuses guards against admitting more requests than each limit of a contract allows, or refusing them
// for another reason than that limit.
func TestTryAdmitRefuses(t *testing.T) {
	tests := []struct {
		name    string
		request Request
		done    bool // set if each request ends before the next one
		admits  int
		want    error
	}{
		{"rate", Request{}, true, 20, ErrRate},
		{"concurrency", Request{}, false, 10, ErrConcurrency},
		{"tokens", Request{Tokens: 100}, true, 5, ErrTokens},
		{"tokens over the burst take the bucket below zero", Request{Tokens: 800}, true, 1, ErrTokens},
		{"budget", Request{Units: 10}, true, 5, ErrBudget},
		{"unknown", Request{Workspace: "other"}, true, 0, ErrUnknownWorkspace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := grantedLimiter(epoch, contract("w"))
			if test.request.Workspace == "" {
				test.request.Workspace = "w"
			}
			admits := 0
			for {
				ticket, err := l.TryAdmit(epoch, test.request)
				if err != nil {
					is.True(errors.Is(err, test.want))
					break
				}
				admits++
				if test.done {
					ticket.Done(epoch, Usage{Tokens: test.request.Tokens, Units: test.request.Units})
				}
			}
			is.Equal(admits, test.admits)
		})
	}
}

// TestRefusedRequestTakesNoCredits guards against a refused request that keeps what it took of limits checked before
// the one that refused it.
func TestRefusedRequestTakesNoCredits(t *testing.T) {
	is := is.New(t)
	l := grantedLimiter(epoch, contract("w"))
	for range 5 {
		_, err := l.TryAdmit(epoch, Request{Workspace: "w", Tokens: 100, Units: 1})
		is.NoErr(err)
	}
	for range 100 {
		_, err := l.TryAdmit(epoch, Request{Workspace: "w", Tokens: 100, Units: 1})
		is.True(errors.Is(err, ErrTokens))
	}
	w := l.workspace("w")
	is.Equal(w.permits.total(), int64(5))
	is.Equal(w.requests.total(), int64(15*milli))
	is.Equal(w.unitsUsed(), int64(5*milli))
}

// TestRateHoldsOverTime guards against credits that are lost or created by many refills of a bucket.
func TestRateHoldsOverTime(t *testing.T) {
	is := is.New(t)
	l := grantedLimiter(epoch, contract("w"))
	admits := 0
	for i := range 10_000 { // one request per millisecond, ten times the rate
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		if ticket, err := l.TryAdmit(now, Request{Workspace: "w"}); err == nil {
			ticket.Done(now, Usage{})
			admits++
		}
	}
	is.True(admits <= 20+1000)
	is.True(admits >= 20+990)
}

// TestDoneReconcilesUsage guards against usage beyond the expected one that neither delays later requests nor is
// reported to the leader.
func TestDoneReconcilesUsage(t *testing.T) {
	is := is.New(t)
	l := grantedLimiter(epoch, contract("w"))
	ticket, err := l.TryAdmit(epoch, Request{Workspace: "w", Tokens: 100, Units: 1})
	is.NoErr(err)
	ticket.Done(epoch, Usage{Tokens: 700, Units: 3})
	_, err = l.TryAdmit(epoch, Request{Workspace: "w"})
	is.True(errors.Is(err, ErrTokens)) // the bucket is 200 tokens below zero
	_, err = l.TryAdmit(epoch.Add(201*time.Millisecond), Request{Workspace: "w"})
	is.NoErr(err)
	is.Equal(l.GrantRequest(epoch, "leader", "i", 1).Demands[0].UnitsUsed, 3.0)
}

func tableOf(contracts ...wire.Contract) table.Table[*wire.Contract] {
	var t table.Table[*wire.Contract]
	for _, c := range contracts {
		t = t.With(c.Workspace, &c)
	}
	return t
}

// TestGrantExpiryCountsFromRequest guards against counting a grant's duration from the arrival of the answer: the
// leader would then consider the grant expired while the instance still used it.
func TestGrantExpiryCountsFromRequest(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := New(epoch)
	l.SetContracts(epoch, tableOf(c))
	sequence := l.GrantRequest(epoch, "leader", "i", 1).Sequence
	arrival := epoch.Add(2 * time.Second)
	l.ApplyGrant(arrival, wire.GrantAnswer{Sequence: sequence, DurationMs: 3000, Grants: []wire.Grant{wholeGrant(c)}})
	_, err := l.TryAdmit(arrival, Request{Workspace: "w"})
	is.True(errors.Is(err, ErrRate)) // the buckets of a new share are empty
	_, err = l.TryAdmit(arrival.Add(900*time.Millisecond), Request{Workspace: "w"})
	is.NoErr(err)
	_, err = l.TryAdmit(epoch.Add(3*time.Second), Request{Workspace: "w"})
	is.True(errors.Is(err, ErrNoGrant))
}

// TestLateAnswersAreIgnored guards against applying an answer of a previous leader, or one that arrives after
// Release.
func TestLateAnswersAreIgnored(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := New(epoch)
	l.SetContracts(epoch, tableOf(c))
	answer := func(sequence int) wire.GrantAnswer {
		return wire.GrantAnswer{Sequence: sequence, DurationMs: 9000, Grants: []wire.Grant{wholeGrant(c)}}
	}
	countHeld := func() int {
		l.GrantRequest(epoch, "b", "i", 1)
		n := 0
		for _, w := range l.active.Load().All() {
			if w.expires.Load() > l.since(epoch) {
				n++
			}
		}
		return n
	}
	first := l.GrantRequest(epoch, "a", "i", 1).Sequence
	second := l.GrantRequest(epoch, "b", "i", 1).Sequence
	l.ApplyGrant(epoch, answer(first)) // from the previous leader
	is.Equal(countHeld(), 0)
	l.ApplyGrant(epoch, answer(second))
	is.Equal(countHeld(), 1)
	l.Release("i", 1)
	l.ApplyGrant(epoch, answer(second+1))
	is.Equal(countHeld(), 0)
}

// TestEmptyGrantRefusesWithNoGrant guards against refusing a request with ErrBudget when the grant allows nothing:
// with ErrNoGrant, Admit waits for the next grants.
func TestEmptyGrantRefusesWithNoGrant(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := New(epoch)
	l.SetContracts(epoch, tableOf(c))
	r := l.GrantRequest(epoch, "a/1", "i", 1)
	l.ApplyGrant(epoch, wire.GrantAnswer{Sequence: r.Sequence, DurationMs: 9000, Grants: []wire.Grant{{Workspace: "w"}}})
	_, err := l.TryAdmit(epoch, Request{Workspace: "w"})
	is.True(errors.Is(err, ErrNoGrant))
}

// TestNewLeaderGetsHeldGrants guards against a new leader that doesn't learn the grants of the previous one. The
// instance reports them until the new leader has answered.
func TestNewLeaderGetsHeldGrants(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := New(epoch)
	l.SetContracts(epoch, tableOf(c))
	first := l.GrantRequest(epoch, "a/1", "i", 1)
	l.ApplyGrant(epoch, wire.GrantAnswer{Sequence: first.Sequence, DurationMs: 9000, Grants: []wire.Grant{wholeGrant(c)}})
	is.Equal(len(l.GrantRequest(epoch, "a/1", "i", 1).Held), 0)
	is.Equal(len(l.GrantRequest(epoch, "a/2", "i", 1).Held), 1)
	is.Equal(len(l.GrantRequest(epoch, "a/2", "i", 1).Held), 1) // the new leader has not answered yet
}

// TestManyWorkspacesAreRequestedOnlyWithTraffic guards against grant requests that grow with the number of contracts.
// With more than AllWorkspacesLimit contracts, shares are requested only for workspaces with recent traffic.
func TestManyWorkspacesAreRequestedOnlyWithTraffic(t *testing.T) {
	is := is.New(t)
	l := New(epoch)
	contracts := make([]wire.Contract, 2*AllWorkspacesLimit)
	for i := range contracts {
		contracts[i] = contract("w" + strconv.Itoa(i))
	}
	l.SetContracts(epoch, tableOf(contracts...))
	countRequested := func(now time.Time) int { return len(l.GrantRequest(now, "a", "i", 1).Demands) }
	is.Equal(countRequested(epoch), 0)
	_, err := l.TryAdmit(epoch, Request{Workspace: "w7"})
	is.True(errors.Is(err, ErrNoGrant))
	is.Equal(countRequested(epoch), 1)
	now := epoch
	for range int(idleTimeout/time.Second) - 1 {
		now = now.Add(time.Second)
		is.Equal(countRequested(now), 1)
	}
	for range 20 {
		now = now.Add(time.Second)
		countRequested(now)
	}
	is.Equal(countRequested(now), 0)
	l.TryAdmit(now, Request{Workspace: "w7"})
	is.Equal(countRequested(now), 1)
}

// TestLoweredContractAppliesImmediately guards against admitting requests under the old limits until the next grant.
func TestLoweredContractAppliesImmediately(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := grantedLimiter(epoch, c)
	c.Rate, c.Concurrency = wire.Rate{PerSecond: 50, Burst: 5}, 2
	l.SetContracts(epoch, tableOf(c))
	admits := 0
	for range 50 {
		if ticket, err := l.TryAdmit(epoch, Request{Workspace: "w"}); err == nil {
			ticket.Done(epoch, Usage{})
			admits++
		}
	}
	is.Equal(admits, 5)
	l.SetContracts(epoch, tableOf())
	_, err := l.TryAdmit(epoch, Request{Workspace: "w"})
	is.True(errors.Is(err, ErrUnknownWorkspace))
}

// TestAdmitServesEarliestDeadlineFirst guards against admitting waiting requests in the order of arrival.
func TestAdmitServesEarliestDeadlineFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		c := contract("w")
		c.Concurrency = 1
		l := grantedLimiter(start, c)
		first, err := l.TryAdmit(start, Request{Workspace: "w"})
		is.NoErr(err)
		var admissionOrder []int
		admitted := make(chan int)
		for i, deadline := range []time.Duration{900, 500, 700} {
			go func() {
				request := Request{Workspace: "w", Deadline: start.Add(deadline * time.Millisecond), Needs: 50 * time.Millisecond}
				ticket, err := l.Admit(t.Context(), time.Now(), request)
				if err != nil {
					i = -1
				} else {
					time.Sleep(10 * time.Millisecond)
					ticket.Done(time.Now(), Usage{})
				}
				admitted <- i
			}()
		}
		synctest.Wait()
		first.Done(time.Now(), Usage{})
		for range 3 {
			admissionOrder = append(admissionOrder, <-admitted)
		}
		is.Equal(admissionOrder, []int{1, 2, 0})
		is.Equal(l.workspace("w").waitQueue.waiting.Load(), int32(0))
	})
}

// TestAdmitRefusesWhenDeadlineCannotBeMet guards against a request that waits although the expected wait is longer
// than its deadline allows, and against a request that keeps waiting after its context is done.
func TestAdmitRefusesWhenDeadlineCannotBeMet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := contract("w")
		c.Rate = wire.Rate{PerSecond: 1, Burst: 1}
		l := grantedLimiter(time.Now(), c)
		start := time.Now()
		request := Request{Workspace: "w", Deadline: start.Add(500 * time.Millisecond)}
		_, err := l.Admit(t.Context(), start, request)
		is.NoErr(err)
		_, err = l.Admit(t.Context(), start, request)
		var refusal *Refusal
		is.True(errors.As(err, &refusal))
		is.True(refusal.RetryAfter >= 900*time.Millisecond)
		is.Equal(time.Now(), start) // refused without waiting
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err = l.Admit(ctx, time.Now(), Request{Workspace: "w", Deadline: start.Add(time.Minute)})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(l.workspace("w").waitQueue.waiting.Load(), int32(0))
	})
}

func BenchmarkAdmit(b *testing.B) {
	c := contract("w")
	c.Rate = wire.Rate{PerSecond: 1e9, Burst: 1e9}
	c.Tokens, c.Concurrency, c.Budget.Units = c.Rate, 1e6, 1e12
	l := grantedLimiter(epoch, c)
	request := Request{Workspace: "w", Tokens: 10, Units: 0.5}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			ticket, err := l.TryAdmit(epoch, request)
			if err != nil {
				b.Error(err)
				return
			}
			ticket.Done(epoch, Usage{Tokens: 10, Units: 0.5})
		}
	})
}

// TestRequestOnIdleInstanceWaitsForLargerGrant guards against refusing the first request on an instance without
// traffic. Its small share allows one request in 20 s, but the next grant is larger, so the request waits for that.
func TestRequestOnIdleInstanceWaitsForLargerGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		c := contract("w")
		c.Rate = wire.Rate{PerSecond: 5, Burst: 5}
		l := New(start)
		l.SetContracts(start, tableOf(c))
		grant := func(perSecond float64) {
			g := wholeGrant(c)
			g.Requests.PerSecond = perSecond
			r := l.GrantRequest(time.Now(), "leader", "i", 1)
			l.ApplyGrant(time.Now(), wire.GrantAnswer{Sequence: r.Sequence, DurationMs: 9000, Grants: []wire.Grant{g}})
		}
		grant(0.05)
		go func() {
			<-l.GrantNeeded()
			time.Sleep(100 * time.Millisecond)
			grant(4)
		}()
		request := Request{Workspace: "w", Deadline: start.Add(3 * time.Second), Needs: 100 * time.Millisecond}
		_, err := l.Admit(t.Context(), start, request)
		is.NoErr(err)
		is.True(time.Since(start) < time.Second)
	})
}

// TestConcurrentRequestsWithoutGrantBothWait guards against refusing a request that arrives while another one waits for
// the first grant: without a grant, the rate is 0 and the expected wait computed from it is too long.
func TestConcurrentRequestsWithoutGrantBothWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		c := contract("w")
		l := New(start)
		l.SetContracts(start, tableOf(c))
		request := Request{Workspace: "w", Deadline: start.Add(3 * time.Second), Needs: 100 * time.Millisecond}
		admitted := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := l.workspace("w").waitQueue.wait(t.Context(), start, request, ErrNoGrant)
				admitted <- err
			}()
			synctest.Wait()
		}
		r := l.GrantRequest(time.Now(), "leader", "i", 1)
		time.Sleep(100 * time.Millisecond)
		l.ApplyGrant(time.Now(), wire.GrantAnswer{Sequence: r.Sequence, DurationMs: 9000, Grants: []wire.Grant{wholeGrant(c)}})
		is.NoErr(<-admitted)
		is.NoErr(<-admitted)
	})
}

// TestBacklogOfSmallShareRefusesNoRequest guards against a request that is refused since the rate of an instance without
// traffic would serve those that wait for the next grant too slowly. It finds no permit free, and another one has begun to
// wait meanwhile.
func TestBacklogOfSmallShareRefusesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		c := contract("w")
		l := New(start)
		l.SetContracts(start, tableOf(c))
		grant := func(perSecond float64, concurrency int) {
			g := wholeGrant(c)
			g.Requests.PerSecond, g.Concurrency = perSecond, concurrency
			r := l.GrantRequest(time.Now(), "leader", "i", 1)
			l.ApplyGrant(time.Now(), wire.GrantAnswer{Sequence: r.Sequence, DurationMs: 9000, Grants: []wire.Grant{g}})
		}
		grant(0.05, 1)
		request := Request{Workspace: "w", Deadline: start.Add(3 * time.Second), Needs: 100 * time.Millisecond}
		admitted := make(chan error, 2)
		for _, reason := range []error{ErrRate, ErrConcurrency} {
			go func() {
				_, err := l.workspace("w").waitQueue.wait(t.Context(), start, request, reason)
				admitted <- err
			}()
			synctest.Wait()
		}
		time.Sleep(100 * time.Millisecond)
		grant(100, 10)
		is.NoErr(<-admitted)
		is.NoErr(<-admitted)
	})
}

// TestBacklogOfOverloadIsRefused guards against requests that wait in vain: the share is small because other instances
// use theirs, and the instance has requested more than it got.
func TestBacklogOfOverloadIsRefused(t *testing.T) {
	is := is.New(t)
	c := contract("w")
	l := New(epoch)
	l.SetContracts(epoch, tableOf(c))
	l.GrantRequest(epoch, "leader", "i", 1)
	w := l.workspace("w")
	w.cells[0].arrivals.Add(30)
	r := l.GrantRequest(epoch.Add(time.Second), "leader", "i", 1)
	g := wholeGrant(c)
	g.Requests = wire.Rate{PerSecond: 2, Burst: 1}
	l.ApplyGrant(epoch, wire.GrantAnswer{Sequence: r.Sequence, DurationMs: 9000, Grants: []wire.Grant{g}})
	for range 20 {
		is.True(w.waitQueue.enqueue(&queuedRequest{request: Request{Deadline: epoch.Add(time.Minute)}}))
	}
	_, err := w.waitQueue.wait(t.Context(), epoch, Request{Workspace: "w", Deadline: epoch.Add(6 * time.Second)}, ErrConcurrency)
	is.True(errors.Is(err, ErrConcurrency))
}
