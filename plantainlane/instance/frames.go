package instance

import (
	"context"
	"time"

	"plantainlane/plantainlane/control"
	"plantainlane/wire"
	wiretimeline "plantainlane/wire/timeline"
)

// peerHandler implements peer.Handler. It answers queries that don't need the state of the control goroutine, and
// passes everything else to the control goroutine.
type peerHandler struct {
	instance *Instance
	// ctx ends the handler's goroutines and its waits for the control goroutine.
	ctx context.Context
}

// Frame handles a frame from another instance.
func (f *peerHandler) Frame(in wire.Frame) {
	x := f.instance
	if x.dispatcher != nil && x.dispatcher.HandleFrame(in) {
		return
	}
	switch {
	case in.TimelineQuery != nil:
		a := x.ring.Select(*in.TimelineQuery)
		x.net.Send(in.From, wire.Frame{Call: in.Call, Timeline: &a})
	case in.ResultQuery != nil && x.hasAnswer(*in.ResultQuery):
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

// hasAnswer reports whether this instance holds the outcome of the request.
func (x *Instance) hasAnswer(q wire.ResultQuery) bool {
	_, ok := x.answers.Get(q.Workspace, q.RequestID)
	return ok
}

// Connected reports to the control goroutine that there is a connection to an instance.
func (f *peerHandler) Connected(i wire.InstanceInfo) {
	f.instance.loop.Deliver(f.ctx, control.PeerConnected{Info: i})
}

// Lost reports to the control goroutine that the last connection to an instance was closed.
func (f *peerHandler) Lost(id string) {
	f.instance.loop.Deliver(f.ctx, control.PeerLost{ID: id})
}

// clock implements peer.Clock with a hybrid logical clock that follows the system time.
type clock struct {
	*wiretimeline.Clock
}

// Stamp returns the timestamp for a frame that is about to be sent.
func (c clock) Stamp() wire.HLC {
	return c.Now(time.Now())
}

// Observe advances the clock past the timestamp of a received frame.
func (c clock) Observe(remote wire.HLC) {
	c.Clock.Observe(time.Now(), remote)
}
