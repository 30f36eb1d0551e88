package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainlane/wire"
)

// Member is an instance that may own queues.
type Member struct {
	ID string
	// Cores is the processor cores that it may use.
	Cores float64
}

// Peers is what a Dispatcher uses of the other instances. It is safe for concurrent use.
type Peers interface {
	// Send passes a frame to an instance. It doesn't block; the frame may be lost.
	Send(to string, f wire.Frame)
	// Members returns the instances that can be reached and may own queues, this one included.
	Members() []Member
}

const (
	// memberCheck is the period at which a waiting order looks whether its owner can still be reached.
	memberCheck = 150 * time.Millisecond
	// waitPeriods is the number of periods for which the word of a queue's owner on its length counts.
	waitPeriods = 3
	// ownerCores is the processor cores that the owner of a queue should have.
	ownerCores = 0.25
	// maxOwners is the number of owners that an order is given to, one after the other.
	maxOwners = 4
)

// Dispatcher takes this instance's orders to the owners of the queues, and serves the queues that it owns itself.
type Dispatcher struct {
	self   string
	peers  Peers
	maker  Executor
	supply func(service string) Source
	ctx    context.Context

	mu     sync.Mutex
	owners map[string]*owner
	// calls holds this instance's orders at other instances.
	calls map[int]waiting
	call  int
	// waits holds how long the queues are, by service.
	waits map[string]queueWait
	// remote holds the orders of other instances here.
	remote map[remoteCall]remoteOrder
}

// queueWait is what the owner of a queue told of it.
type queueWait struct {
	waits WaitTimes
	// until is how long the word counts.
	until time.Time
}

// waiting is an order at another instance.
type waiting struct {
	reply chan Outcome
	begun func()
}

type remoteCall struct {
	from string
	call int
}

type remoteOrder struct {
	order *Job
	owner *owner
}

// NewDispatcher returns a dispatcher. Its goroutines end with ctx. Calls are numbered from firstCall on, so that those of
// an earlier start are not mistaken for its own.
func NewDispatcher(ctx context.Context, self string, firstCall int, peers Peers, maker Executor, supply func(service string) Source) *Dispatcher {
	return &Dispatcher{
		self: self, peers: peers, maker: maker, supply: supply, ctx: ctx, call: firstCall,
		owners: make(map[string]*owner),
		calls:  make(map[int]waiting),
		remote: make(map[remoteCall]remoteOrder),
		waits:  make(map[string]queueWait),
	}
}

// Owner returns the member that owns a service's queue by rendezvous hashing; empty without members. Members with few
// cores own none while others have more.
func Owner(service string, members []Member) string {
	best, most := "", uint64(0)
	for _, m := range owners(members) {
		weight := xxhash.Sum64String(service + "\x00" + m.ID)
		if best == "" || weight > most || weight == most && m.ID < best {
			best, most = m.ID, weight
		}
	}
	return best
}

// owners returns the members that may own queues: those with enough cores, or else all.
func owners(members []Member) []Member {
	able := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Cores < ownerCores })
	if len(able) == 0 {
		return members
	}
	return able
}

// Run orders pieces and waits for them, until ctx ends. An order whose owner is lost is given to the next one.
func (d *Dispatcher) Run(ctx context.Context, service string, o Job) Outcome {
	for range maxOwners {
		to := Owner(service, d.peers.Members())
		out := d.try(ctx, to, service, o)
		if out.Reason != ReasonNoOwner || ctx.Err() != nil {
			return out
		}
	}
	return Outcome{Reason: ReasonNoOwner}
}

func (d *Dispatcher) try(ctx context.Context, to, service string, o Job) Outcome {
	if to == "" {
		return Outcome{Reason: ReasonNoOwner}
	}
	reply := make(chan Outcome, 1)
	var give func()
	if to == d.self {
		give = d.giveHere(service, &o, reply)
	} else {
		give = d.giveTo(to, service, &o, reply)
	}
	ticker := time.NewTicker(memberCheck)
	defer ticker.Stop()
	for {
		select {
		case out := <-reply:
			return out
		case <-ctx.Done():
			give()
			return Outcome{Reason: ReasonCancelled}
		case <-ticker.C:
			if to != d.self && !d.reaches(to) {
				give()
				return Outcome{Reason: ReasonNoOwner}
			}
		}
	}
}

