package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/wire"
)

// Member is an instance that submits jobs and may own queues, see Owner.
type Member struct {
	ID   string
	Zone string
	// Cores is the number of processor cores that the instance may use.
	Cores float64
	// Capacity is the work that the instance can do compared with others; 0 if not known.
	Capacity float64
	// Owns holds the queues that the instance claims, as text of Peers.Claim; empty for none.
	Owns string
	// BesideLeader is set if the instance runs on the machine of the leader of the control log.
	BesideLeader bool
	// BesideControl is set if a replica of the control log, or an instance that serves only control, runs on its machine.
	BesideControl bool
}

// Peers gives a Dispatcher access to the other instances. It is safe for concurrent use.
type Peers interface {
	// Send sends a frame to an instance. It doesn't block; the frame may be lost.
	Send(to string, f wire.Frame)
	// Losses returns a number that grows when frames to or from an instance may have been lost.
	Losses(id string) int
	// Claim tells all instances which queues this one owns. It doesn't block; the newest call counts.
	Claim(owns string)
	// Members returns the reachable instances that submit jobs and may own queues, including this one.
	Members() []Member
}

const (
	// memberCheckPeriod is how often a waiting job checks that the owner of its queue is still reachable.
	memberCheckPeriod = 150 * time.Millisecond
	// waitTimesValid is how long published wait times remain valid.
	waitTimesValid = time.Second
	// minOwnerCores is the number of processor cores that the owner of a queue should have at least.
	minOwnerCores = 0.25
	// maxSubmissions is the maximum number of times that a job is submitted, each time to the owner at that time.
	maxSubmissions = 4
)

// Dispatcher submits the jobs of this instance to the owners of the queues, and serves the queues that this instance
// owns. It is safe for concurrent use.
type Dispatcher struct {
	self     string
	zone     string
	peers    Peers
	executor Executor
	source   func(service string) Source
	ctx      context.Context
	// OnLoad is called with the load of an upstream that another instance passed on, and when it was reported. It may be nil.
	OnLoad func(upstream string, load wire.UpstreamLoad, at time.Time)
	loads  *loadBoard

	mu     sync.Mutex
	owners map[queueID]*owner
	// layouts holds the division of each service's upstreams into queues.
	layouts map[string]layout
	// pending holds the jobs that were submitted to other instances and haven't ended, by the Call number of their
	// frames. lastFrameCall is the latest such number.
	pending       map[int]pendingJob
	lastFrameCall int
	// waitTimes holds the wait times of the queues that were last published or told in answers, detours what the owners of
	// queues told of others.
	waitTimes map[queueID]publishedWait
	detours   map[queueID]detour
	// recent holds the newest releases of results.
	recent map[queueID]*recentReleases
	// owned holds the queues that this instance claims. It is replaced, not changed. numbers holds the highest number of an
	// ownership that was seen of each queue. No queue is claimed before claimFrom.
	owned     ownerships
	numbers   map[queueID]int
	claimFrom time.Time
	// remote holds the jobs that other instances submitted to this one and that haven't ended.
	remote map[remoteKey]remoteJob
}

// publishedWait holds the wait times that the owner of a queue published.
type publishedWait struct {
	times WaitTimes
	// validUntil is when the wait times become too old to be used.
	validUntil time.Time
}

// pendingJob is a job that was submitted to another instance and hasn't ended.
type pendingJob struct {
	queue        queueID
	reply        chan Outcome
	onInputsRead func()
}

// remoteKey identifies a job of another instance by that instance's ID and the Call number of its frame.
type remoteKey struct {
	from string
	call int
}

// remoteJob is a job that another instance submitted, and the owner loop that it was delivered to.
type remoteJob struct {
	job   *Job
	owner *owner
}

// NewDispatcher returns a dispatcher of an instance in a zone. Its goroutines end with ctx. The frames that submit jobs are
// numbered upwards from firstFrameCall, so that answers to frames of a previous start of the instance are not taken for
// answers to its own.
func NewDispatcher(ctx context.Context, self, zone string, firstFrameCall int, peers Peers, executor Executor, source func(service string) Source) *Dispatcher {
	return &Dispatcher{
		self: self, zone: zone, peers: peers, executor: executor, source: source, ctx: ctx, lastFrameCall: firstFrameCall,
		loads:     newLoadBoard(),
		owners:    make(map[queueID]*owner),
		layouts:   make(map[string]layout),
		pending:   make(map[int]pendingJob),
		remote:    make(map[remoteKey]remoteJob),
		waitTimes: make(map[queueID]publishedWait),
		detours:   make(map[queueID]detour),
		recent:    make(map[queueID]*recentReleases),
		owned:     make(ownerships),
		numbers:   make(map[queueID]int),
		claimFrom: time.Now().Add(claimAfter),
	}
}

