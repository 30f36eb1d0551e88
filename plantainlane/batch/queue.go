// Package batch makes the pieces of requests in calls that hold pieces of many requests. The queue of a service
// has one owner among the instances; every instance orders pieces there.
//
// Load pattern: a call takes a long time whatever it holds and an upstream makes one at a time, while each
// instance alone sees less than one request in the time of a call. One queue for all instances fills the calls:
// waiting for a free upstream is the time in which a call fills.
package batch

import (
	"slices"
	"time"

	"plantainlane/plantainlane/site"
)

// Order is pieces of one stage of one request.
type Order struct {
	// Request ID.
	Request string
	// Stage number in the request's route.
	Stage int
	// Pieces is the number of pieces. Positive.
	Pieces int
	// Key of the pieces, for a stage that needs no results.
	Key string
	// Inputs of each piece, for a stage that needs results.
	Inputs []string
	// Zone in which the results are needed.
	Zone string
	// Bytes is the approximate size of a result.
	Bytes int
	// Due is when the results should be there for the request to be on time.
	Due time.Time
	// Deadline is when the results are of no use any more.
	Deadline time.Time
	// Priority ranks the request; 0 is the highest.
	Priority int
	// Next lists the services whose queues the request goes through afterwards.
	Next []string
	// Reply is called once, with the outcome.
	Reply func(Outcome)

	// added is when the order came to the queue.
	added time.Time
	// next is the first piece not sent yet.
	next int
	// again holds pieces to be sent once more.
	again []int
	// handles of the pieces made, by piece.
	handles []string
	made    int
	// tries is the number of pieces that failed.
	tries int
	done  bool
}

// Outcome ends an order.
type Outcome struct {
	// Handles of the results, by piece; nil unless all were made.
	Handles []string
	// Reason why pieces were not made; empty if they were.
	Reason Reason
	// RetryAfter is when there may be room, if the order was turned away.
	RetryAfter time.Duration
}

// Reason tells why pieces were not made.
type Reason string

const (
	// ReasonLate orders can't be made before their deadline.
	ReasonLate Reason = "late"
	// ReasonGone orders need a result that is gone.
	ReasonGone Reason = "gone"
	// ReasonFailed orders failed too often.
	ReasonFailed Reason = "failed"
	// ReasonRoom pieces found no room at the upstream.
	ReasonRoom Reason = "room"
	// ReasonNoOwner orders reached no owner of the queue.
	ReasonNoOwner Reason = "noOwner"
	// ReasonCancelled orders were given up by the caller.
	ReasonCancelled Reason = "cancelled"
)

// Item is one piece in a call.
type Item struct {
	Order *Order
	Piece int
}

// Call is pieces for one upstream.
type Call struct {
	// Worker that makes the pieces.
	Worker *Worker
	Items  []Item
	// Began is when the call was sent.
	Began time.Time
	// Expected is when the call should end.
	Expected time.Time
}

// Result is what an upstream says of one piece.
type Result struct {
	// Handle of the result; empty if the piece was not made.
	Handle string
	// Reason why it was not made.
	Reason Reason
}

// Worker is an upstream that makes pieces.
type Worker struct {
	ID      string
	Address string
	Zone    string
	// Leaving upstreams get no new calls.
	Leaving bool

	calls int
	// used is the room that results take, in bytes.
	used int
	held map[string]heldResult
	// unneeded results were given up and still take room.
	unneeded []string
	// slowness is the time of calls over the expected time, smoothed. 1 at first.
	slowness float64
	failures int
	// notBefore is when the upstream may be tried again after a failure.
	notBefore time.Time
}

type heldResult struct {
	bytes int
	until time.Time
}