func (d *Dispatcher) reaches(id string) bool {
	return slices.ContainsFunc(d.peers.Members(), func(m Member) bool { return m.ID == id })
}

// giveHere adds an order to a queue of this instance. It returns how to give it up.
func (d *Dispatcher) giveHere(service string, o *Job, reply chan Outcome) (giveUp func()) {
	o.OnDone = func(out Outcome) { reply <- out }
	w := d.owner(service)
	d.deliver(w, added{o})
	return func() { d.deliver(w, cancelled{o}) }
}

// giveTo sends an order to another instance. It returns how to give it up.
func (d *Dispatcher) giveTo(to, service string, o *Job, reply chan Outcome) (giveUp func()) {
	d.mu.Lock()
	d.call++
	call := d.call
	d.calls[call] = waiting{reply, o.OnStarted}
	d.mu.Unlock()
	now := time.Now()
	d.peers.Send(to, wire.Frame{Call: call, PieceOrder: &wire.PieceOrder{
		Service: service, Request: o.Request, Stage: o.Stage, Pieces: o.Pieces, Key: o.Key,
		Inputs: append([]string{}, o.Inputs...), Next: append([]string{}, o.NextServices...),
		Zone: o.Zone, CrossBytes: o.CrossBytes, HoldsRoom: o.HoldsMemory, Bytes: o.Bytes, Priority: o.Priority,
		DueMs:  int(o.Due.Sub(now) / time.Millisecond),
		LeftMs: int(o.Deadline.Sub(now) / time.Millisecond),
	}})
	return func() {
		d.mu.Lock()
		delete(d.calls, call)
		d.mu.Unlock()
		yes := true
		d.peers.Send(to, wire.Frame{Call: call, PieceCancel: &yes})
	}
}

// Release gives up results of a service.
func (d *Dispatcher) Release(service string, handles []string) {
	to := Owner(service, d.peers.Members())
	switch to {
	case "":
	case d.self:
		d.deliver(d.owner(service), released{handles})
	default:
		d.peers.Send(to, wire.Frame{PieceRelease: &wire.PieceRelease{Service: service, Handles: handles}})
	}
}

// WaitTimes is how long the queue of a service is, as far as it is known.
func (d *Dispatcher) WaitTimes(service string) WaitTimes {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.waits[service]
	if time.Now().After(w.until) {
		return WaitTimes{}
	}
	return w.waits
}

func (d *Dispatcher) noteWaits(service string, w WaitTimes) {
	until := time.Now().Add(waitPeriods * tellPeriod(len(d.peers.Members())))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[service] = queueWait{w, until}
}

// tellPeriod is the period at which the length of a long queue is told so many members.
func tellPeriod(members int) time.Duration {
	return min(max(tellEvery, time.Duration(members)*tellPerMember), maxTell)
}

// tellWaits tells the owners of queues how long a queue of this instance is, or all members. It returns when to tell all
// of them again: the more members, the later.
func (d *Dispatcher) tellWaits(service string, w WaitTimes, all bool) (again time.Duration) {
	d.noteWaits(service, w)
	members := d.peers.Members()
	told := members
	if !all {
		told = owners(members)
	}
	for _, m := range told {
		if m.ID != d.self {
			d.peers.Send(m.ID, wire.Frame{PieceQueue: &wire.PieceQueue{
				Service: service, WaitMs: int(w.OnTime / time.Millisecond), AllMs: int(w.All / time.Millisecond),
			}})
		}
	}
	return tellPeriod(len(members))
}

