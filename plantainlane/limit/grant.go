package limit

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"plantainlane/wire"
)

const (
	// AllWorkspacesLimit is the number of contracts up to which an instance requests a share of each. With more
	// contracts, it requests shares only for workspaces with traffic.
	AllWorkspacesLimit = 64
	// idleTimeout is the time after its last traffic at which a workspace's share is released.
	idleTimeout = 10 * time.Second
	// unlimitedUnits is the number of credits, in thousandths, granted for a contract without a budget. It is below
	// MaxInt64 so that sums don't overflow.
	unlimitedUnits = math.MaxInt64 / 4
	// demandDecay is the fraction of the difference by which a demand falls at each grant request when traffic
	// decreases.
	demandDecay = 0.5
	// idleRate is the number of requests per second below which a workspace counts as idle.
	idleRate = 0.01
)

// meter computes the demand of a workspace from its counters.
type meter struct {
	// updatedAt is the time of the last update, arrivals and generated are the counters at that time.
	updatedAt time.Time
	arrivals  int64
	generated int64
	// requests and tokens are the smoothed rates per second.
	requests float64
	tokens   float64
}

// update computes the rates since the last update from the current counters.
func (m *meter) update(now time.Time, arrivals, generated int64) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	if !m.updatedAt.IsZero() && elapsed > 0 {
		m.requests = smooth(m.requests, float64(arrivals-m.arrivals)/elapsed)
		m.tokens = smooth(m.tokens, float64(generated-m.generated)/elapsed)
	}
	m.updatedAt, m.arrivals, m.generated = now, arrivals, generated
}

// smooth returns current if it is not below previous, and otherwise a value that falls by demandDecay of the
// difference.
func smooth(previous, current float64) float64 {
	if current >= previous {
		return current
	}
	return previous + demandDecay*(current-previous)
}

// sentRequest is the state at the time of a grant request, from which the duration and the cost units of its grants
// count.
type sentRequest struct {
	sentAt time.Time
	// unitsUsed is the number of cost units used until sentAt, in thousandths, by workspace.
	unitsUsed map[string]int64
}

// GrantNeeded returns a channel that receives a value when a request waits for a share that the instance doesn't
// hold, or holds too little of. The receiver should request grants soon.
func (l *Limiter) GrantNeeded() <-chan struct{} { return l.grantNeeded }

// signalGrantNeeded sends a value to the channel of GrantNeeded, unless one is pending.
func (l *Limiter) signalGrantNeeded() {
	select {
	case l.grantNeeded <- struct{}{}:
	default:
	}
}

// GrantRequest returns the next request for grants. The caller must send the request immediately, since the duration of
// the grants counts from now. Leaving a workspace out of a request releases its share. leader names the leader and its
// term; if it differs from that of the last request, answers to earlier requests are ignored.
func (l *Limiter) GrantRequest(now time.Time, leader, instance string, incarnation int) wire.GrantRequest {
	if leader != l.leader {
		clear(l.unanswered)
		l.leader = leader
	}
	l.sequence++
	request := wire.GrantRequest{
		Instance: instance, Incarnation: incarnation, Sequence: l.sequence, Applied: l.applied,
		Demands: []wire.GrantDemand{}, Held: []wire.Grant{},
	}
	sent := sentRequest{sentAt: now, unitsUsed: map[string]int64{}}
	leaderKnowsGrants := leader == l.grantedBy
	for _, w := range l.requestedWorkspaces() {
		demand := w.demand(now)
		if l.removeIfIdle(now, w, &demand) {
			continue
		}
		request.Demands = append(request.Demands, demand)
		sent.unitsUsed[w.name] = w.unitsUsed()
		if !leaderKnowsGrants && w.expires.Load() > l.since(now) {
			request.Held = append(request.Held, w.granted)
		}
	}
	l.unanswered[l.sequence] = sent
	return request
}

// removeIfIdle removes a workspace that has had no traffic for idleTimeout, which releases its share, and reports
// whether it did. It removes none if there are at most AllWorkspacesLimit contracts. The next request of a removed
// workspace adds it again.
func (l *Limiter) removeIfIdle(now time.Time, w *workspace, d *wire.GrantDemand) bool {
	if d.RequestsPerSecond >= idleRate || d.InFlight > 0 || w.lastTraffic.IsZero() {
		w.lastTraffic = now
	}
	if l.contracts.Load().Len() <= AllWorkspacesLimit || now.Sub(w.lastTraffic) < idleTimeout {
		return false
	}
	delete(l.requested, w.name)
	w.isRequested.Store(false)
	w.lastTraffic = time.Time{}
	w.expires.Store(0)
	l.ignorePendingAnswers(w.name)
	l.deactivate(w.name)
	return true
}

// requestedWorkspaces updates l.requested and returns its workspaces in the order of their names.
func (l *Limiter) requestedWorkspaces() []*workspace {
	if contracts := l.contracts.Load(); contracts.Len() <= AllWorkspacesLimit {
		for name := range contracts.All() {
			l.requested[name] = l.workspace(name)
		}
	}
	l.mu.Lock()
	added := l.added
	l.added = nil
	l.mu.Unlock()
	for _, w := range added {
		l.requested[w.name] = w
	}
	active := l.active.Load()
	maps.DeleteFunc(l.requested, func(name string, w *workspace) bool {
		current, ok := active.Get(name)
		return !ok || current != w
	})
	list := make([]*workspace, 0, len(l.requested))
	for _, w := range l.requested {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *workspace) int { return strings.Compare(a.name, b.name) })
	return list
}

// requestShare adds a workspace to those that shares are requested for.
func (l *Limiter) requestShare(w *workspace) {
	if !w.isRequested.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.added = append(l.added, w)
	if !l.active.Load().Has(w.name) && l.contracts.Load().Has(w.name) {
		// removeIfIdle removed the workspace concurrently with this request.
		l.activate(w)
	}
}

