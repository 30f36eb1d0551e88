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
	// AllWorkspacesLimit is the number of contracts up to which an instance asks a share of each. Beyond, it asks
	// for those with traffic only.
	AllWorkspacesLimit = 64
	// forgetIdle is how long after its last traffic a workspace's share is given up.
	forgetIdle = 10 * time.Second
	// unbounded is the credits of a budget without bound.
	unbounded = math.MaxInt64 / 4
	// demandFall is the part by which a demand falls at each request when traffic ebbs.
	demandFall = 0.5
	// idleDemand is the rate a second below which a workspace counts as idle.
	idleDemand = 0.01
)

// meter turns counts into the demand of a workspace.
type meter struct {
	at        time.Time
	arrivals  int64
	generated int64
	requests  float64
	tokens    float64
}

func (m *meter) read(now time.Time, arrivals, generated int64) {
	elapsed := now.Sub(m.at).Seconds()
	if !m.at.IsZero() && elapsed > 0 {
		m.requests = follow(m.requests, float64(arrivals-m.arrivals)/elapsed)
		m.tokens = follow(m.tokens, float64(generated-m.generated)/elapsed)
	}
	m.at, m.arrivals, m.generated = now, arrivals, generated
}

// follow rises at once and falls slowly.
func follow(old, fresh float64) float64 {
	if fresh >= old {
		return fresh
	}
	return old + demandFall*(fresh-old)
}

// sentRequest remembers what a grant is to be counted from.
type sentRequest struct {
	at time.Time
	// spent is the cost units used until then, in thousandths, by workspace.
	spent map[string]int64
}

// GrantNeeded signals that a request waits for a share that the instance doesn't hold. Ask for grants soon.
func (l *Limiter) GrantNeeded() <-chan struct{} { return l.wanted }

func (l *Limiter) want() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// GrantRequest returns the next request for grants. It must be sent at once: grants count from now. A workspace
// left out of it gives up its share. Answers of a leader other than the one asked now are void.
func (l *Limiter) GrantRequest(now time.Time, leader, instance string, incarnation int) wire.GrantRequest {
	if leader != l.leader {
		clear(l.sent)
		l.leader = leader
	}
	l.sequence++
	request := wire.GrantRequest{
		Instance: instance, Incarnation: incarnation, Sequence: l.sequence, Applied: l.applied,
		Demands: []wire.GrantDemand{}, Held: []wire.Grant{},
	}
	sent := sentRequest{at: now, spent: map[string]int64{}}
	knows := leader == l.grantedBy
	for _, w := range l.watch() {
		demand := w.demand(now)
		if l.isForgotten(now, w, &demand) {
			continue
		}
		request.Demands = append(request.Demands, demand)
		sent.spent[w.name] = w.spent()
		if !knows && w.expires.Load() > l.since(now) {
			request.Held = append(request.Held, w.granted)
		}
	}
	l.sent[l.sequence] = sent
	return request
}

// isForgotten gives up the share of a workspace that has been without traffic for long, unless there are few
// workspaces. Its next request asks for one again.
func (l *Limiter) isForgotten(now time.Time, w *workspace, d *wire.GrantDemand) bool {
	if d.RequestsPerSecond >= idleDemand || d.InFlight > 0 || w.lastTraffic.IsZero() {
		w.lastTraffic = now
	}
	if l.contracts.Load().Len() <= AllWorkspacesLimit || now.Sub(w.lastTraffic) < forgetIdle {
		return false
	}
	delete(l.watched, w.name)
	w.watched.Store(false)
	w.lastTraffic = time.Time{}
	w.expires.Store(0)
	l.giveUp(w.name)
	l.deactivate(w.name)
	return true
}

// watch returns the workspaces that shares are asked for, in order of their names.
func (l *Limiter) watch() []*workspace {
	if contracts := l.contracts.Load(); contracts.Len() <= AllWorkspacesLimit {
		for name := range contracts.All() {
			l.watched[name] = l.workspace(name)
		}
	}
	l.mu.Lock()
	fresh := l.fresh
	l.fresh = nil
	l.mu.Unlock()
	for _, w := range fresh {
		l.watched[w.name] = w
	}
	active := l.active.Load()
	maps.DeleteFunc(l.watched, func(name string, w *workspace) bool {
		current, ok := active.Get(name)
		return !ok || current != w
	})
	list := make([]*workspace, 0, len(l.watched))
	for _, w := range l.watched {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *workspace) int { return strings.Compare(a.name, b.name) })
	return list
}