// HandleFrame takes a frame of another instance. It returns false for one that is none of a dispatcher's.
func (d *Dispatcher) HandleFrame(f wire.Frame) bool {
	switch {
	case f.PieceOrder != nil:
		d.takeOrder(f.From, f.Call, f.PieceOrder)
	case f.PieceAnswer != nil:
		d.takeAnswer(f.Call, f.PieceAnswer)
	case f.PieceBegun != nil:
		d.takeBegun(f.Call)
	case f.PieceCancel != nil:
		d.takeCancel(remoteCall{f.From, f.Call})
	case f.PieceQueue != nil:
		d.noteWaits(f.PieceQueue.Service, WaitTimes{
			OnTime: time.Duration(f.PieceQueue.WaitMs) * time.Millisecond,
			All:    time.Duration(f.PieceQueue.AllMs) * time.Millisecond,
		})
	case f.PieceRelease != nil:
		d.deliver(d.owner(f.PieceRelease.Service), released{f.PieceRelease.Handles})
	default:
		return false
	}
	return true
}

func (d *Dispatcher) takeOrder(from string, call int, p *wire.PieceOrder) {
	if p.Pieces < 1 {
		d.answer(from, call, Outcome{Reason: ReasonFailed})
		return
	}
	now := time.Now()
	key := remoteCall{from, call}
	o := &Job{
		Request: p.Request, Stage: p.Stage, Pieces: p.Pieces, Key: p.Key, Inputs: p.Inputs, NextServices: p.Next, Zone: p.Zone,
		CrossBytes: p.CrossBytes, HoldsMemory: p.HoldsRoom, Bytes: p.Bytes, Priority: p.Priority,
		Due:      now.Add(time.Duration(p.DueMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(p.LeftMs) * time.Millisecond),
	}
	o.OnDone = func(out Outcome) {
		d.mu.Lock()
		delete(d.remote, key)
		d.mu.Unlock()
		d.answer(from, call, out)
	}
	if len(p.Inputs) > 0 {
		yes := true
		o.OnStarted = func() { d.peers.Send(from, wire.Frame{Call: call, PieceBegun: &yes}) }
	}
	w := d.owner(p.Service)
	d.mu.Lock()
	d.remote[key] = remoteOrder{o, w}
	d.mu.Unlock()
	d.deliver(w, added{o})
}

func (d *Dispatcher) answer(to string, call int, out Outcome) {
	handles := out.Handles
	if handles == nil {
		handles = []string{}
	}
	d.peers.Send(to, wire.Frame{Call: call, PieceAnswer: &wire.PieceAnswer{
		Handles: handles, Zone: out.Zone, Reason: string(out.Reason), RetryAfterMs: int(out.RetryAfter / time.Millisecond),
	}})
}

func (d *Dispatcher) takeAnswer(call int, a *wire.PieceAnswer) {
	d.mu.Lock()
	w := d.calls[call]
	delete(d.calls, call)
	d.mu.Unlock()
	if w.reply != nil {
		w.reply <- Outcome{
			Handles: a.Handles, Zone: a.Zone, Reason: Reason(a.Reason),
			RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
		}
	}
}

func (d *Dispatcher) takeBegun(call int) {
	d.mu.Lock()
	w := d.calls[call]
	d.mu.Unlock()
	if w.begun != nil {
		w.begun()
	}
}

func (d *Dispatcher) takeCancel(key remoteCall) {
	d.mu.Lock()
	r, ok := d.remote[key]
	delete(d.remote, key)
	d.mu.Unlock()
	if ok {
		d.deliver(r.owner, cancelled{r.order})
	}
}

// owner returns the queue of a service on this instance and starts it if need be.
func (d *Dispatcher) owner(service string) *owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.owners[service]
	if w == nil {
		tell := func(w WaitTimes, all bool) (again time.Duration) { return d.tellWaits(service, w, all) }
		owns := func() bool { return Owner(service, d.peers.Members()) == d.self }
		w = newOwner(service, d.maker, d.supply(service), tell, d.WaitTimes, owns)
		d.owners[service] = w
		go w.run(d.ctx)
	}
	return w
}

func (d *Dispatcher) deliver(w *owner, m message) {
	select {
	case w.inbox <- m:
	case <-d.ctx.Done():
	}
}