// ignorePendingAnswers makes ApplyGrant ignore a workspace in the answers to requests sent so far.
func (l *Limiter) ignorePendingAnswers(name string) {
	for _, sent := range l.unanswered {
		delete(sent.unitsUsed, name)
	}
}

// Release stops admission and returns a request that releases all shares, for an instance that stops. Answers to
// earlier requests are ignored.
func (l *Limiter) Release(instance string, incarnation int) wire.GrantRequest {
	l.sequence++
	l.applied = l.sequence
	for _, w := range l.active.Load().All() {
		w.expires.Store(0)
	}
	return wire.GrantRequest{
		Instance: instance, Incarnation: incarnation, Sequence: l.sequence, Applied: l.applied,
		Demands: []wire.GrantDemand{}, Held: []wire.Grant{},
	}
}

// demand updates the meter and returns the demand to request a share with.
func (w *workspace) demand(now time.Time) wire.GrantDemand {
	var arrivals, generated int64
	for i := range w.cells {
		arrivals += w.cells[i].arrivals.Load()
		generated += w.cells[i].generated.Load()
	}
	w.meter.update(now, arrivals, generated)
	w.requestedRate.Store(math.Float64bits(w.meter.requests))
	return wire.GrantDemand{
		Workspace: w.name, RequestsPerSecond: w.meter.requests, TokensPerSecond: w.meter.tokens,
		InFlight: int(w.concurrency - w.permits.total()), UnitsUsed: float64(w.unitsUsed()) / milli,
	}
}

// unitsUsed returns the number of cost units used since the start, in thousandths.
func (w *workspace) unitsUsed() int64 {
	return w.unitsIssued - w.units.total()
}

// ApplyGrant applies the grants of an answer. Workspaces that shares are requested for and that have no grant or an
// empty one in the answer admit no more requests. ApplyGrant ignores an answer that is older than one already applied,
// and an answer whose sequence matches no unanswered request to the current leader, such as an answer to an earlier
// incarnation of the instance.
func (l *Limiter) ApplyGrant(now time.Time, answer wire.GrantAnswer) {
	sent, ok := l.unanswered[answer.Sequence]
	if !ok || answer.Sequence <= l.applied {
		return
	}
	l.applied = answer.Sequence
	for sequence := range l.unanswered {
		if sequence <= answer.Sequence {
			delete(l.unanswered, sequence)
		}
	}
	sinceStart := l.since(now)
	expires := l.since(sent.sentAt.Add(time.Duration(answer.DurationMs) * time.Millisecond))
	granted := map[string]bool{}
	for _, g := range answer.Grants {
		w := l.workspace(g.Workspace)
		used, requested := sent.unitsUsed[g.Workspace]
		if w == nil || !requested || isEmpty(g) {
			continue
		}
		granted[g.Workspace] = true
		if w.expires.Load() <= sinceStart {
			w.requests.empty(sinceStart)
			w.tokens.empty(sinceStart)
		}
		w.applyLimits(sinceStart, g)
		w.setUnitsLeft(g, w.unitsUsed()-used)
		w.expires.Store(expires)
		if w.waitQueue.waiting.Load() > 0 {
			w.waitQueue.admitWaiting(now)
		}
	}
	l.grantedBy = l.leader
	for name, w := range l.requested {
		if !granted[name] {
			w.expires.Store(0)
		}
	}
}

// isEmpty reports whether a grant allows nothing. A new leader may send such grants until it knows the grants that
// other instances hold.
func isEmpty(g wire.Grant) bool {
	return g.Concurrency == 0 && g.Requests.PerSecond == 0 && g.UnitsLeft == 0
}

// applyLimits applies the rates and the concurrency of a grant.
func (w *workspace) applyLimits(now int64, g wire.Grant) {
	w.granted = g
	w.requests.set(now, g.Requests)
	w.tokens.set(now, g.Tokens)
	change := int64(g.Concurrency) - w.concurrency
	if change < 0 {
		w.permits.collect()
	}
	w.concurrency = int64(g.Concurrency)
	w.permits.setBatch(w.concurrency)
	w.permits.pool.Add(change)
}

// setUnitsLeft sets the cost units left to those of a grant, minus usedSince, the thousandths of units used since the
// grant was requested.
func (w *workspace) setUnitsLeft(g wire.Grant, usedSince int64) {
	left := int64(unlimitedUnits)
	if w.contract.Load().Budget.Units > 0 {
		left = int64(g.UnitsLeft*milli) - usedSince
	}
	w.units.collect()
	change := left - w.units.total()
	w.units.setBatch(max(left, 0))
	w.unitsIssued += change
	w.units.pool.Add(change)
}

// scale scales down the limits of a grant that a change of its contract lowers, by the same ratios as the limits of the
// contract.
func scale(g wire.Grant, from, to *wire.Contract) wire.Grant {
	g.Requests.PerSecond *= reductionFactor(from.Rate.PerSecond, to.Rate.PerSecond)
	g.Requests.Burst *= reductionFactor(from.Rate.Burst, to.Rate.Burst)
	g.Tokens.PerSecond *= reductionFactor(from.Tokens.PerSecond, to.Tokens.PerSecond)
	g.Tokens.Burst *= reductionFactor(from.Tokens.Burst, to.Tokens.Burst)
	g.Concurrency = int(float64(g.Concurrency) * reductionFactor(float64(from.Concurrency), float64(to.Concurrency)))
	return g
}

// reductionFactor returns the ratio of to and from if the limit is lowered, and otherwise 1.
func reductionFactor(from, to float64) float64 {
	if from <= 0 || to >= from {
		return 1
	}
	return to / from
}
