package order

import (
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// maxReads bounds the engines whose state is read in one step.
	maxReads = 32
	// readSpacing bounds the rate of the reads of engines without a change in progress: each of n engines is read once
	// in n times readSpacing, if that is longer than Timing.ReadIdle.
	readSpacing = 50 * time.Millisecond
)

// Planner turns declarations into orders to engines, one at a time for each engine. It does no I/O and reads no
// clock. Each leadership starts with a new planner. It isn't safe for concurrent use.
type Planner struct {
	timing    Timing
	random    *rand.Rand
	loadLimit loadLimiter

	// fencing is the leader's fencing number, 0 without one; fencingSince is when Step first got it.
	fencing      int
	fencingSince time.Time
	// superseded is set once an engine has reported a higher fencing number.
	superseded bool
	// sequence numbers the orders, as part of their IDs.
	sequence int
	// rows has the state of each announced engine, by its ID.
	rows map[string]*row
	// ids are the keys of rows, sorted.
	ids []string
	// steps counts the calls of Step; a row with a lower lastStep belongs to an engine that is no longer announced.
	steps int
	// lost holds the models under whose load engines have ended.
	lost lostLoads
}

// row is the planner's state of one engine.
type row struct {
	// announced is the latest announcement.
	announced *wire.Announcement
	// lastStep is the last step in which the engine was announced.
	lastStep int
	// state is the last state read from the announced incarnation; nil until the first read.
	state *wire.EngineState
	// readAt is when the read of state was started.
	readAt time.Time
	// readDue is when to read the state next.
	readDue time.Time
	// order is the pending order; nil if there is none. An order is pending until a state read shows its effect, a load
	// until the model is loaded.
	order *wire.Order
	// expiresAt is when order has expired on every engine, with clock skew included.
	expiresAt time.Time
	// sentAt is when order was last sent.
	sentAt time.Time
	// answered is set once the engine has answered order.
	answered bool
	// failures counts consecutive failed orders.
	failures int
	// notBefore is the earliest time for the next order, after a failed one.
	notBefore time.Time
}

// Option configures a planner in NewPlanner.
type Option func(*Planner)

// WithTiming replaces DefaultTiming.
func WithTiming(t Timing) Option { return func(p *Planner) { p.timing = t } }

// WithWeightRate sets the weight store's rate of units a second. A load takes the model's loadCost of them.
func WithWeightRate(r wire.Rate) Option { return func(p *Planner) { p.loadLimit.rate = r } }

// WithSeed seeds the random jitter of backoffs.
func WithSeed(seed uint64) Option {
	return func(p *Planner) { p.random = rand.New(rand.NewPCG(seed, 0)) }
}