// eligibleOwners returns the members with at least minOwnerCores cores, or all members if none has as many.
func eligibleOwners(members []Member) []Member {
	eligible := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Cores < minOwnerCores })
	if len(eligible) == 0 {
		return members
	}
	return eligible
}

// ownerOf returns the ID of the current owner of a queue, "" if there is none. If the owner has changed since
// the last call, it sends the newest releases again to the new one: the previous owner may have been lost before it
// freed the results, which would then occupy the upstreams' memory until they expire.
func (d *Dispatcher) ownerOf(q queueID) string {
	to := d.ownerAmong(q, d.members())
	if again := d.releases(q).changeOwner(time.Now(), to); len(again) > 0 {
		klog.InfoS("releases sent again", "service", q.service, "queueZone", q.zone, "owner", to, "results", len(again))
		d.sendRelease(to, q, again)
	}
	return to
}

// releases returns the newest releases of results to a queue.
func (d *Dispatcher) releases(q queueID) *recentReleases {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.recent[q]
	if r == nil {
		r = &recentReleases{}
		d.recent[q] = r
	}
	return r
}

// Run submits a job to the owner of one of the service's queues and waits until the job has ended or ctx is done. If the
// owner is lost or no longer owns the queue, Run submits the job again, up to maxSubmissions times in all.
func (d *Dispatcher) Run(ctx context.Context, service string, j Job) Outcome {
	previous := ""
	for range maxSubmissions {
		q := d.queueFor(service, &j, time.Now())
		to := d.ownerOf(q)
		if to == previous {
			// The owner may need some time to notice that it is the owner again.
			wait(ctx, memberCheckPeriod)
		}
		previous = to
		out := d.runAt(ctx, to, q, j)
		if out.Reason != ReasonNoOwner || ctx.Err() != nil {
			return out
		}
	}
	return Outcome{Reason: ReasonNoOwner}
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runAt submits a job to the given owner of the queue and waits until the job has ended or ctx is done. The outcome is
// ReasonNoOwner if the owner becomes unreachable or hands the job back.
func (d *Dispatcher) runAt(ctx context.Context, to string, q queueID, j Job) Outcome {
	if to == "" {
		return Outcome{Reason: ReasonNoOwner}
	}
	reply := make(chan Outcome, 1)
	losses := d.peers.Losses(to)
	send := func() {}
	var cancel func()
	if to == d.self {
		cancel = d.submitLocal(q, &j, reply)
	} else {
		send, cancel = d.submitRemote(to, q, &j, reply)
	}
	send()
	ticker := time.NewTicker(memberCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case out := <-reply:
			return out
		case <-ctx.Done():
			cancel()
			return Outcome{Reason: ReasonCancelled}
		case <-ticker.C:
			if to != d.self && !d.isReachable(to) {
				cancel()
				return Outcome{Reason: ReasonNoOwner}
			}
			if n := d.peers.Losses(to); n != losses {
				// The order or the answer may be lost. The owner ignores an order that it has.
				losses = n
				send()
			}
		}
	}
}

func (d *Dispatcher) isReachable(id string) bool {
	return slices.ContainsFunc(d.peers.Members(), func(m Member) bool { return m.ID == id })
}

// submitLocal adds a job to a queue of this instance. The returned function cancels the job.
func (d *Dispatcher) submitLocal(q queueID, j *Job, reply chan Outcome) (cancel func()) {
	j.OnDone = func(out Outcome) { reply <- out }
	if inputsRead := j.OnInputsRead; inputsRead != nil {
		// The owner calls it, and would wait for itself if it released results to an inbox that is full.
		j.OnInputsRead = func() { go inputsRead() }
	}
	ow := d.owner(q)
	d.deliver(ow, added{j})
	return func() { d.deliver(ow, cancelled{j}) }
}

// submitRemote submits a job to another instance. Each call of send sends it; cancel cancels it.
func (d *Dispatcher) submitRemote(to string, q queueID, j *Job, reply chan Outcome) (send, cancel func()) {
	d.mu.Lock()
	d.lastFrameCall++
	call := d.lastFrameCall
	d.pending[call] = pendingJob{q, reply, j.OnInputsRead}
	d.mu.Unlock()
	send = func() { d.peers.Send(to, wire.Frame{Call: call, PieceOrder: pieceOrder(q, j, time.Now())}) }
	cancel = func() {
		d.mu.Lock()
		delete(d.pending, call)
		d.mu.Unlock()
		yes := true
		d.peers.Send(to, wire.Frame{Call: call, PieceCancel: &yes})
	}
	return send, cancel
}

