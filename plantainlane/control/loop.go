package control

import (
	"context"
	"time"

	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

// inboxSize is the number of inputs that may wait for the control goroutine.
const inboxSize = 4096

// batchSize is the number of waiting inputs that one step takes.
const batchSize = 512

// Sender passes frames to other instances. It must not block; frames it can't pass on are lost.
type Sender interface {
	Send(to string, f wire.Frame)
	// SetAddress tells the peer addresses of instances.
	SetAddress(i wire.InstanceInfo)
	// SetNeighbors names the instances that connections are kept to; one to another instance lasts while it is used.
	SetNeighbors(neighbors []wire.InstanceInfo)
}

// Balancer learns of upstreams. It is called by the control goroutine only.
type Balancer interface {
	Apply(now time.Time, rows ...wire.Announcement)
	Remove(ids ...string)
	SetPolicies(policies []wire.UpstreamPolicy)
	Review(now time.Time)
}

// Loop is the control goroutine around a Core.
type Loop struct {
	core     *Core
	sender   Sender
	balancer Balancer
	inbox    chan Input
	wake     <-chan struct{}
	done     chan struct{}
	reviewAt time.Time
	// Publisher holds the newest View.
	Publisher Publisher
	// Orders carries out orders to engines; nil carries out none.
	Orders OrderCourier
}

// NewLoop returns a loop that isn't running yet. Wake may be nil; the core is stepped whenever it delivers.
func NewLoop(core *Core, sender Sender, balancer Balancer, wake <-chan struct{}) *Loop {
	l := &Loop{
		core:     core,
		sender:   sender,
		balancer: balancer,
		wake:     wake,
		inbox:    make(chan Input, inboxSize),
		done:     make(chan struct{}),
	}
	l.publish()
	return l
}

// Run steps the core until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.core.timing.Tick)
	defer ticker.Stop()
	for {
		var inputs []Input
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		case in := <-l.inbox:
			inputs = l.drain(in)
		}
		l.step(inputs)
		if l.Orders != nil {
			l.Orders.Run(ctx, l.core.TakeOrders())
		}
	}
}

func (l *Loop) drain(first Input) []Input {
	inputs := []Input{first}
	for len(inputs) < batchSize {
		select {
		case in := <-l.inbox:
			inputs = append(inputs, in)
		default:
			return inputs
		}
	}
	return inputs
}

func (l *Loop) step(inputs []Input) {
	now := time.Now()
	out := l.core.Step(now, inputs...)
	l.publish()
	l.feed(now)
	for _, o := range out {
		l.sender.Send(o.To, o.Frame)
	}
}

// feed tells the balancer what changed.
func (l *Loop) feed(now time.Time) {
	fresh, gone := l.core.TakeUpstreams()
	if len(fresh) > 0 {
		l.balancer.Apply(now, fresh...)
	}
	if len(gone) > 0 {
		l.balancer.Remove(gone...)
	}
	if !now.Before(l.reviewAt) {
		l.reviewAt = now.Add(route.ReviewEvery)
		l.balancer.Review(now)
	}
}

func (l *Loop) publish() {
	v, changed := l.core.View()
	if !changed {
		return
	}
	old := l.Publisher.View()
	l.Publisher.publish(v)
	if old.Config.Revision != v.Config.Revision {
		l.balancer.SetPolicies(v.Config.Shared().UpstreamPolicies)
	}
	if old.Instances == v.Instances {
		return
	}
	for id, i := range v.Instances.All() {
		if o, ok := old.Instances.Get(id); !ok || o != i {
			l.sender.SetAddress(i)
		}
	}
	l.sender.SetNeighbors(l.core.Neighbors())
}

// Deliver passes an input to the control goroutine. It waits while the inbox is full, and returns false if
// the loop or ctx ended first.
func (l *Loop) Deliver(ctx context.Context, in Input) bool {
	select {
	case l.inbox <- in:
		return true
	case <-ctx.Done():
		return false
	case <-l.done:
		return false
	}
}

// Propose commits a command and returns its outcome; the zero answer if it is unknown when ctx ends.
func (l *Loop) Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer {
	until, ok := ctx.Deadline()
	if !ok {
		until = time.Now().Add(l.core.timing.AcceptWait)
	}
	reply := make(chan wire.ProposeAnswer, 1)
	if !l.Deliver(ctx, Proposed{Command: cmd, Until: until, Reply: reply}) {
		return wire.ProposeAnswer{Refusal: RefusedNoLeader}
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return wire.ProposeAnswer{}
	case <-l.done:
		return wire.ProposeAnswer{}
	}
}

// Query sends a frame to an instance and returns its answer; ok is false if none came before ctx ended,
// which must have a deadline.
func (l *Loop) Query(ctx context.Context, to string, f wire.Frame) (answer wire.Frame, ok bool) {
	until, _ := ctx.Deadline()
	reply := make(chan wire.Frame, 1)
	if !l.Deliver(ctx, QueryRequested{To: to, Frame: f, Until: until, Reply: reply}) {
		return wire.Frame{}, false
	}
	select {
	case answer = <-reply:
		return answer, answer.From != ""
	case <-ctx.Done():
		return wire.Frame{}, false
	case <-l.done:
		return wire.Frame{}, false
	}
}
