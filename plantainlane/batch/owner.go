package batch

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/site"
)

// Executor talks to the upstreams that make pieces. It is safe for concurrent use.
type Executor interface {
	// Execute makes the pieces of a call and returns a result for each item. Busy tells that the upstream
	// refused the call because it is full.
	Execute(ctx context.Context, c *Call) (results []Result, busy bool, err error)
	// Free frees results at the upstreams that hold them.
	Free(ctx context.Context, handles []string)
}

const (
	// ownerTick is the period at which an owner looks for orders whose time is over.
	ownerTick = 25 * time.Millisecond
	// reportEvery is the period at which the state of a queue in use is logged.
	reportEvery = 2 * time.Second
	// tellOwnersEvery is the period at which the length of a long queue is passed on to the owners of other queues.
	tellOwnersEvery = 100 * time.Millisecond
	// tellEvery is the least period at which it is passed on to all members, tellPerMember that for each member, and
	// maxTell the longest.
	tellEvery     = 200 * time.Millisecond
	tellPerMember = 15 * time.Millisecond
	maxTell       = time.Second
	// shortWait is a wait that need not be passed on.
	shortWait = 50 * time.Millisecond
	// ownerInbox is the number of messages that may wait for an owner.
	ownerInbox = 1024
	// callPatience is how many times its expected time a call may take.
	callPatience = 4
	// callSlack is added to the time a call may take.
	callSlack = 500 * time.Millisecond
)

// message is an input of an owner's main loop.
type message interface{ isMessage() }

type added struct{ order *Job }

type cancelled struct{ order *Job }

type released struct{ handles []string }

type ended struct {
	call    *Call
	results []Result
	busy    bool
}

// freed tells that an upstream was asked to free results, and did or can't be reached.
type freed struct {
	upstream string
	handles  []string
}

func (added) isMessage()     {}
func (freed) isMessage()     {}
func (cancelled) isMessage() {}
func (released) isMessage()  {}
func (ended) isMessage()     {}

// Source tells an owner what it works with. It is called by the owner's main loop.
type Source func() (spec site.Batch, upstreams []Upstream, ok bool)

// owner runs the queue of one service.
type owner struct {
	service string
	queue   *Queue
	maker   Executor
	supply  Source
	inbox   chan message
	// tell passes on how long the queue is, to all members or to the owners of queues.
	tell func(w WaitTimes, all bool) (again time.Duration)
	// told is what was passed on last, tellAt when it is passed on next, and tellAllAt when to all members.
	told      WaitTimes
	tellAt    time.Time
	tellAllAt time.Time
	// owns tells whether this instance is to own the queue now, and owned whether it was.
	owns  func() bool
	owned bool
	// reportAt is when the state of the queue is logged next.
	reportAt time.Time
}

func newOwner(service string, maker Executor, supply Source, tell func(w WaitTimes, all bool) (again time.Duration), waitsOf func(service string) WaitTimes, owns func() bool) *owner {
	o := &owner{
		owns:    owns,
		tell:    tell,
		service: service,
		queue:   NewQueue(site.Batch{}),
		maker:   maker,
		supply:  supply,
		inbox:   make(chan message, ownerInbox),
	}
	o.queue.WaitTimesOf = waitsOf
	return o
}

// run serves the queue until ctx ends.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			o.take(ctx, m)
		case <-ticker.C:
			if o.queue.Idle() && o.told.All < shortWait {
				continue
			}
		}
		o.refresh()
		o.handBack()
		o.start(ctx)
		o.tellWait(time.Now())
		o.logRefusals()
		o.report(time.Now())
	}
}

// tellWait passes on how long the queue is, often enough while it is long.
func (o *owner) tellWait(now time.Time) {
	if now.Before(o.tellAt) {
		return
	}
	w := o.queue.WaitTimes(now)
	if w.All < shortWait && o.told.All < shortWait {
		return
	}
	all := !now.Before(o.tellAllAt)
	again := o.tell(w, all)
	if all {
		o.tellAllAt = now.Add(again)
	}
	o.told = w
	o.tellAt = now.Add(tellOwnersEvery)
}

// handBack gives what has not begun to the next owner, when this instance no longer owns the queue.
func (o *owner) handBack() {
	owns := o.owns()
	if o.owned && !owns {
		n := o.queue.ReturnUnstarted()
		klog.InfoS("queue handed on", "service", o.service, "orders", n)
	}
	o.owned = owns
}

func (o *owner) logRefusals() {
	for _, r := range o.queue.TakeRefusals() {
		klog.InfoS("order refused", "request", r.Job.Request, "service", o.service, "stage", r.Job.Stage,
			"pieces", r.Job.Pieces, "ahead", r.Ahead, "estimateMs", r.Estimate.Milliseconds(),
			"waitedMs", r.Waited.Milliseconds(), "leftMs", r.Left.Milliseconds(), "upstreams", o.queue.quickUpstreams())
	}
}

// report logs the state of the queue now and then while it is in use.
func (o *owner) report(now time.Time) {
	if now.Before(o.reportAt) {
		return
	}
	o.reportAt = now.Add(reportEvery)
	c := o.queue.TakeCounts()
	used, room := o.queue.Memory()
	all, busy, paused := o.queue.Upstreams(now)
	took, expected := c.meanTimes()
	klog.InfoS("queue", "service", o.service, "waiting", o.queue.Waiting(), "calls", c.Calls, "pieces", c.Pieces,
		"callMs", took.Milliseconds(), "expectedMs", expected.Milliseconds(),
		"noRoom", c.NoMemory, "failed", c.Failed, "gone", c.Gone, "late", c.Late, "roomUsed", used, "room", room,
		"upstreams", all, "busy", busy, "paused", paused)
}

func (o *owner) refresh() {
	spec, upstreams, ok := o.supply()
	if ok {
		o.queue.SetSpec(spec)
		o.queue.SetUpstreams(upstreams)
	}
}

func (o *owner) take(ctx context.Context, m message) {
	now := time.Now()
	switch m := m.(type) {
	case added:
		o.refresh()
		o.queue.Add(now, m.order)
	case cancelled:
		o.queue.Release(o.queue.Cancel(m.order))
	case released:
		if unknown := o.queue.Release(m.handles); len(unknown) > 0 {
			go o.maker.Free(ctx, unknown)
		}
	case freed:
		o.queue.Freed(m.upstream, m.handles)
	case ended:
		o.queue.Release(o.queue.Done(now, m.call, m.results, m.busy))
	}
	for upstream, handles := range o.queue.Freeable() {
		go o.free(ctx, upstream, handles)
	}
}

func (o *owner) free(ctx context.Context, upstream string, handles []string) {
	o.maker.Free(ctx, handles)
	select {
	case o.inbox <- freed{upstream, handles}:
	case <-ctx.Done():
	}
}

// start sends the calls that can be sent now.
func (o *owner) start(ctx context.Context) {
	for {
		c := o.queue.Next(time.Now())
		if c == nil {
			return
		}
		go o.make(ctx, c)
	}
}

func (o *owner) make(ctx context.Context, c *Call) {
	limit := callPatience*c.Expected.Sub(c.StartedAt) + callSlack
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	results, busy, err := o.maker.Execute(callCtx, c)
	if err != nil {
		klog.InfoS("pieces not made", "service", o.service, "upstream", c.Upstream.ID, "pieces", len(c.Items),
			"busy", busy, "took", time.Since(c.StartedAt), "err", err)
		results = nil
	}
	select {
	case o.inbox <- ended{call: c, results: results, busy: busy}:
	case <-ctx.Done():
	}
}