// pieceOrder returns a job as a message that is sent now.
func pieceOrder(q queueID, j *Job, now time.Time) *wire.PieceOrder {
	return &wire.PieceOrder{
		Service: q.service, QueueZone: q.zone, Request: j.Request, Stage: j.Stage, Pieces: j.Pieces, Key: j.Key,
		Inputs: append([]string{}, j.Inputs...), Next: append([]string{}, j.NextServices...),
		Zone: j.Zone, CrossBytes: j.CrossBytes, HoldsRoom: j.HoldsMemory, Bytes: j.Bytes, Priority: j.Priority,
		DueMs:  int(j.Due.Sub(now) / time.Millisecond),
		LeftMs: int(j.Deadline.Sub(now) / time.Millisecond),
	}
}

// Release tells the owner of a queue that results of a service, most of which are in a zone, are no longer needed. The
// message may be lost; the results then expire at their upstreams, or are freed by the next owner, see ownerOf.
func (d *Dispatcher) Release(service, zone string, handles []string) {
	q := d.queueNear(service, zone)
	to := d.ownerOf(q)
	d.releases(q).add(time.Now(), handles)
	d.sendRelease(to, q, handles)
}

// sendRelease sends released handles to an owner, which may be this instance. It does nothing if there is no owner.
func (d *Dispatcher) sendRelease(to string, q queueID, handles []string) {
	switch to {
	case "":
	case d.self:
		d.deliver(d.owner(q), released{handles})
	default:
		d.peers.Send(to, wire.Frame{
			PieceRelease:  &wire.PieceRelease{Service: q.service, QueueZone: q.zone, Handles: handles},
			UpstreamLoads: d.loads.reportsFor(time.Now(), to, true),
		})
	}
}

// WaitTimes returns the last published wait times of the queue that serves the upstreams of a service in a zone; zero if
// they are unknown or too old.
func (d *Dispatcher) WaitTimes(service, zone string) WaitTimes {
	return d.publishedWait(d.queueNear(service, zone), time.Now())
}

// publishedWait returns the last published wait times of a queue; zero if they are unknown or too old.
func (d *Dispatcher) publishedWait(q queueID, now time.Time) WaitTimes {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.waitTimes[q]
	if now.After(w.validUntil) {
		return WaitTimes{}
	}
	return w.times
}

// recordWaitTimes stores the wait times of a queue.
func (d *Dispatcher) recordWaitTimes(q queueID, w WaitTimes) {
	validUntil := time.Now().Add(waitTimesValid)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitTimes[q] = publishedWait{w, validUntil}
}

// publishWaitTimes sends the wait times of a queue of this instance to all members that own queues. The others learn them
// from the answers to their jobs: an instance needn't have a connection to each owner.
func (d *Dispatcher) publishWaitTimes(q queueID, w WaitTimes) {
	d.recordWaitTimes(q, w)
	for _, m := range d.peers.Members() {
		if m.ID != d.self && m.Owns != "" {
			d.peers.Send(m.ID, wire.Frame{PieceQueue: &wire.PieceQueue{
				Service: q.service, QueueZone: q.zone, WaitMs: int(w.OnTime / time.Millisecond), AllMs: int(w.All / time.Millisecond),
			}})
		}
	}
}

// HandleFrame handles a frame from another instance and reports whether the frame was meant for a dispatcher.
func (d *Dispatcher) HandleFrame(f wire.Frame) bool {
	d.learnLoads(f.From, f.UpstreamLoads)
	switch {
	case f.PieceOrder != nil:
		d.handlePieceOrder(f.From, f.Call, f.PieceOrder)
	case f.PieceAnswer != nil:
		d.handleAnswer(f.Call, f.PieceAnswer)
	case f.PieceBegun != nil:
		d.handleInputsRead(f.Call)
	case f.PieceCancel != nil:
		d.handleCancel(remoteKey{f.From, f.Call})
	case f.PieceQueue != nil:
		d.recordWaitTimes(queueID{f.PieceQueue.Service, f.PieceQueue.QueueZone}, WaitTimes{
			OnTime: time.Duration(f.PieceQueue.WaitMs) * time.Millisecond,
			All:    time.Duration(f.PieceQueue.AllMs) * time.Millisecond,
		})
	case f.PieceRelease != nil:
		d.deliver(d.owner(queueID{f.PieceRelease.Service, f.PieceRelease.QueueZone}), released{f.PieceRelease.Handles})
	default:
		return false
	}
	return true
}

