package batch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/site"
)

// Executor runs pieces at the upstreams. It is safe for concurrent use.
type Executor interface {
	// Execute sends a call to its upstream and returns one result for each item, in the order of the items. busy is set
	// if the upstream refused the call because it is at capacity. If err is set, the call failed and results is
	// ignored. A *quota.Refusal means that the call wasn't sent, as the upstream's limit allows none now. Execute sets
	// c.Pace.
	Execute(ctx context.Context, c *Call) (results []Result, busy bool, err error)
	// Free tells the upstreams that hold the results to delete them.
	Free(ctx context.Context, handles []string)
}

const (
	// ownerTick is how often an owner checks for expired jobs and results when it receives no messages, and how often it
	// reads its upstreams and whether it owns the queue.
	ownerTick = 25 * time.Millisecond
	// decisionInterval is the least time between two decisions on the calls to start. It is short compared with a call,
	// and long enough that the cost of the decisions doesn't grow with the number of messages.
	decisionInterval = 5 * time.Millisecond
	// reportPeriod is how often the state of a queue in use is logged.
	reportPeriod = 2 * time.Second
	// publishPeriod is how often the wait times of a long queue are published to the other owners.
	publishPeriod = 100 * time.Millisecond
	// minPublishedWait is the wait time below which a queue's wait times aren't published.
	minPublishedWait = 50 * time.Millisecond
	// stallTime is the time without work from which an owner that should have worked each ownerTick counts as stalled: its
	// process was frozen or got no processor time.
	stallTime = 10 * ownerTick
	// lostTime is a stall after which the other instances have submitted their jobs to the next owner. Jobs that are
	// received up to staleTime after it were submitted during the stall.
	lostTime  = 1500 * time.Millisecond
	staleTime = 100 * time.Millisecond
	// ownerInbox is the number of messages that an owner's inbox can hold.
	ownerInbox = 1024
	// A call times out after callTimeoutFactor times its expected time plus callTimeoutSlack.
	callTimeoutFactor = 4
	callTimeoutSlack  = 500 * time.Millisecond
)

// message is an input of an owner's main loop.
type message interface{ isMessage() }

// delivery is a message in an owner's inbox.
type delivery struct {
	message
	// at is when the message was put into the inbox.
	at time.Time
}

// added submits a job.
type added struct{ job *Job }

// cancelled cancels a job.
type cancelled struct{ job *Job }

// released marks results as no longer needed.
type released struct{ handles []string }

// ended reports the end of a call. results is nil if the call failed.
type ended struct {
	call    *Call
	results []Result
	busy    bool
	// restsUntil is when the upstream's limit allows a call again; zero unless the call wasn't sent for its limit.
	restsUntil time.Time
}

// freed reports that an upstream was asked to free results. It has freed them or couldn't be reached.
type freed struct {
	upstream string
	handles  []string
}

// unknownFreed reports that the upstreams were asked to free results that the queue doesn't know.
type unknownFreed struct{}

func (added) isMessage()        {}
func (freed) isMessage()        {}
func (unknownFreed) isMessage() {}
func (cancelled) isMessage()    {}
func (released) isMessage()     {}
func (ended) isMessage()        {}

// Source returns the current batch specification and upstreams of a service; ok is false while they are unknown. It is
// called only from the owner's main loop.
type Source func() (spec site.Batch, upstreams []Upstream, ok bool)

// owner is the loop that serves one queue on this instance. After another instance has become
// the owner, it keeps running to complete the jobs that have sent pieces.
type owner struct {
	id       queueID
	queue    *Queue
	executor Executor
	source   Source
	inbox    chan delivery
	// publish sends the wait times of the queue to the other owners.
	publish func(w WaitTimes)
	// published holds the last published wait times. nextPublish is when they are published again.
	published   WaitTimes
	nextPublish time.Time
	// isOwner reports whether this instance should own the queue now. wasOwner is its last result.
	isOwner  func() bool
	wasOwner bool
	// claim tells the other instances whether this one owns the queue, stalled that it stood still.
	claim   func(now time.Time, owns bool)
	stalled func(now time.Time)
	// nextRefresh is when the upstreams are read again, and whether this instance owns the queue. nextDecision is when
	// the next calls may be started.
	nextRefresh  time.Time
	nextDecision time.Time
	// awakeAt is when the main loop last handled a message or a tick.
	awakeAt time.Time
	// staleUntil is until when jobs of other instances are returned, because they were submitted before a stall ended.
	staleUntil time.Time
	// unknown holds the handles of released results that the queue doesn't know, such as those of a previous owner.
	// freeingUnknown is set while the upstreams are asked to free earlier ones.
	unknown        []string
	freeingUnknown bool
	// reportAt is when the state of the queue is logged next.
	reportAt time.Time
	load     loopLoad
}

