package instance

import (
	"context"
	"time"

	"plantainlane/plantainlane/control"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// frames passes what peers send to the control goroutine, and answers queries that need none of its state.
type frames struct {
	instance *Instance
	ctx      context.Context
}

// Frame takes a frame from another instance.
func (f *frames) Frame(in wire.Frame) {
	x := f.instance
	if x.dispatcher != nil && x.dispatcher.HandleFrame(in) {
		return
	}
	switch {
	case in.TimelineQuery != nil:
		a := x.ring.Select(*in.TimelineQuery)
		x.net.Send(in.From, wire.Frame{Call: in.Call, Timeline: &a})
	case in.ResultQuery != nil && x.knows(*in.ResultQuery):
		a, _ := x.answers.Get(in.ResultQuery.Workspace, in.ResultQuery.RequestID)
		x.net.Send(in.From, wire.Frame{Call: in.Call, ResultAnswer: &wire.ResultAnswer{Found: true, Answer: &a}})
	case in.CacheEvents != nil:
		x.fleet.Index.Apply(in.CacheEvents)
	case in.CostFlush != nil:
		go func() {
			done := x.flushCosts(f.ctx)
			x.net.Send(in.From, wire.Frame{Call: in.Call, CostFlushed: &done})
		}()
	default:
		x.loop.Deliver(f.ctx, control.FrameReceived{Frame: in})
	}
}

func (x *Instance) knows(q wire.ResultQuery) bool {
	_, ok := x.answers.Get(q.Workspace, q.RequestID)
	return ok
}

// Connected passes on that there is a connection to an instance.
func (f *frames) Connected(i wire.InstanceInfo) {
	f.instance.loop.Deliver(f.ctx, control.PeerConnected{Info: i})
}

// Lost passes on that the last connection to an instance closed.
func (f *frames) Lost(id string) {
	f.instance.loop.Deliver(f.ctx, control.PeerLost{ID: id})
}

// clock stamps frames by the runtime's clock.
type clock struct {
	*wiretimeline.Clock
}

// Stamp returns a reading for a frame that is being sent.
func (c clock) Stamp() wire.HLC {
	return c.Now(time.Now())
}

// Observe learns from the reading of a frame that arrived.
func (c clock) Observe(remote wire.HLC) {
	c.Clock.Observe(time.Now(), remote)
}
