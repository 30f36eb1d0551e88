package control

import (
	"context"
	"iter"
	"time"

	"plantainlane/plantainlane/order"
	"plantainlane/wire"
)

const (
	// orderInterval is the shortest period of planning orders; orderSpacing for each engine lengthens it.
	orderInterval = 250 * time.Millisecond
	orderSpacing  = 100 * time.Microsecond
	// fencingWait bounds the wait for a fencing number before it is asked for again.
	fencingWait = 5 * time.Second
)

// OrderCourier carries out orders. Run must not block.
type OrderCourier interface {
	Run(ctx context.Context, a order.Actions)
}

// OrderReported is what came of an order, or of reading an engine's state.
type OrderReported struct {
	Report order.Report
}

func (OrderReported) input() {}

// orders is the leader's side of orders to engines. Each leadership starts with a new planner.
type orders struct {
	newPlanner func() *order.Planner
	planner    *order.Planner
	demand     order.Demand
	term       int
	fencing    int
	asked      <-chan wire.ProposeAnswer
	// leaseUntil is until when this instance certainly is the only leader.
	leaseUntil time.Time
	due        time.Time
	inbox      []order.Report
	actions    order.Actions
	stalls     map[string]string
}

// WithOrders has the leader order engines as planners made by newPlanner decide.
func WithOrders(newPlanner func() *order.Planner) Option {
	return func(c *Core) { c.orders.newPlanner = newPlanner }
}

// TakeOrders returns what was decided since the last call.
func (c *Core) TakeOrders() order.Actions {
	a := c.orders.actions
	c.orders.actions = order.Actions{}
	return a
}

// runOrders plans orders on the leader, under a fencing number taken from the control log.
func (c *Core) runOrders() {
	o := &c.orders
	if c.lead == nil || o.newPlanner == nil {
		*o = orders{newPlanner: o.newPlanner}
		return
	}
	if o.planner == nil || o.term != c.lead.term {
		*o = orders{newPlanner: o.newPlanner, planner: o.newPlanner(), term: c.lead.term, stalls: map[string]string{}}
	}
	if c.now.Before(o.due) {
		return
	}
	engines := 0
	for range c.engines() {
		engines++
	}
	o.due = c.now.Add(max(orderInterval, time.Duration(engines)*orderSpacing))
	if fresh := c.now.Add(-c.timing.QuorumFresh); c.log.ConfirmedSince(fresh) {
		o.leaseUntil = fresh.Add(order.DefaultTiming().Lease)
	}
	c.takeFencing()
	models := c.state.Config.Shared().Models
	a := o.planner.Step(c.now, order.Tables{
		Models: models, Engines: c.engines(), Fencing: o.fencing, LeaseUntil: o.leaseUntil,
		Demand: o.demand.Step(c.now, models, c.engines()),
	}, o.inbox)
	o.inbox = nil
	if a.NeedFencing && o.asked == nil {
		c.askFencing()
	}
	c.recordOrders(a)
	o.actions.Orders = append(o.actions.Orders, a.Orders...)
	o.actions.Reads = append(o.actions.Reads, a.Reads...)
}

// engines are the announced engines that take work.
func (c *Core) engines() iter.Seq[*wire.Announcement] {
	return func(yield func(*wire.Announcement) bool) {
		for _, row := range c.roster.View().Rows.All() {
			if row.Usable() && row.Announcement.Role != "" && !yield(&row.Announcement) {
				return
			}
		}
	}
}

func (c *Core) askFencing() {
	reply := make(chan wire.ProposeAnswer, 1)
	c.orders.asked = reply
	c.propose(Proposed{
		Command: wire.Command{Fencing: &wire.FencingAdvance{Holder: c.self.ID, Term: c.lead.term}},
		Until:   c.now.Add(fencingWait), Reply: reply,
	})
}

func (c *Core) takeFencing() {
	select {
	case a := <-c.orders.asked:
		c.orders.asked = nil
		if a.Committed && a.Fencing != nil {
			c.orders.fencing = *a.Fencing
		}
	default:
	}
}

// recordOrders puts orders, and models that stall or go on, on the time line.
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