// loopLoad is the load of an owner's main loop since its state was last logged.
type loopLoad struct {
	// messages is the number of handled messages, longestWait the longest time that one of them was in the inbox.
	messages    int
	longestWait time.Duration
	// busy is the time that the loop spent at work, waits for the processor included.
	busy time.Duration
}

func newOwner(id queueID, executor Executor, source Source, publish func(w WaitTimes), waitTimesOf func(service string) WaitTimes, isOwner func() bool) *owner {
	o := &owner{
		isOwner:  isOwner,
		publish:  publish,
		id:       id,
		queue:    NewQueue(site.Batch{}),
		executor: executor,
		source:   source,
		inbox:    make(chan delivery, ownerInbox),
		claim:    func(time.Time, bool) {},
		stalled:  func(time.Time) {},
	}
	o.queue.WaitTimesOf = waitTimesOf
	return o
}

// run serves the queue until ctx ends. All messages that arrive until the next decision are handled together, since in
// a burst an owner that decided after each message would fall behind.
func (o *owner) run(ctx context.Context) {
	ticker := time.NewTicker(ownerTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-o.inbox:
			time.Sleep(time.Until(o.nextDecision))
			started := time.Now()
			o.refresh(started)
			o.handle(d)
			o.handleWaiting()
			o.decide(ctx, started)
		case <-ticker.C:
			started := time.Now()
			o.detectStall(started)
			if o.queue.Idle() && o.published.All < minPublishedWait {
				continue
			}
			o.refresh(started)
			o.decide(ctx, started)
		}
	}
}

// detectStall tells the queue if the main loop didn't run for stallTime. After lostTime it returns the jobs of other
// instances that have no sent pieces, since they run elsewhere now.
func (o *owner) detectStall(now time.Time) {
	if pause := now.Sub(o.awakeAt); !o.awakeAt.IsZero() && pause > stallTime {
		returned := 0
		if pause > lostTime {
			o.staleUntil = now.Add(staleTime)
			o.stalled(now)
			returned = o.queue.ReturnUnsent(true)
		}
		klog.InfoS("queue stalled", "service", o.id.service, "queueZone", o.id.zone, "ms", pause.Milliseconds(), "returned", returned)
		o.queue.Resume(now)
	}
	o.awakeAt = now
}

// handleWaiting handles the messages that are in the inbox now.
func (o *owner) handleWaiting() {
	for range len(o.inbox) {
		o.handle(<-o.inbox)
	}
}

// decide starts the calls that can be sent now and publishes the state of the queue. started is when the work since the
// last decision began.
func (o *owner) decide(ctx context.Context, started time.Time) {
	now := time.Now()
	o.nextDecision = now.Add(decisionInterval)
	o.startCalls(ctx, now)
	o.freeUnneeded(ctx)
	o.publishWaitTimes(now)
	o.logRejections()
	ended := time.Now()
	o.load.busy += ended.Sub(started)
	o.logState(ended)
}

// send puts a message into the inbox, unless ctx ends first.
func (o *owner) send(ctx context.Context, m message) {
	select {
	case o.inbox <- delivery{message: m, at: time.Now()}:
	case <-ctx.Done():
	}
}

// publishWaitTimes publishes the wait times every publishPeriod while All is at least minPublishedWait, and once more when it
// falls below.
func (o *owner) publishWaitTimes(now time.Time) {
	if now.Before(o.nextPublish) {
		return
	}
	w := o.queue.WaitTimes(now)
	if w.All < minPublishedWait && o.published.All < minPublishedWait {
		return
	}
	o.publish(w)
	o.published = w
	o.nextPublish = now.Add(publishPeriod)
}

// returnUnsent claims the queue while this instance owns it. Once it no longer does, returnUnsent ends the jobs that have
// no sent pieces, so that their callers submit them to the new owner.
func (o *owner) returnUnsent(now time.Time) {
	isOwner := o.isOwner()
	o.claim(now, isOwner)
	if o.wasOwner && !isOwner {
		n := o.queue.ReturnUnsent(false)
		klog.InfoS("queue handed on", "service", o.id.service, "queueZone", o.id.zone, "orders", n)
	}
	o.wasOwner = isOwner
}

func (o *owner) logRejections() {
	for _, r := range o.queue.TakeRejections() {
		klog.InfoS("order refused", "request", r.Job.Request, "service", o.id.service, "queueZone", o.id.zone, "stage", r.Job.Stage,
			"pieces", r.Job.Pieces, "ahead", r.PiecesWaiting, "estimateMs", r.Estimate.Milliseconds(),
			"waitedMs", r.Waited.Milliseconds(), "leftMs", r.Left.Milliseconds(), "upstreams", o.queue.fastUpstreams())
	}
}