// noteTraffic has a share asked for from now on.
func (l *Limiter) noteTraffic(w *workspace) {
	if !w.watched.CompareAndSwap(false, true) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = append(l.fresh, w)
	if !l.active.Load().Has(w.name) && l.contracts.Load().Has(w.name) {
		// The workspace was forgotten while this request came.
		l.activate(w)
	}
}

// giveUp voids answers under way for a workspace.
func (l *Limiter) giveUp(name string) {
	for _, sent := range l.sent {
		delete(sent.spent, name)
	}
}

// Release returns a request that gives up all shares, for an instance that stops.
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

func (w *workspace) demand(now time.Time) wire.GrantDemand {
	var arrivals, generated int64
	for i := range w.cells {
		arrivals += w.cells[i].arrivals.Load()
		generated += w.cells[i].generated.Load()
	}
	w.meter.read(now, arrivals, generated)
	return wire.GrantDemand{
		Workspace: w.name, RequestsPerSecond: w.meter.requests, TokensPerSecond: w.meter.tokens,
		InFlight: int(w.concurrency - w.permits.total()), UnitsUsed: float64(w.spent()) / milli,
	}
}

// spent is the cost units used since the start, in thousandths.
func (w *workspace) spent() int64 {
	return w.unitsIssued - w.units.total()
}

// ApplyGrant takes an answer into use. One that is older than an answer in use, or to a request of an earlier
// start, is ignored.
func (l *Limiter) ApplyGrant(now time.Time, answer wire.GrantAnswer) {
	sent, ok := l.sent[answer.Sequence]
	if !ok || answer.Sequence <= l.applied {
		return
	}
	l.applied = answer.Sequence
	for sequence := range l.sent {
		if sequence <= answer.Sequence {
			delete(l.sent, sequence)
		}
	}
	at := l.since(now)
	expires := l.since(sent.at.Add(time.Duration(answer.DurationMs) * time.Millisecond))
	given := map[string]bool{}
	for _, g := range answer.Grants {
		w := l.workspace(g.Workspace)
		spent, asked := sent.spent[g.Workspace]
		if w == nil || !asked || isEmpty(g) {
			continue
		}
		given[g.Workspace] = true
		if w.expires.Load() <= at {
			w.requests.empty(at)
			w.tokens.empty(at)
		}
		w.use(at, g)
		w.grantUnits(g, w.spent()-spent)
		w.expires.Store(expires)
		if w.room.waiting.Load() > 0 {
			w.room.wake(now)
		}
	}
	l.grantedBy = l.leader
	for name, w := range l.watched {
		if !given[name] {
			w.expires.Store(0)
		}
	}
}

// isEmpty tells whether a grant allows nothing, as the leader's first ones may until it knows what others hold.
func isEmpty(g wire.Grant) bool {
	return g.Concurrency == 0 && g.Requests.PerSecond == 0 && g.UnitsLeft == 0
}

// use puts the rates and the concurrency of a grant in force.
func (w *workspace) use(now int64, g wire.Grant) {
	w.granted = g
	w.requests.set(now, g.Requests)
	w.tokens.set(now, g.Tokens)
	change := int64(g.Concurrency) - w.concurrency
	if change < 0 {
		w.permits.collect()
	}
	w.concurrency = int64(g.Concurrency)
	w.permits.setSize(w.concurrency)
	w.permits.centre.Add(change)
}

// grantUnits sets the cost units left, less those used since the grant was asked for.
func (w *workspace) grantUnits(g wire.Grant, usedSince int64) {
	left := int64(unbounded)
	if w.contract.Load().Budget.Units > 0 {
		left = int64(g.UnitsLeft*milli) - usedSince
	}
	w.units.collect()
	change := left - w.units.total()
	w.units.setSize(max(left, 0))
	w.unitsIssued += change
	w.units.centre.Add(change)
}

// scale cuts a share of one contract down to the same share of a lower one.
func scale(g wire.Grant, from, to *wire.Contract) wire.Grant {
	g.Requests.PerSecond *= lowering(from.Rate.PerSecond, to.Rate.PerSecond)
	g.Requests.Burst *= lowering(from.Rate.Burst, to.Rate.Burst)
	g.Tokens.PerSecond *= lowering(from.Tokens.PerSecond, to.Tokens.PerSecond)
	g.Tokens.Burst *= lowering(from.Tokens.Burst, to.Tokens.Burst)
	g.Concurrency = int(float64(g.Concurrency) * lowering(float64(from.Concurrency), float64(to.Concurrency)))
	return g
}

func lowering(from, to float64) float64 {
	if from <= 0 || to >= from {
		return 1
	}
	return to / from
}
