package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/expiry"
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

// ErrNoPermit reports a request that was not sent because the upstream's limit doesn't allow it now.
var ErrNoPermit = errors.New("quota: no permit")

// Refusal is the error of a request for which there is no permit. It matches ErrNoPermit.
type Refusal struct {
	// Until is when a permit may be asked for again. It isn't set for an upstream that is leaving.
	Until time.Time
	// Leaving is set if the upstream has said that it is leaving, Paused if it has asked for a pause.
	Leaving, Paused bool
	// Evacuated is set if the upstream's availability zone is evacuated, or may be.
	Evacuated bool
}

// Error returns a text with the remaining time.
func (r *Refusal) Error() string {
	if r.Leaving {
		return "quota: upstream is leaving"
	}
	if r.Evacuated {
		return "quota: the zone of the upstream is evacuated, or may be"
	}
	return "quota: upstream takes no request for " + time.Until(r.Until).Round(time.Millisecond).String()
}

// Is reports whether target is ErrNoPermit.
func (r *Refusal) Is(target error) bool { return target == ErrNoPermit }

// Asker asks the leader for permits. It is safe for concurrent use.
type Asker interface {
	// Ask asks for one permit for the upstream that a statement is about. It returns false if there is no answer.
	Ask(ctx context.Context, u wire.UpstreamLimit) (wire.PermitAnswer, bool)
}

const (
	// askTimeout is how long an instance waits for a permit.
	askTimeout = 300 * time.Millisecond
	// unansweredPause is the pause before a permit is asked for again after there was no answer.
	unansweredPause = time.Second
	// forgetAfter is how long a statement is kept after it was heard. It bounds the memory for upstreams that are gone.
	forgetAfter = 5 * time.Minute
	// evacuatedPause is the pause after a request was refused because the upstream's zone is evacuated. It only bridges the time
	// until the choice of upstreams follows the evacuation too.
	evacuatedPause = 100 * time.Millisecond
	// forgetInterval is the period at which old statements are searched for.
	forgetInterval = 10 * time.Second
)

// Gate holds what one instance knows of upstreams from their own answers, by address: their limits, which of them are
// leaving, and which have asked for a pause. It obtains permits. It is safe for concurrent use.
type Gate struct {
	asker Asker
	// warmups is nil if no upstream is ever cold.
	warmups Warmups
	// isEvacuated reports whether a peer's availability zone is evacuated; nil if none ever is.
	isEvacuated func(Peer) bool
	// standings is replaced under mu, and read without a lock.
	standings atomic.Pointer[standings]
	// known holds the statements. It is replaced under mu, and read without a lock.
	known atomic.Pointer[table.Table[Statement]]

	mu sync.Mutex
	// changed holds the addresses whose limits were changed by answers to this instance and not yet reported, as a set.
	changed map[string]bool
	// nextForget is when old statements are searched for next.
	nextForget time.Time
}

// NewGate returns a Gate that knows no limits.
func NewGate(a Asker) *Gate {
	g := &Gate{asker: a, changed: make(map[string]bool)}
	g.known.Store(&table.Table[Statement]{})
	g.standings.Store(&standings{})
	return g
}

// WithEvacuations has the gate refuse requests to the peers for which isEvacuated returns true. It returns the gate, and must
// be called before the gate is used.
func (g *Gate) WithEvacuations(isEvacuated func(Peer) bool) *Gate {
	g.isEvacuated = isEvacuated
	return g
}

// refuse returns a *Refusal if no request may be sent to a peer now, whatever its limit.
func (g *Gate) refuse(now time.Time, p Peer) error {
	if g.isEvacuated != nil && g.isEvacuated(p) {
		return &Refusal{Until: now.Add(evacuatedPause), Evacuated: true}
	}
	return g.standings.Load().refuse(now, p)
}

// Permit allows one request. The zero Permit allows any.
type Permit struct {
	gate *Gate
	peer Peer
	// until is when the permit expires.
	until time.Time
}

