package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/order"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// TestLeaderOrdersDeclaredModels guards against a leader that doesn't order an idle engine to load a declared model, or
// whose order lacks the incarnation of the engine or the committed fencing number.
func TestLeaderOrdersDeclaredModels(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &state.State{}
	s.Config = s.Config.With(wire.Declarations{Models: []wire.Model{{
		Name: "m", Version: "1", Adapters: []string{}, Replicas: 1, LoadCost: 1,
	}}}, nil, 1)
	c := New(wire.InstanceInfo{ID: "a", Incarnation: 1}, WithLog(NewSolo("a", 1), s, 0),
		WithOrders(func() *order.Planner { return order.NewPlanner() }))
	c.Step(now, UpstreamAnnounced{Reply: make(chan error, 1), Announcement: wire.Announcement{
		ID: "e1", Incarnation: 7, Sequence: 1, Role: "both", Service: "s", Address: "127.0.0.1:1",
		TTLMs: 60000, ChecksFencing: true,
	}})
	var sent []order.Dispatch
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		c.Step(now)
		a := c.TakeOrders()
		sent = append(sent, a.Orders...)
		for _, r := range a.Reads {
			c.Step(now, OrderReported{Report: order.Report{Upstream: r.Upstream, StartedAt: now, State: &wire.EngineState{
				Upstream: "e1", Incarnation: 7, Role: "both", FreeSlots: 1,
			}}})
		}
	}
	is.True(len(sent) > 0)
	o := sent[0].Order
	is.Equal(o.Kind, order.Load)
	is.Equal(o.Model, "m@1")
	is.Equal(o.Incarnation, 7)
	is.Equal(o.Fencing, s.Fencing)
	is.True(o.Fencing > 0)
	is.True(len(c.TakeOrders().Orders) == 0) // each order is returned once
}
