package control

import (
	"context"
	"sync/atomic"
	"time"

	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// inboxSize is the number of inputs that may wait for the control goroutine.
const inboxSize = 4096

// batchSize is the largest number of waiting inputs that one step handles.
const batchSize = 512

// FrameSender sends frames to other instances and maintains the connections for them.
type FrameSender interface {
	// Send sends a frame to an instance. It must not block, and drops a frame that can't be sent.
	Send(to string, f wire.Frame)
	// Reconnect closes the connections to an instance. The next frame opens another one.
	Reconnect(to string)
	// SetAddress sets the peer address of an instance.
	SetAddress(i wire.InstanceInfo)
	// SetNeighbors replaces the set of instances to which connections are kept open. A connection to any other
	// instance stays open only while it is used.
	SetNeighbors(neighbors []wire.InstanceInfo)
}

// Balancer receives changes of upstreams and of their policies. It is called by the control goroutine only.
type Balancer interface {
	// Apply adds and updates upstreams by their announcements.
	Apply(now time.Time, rows ...wire.Announcement)
	// Remove removes upstreams that have expired.
	Remove(ids ...string)
	// SetPolicies replaces the upstream policies of all services.
	SetPolicies(policies []wire.UpstreamPolicy)
	// SetEvacuated replaces the set of availability zones whose upstreams get no work.
	SetEvacuated(now time.Time, zones map[string]bool)
	// Review recomputes what depends on recent calls, such as ejections. It is called every
	// route.ReviewInterval.
	Review(now time.Time)
}

// Warmups learns which upstreams are cold. It is called by the control goroutine only.
type Warmups interface {
	// Refresh records what has become known up to now: the newest announcements, and the IDs of upstreams that have
	// expired. rows holds all upstreams. It is called on each step.
	Refresh(now time.Time, announced []wire.Announcement, expired []string, rows roster.View)
}

// Loop runs a Core on the control goroutine.
type Loop struct {
	core        *Core
	frameSender FrameSender
	balancer    Balancer
	inbox       chan Input
	wake        <-chan struct{}
	// done is closed when Run ends.
	done       chan struct{}
	nextReview time.Time
	// steppedAt is the time of the newest step.
	steppedAt atomic.Pointer[time.Time]
	// Publisher holds the newest View.
	Publisher Publisher
	// OrderSender sends the planned orders to engines and reads the engines' states; if nil, neither is done.
	OrderSender OrderSender
	// Warmups learns of changes of upstreams before the balancer does, so that none is chosen before its limit is known; it
	// may be nil.
	Warmups Warmups
}

// NewLoop returns a loop that isn't running yet. Each value received from wake causes a step of the core; wake may
// be nil.
func NewLoop(core *Core, sender FrameSender, balancer Balancer, wake <-chan struct{}) *Loop {
	l := &Loop{
		core:        core,
		frameSender: sender,
		balancer:    balancer,
		wake:        wake,
		inbox:       make(chan Input, inboxSize),
		done:        make(chan struct{}),
	}
	l.publish()
	return l
}

// Run steps the core on each input, each value from wake and each tick, until ctx ends.
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
			inputs = []Input{in}
		}
		// What has arrived counts before the time that has passed: otherwise others would be found silent whose messages
		// wait, after this goroutine got no processor time for a while.
		l.step(l.collectInputs(inputs))
		if l.OrderSender != nil {
			l.OrderSender.Send(ctx, l.core.TakeOrders())
		}
	}
}

// collectInputs adds the inputs that wait in the inbox, up to batchSize in all.
func (l *Loop) collectInputs(inputs []Input) []Input {
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
	l.steppedAt.Store(&now)
	l.updateBalancer(now)
	for _, o := range out {
		if o.Reconnect {
			l.frameSender.Reconnect(o.To)
			continue
		}
		l.frameSender.Send(o.To, o.Frame)
	}
}

// updateBalancer passes changed and expired upstreams to the balancer and runs its periodic review.
func (l *Loop) updateBalancer(now time.Time) {
	updated, expired := l.core.TakeUpstreams()
	if l.Warmups != nil {
		l.Warmups.Refresh(now, updated, expired, l.Publisher.View().Upstreams)
	}
	if len(updated) > 0 {
		l.balancer.Apply(now, updated...)
	}
	if len(expired) > 0 {
		l.balancer.Remove(expired...)
	}
	if !now.Before(l.nextReview) {
		l.nextReview = now.Add(route.ReviewInterval)
		l.balancer.Review(now)
	}
}

// publish makes a changed View available to traffic goroutines, and passes changed policies to the balancer and
// changed instances to the sender.
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
	if old.Config.Evacuations != v.Config.Evacuations {
		l.balancer.SetEvacuated(time.Now(), state.EvacuatedZones(v.Config.Evacuations))
	}
	if old.Instances == v.Instances {
		return
	}
	for id, i := range v.Instances.All() {
		if o, ok := old.Instances.Get(id); !ok || o != i {
			l.frameSender.SetAddress(i)
		}
	}
	l.frameSender.SetNeighbors(l.core.Neighbors())
}

// Deliver passes an input to the control goroutine. It blocks while the inbox is full, and returns false if the
// loop or ctx ends first.
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

// Propose commits a command and returns its outcome. The zero answer means that the outcome is still unknown when ctx
// or the loop ends. If ctx has no deadline, the command is proposed for up to AcceptWait.
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

// Query sends a frame to an instance and returns the answer. ok is false if there is no answer before ctx ends. ctx
// must have a deadline.
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