// NewPlanner returns a planner without engines. The default rate of the weight store is one unit a second.
func NewPlanner(options ...Option) *Planner {
	p := &Planner{
		timing: DefaultTiming(), random: rand.New(rand.NewPCG(1, 0)), rows: make(map[string]*row), lost: make(lostLoads),
		loadLimit: loadLimiter{rate: wire.Rate{PerSecond: 1, Burst: 1}},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Step handles the reports in inbox and returns the orders and reads to send now. It issues no order without a
// fencing number, from Timing.Skew before the end of the leader's lease, or once an engine has reported a higher
// fencing number.
func (p *Planner) Step(now time.Time, in Input, inbox []Report) Actions {
	p.loadLimit.refill(now)
	p.syncRows(now, in.Engines)
	if in.Fencing != p.fencing {
		p.fencing, p.fencingSince, p.superseded = in.Fencing, now, false
	}
	for _, r := range inbox {
		p.handleReport(now, r)
	}
	a := Actions{NeedFencing: p.fencing == 0 || p.superseded}
	if p.fencing != 0 && !p.superseded && now.Add(p.timing.Skew).Before(in.LeaseUntil) {
		p.resend(now, in, &a)
		p.plan(now, in, &a)
	}
	p.planReads(now, &a)
	return a
}

// syncRows keeps one row for each announced engine and replaces the row of an engine that has a new incarnation. If
// an engine's announcement changes, and the state read contradicts both the new and the previous one, the state is due
// to be read again immediately.
func (p *Planner) syncRows(now time.Time, engines iter.Seq[*wire.Announcement]) {
	p.steps++
	previousCount := len(p.rows)
	for e := range engines {
		r := p.rows[e.ID]
		if r == nil || r.announced.Incarnation != e.Incarnation {
			p.recordLoss(now, r)
			r = &row{announced: e}
			p.rows[e.ID] = r
		}
		if r.announced != e && r.state != nil &&
			!matchesAnnouncement(r.state, e) && !matchesAnnouncement(r.state, r.announced) {
			r.readDue = time.Time{}
		}
		r.announced, r.lastStep = e, p.steps
	}
	changed := len(p.rows) != previousCount
	for id, r := range p.rows {
		if r.lastStep != p.steps {
			p.recordLoss(now, r)
			delete(p.rows, id)
			changed = true
		}
	}
	if changed {
		p.ids = slices.Sorted(maps.Keys(p.rows))
	}
}

// recordLoss records that an engine, if r isn't nil, has ended. An order that it had not answered may not have reached it.
func (p *Planner) recordLoss(now time.Time, r *row) {
	if r != nil && r.order != nil && r.order.Kind == Load && r.answered {
		p.lost.record(now, r.order.Model, p.timing, p.random)
	}
}

// matchesAnnouncement reports whether an engine's state has the announced role and exactly the announced models
// loaded.
func matchesAnnouncement(s *wire.EngineState, a *wire.Announcement) bool {
	n := 0
	for _, m := range s.Models {
		if m.State != loaded {
			continue
		}
		n++
		if !slices.Contains(a.Models, m.Model) {
			return false
		}
	}
	return n == len(a.Models) && s.Role == a.Role
}

// canOrder reports whether an engine may get a new order: its state is known, it has no pending order, and its
// backoff is over. An engine that ignores fencing numbers would still apply an order of a previous leader, so it
// must also have been read after all such orders expired.
func (p *Planner) canOrder(now time.Time, r *row) bool {
	if r.state == nil || r.order != nil || now.Before(r.notBefore) {
		return false
	}
	return r.announced.ChecksFencing || p.previousOrdersExpired(now) && !r.readAt.Before(p.previousOrdersExpireAt())
}

// previousOrdersExpireAt returns when the last order of a previous leader has expired, with clock skew included. No
// order is valid beyond its leader's lease, which ends at most Timing.Lease after the next leader starts.
func (p *Planner) previousOrdersExpireAt() time.Time {
	return p.fencingSince.Add(p.timing.Lease + p.timing.Skew)
}

// previousOrdersExpired reports whether all orders of previous leaders have expired.
func (p *Planner) previousOrdersExpired(now time.Time) bool {
	return !now.Before(p.previousOrdersExpireAt())
}

// issue gives an engine a new order, which is valid for Timing.Valid or until the end of the leader's lease, whichever
// is earlier.
func (p *Planner) issue(now time.Time, in Input, r *row, o wire.Order, a *Actions) {
	p.sequence++
	validUntil := now.Add(p.timing.Valid)
	if in.LeaseUntil.Before(validUntil) {
		validUntil = in.LeaseUntil
	}
	o.ID = fmt.Sprintf("%d-%d", p.fencing, p.sequence)
	o.Upstream, o.Incarnation, o.Fencing = r.announced.ID, r.announced.Incarnation, p.fencing
	o.ExpiresMs = int(validUntil.UnixMilli())
	if o.Adapters == nil {
		o.Adapters = []string{}
	}
	r.order, r.expiresAt, r.sentAt, r.answered = &o, validUntil.Add(p.timing.Skew), now, false
	r.readDue = now.Add(p.timing.ReadPending)
	a.Orders = append(a.Orders, Dispatch{Order: o, Address: r.announced.Address, Until: validUntil})
}

// resend sends unanswered orders again every Timing.Repeat while they are valid, with the same ID, to engines that
// check fencing numbers.
func (p *Planner) resend(now time.Time, in Input, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		validUntil := r.expiresAt.Add(-p.timing.Skew)
		if r.order == nil || r.answered || !r.announced.ChecksFencing ||
			now.Before(r.sentAt.Add(p.timing.Repeat)) || !now.Before(validUntil) || in.LeaseUntil.Before(validUntil) {
			continue
		}
		r.sentAt = now
		a.Orders = append(a.Orders, Dispatch{Order: *r.order, Address: r.announced.Address, Until: validUntil})
	}
}

// planReads adds reads of the engines whose readDue has come, at most maxReads. An engine that ignores fencing
// numbers is also read once all orders of previous leaders have expired, since they may have changed its state.
func (p *Planner) planReads(now time.Time, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		stale := !r.announced.ChecksFencing && p.previousOrdersExpired(now) && r.readAt.Before(p.previousOrdersExpireAt())
		if stale && r.readDue.After(now.Add(p.timing.ReadPending)) {
			r.readDue = now
		}
		if now.Before(r.readDue) || len(a.Reads) == maxReads {
			continue
		}
		wait := max(p.timing.ReadIdle, time.Duration(len(p.ids))*readSpacing)
		if r.state == nil || r.order != nil || r.isChanging() || stale {
			wait = p.timing.ReadPending
		}
		r.readDue = now.Add(wait)
		a.Reads = append(a.Reads, Read{Upstream: id, Address: r.announced.Address})
	}
}

// isChanging reports whether the engine is loading or unloading a model. Its state must be known.
func (r *row) isChanging() bool {
	return slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool {
		return m.State == loading || m.State == unloading
	})
}