const (
	// maxTries is the number of failed pieces after which an order fails.
	maxTries = 6
	// nearBonus is how much earlier an order is served by an upstream of the zone that needs its results.
	nearBonus = 150 * time.Millisecond
	// priorityStep is how much later an order counts as due for each rank of its priority.
	priorityStep = 300 * time.Millisecond
	// slowShare is the weight of the newest call in an upstream's slowness.
	slowShare = 0.4
	// firstPause and maxPause bound the time an upstream is left alone after failures.
	firstPause = 300 * time.Millisecond
	maxPause   = 3 * time.Second
	// slowLimit is the slowness from which an upstream only gets calls while orders would wait too long.
	slowLimit = 2.0
	// roomPause is how long an upstream is left alone after it had no room: it holds results that this queue
	// doesn't know, such as those of an owner before.
	roomPause = 150 * time.Millisecond
	// keepSlack is added to the time that a result is thought to take room.
	keepSlack = 300 * time.Millisecond
	// similarSlowness is a difference between upstreams that doesn't matter.
	similarSlowness = 0.3
	// worthwhileFill is the part of a full call for which an upstream short of room is not left waiting.
	worthwhileFill = 0.6
	// rateShare is the weight of the newest measurement of how quickly pieces are made.
	rateShare = 0.3
	// rateEvery is the period of measuring it.
	rateEvery = 500 * time.Millisecond
	// patientPart is the part of its time that an order without results waits.
	patientPart = 0.5
	// minRetryAfter and maxRetryAfter bound the time that callers are told to wait.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Queue holds the orders of one service and chooses the calls. It is used by one goroutine and does no I/O.
type Queue struct {
	spec    site.Batch
	orders  []*Order
	workers map[string]*Worker
	// waiting is the number of pieces not sent yet.
	waiting int
	// Congested tells whether the queue of another service is so long that it should get no more of what is
	// late already. Nil stands for never.
	Congested func(service string) bool
	// rate is the pieces made a second of late while more than a full call waited; 0 while that is unknown.
	rate float64
	// madeSince counts the pieces made since measuredAt, and backlog tells whether enough waited all the while.
	madeSince  int
	measuredAt time.Time
	backlog    bool
	// largest is the size of the largest result ordered so far, in bytes.
	largest int
	counts  Counts
}

// Counts sums up what a queue did since they were last taken.
type Counts struct {
	// Calls sent, and the pieces in them.
	Calls, Pieces int
	// NoRoom, Failed and Gone count pieces by why they were not made.
	NoRoom, Failed, Gone int
	// Late counts orders that were turned away or gave up.
	Late int
}

// TakeCounts returns the counts and begins them anew.
func (q *Queue) TakeCounts() Counts {
	out := q.counts
	q.counts = Counts{}
	return out
}

// Room is the room that results take at all upstreams, and all there is, in bytes.
func (q *Queue) Room() (used, all int) {
	for _, w := range q.workers {
		used += w.used
		all += q.spec.RoomBytes
	}
	return used, all
}

// Workers returns the number of upstreams, and of those that are busy and those that are left alone for a while.
func (q *Queue) Workers(now time.Time) (all, busy, paused int) {
	for _, w := range q.workers {
		all++
		if w.calls > 0 {
			busy++
		}
		if w.Leaving || now.Before(w.notBefore) || w.slowness >= slowLimit {
			paused++
		}
	}
	return all, busy, paused
}

// NewQueue returns an empty queue.
func NewQueue(spec site.Batch) *Queue {
	return &Queue{spec: spec, workers: make(map[string]*Worker)}
}

// SetSpec takes a changed description of the calls.
func (q *Queue) SetSpec(spec site.Batch) { q.spec = spec }

// SetWorkers takes the upstreams known now. Those that are missing are forgotten.
func (q *Queue) SetWorkers(list []Worker) {
	seen := make(map[string]bool, len(list))
	for _, w := range list {
		seen[w.ID] = true
		known := q.workers[w.ID]
		if known == nil || known.Address != w.Address {
			known = &Worker{ID: w.ID, Address: w.Address, Zone: w.Zone, slowness: 1, held: make(map[string]heldResult)}
			q.workers[w.ID] = known
		}
		known.Leaving = w.Leaving
	}
	for id := range q.workers {
		if !seen[id] {
			delete(q.workers, id)
		}
	}
}

// Waiting is the number of pieces that wait for a call.
func (q *Queue) Waiting() int { return q.waiting }

// Add takes an order. One that can't be made in time is turned away at once.
func (q *Queue) Add(now time.Time, o *Order) {
	if now.Add(q.estimate(now, o)).After(o.giveUp(now)) {
		q.turnAway(o)
		return
	}
	o.added = now
	o.handles = make([]string, o.Pieces)
	q.largest = max(q.largest, o.Bytes)
	q.orders = append(q.orders, o)
	q.waiting += o.Pieces
}

// turnAway ends an order that can't be made in time.
func (q *Queue) turnAway(o *Order) {
	q.counts.Late++
	o.finish(Outcome{Reason: ReasonLate, RetryAfter: min(max(q.timeFor(q.waiting), minRetryAfter), maxRetryAfter)})
}

// giveUp is until when an order waits at most. One that holds no results yet gives up early enough for its caller
// to come back in time.
func (o *Order) giveUp(now time.Time) time.Time {
	if len(o.Inputs) > 0 {
		return o.Deadline
	}
	if o.added.IsZero() {
		return now.Add(time.Duration(patientPart * float64(o.Deadline.Sub(now))))
	}
	return o.added.Add(time.Duration(patientPart * float64(o.Deadline.Sub(o.added))))
}

// estimate is the time until an order added now would be made: the pieces that go before it, in full calls over
// all upstreams, and its own call.
func (q *Queue) estimate(now time.Time, o *Order) time.Duration {
	ahead := 0
	for _, other := range q.orders {
		if q.before(now, other, o) {
			ahead += other.unsent()
		}
	}
	return q.callTime(min(o.Pieces, q.spec.Size)) + q.timeFor(ahead)
}

// timeFor is the time that so many pieces take: at the pace at which pieces were made of late while some waited, or
// in full calls over all upstreams.
func (q *Queue) timeFor(pieces int) time.Duration {
	if q.rate > 0 {
		return time.Duration(float64(pieces) / q.rate * float64(time.Second))
	}
	usable := 0
	for _, w := range q.workers {
		if !w.Leaving && w.slowness < slowLimit {
			usable++
		}
	}
	if usable == 0 || q.spec.Size == 0 {
		return 0
	}
	perPiece := float64(q.callTime(q.spec.Size)) / float64(q.spec.Size*usable)
	return time.Duration(float64(pieces) * perPiece)
}

// measure notes how quickly pieces are made while more than a full call waits.
func (q *Queue) measure(now time.Time) {
	span := now.Sub(q.measuredAt)
	if span < rateEvery {
		q.backlog = q.backlog && q.waiting >= q.spec.Size
		return
	}
	if q.backlog && span < 2*rateEvery {
		rate := float64(q.madeSince) / span.Seconds()
		if q.rate == 0 {
			q.rate = rate
		}
		q.rate += rateShare * (rate - q.rate)
	}
	q.measuredAt, q.madeSince, q.backlog = now, 0, q.waiting >= q.spec.Size
}

// Wait is the time until a piece ordered now is begun, not counting what waits behind it.
func (q *Queue) Wait(now time.Time) time.Duration {
	ahead := 0
	for _, o := range q.orders {
		if !o.isLate(now, q.spec.CallTime) {
			ahead += o.unsent()
		}
	}
	return q.timeFor(ahead)
}

// isLate tells whether a request can't be on time any more. Only a request that holds no results counts: one that
// has begun is finished, since its results take room until then.
func (o *Order) isLate(now time.Time, callTime time.Duration) bool {
	return len(o.Inputs) == 0 && now.Add(callTime).After(o.Due)
}

// before tells whether an order goes before another one: those that can be on time before those that can't.
//
// Load pattern: in a burst, serving by due time alone makes every request late, since the oldest are always served
// just after their time. Late requests are served with what capacity is left.
func (q *Queue) before(now time.Time, a, b *Order) bool {
	lateA, lateB := a.isLate(now, q.spec.CallTime), b.isLate(now, q.spec.CallTime)
	if lateA != lateB {
		return lateB
	}
	return a.rank().Before(b.rank())
}

// isHeld tells whether an order has to wait for the queues that its request goes through afterwards.
func (q *Queue) isHeld(now time.Time, o *Order) bool {
	return q.Congested != nil && o.isLate(now, q.spec.CallTime) && slices.ContainsFunc(o.Next, q.Congested)
}

func (q *Queue) callTime(pieces int) time.Duration {
	return q.spec.CallTime + time.Duration(pieces)*q.spec.PieceTime
}

// rank is when the order counts as due against other orders.
func (o *Order) rank() time.Time {
	return o.Due.Add(time.Duration(o.Priority) * priorityStep)
}

func (o *Order) unsent() int { return o.Pieces - o.next + len(o.again) }

func (o *Order) finish(out Outcome) {
	if o.done {
		return
	}
	o.done = true
	o.Reply(out)
}

// Cancel gives an order up. Its pieces that were made are returned.
func (q *Queue) Cancel(o *Order) (made []string) {
	if !o.done {
		q.remove(o)
		for _, h := range o.handles {
			if h != "" {
				made = append(made, h)
			}
		}
		o.finish(Outcome{Reason: ReasonCancelled})
	}
	return made
}

// HandBack ends the orders of which nothing was sent, so that they are given to the queue's next owner. It returns
// their number.
func (q *Queue) HandBack() int {
	n := 0
	for _, o := range slices.Clone(q.orders) {
		if o.next == 0 {
			q.remove(o)
			o.finish(Outcome{Reason: ReasonNoOwner})
			n++
		}
	}
	return n
}

func (q *Queue) remove(o *Order) {
	if i := slices.Index(q.orders, o); i >= 0 {
		q.orders = slices.Delete(q.orders, i, i+1)
		q.waiting -= o.unsent()
	}
}

// Next chooses the next call; nil if there is none now.
func (q *Queue) Next(now time.Time) *Call {
	q.expire(now)
	q.measure(now)
	if q.waiting == 0 {
		return nil
	}
	order := q.sendable(now)
	if len(order) == 0 {
		return nil
	}
	w := q.freeWorker(now, order)
	if w == nil {
		return nil
	}
	items := q.fill(now, w, order)
	if len(items) == 0 {
		return nil
	}
	w.calls++
	q.counts.Calls++
	q.counts.Pieces += len(items)
	expected := time.Duration(float64(q.callTime(len(items))) * w.slowness)
	return &Call{Worker: w, Items: items, Began: now, Expected: now.Add(expected)}
}

// expire ends the orders that are of no use any more and frees the results whose time is over.
func (q *Queue) expire(now time.Time) {
	for _, o := range slices.Clone(q.orders) {
		if now.Add(q.spec.CallTime).After(o.giveUp(now)) && o.unsent() > 0 {
			q.remove(o)
			q.turnAway(o)
		}
	}
	for _, w := range q.workers {
		for handle, h := range w.held {
			if now.After(h.until) {
				w.release(handle)
			}
		}
	}
}

// freeWorker returns the upstream for the next call: of those with a free slot the one of the zone that the most
// urgent order needs its results in, then the quickest.
func (q *Queue) freeWorker(now time.Time, order []*Order) *Worker {
	var best *Worker
	for _, w := range q.workers {
		if w.Leaving || w.calls >= max(q.spec.Slots, 1) || now.Before(w.notBefore) {
			continue
		}
		if w.slowness >= slowLimit && !q.pressed() {
			continue
		}
		if !q.hasRoom(w, order) {
			continue
		}
		if best == nil || w.before(best, order[0].Zone) {
			best = w
		}
	}
	return best
}

// sendable returns the orders with pieces to send now, the first one first.
func (q *Queue) sendable(now time.Time) []*Order {
	out := make([]*Order, 0, len(q.orders))
	for _, o := range q.orders {
		if o.unsent() > 0 && !q.isHeld(now, o) {
			out = append(out, o)
		}
	}
	slices.SortStableFunc(out, func(a, b *Order) int { return q.compare(now, a, b) })
	return out
}

func (q *Queue) compare(now time.Time, a, b *Order) int {
	switch {
	case q.before(now, a, b):
		return -1
	case q.before(now, b, a):
		return 1
	}
	return 0
}

// hasRoom tells whether an upstream has room for a call that is worth its time: for what waits, or for the most part
// of a full call.
func (q *Queue) hasRoom(w *Worker, order []*Order) bool {
	if q.spec.RoomBytes <= 0 || w.used == 0 {
		return true
	}
	room, fits, wanted := q.spec.RoomBytes-w.used, 0, 0
	for _, o := range order {
		n := o.unsent()
		if wanted+n > q.spec.Size {
			n = q.spec.Size - wanted
		}
		wanted += n
		if n*o.Bytes <= room {
			room -= n * o.Bytes
			fits += n
		}
		if wanted == q.spec.Size {
			break
		}
	}
	return fits == wanted || float64(fits) >= worthwhileFill*float64(q.spec.Size)
}

// pressed tells whether more waits than the quick upstreams take in one call each.
func (q *Queue) pressed() bool {
	quick := 0
	for _, w := range q.workers {
		if !w.Leaving && w.slowness < slowLimit {
			quick++
		}
	}
	return q.waiting > quick*q.spec.Size
}

func (w *Worker) before(other *Worker, zone string) bool {
	if (w.Zone == zone) != (other.Zone == zone) {
		return w.Zone == zone
	}
	if d := w.slowness - other.slowness; max(d, -d) > similarSlowness {
		return d < 0
	}
	return w.used < other.used || w.used == other.used && w.ID < other.ID
}

// fill chooses the pieces of a call, the most urgent first. Of the orders that are on time, those whose results are
// needed in the upstream's zone count as a little more urgent.
func (q *Queue) fill(now time.Time, w *Worker, order []*Order) []Item {
	rank := func(o *Order) time.Time {
		if o.Zone == w.Zone {
			return o.rank().Add(-nearBonus)
		}
		return o.rank()
	}
	slices.SortStableFunc(order, func(a, b *Order) int {
		if a.isLate(now, q.spec.CallTime) != b.isLate(now, q.spec.CallTime) {
			return q.compare(now, a, b)
		}
		return rank(a).Compare(rank(b))
	})
	var items []Item
	room := q.spec.RoomBytes - w.used
	for _, o := range order {
		fits := q.spec.Size - len(items)
		if q.spec.RoomBytes > 0 && o.Bytes > 0 {
			fits = min(fits, room/o.Bytes)
		}
		// An order that is split holds the results of its first part until the last one is made.
		if o.unsent() > fits && len(items) > 0 {
			continue
		}
		for range min(fits, o.unsent()) {
			room -= o.Bytes
			items = append(items, Item{Order: o, Piece: o.take()})
			q.waiting--
		}
	}
	return items
}

// take returns the next piece to send.
func (o *Order) take() int {
	if n := len(o.again); n > 0 {
		p := o.again[n-1]
		o.again = o.again[:n-1]
		return p
	}
	o.next++
	return o.next - 1
}

// Done takes the results of a call, in the order of its items. A nil list means that the call failed; ran tells
// whether it may have been worked on. It returns results that nobody waits for.
func (q *Queue) Done(now time.Time, c *Call, results []Result, busy bool) (unused []string) {
	w := c.Worker
	w.calls--
	if results == nil {
		w.fail(now, busy)
	} else {
		w.succeed(now.Sub(c.Began), q.callTime(len(c.Items)))
	}
	if slices.ContainsFunc(results, func(r Result) bool { return r.Reason == ReasonRoom }) {
		w.notBefore = now.Add(roomPause)
	}
	for i, item := range c.Items {
		r := Result{Reason: ReasonFailed}
		if results != nil {
			r = results[i]
		}
		if r.Handle != "" {
			q.madeSince++
			w.hold(r.Handle, item.Order.Bytes, now.Add(q.spec.KeepFor+keepSlack))
		}
		if item.Order.done {
			if r.Handle != "" {
				unused = append(unused, r.Handle)
			}
			continue
		}
		q.take(item, r, busy)
	}
	return unused
}

func (q *Queue) take(item Item, r Result, busy bool) {
	o := item.Order
	switch {
	case r.Handle != "":
		o.handles[item.Piece] = r.Handle
		o.made++
		if o.made == o.Pieces {
			q.remove(o)
			o.finish(Outcome{Handles: o.handles})
		}
		return
	case r.Reason == ReasonGone, r.Reason == ReasonLate:
		q.counts.Gone++
		q.remove(o)
		o.finish(Outcome{Reason: r.Reason})
		return
	}
	if r.Reason == ReasonRoom {
		q.counts.NoRoom++
	} else if !busy {
		q.counts.Failed++
		o.tries++
	}
	if o.tries > maxTries {
		q.remove(o)
		o.finish(Outcome{Reason: ReasonFailed})
		return
	}
	o.again = append(o.again, item.Piece)
	q.waiting++
}

func (w *Worker) fail(now time.Time, busy bool) {
	pause := firstPause
	if !busy {
		w.failures++
		pause = min(firstPause<<min(w.failures-1, 6), maxPause)
	}
	w.notBefore = now.Add(pause)
}

func (w *Worker) succeed(took, usual time.Duration) {
	w.failures = 0
	if usual > 0 {
		ratio := max(float64(took)/float64(usual), 1)
		w.slowness += slowShare * (ratio - w.slowness)
	}
}

func (w *Worker) hold(handle string, bytes int, until time.Time) {
	w.held[handle] = heldResult{bytes: bytes, until: until}
	w.used += bytes
}

// release forgets a result.
func (w *Worker) release(handle string) {
	w.used -= w.held[handle].bytes
	delete(w.held, handle)
}

// Release gives up results. The room they take counts until they are freed, see Freeable. It returns the results
// that the queue doesn't know, such as those of an owner before.
func (q *Queue) Release(handles []string) (unknown []string) {
	for _, handle := range handles {
		if w := q.holder(handle); w != nil {
			w.unneeded = append(w.unneeded, handle)
			continue
		}
		unknown = append(unknown, handle)
	}
	return unknown
}

// holder returns the upstream that holds a result; nil if it is not known.
func (q *Queue) holder(handle string) *Worker {
	for _, w := range q.workers {
		if _, ok := w.held[handle]; ok {
			return w
		}
	}
	return nil
}

// Freeable returns results to be freed, by the ID of the upstream that holds them: given-up ones of each upstream
// that has no room for a full call. Others end by themselves. Their room counts until Freed.
func (q *Queue) Freeable() map[string][]string {
	var out map[string][]string
	for id, w := range q.workers {
		if len(w.unneeded) == 0 || w.used+q.spec.Size*q.largest < q.spec.RoomBytes {
			continue
		}
		if out == nil {
			out = make(map[string][]string)
		}
		out[id], w.unneeded = w.unneeded, nil
	}
	return out
}

// Freed notes that an upstream has freed results.
func (q *Queue) Freed(worker string, handles []string) {
	w := q.workers[worker]
	if w == nil {
		return
	}
	for _, handle := range handles {
		w.release(handle)
	}
}