// logState logs the state of the queue every reportPeriod while the queue is in use.
func (o *owner) logState(now time.Time) {
	if now.Before(o.reportAt) {
		return
	}
	o.reportAt = now.Add(reportPeriod)
	c := o.queue.TakeCounts()
	used, memory := o.queue.Memory()
	all, busy, restricted := o.queue.Upstreams(now)
	took, expected := c.meanTimes()
	klog.InfoS("queue", "service", o.id.service, "queueZone", o.id.zone, "waiting", o.queue.Waiting(), "calls", c.Calls, "pieces", c.Pieces,
		"callMs", took.Milliseconds(), "expectedMs", expected.Milliseconds(),
		"noRoom", c.NoMemory, "failed", c.Failed, "gone", c.Gone, "late", c.Rejected,
		"unused", c.Unused, "expired", c.Expired, "roomUsed", used, "room", memory,
		"upstreams", all, "busy", busy, "paused", restricted, "messages", o.load.messages,
		"inboxMs", o.load.longestWait.Milliseconds(), "loopMs", o.load.busy.Milliseconds())
	o.load = loopLoad{}
}

// refresh updates the queue's batch specification and upstreams from the source, and returns the queue's jobs if this
// instance no longer owns it. It does so at most once per ownerTick.
func (o *owner) refresh(now time.Time) {
	if now.Before(o.nextRefresh) {
		return
	}
	o.nextRefresh = now.Add(ownerTick)
	spec, upstreams, ok := o.source()
	if ok {
		o.queue.SetSpec(spec)
		o.queue.SetUpstreams(upstreams)
	}
	o.returnUnsent(now)
}

// handle handles a message from the inbox.
func (o *owner) handle(d delivery) {
	now := time.Now()
	o.detectStall(now)
	o.load.messages++
	o.load.longestWait = max(o.load.longestWait, now.Sub(d.at))
	switch m := d.message.(type) {
	case added:
		if m.job.Remote && now.Before(o.staleUntil) {
			m.job.finish(Outcome{Reason: ReasonNoOwner})
			return
		}
		o.queue.Add(now, m.job)
	case cancelled:
		o.queue.Release(o.queue.Cancel(m.job))
	case released:
		o.unknown = append(o.unknown, o.queue.Release(m.handles)...)
	case unknownFreed:
		o.freeingUnknown = false
	case freed:
		o.queue.Freed(m.upstream, m.handles)
	case ended:
		o.queue.ObserveDelay(now.Sub(d.at))
		o.queue.Release(o.queue.Done(d.at, m.call, m.results, m.busy))
		m.call.Upstream.rest(m.restsUntil)
	}
}

// freeUnneeded starts to free the results that should be freed now.
func (o *owner) freeUnneeded(ctx context.Context) {
	if len(o.unknown) > 0 && !o.freeingUnknown {
		go o.freeUnknown(ctx, o.unknown)
		o.unknown, o.freeingUnknown = nil, true
	}
	for upstream, handles := range o.queue.Freeable() {
		go o.free(ctx, upstream, handles)
	}
}

// freeUnknown tells the upstreams to delete results that the queue doesn't know.
func (o *owner) freeUnknown(ctx context.Context, handles []string) {
	o.executor.Free(ctx, handles)
	o.send(ctx, unknownFreed{})
}

// free tells an upstream to delete results, and reports them as freed to the owner's main loop.
func (o *owner) free(ctx context.Context, upstream string, handles []string) {
	o.executor.Free(ctx, handles)
	o.send(ctx, freed{upstream, handles})
}

// startCalls starts all calls that can be sent now, each in its own goroutine.
func (o *owner) startCalls(ctx context.Context, now time.Time) {
	for {
		c := o.queue.Next(now)
		if c == nil {
			return
		}
		go o.execute(ctx, c)
	}
}

// execute runs a call and reports its end to the owner's main loop.
func (o *owner) execute(ctx context.Context, c *Call) {
	callCtx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	results, busy, err := o.executor.Execute(callCtx, c)
	var refusal *quota.Refusal
	if errors.As(err, &refusal) {
		o.send(ctx, ended{call: c, busy: true, restsUntil: refusal.Until})
		return
	}
	if err != nil {
		c.Broken = exchange.IsBroken(err)
		klog.InfoS("pieces not made", "service", o.id.service, "queueZone", o.id.zone, "upstream", c.Upstream.ID, "pieces", len(c.Items),
			"busy", busy, "broken", c.Broken, "took", time.Since(c.StartedAt), "err", err)
		results = nil
	}
	o.send(ctx, ended{call: c, results: results, busy: busy})
}