// Acquire obtains a permit for one request to an upstream. It returns a *Refusal if the upstream's limit allows no request
// now, if it has asked for a pause, if it is leaving, or if its zone is evacuated.
func (g *Gate) Acquire(ctx context.Context, peer Peer) (Permit, error) {
	p := Permit{gate: g, peer: peer}
	if err := g.refuse(time.Now(), peer); err != nil {
		return p, err
	}
	askedAt := time.Now()
	query, needed, lapsesAt := g.query(askedAt, peer)
	if !needed {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, ok := g.asker.Ask(ctx, query)
	if !ok {
		return p, refusedFor(unansweredPause, lapsesAt)
	}
	if !a.Granted {
		return p, refusedFor(time.Duration(a.WaitMs)*time.Millisecond, lapsesAt)
	}
	// The permit's time counts from when it was asked for: the answer may have been delayed.
	p.until = askedAt.Add(time.Duration(a.ValidMs) * time.Millisecond)
	return p, nil
}

// query returns the query for a permit for one request to an upstream, and whether one is needed. lapsesAt is when none is
// needed any more; zero if that isn't known.
func (g *Gate) query(now time.Time, peer Peer) (q wire.UpstreamLimit, needed bool, lapsesAt time.Time) {
	s, ok := g.known.Load().Get(peer.Address)
	isLimited := ok && s.Limited
	w, isCold := g.warmup(now, peer)
	if isLimited {
		q = s.toWire(now, peer.Address)
	} else {
		q.Address, lapsesAt = peer.Address, w.Until
	}
	if isCold {
		w.addTo(&q, now)
	}
	return q, isLimited || isCold, lapsesAt
}

// refusedFor returns a refusal for a time, which ends at lapsesAt at the latest unless that is zero: an upstream that has
// become warm must not rest for the wait of a cold one.
func refusedFor(wait time.Duration, lapsesAt time.Time) *Refusal {
	until := time.Now().Add(wait)
	if !lapsesAt.IsZero() && lapsesAt.Before(until) {
		until = lapsesAt
	}
	return &Refusal{Until: until}
}

// Check returns nil if the request may be sent now. It returns a *Refusal if the permit has expired, or if what forbids
// the request became known after Acquire. It is to be called immediately before the request is written.
func (p Permit) Check() error {
	if p.gate == nil {
		return nil
	}
	now := time.Now()
	if err := p.gate.refuse(now, p.peer); err != nil {
		return err
	}
	if !expiry.IsPast(now, p.until) {
		return nil
	}
	if _, needed, _ := p.gate.query(now, p.peer); !needed {
		return nil
	}
	return &Refusal{Until: now}
}

// Observe records what an answer says about the limit of the upstream at an address.
func (g *Gate) Observe(address string, s Statement) {
	known, ok := g.known.Load().Get(address)
	if !s.Limited && (!ok || !known.Limited) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.put(address, s, "answer") {
		g.changed[address] = true
	}
}

// ObserveStanding records what an answer of a peer says about the peer, limits excepted. The answer must be known to be
// the peer's, to a request of this instance. An answer of an unknown peer tells nothing.
func (g *Gate) ObserveStanding(now time.Time, p Peer, n Notice) {
	if p.ID != "" && n.Warmup > 0 && g.warmups != nil {
		g.warmups.Observe(p, now.Add(n.Warmup))
	}
	if p.ID == "" || !n.Leaving && n.Pause <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standings.Store(g.standings.Load().with(now, p, n))
}

// Replaced reports whether a peer has the address of an earlier process that had said something about itself, and
// forgets what that was. It reports true once for each such peer.
func (g *Gate) Replaced(now time.Time, p Peer) bool {
	if !g.standings.Load().isReplaced(p) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.standings.Load()
	if !known.isReplaced(p) {
		return false
	}
	g.standings.Store(known.replaced(now, p))
	return true
}

// IsLeaving reports whether a peer has said in an answer that it is leaving.
func (g *Gate) IsLeaving(p Peer) bool {
	known, ok := g.standings.Load().byAddress.Get(p.Address)
	return ok && known.leaving && known.peer.isSame(p)
}

// put records a statement unless a known one is to be believed, and reports whether the limit has changed. source says
// where the statement is from. g.mu must be held.
func (g *Gate) put(address string, s Statement, source string) (changed bool) {
	known := g.known.Load()
	old, ok := known.Get(address)
	if ok && !s.replaces(old) {
		return false
	}
	next := known.With(address, s)
	g.known.Store(&next)
	changed = s.rate() != old.rate()
	if changed {
		klog.InfoS("limit of upstream", "address", address, "limited", s.Limited, "perSecond", s.PerSecond, "source", source)
	}
	return changed
}

// Learn records statements from the leader.
func (g *Gate) Learn(now time.Time, list []wire.UpstreamLimit) {
	if len(list) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range list {
		if IsValid(w.PerSecond) {
			g.put(w.Address, fromWire(now, w), "leader")
		}
	}
}

// TakeChanged returns the statements that changed a limit since the last call, as a message to be sent now. It also
// forgets old statements.
func (g *Gate) TakeChanged(now time.Time) []wire.UpstreamLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forget(now)
	var out []wire.UpstreamLimit
	for address := range g.changed {
		if s, ok := g.known.Load().Get(address); ok {
			out = append(out, s.toWire(now, address))
		}
	}
	clear(g.changed)
	return out
}

// All returns all known statements as a message to be sent now.
func (g *Gate) All(now time.Time) []wire.UpstreamLimit {
	var out []wire.UpstreamLimit
	for address, s := range g.known.Load().All() {
		out = append(out, s.toWire(now, address))
	}
	return out
}

// forget removes the statements that were heard longer than forgetAfter ago. g.mu must be held.
func (g *Gate) forget(now time.Time) {
	if now.Before(g.nextForget) {
		return
	}
	g.nextForget = now.Add(forgetInterval)
	known := *g.known.Load()
	for address, s := range known.All() {
		if now.Sub(s.HeardAt) > forgetAfter {
			known = known.Without(address)
		}
	}
	g.known.Store(&known)
	g.standings.Store(g.standings.Load().without(now))
}