// handlePieceOrder adds a job that another instance submitted to this instance's queue for the service, unless the job is
// there already.
func (d *Dispatcher) handlePieceOrder(from string, call int, p *wire.PieceOrder) {
	if p.Pieces < 1 || p.Pieces > MaxJobPieces || p.Bytes < 0 || p.CrossBytes < 0 {
		klog.InfoS("malformed order", "from", from, "service", p.Service, "pieces", p.Pieces, "bytes", p.Bytes)
		d.sendAnswer(from, call, queueID{p.Service, p.QueueZone}, Outcome{Reason: ReasonFailed})
		return
	}
	now := time.Now()
	key := remoteKey{from, call}
	j := &Job{
		Request: p.Request, Stage: p.Stage, Pieces: p.Pieces, Key: p.Key, Inputs: p.Inputs, NextServices: p.Next, Zone: p.Zone,
		CrossBytes: p.CrossBytes, HoldsMemory: p.HoldsRoom, Bytes: p.Bytes, Priority: p.Priority,
		Due:      now.Add(time.Duration(p.DueMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(p.LeftMs) * time.Millisecond),
		Remote:   true,
	}
	j.OnDone = func(out Outcome) {
		d.mu.Lock()
		delete(d.remote, key)
		d.mu.Unlock()
		d.sendAnswer(from, call, queueID{p.Service, p.QueueZone}, out)
	}
	if len(p.Inputs) > 0 {
		yes := true
		j.OnInputsRead = func() { d.peers.Send(from, wire.Frame{Call: call, PieceBegun: &yes}) }
	}
	ow := d.owner(queueID{p.Service, p.QueueZone})
	d.mu.Lock()
	_, known := d.remote[key]
	if !known {
		d.remote[key] = remoteJob{j, ow}
	}
	d.mu.Unlock()
	if !known {
		d.deliver(ow, added{j})
	}
}

// sendAnswer sends the outcome of a job in a queue of this instance.
func (d *Dispatcher) sendAnswer(to string, call int, q queueID, out Outcome) {
	handles := out.Handles
	if handles == nil {
		handles = []string{}
	}
	now := time.Now()
	w := d.publishedWait(q, now)
	other := d.shortestOther(q, now)
	d.peers.Send(to, wire.Frame{Call: call, UpstreamLoads: d.loads.reportsFor(now, to, false), PieceAnswer: &wire.PieceAnswer{
		Handles: handles, Zone: out.Zone, Reason: string(out.Reason), RetryAfterMs: int(out.RetryAfter / time.Millisecond),
		WaitMs: int(w.OnTime / time.Millisecond), AllMs: int(w.All / time.Millisecond),
		OtherZone: other.zone, OtherWaitMs: int(other.wait / time.Millisecond),
	}})
}

// handleAnswer passes the outcome of a job on to runAt, unless the job was cancelled.
func (d *Dispatcher) handleAnswer(call int, a *wire.PieceAnswer) {
	d.mu.Lock()
	c := d.pending[call]
	delete(d.pending, call)
	d.mu.Unlock()
	if c.reply != nil {
		d.recordAnswer(c.queue, a)
		c.reply <- Outcome{
			Handles: a.Handles, Zone: a.Zone, Reason: Reason(a.Reason),
			RetryAfter: time.Duration(a.RetryAfterMs) * time.Millisecond,
		}
	}
}

func (d *Dispatcher) handleInputsRead(call int) {
	d.mu.Lock()
	c := d.pending[call]
	d.mu.Unlock()
	if c.onInputsRead != nil {
		c.onInputsRead()
	}
}

// handleCancel cancels a job of another instance, unless the job has ended.
func (d *Dispatcher) handleCancel(key remoteKey) {
	d.mu.Lock()
	r, ok := d.remote[key]
	delete(d.remote, key)
	d.mu.Unlock()
	if ok {
		d.deliver(r.owner, cancelled{r.job})
	}
}

// owner returns this instance's owner loop for a queue, and starts the loop on first use.
func (d *Dispatcher) owner(q queueID) *owner {
	d.mu.Lock()
	defer d.mu.Unlock()
	ow := d.owners[q]
	if ow == nil {
		publish := func(w WaitTimes) { d.publishWaitTimes(q, w) }
		isOwner := func() bool { return d.isLaidOut(q) && d.ownerAmong(q, d.members()) == d.self }
		waitTimesOf := func(service string) WaitTimes { return d.WaitTimes(service, q.zone) }
		ow = newOwner(q, d.executor, d.upstreamsOf(q), publish, waitTimesOf, isOwner)
		ow.claim = func(now time.Time, owns bool) { d.claim(now, q, owns) }
		ow.stalled = func(now time.Time) { d.stalled(now, q) }
		d.owners[q] = ow
		go ow.run(d.ctx)
	}
	return ow
}

// deliver puts a message into the inbox of an owner loop, unless the dispatcher's context ends first.
func (d *Dispatcher) deliver(ow *owner, m message) {
	ow.send(d.ctx, m)
}
