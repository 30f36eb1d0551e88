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
	// readSpacing is the mean time between two reads of engines on which nothing goes on.
	readSpacing = 50 * time.Millisecond
)

// Planner turns declarations into orders, one at a time for each engine. It does no I/O and reads no clock. A new
// leader starts with a new one.
type Planner struct {
	timing Timing
	random *rand.Rand
	pace   pace

	fencing    int
	fencedAt   time.Time
	superseded bool
	sequence   int
	rows       map[string]*row
	// ids lists the engines in a stable order.
	ids []string
	// steps counts steps, to tell rows that were not seen in the last one.
	steps int
}

// row is what the planner knows of an engine.
type row struct {
	announced *wire.Announcement
	// seen is the last step that its announcement was there.
	seen int
	// state was read back from the announced incarnation; nil until then.
	state *wire.EngineState
	// readAt is when the reading of state began.
	readAt time.Time
	// readDue is when to read next.
	readDue time.Time
	// order is under way; nil if none is.
	order *wire.Order
	// until is when it can no longer take effect for the first time.
	until time.Time
	// sentAt is when it was last sent.
	sentAt   time.Time
	answered bool
	failures int
	// notBefore is when the engine may get its next order.
	notBefore time.Time
}

// Option changes a planner at construction.
type Option func(*Planner)

// WithTiming replaces the default periods.
func WithTiming(t Timing) Option { return func(p *Planner) { p.timing = t } }

// WithWeightRate sets the weight store's rate, of which a load takes the model's loadCost.
func WithWeightRate(r wire.Rate) Option { return func(p *Planner) { p.pace.rate = r } }

// WithSeed seeds the jitter of backoff.
func WithSeed(seed uint64) Option {
	return func(p *Planner) { p.random = rand.New(rand.NewPCG(seed, 0)) }
}

// NewPlanner returns a planner that knows no engine yet. Its default weight rate is one unit a second.
func NewPlanner(options ...Option) *Planner {
	p := &Planner{
		timing: DefaultTiming(), random: rand.New(rand.NewPCG(1, 0)), rows: make(map[string]*row),
		pace: pace{rate: wire.Rate{PerSecond: 1, Burst: 1}},
	}
	for _, o := range options {
		o(p)
	}
	return p
}

// Step takes reports and decides what to order and to read. It orders nothing without a fencing number, outside
// the leader's lease, or once an engine has seen a higher number.
func (p *Planner) Step(now time.Time, t Input, inbox []Report) Actions {
	p.pace.refill(now)
	p.syncRows(t.Engines)
	if t.Fencing != p.fencing {
		p.fencing, p.fencedAt, p.superseded = t.Fencing, now, false
	}
	for _, r := range inbox {
		p.takeReport(now, r)
	}
	a := Actions{NeedFencing: p.fencing == 0 || p.superseded}
	if p.fencing != 0 && !p.superseded && now.Add(p.timing.Skew).Before(t.LeaseUntil) {
		p.repeat(now, t, &a)
		p.plan(now, t, &a)
	}
	p.read(now, &a)
	return a
}

// syncRows keeps a row for each announced engine; a new incarnation starts a new one.
func (p *Planner) syncRows(engines iter.Seq[*wire.Announcement]) {
	p.steps++
	listed := len(p.rows)
	for e := range engines {
		r := p.rows[e.ID]
		if r == nil || r.announced.Incarnation != e.Incarnation {
			r = &row{announced: e}
			p.rows[e.ID] = r
		}
		if r.announced != e && r.state != nil && !sameModels(r.state, e) && !sameModels(r.state, r.announced) {
			r.readDue = time.Time{}
		}
		r.announced, r.seen = e, p.steps
	}
	changed := len(p.rows) != listed
	for id, r := range p.rows {
		if r.seen != p.steps {
			delete(p.rows, id)
			changed = true
		}
	}
	if changed {
		p.ids = slices.Sorted(maps.Keys(p.rows))
	}
}

func sameModels(s *wire.EngineState, a *wire.Announcement) bool {
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

// canOrder reports whether an engine may get a new order: its state is known, none is under way, and no order of
// an earlier leader can be, on an engine that ignores fencing numbers.
func (p *Planner) canOrder(now time.Time, r *row) bool {
	if r.state == nil || r.order != nil || now.Before(r.notBefore) {
		return false
	}
	return r.announced.ChecksFencing || p.pastEarlierOrders(now) && !r.readAt.Before(p.clearAt())
}

// clearAt is when no order of an earlier leader can be under way any more.
func (p *Planner) clearAt() time.Time { return p.fencedAt.Add(p.timing.Lease + p.timing.Skew) }

func (p *Planner) pastEarlierOrders(now time.Time) bool { return !now.Before(p.clearAt()) }

// issue sends a new order to an engine.
func (p *Planner) issue(now time.Time, t Input, r *row, o wire.Order, a *Actions) {
	p.sequence++
	valid := now.Add(p.timing.Valid)
	if t.LeaseUntil.Before(valid) {
		valid = t.LeaseUntil
	}
	o.ID = fmt.Sprintf("%d-%d", p.fencing, p.sequence)
	o.Upstream, o.Incarnation, o.Fencing = r.announced.ID, r.announced.Incarnation, p.fencing
	o.ExpiresMs = int(valid.UnixMilli())
	if o.Adapters == nil {
		o.Adapters = []string{}
	}
	r.order, r.until, r.sentAt, r.answered = &o, valid.Add(p.timing.Skew), now, false
	r.readDue = now.Add(p.timing.ReadPending)
	a.Orders = append(a.Orders, Dispatch{Order: o, Address: r.announced.Address, Until: valid})
}

// repeat sends unanswered orders again, under the same ID, to engines that check fencing numbers.
func (p *Planner) repeat(now time.Time, t Input, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		valid := r.until.Add(-p.timing.Skew)
		if r.order == nil || r.answered || !r.announced.ChecksFencing ||
			now.Before(r.sentAt.Add(p.timing.Repeat)) || !now.Before(valid) || t.LeaseUntil.Before(valid) {
			continue
		}
		r.sentAt = now
		a.Orders = append(a.Orders, Dispatch{Order: *r.order, Address: r.announced.Address, Until: valid})
	}
}

// read asks for the state of engines that are due. An engine that ignores fencing numbers is read again once no
// earlier order can be under way.
func (p *Planner) read(now time.Time, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		stale := !r.announced.ChecksFencing && p.pastEarlierOrders(now) && r.readAt.Before(p.clearAt())
		if stale && r.readDue.After(now.Add(p.timing.ReadPending)) {
			r.readDue = now
		}
		if now.Before(r.readDue) || len(a.Reads) == maxReads {
			continue
		}
		wait := max(p.timing.ReadIdle, time.Duration(len(p.ids))*readSpacing)
		if r.state == nil || r.order != nil || r.changing() || stale {
			wait = p.timing.ReadPending
		}
		r.readDue = now.Add(wait)
		a.Reads = append(a.Reads, Read{Upstream: id, Address: r.announced.Address})
	}
}

func (r *row) changing() bool {
	return slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool {
		return m.State == loading || m.State == unloading
	})
}
