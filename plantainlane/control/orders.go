package control

import (
	"context"
	"iter"
	"time"

	"plantainlane/plantainlane/order"
	"plantainlane/wire"
)

const (
	// planInterval is the shortest period at which orders are planned. With many engines the period is
	// planIntervalPerEngine times the number of engines.
	planInterval          = 250 * time.Millisecond
	planIntervalPerEngine = 100 * time.Microsecond
	// fencingWait is how long the leader waits for a fencing number before it requests one again.
	fencingWait = 5 * time.Second
)

// OrderSender sends orders to engines and reads the engines' states, as order.Sender does. Send must not block.
type OrderSender interface {
	Send(ctx context.Context, a order.Actions)
}

// OrderReported reports the result of an order, or of reading the state of an engine.
type OrderReported struct {
	Report order.Report
}

func (OrderReported) input() {}

// orders is the state from which the leader plans orders to engines. Each leadership starts with a new planner.
type orders struct {
	newPlanner func() *order.Planner
	planner    *order.Planner
	// demand estimates how many replicas each model needs.
	demand order.Demand
	// term is the term of the leadership that planner belongs to.
	term int
	// fencing is the fencing number of this leadership; 0 until it is committed.
	fencing int
	// fencingReply receives the answer to the request for a fencing number; nil while none is requested.
	fencingReply <-chan wire.ProposeAnswer
	// leaderLeaseUntil is the time until which this instance is certainly the only leader. It has nothing to do with
	// the configuration leases of instances.
	leaderLeaseUntil time.Time
	nextPlan         time.Time
	// reports holds the reports that the planner has not seen yet.
	reports []order.Report
	// actions holds the planned actions that TakeOrders has not returned yet.
	actions order.Actions
	// stalls holds the reason why a declared model lacks replicas and can't get another one now, by NAME@VERSION.
	stalls map[string]string
}

// WithOrders has the leader plan orders to engines. newPlanner returns the planner of a new leadership.
func WithOrders(newPlanner func() *order.Planner) Option {
	return func(c *Core) { c.orders.newPlanner = newPlanner }
}

// TakeOrders returns the orders to engines, and the reads of engine states, that were planned since the last call.
func (c *Core) TakeOrders() order.Actions {
	a := c.orders.actions
	c.orders.actions = order.Actions{}
	return a
}

// runOrders plans orders on the leader. Orders carry a fencing number from the control log, so that engines can reject
// the orders of a previous leader.
func (c *Core) runOrders() {
	o := &c.orders
	if c.leaderState == nil || o.newPlanner == nil {
		*o = orders{newPlanner: o.newPlanner}
		return
	}
	if o.planner == nil || o.term != c.leaderState.term {
		*o = orders{newPlanner: o.newPlanner, planner: o.newPlanner(), term: c.leaderState.term, stalls: map[string]string{}}
	}
	if c.now.Before(o.nextPlan) {
		return
	}
	engines := 0
	for range c.engines() {
		engines++
	}
	o.nextPlan = c.now.Add(max(planInterval, time.Duration(engines)*planIntervalPerEngine))
	if c.isConfirmed() {
		o.leaderLeaseUntil = c.now.Add(order.DefaultTiming().Lease - c.timing.QuorumFresh)
	}
	c.receiveFencing()
	models := c.state.Config.Shared().Models
	a := o.planner.Step(c.now, order.Input{
		Models: models, Engines: c.engines(), Fencing: o.fencing, LeaseUntil: o.leaderLeaseUntil,
		Demand: o.demand.Step(c.now, models, c.engines()),
	}, o.reports)
	o.reports = nil
	if a.NeedFencing && o.fencingReply == nil {
		c.requestFencing()
	}
	c.recordOrders(a)
	o.actions.Orders = append(o.actions.Orders, a.Orders...)
	o.actions.Reads = append(o.actions.Reads, a.Reads...)
}

// engines returns the announcements of the engines that accept work, outside evacuated zones. An upstream with a role is an engine.
func (c *Core) engines() iter.Seq[*wire.Announcement] {
	return func(yield func(*wire.Announcement) bool) {
		for _, row := range c.roster.View().Rows.All() {
			isEngine := row.Usable() && row.Announcement.Role != "" && !c.config.IsEvacuated(row.Announcement.Zone)
			if isEngine && !yield(&row.Announcement) {
				return
			}
		}
	}
}

// requestFencing proposes to advance the fencing number in the control log.
func (c *Core) requestFencing() {
	reply := make(chan wire.ProposeAnswer, 1)
	c.orders.fencingReply = reply
	command := wire.Command{Fencing: &wire.FencingAdvance{Holder: c.self.ID, Term: c.leaderState.term}}
	c.propose(command, c.now.Add(fencingWait), func(a wire.ProposeAnswer) { reply <- a })
}

// receiveFencing sets the fencing number if the answer to the request for a number has arrived and holds one.
func (c *Core) receiveFencing() {
	select {
	case a := <-c.orders.fencingReply:
		c.orders.fencingReply = nil
		if a.Committed && a.Fencing != nil {
			c.orders.fencing = *a.Fencing
		}
	default:
	}
}

// recordOrders adds the orders to the time line, and each model that stalls or stalls for another reason than before.
func (c *Core) recordOrders(a order.Actions) {
	for i := range a.Orders {
		o := &a.Orders[i].Order
		detail := o.Kind + " " + o.Model + o.Role + " " + o.ID
		c.record(wire.Event{Kind: "orderSent", Upstream: &o.Upstream, Detail: &detail})
	}
	stalls := make(map[string]string, len(a.Stalls))
	for _, s := range a.Stalls {
		stalls[s.Model] = s.Reason
		if c.orders.stalls[s.Model] != s.Reason {
			detail := s.Model + " " + s.Reason
			c.record(wire.Event{Kind: "modelStalled", Detail: &detail})
		}
	}
	c.orders.stalls = stalls
}
