package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"plantainlane/plantainlane/site"
)

// largeStageSpec is a service of the site's stages, with the number of its upstreams.
type largeStageSpec struct {
	service   string
	upstreams int
	spec      site.Batch
}

// largeStages are the services of the site's stages.
var largeStages = []largeStageSpec{
	{"catalogue", 45, site.Batch{Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond, MemoryBytes: 9_600_000, KeepFor: 4 * time.Second}},
	{"audio", 36, site.Batch{Slots: 1, MaxPieces: 22, CallTime: 240 * time.Millisecond, PieceTime: 9400 * time.Microsecond, MemoryBytes: 2_400_000, KeepFor: 4 * time.Second}},
	{"notices", 43, site.Batch{Slots: 1, MaxPieces: 28, CallTime: 240 * time.Millisecond, PieceTime: 7300 * time.Microsecond, MemoryBytes: 310_000, KeepFor: 4 * time.Second}},
}

// largeStage is a stage of a class's route.
type largeStage struct {
	// service is an index of largeStages.
	service int
	// after is the index of the stage whose results this one needs; -1 for none.
	after int
	bytes int
	// share is the fraction of requests that need the stage, mean and spread describe the number of pieces.
	share, mean, spread float64
	// work is the time of a piece as a multiple of the usual.
	work float64
}

// largeClass is a class of requests.
type largeClass struct {
	name        string
	perSecond   float64
	target      time.Duration
	deadline    time.Duration
	worth, late float64
	priority    int
	// engineTime is the time from the completion of the stages to the first event of the answer.
	engineTime time.Duration
	stages     []largeStage
}

var largeClasses = []largeClass{
	{"guide", 82.1, 1400 * time.Millisecond, 12 * time.Second, 3.8, 0.57, 1, 250 * time.Millisecond, []largeStage{{0, -1, 800_000, 0.7, 2.5, 0.6, 1}}},
	{"rewrite", 85, 2 * time.Second, 12 * time.Second, 2.4, 0.36, 0, 100 * time.Millisecond, []largeStage{
		{0, -1, 8_000, 1, 1, 0, 0.3}, {1, 0, 60_000, 1, 4, 0, 1}, {2, 1, 6_000, 1, 6, 0.4, 1},
	}},
	{"tone", 144, 2200 * time.Millisecond, 6 * time.Second, 0.35, 0.052, 2, 130 * time.Millisecond, []largeStage{
		{0, -1, 800_000, 0.4, 1.5, 0.6, 1}, {0, -1, 8_000, 1, 1, 0, 0.3}, {1, 1, 60_000, 1, 4, 0, 1}, {2, 2, 6_000, 1, 6, 0.4, 1},
	}},
}

// largeBurst multiplies the rate of a class, or of all classes, for some seconds.
type largeBurst struct {
	class    string
	from, to float64
	factor   float64
}

// largeUpstream is an upstream of the replay. It runs one call after another.
type largeUpstream struct {
	free     time.Time
	memory   int
	slowness float64
}

// largeReplay runs the queues of a site with 124 upstreams in simulated time: classes of requests with different stages,
// callers that come back once, upstreams that know best what they hold, and an engine that reads the results of the last
// stages.
type largeReplay struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	events map[time.Time][]func()
	// zones is the number of queues of each service: one for all upstreams, or one for each zone. The queues of a service stand
	// one after another. waits holds their wait times, published those that the callers' instances know.
	zones            int
	queues           []*Queue
	waits, published []WaitTimes
	// upstreams holds the upstreams of each queue by ID, results the sizes of the results by handle.
	upstreams []map[string]*largeUpstream
	results   map[string]*largeResult
	handles   int
	// earned and owed hold the worth by second of arrival, classEarned and classOwed by class.
	earned, owed           []float64
	classEarned, classOwed map[string]float64
	// machines holds the machine of each queue's owner; nil if what an owner does takes no time.
	machines []*largeMachine
	// noMemory and made count pieces, by service; busy is the time that upstreams worked.
	noMemory, made []int
	busy           []time.Duration
}

// largeResult is a result at an upstream.
type largeResult struct {
	upstream *largeUpstream
	bytes    int
}

const (
	largeStep = 5 * time.Millisecond
	// largeTransfer is the time of a message between two processes, with what delays it there.
	largeTransfer = 10 * time.Millisecond
)

// largeZones is the number of the site's zones.
const largeZones = 5

// newLargeReplay returns a replay with one queue for each service.
func newLargeReplay(seed uint64) *largeReplay { return newZonedReplay(seed, 1) }

// newZonedReplay returns a replay with a number of queues for each service: 1 or largeZones.
func newZonedReplay(seed uint64, zones int) *largeReplay {
	r := &largeReplay{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), start: time.Unix(1000, 0), zones: zones,
		events: make(map[time.Time][]func()), results: make(map[string]*largeResult),
		waits: make([]WaitTimes, len(largeStages)*zones), published: make([]WaitTimes, len(largeStages)*zones),
		classEarned: make(map[string]float64), classOwed: make(map[string]float64), machines: make([]*largeMachine, len(largeStages)*zones),
		noMemory: make([]int, len(largeStages)), made: make([]int, len(largeStages)), busy: make([]time.Duration, len(largeStages)),
	}
	for queue := range r.waits {
		all := make(map[string]*largeUpstream)
		for _, u := range upstreams(r.upstreamZones(queue)...) {
			all[u.ID] = &largeUpstream{memory: r.stage(queue).spec.MemoryBytes, slowness: 1}
		}
		r.upstreams = append(r.upstreams, all)
		r.queues = append(r.queues, nil)
		r.changeOwner(queue)
	}
	return r
}

// stage returns the stage of a queue's service.
func (r *largeReplay) stage(queue int) *largeStageSpec { return &largeStages[queue/r.zones] }

// zoneOf returns the zone of a queue; empty if it serves all.
func (r *largeReplay) zoneOf(queue int) string {
	if r.zones == 1 {
		return ""
	}
	return largeZone(queue % r.zones)
}

// largeZone returns the name of a zone.
func largeZone(i int) string { return string(rune('a' + i%largeZones)) }

// upstreamZones returns the zones of the upstreams that a queue serves.
func (r *largeReplay) upstreamZones(queue int) []string {
	var zones []string
	for i := range r.stage(queue).upstreams {
		if zone := largeZone(i); r.zones == 1 || zone == r.zoneOf(queue) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// queueFor returns the queue of a service for a job of a request.
func (r *largeReplay) queueFor(service int, zone string, crossing time.Duration) int {
	if r.zones == 1 {
		return service
	}
	l := layout{zones: make(map[string]int)}
	index := func(zone string) int { return service*r.zones + int(zone[0]-'a') }
	var other detour
	for i := range r.zones {
		near := largeZone(i)
		l.zones[near] = len(r.upstreams[index(near)])
		if wait := r.published[index(near)].OnTime; near != zone && (other.zone == "" || wait < other.wait) {
			other = detour{zone: near, wait: wait}
		}
	}
	return index(l.queueFor(queueID{zone: zone}, r.published[index(zone)].OnTime, other, crossing).zone)
}

// changeOwner gives a queue to an owner that knows nothing. What waits is submitted again to the new one.
func (r *largeReplay) changeOwner(queue int) {
	old := r.queues[queue]
	q := newQueue(r.stage(queue).spec, r.upstreamZones(queue)...)
	q.ObserveDelay(largeTransfer)
	q.WaitTimesOf = func(service string) WaitTimes {
		var i int
		_, _ = fmt.Sscan(service, &i)
		return r.waits[i*r.zones+queue%r.zones]
	}
	r.queues[queue] = q
	if old != nil {
		old.ReturnUnsent(false)
	}
}

// toOwner passes a message to the owner of a queue, which handles it once its machine gets to it.
func (r *largeReplay) toOwner(queue int, handle func()) {
	r.after(largeTransfer, func() {
		d := r.work(queue, largeMessageWork, largeMessageBytes)
		if d == 0 {
			handle()
			return
		}
		r.after(d, handle)
	})
}

// work gives work to the machine of a queue's owner, and returns the time until it is done.
func (r *largeReplay) work(queue int, takes time.Duration, bytes int) time.Duration {
	m := r.machines[queue]
	if m == nil {
		return 0
	}
	return m.work(r.now, takes, bytes)
}

// after runs do after a time, which is rounded to a multiple of largeStep.
func (r *largeReplay) after(d time.Duration, do func()) {
	t := r.now.Add(max(d.Round(largeStep), largeStep))
	r.events[t] = append(r.events[t], do)
}

// play sends the requests of a number of seconds, and runs until all have ended.
func (r *largeReplay) play(seconds int, bursts ...largeBurst) {
	r.earned, r.owed = make([]float64, seconds), make([]float64, seconds)
	for step := range int((time.Duration(seconds)*time.Second + 8*time.Second) / largeStep) {
		r.now = r.start.Add(time.Duration(step) * largeStep)
		at := r.now.Sub(r.start).Seconds()
		for i := range largeClasses {
			rate := largeClasses[i].perSecond
			for _, b := range bursts {
				if (b.class == "" || b.class == largeClasses[i].name) && at >= b.from && at < b.to {
					rate *= b.factor
				}
			}
			for n := r.poisson(rate * largeStep.Seconds()); n > 0 && at < float64(seconds); n-- {
				r.arrive(&largeClasses[i])
			}
		}
		for _, do := range r.events[r.now] {
			do()
		}
		delete(r.events, r.now)
		for i := range r.queues {
			r.startCalls(i)
			if step%20 == 0 {
				r.waits[i] = r.queues[i].WaitTimes(r.now)
			}
			if step%200 == 0 {
				r.published[i] = r.waits[i]
			}
		}
	}
}

// poisson returns a random number of events of which mean are expected, for a small mean.
func (r *largeReplay) poisson(mean float64) int {
	n, p := 0, r.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= r.random.Float64()
	}
	return n
}

// largeRequest is one request of a caller.
type largeRequest struct {
	class   *largeClass
	zone    string
	arrived time.Time
	second  int
	tries   int
	// try counts the starts of the stages; what belongs to an earlier one is ignored.
	try    int
	pieces []int
	// handles holds the results of each stage that is completed. left is the number of stages that aren't.
	handles [][]string
	left    int
	// queues holds the queue to which each stage was submitted.
	queues []int
}

func (r *largeReplay) arrive(c *largeClass) {
	q := &largeRequest{class: c, zone: largeZone(r.random.IntN(largeZones)), queues: make([]int, len(c.stages)), arrived: r.now, second: int(r.now.Sub(r.start).Seconds())}
	for _, s := range c.stages {
		n := 0
		if r.random.Float64() < s.share {
			n = max(int(math.Round(s.mean*math.Exp(s.spread*r.random.NormFloat64()-s.spread*s.spread/2))), 1)
		}
		q.pieces = append(q.pieces, min(n, int(4*s.mean)))
	}
	r.owed[q.second] += c.worth
	r.classOwed[c.name] += c.worth
	r.begin(q)
}

// begin runs the stages of a request from the first on.
func (r *largeReplay) begin(q *largeRequest) {
	q.try++
	q.handles, q.left = make([][]string, len(q.pieces)), 0
	for _, n := range q.pieces {
		if n > 0 {
			q.left++
		}
	}
	if q.left == 0 {
		r.readByEngine(q)
		return
	}
	for i, s := range q.class.stages {
		if s.after < 0 && q.pieces[i] > 0 {
			r.submit(q, i, nil)
		}
	}
}

// remaining returns the time that a request needs after a stage if it waits nowhere, and the services of its later stages.
func (q *largeRequest) remaining(stage int) (time.Duration, []string) {
	for i, s := range q.class.stages {
		if s.after == stage && q.pieces[i] > 0 {
			rest, next := q.remaining(i)
			spec := largeStages[s.service].spec
			return rest + spec.CallTime + time.Duration(q.pieces[i])*spec.PieceTime, append([]string{fmt.Sprint(s.service)}, next...)
		}
	}
	return 100 * time.Millisecond, nil
}

func (r *largeReplay) submit(q *largeRequest, stage int, inputs []string) {
	s, try := q.class.stages[stage], q.try
	rest, next := q.remaining(stage)
	j := &Job{
		Request: "r", Stage: stage, Pieces: q.pieces[stage], Bytes: s.bytes, Inputs: inputs, NextServices: next, Priority: q.class.priority,
		HoldsMemory: s.service == 2, Zone: r.zoneFor(q, stage),
		Due:      q.arrived.Add(q.class.target*9/10 - rest),
		Deadline: q.arrived.Add(q.class.deadline - rest),
	}
	j.OnDone = func(out Outcome) {
		r.after(largeTransfer, func() { r.stageEnded(q, stage, try, out) })
	}
	queue := r.queueFor(s.service, j.Zone, 0)
	q.queues[stage] = queue
	r.toOwner(queue, func() { r.queues[queue].Add(r.now, j) })
}

// zoneFor returns the preferred zone of a stage: that of its inputs where each zone has a queue, or that of the request.
func (r *largeReplay) zoneFor(q *largeRequest, stage int) string {
	if after := q.class.stages[stage].after; after >= 0 && r.zones > 1 {
		return r.zoneOf(q.queues[after])
	}
	return q.zone
}

func (r *largeReplay) stageEnded(q *largeRequest, stage, try int, out Outcome) {
	if q.try != try {
		r.release(q.queues[stage], out.Handles)
		return
	}
	switch {
	case out.Reason == ReasonNoOwner:
		r.submit(q, stage, r.inputsOf(q, stage))
		return
	case out.Reason == ReasonGone:
		r.giveUp(q)
		r.begin(q)
		return
	case out.Reason != "":
		r.giveUp(q)
		r.comeBack(q, out.RetryAfter)
		return
	}
	if after := q.class.stages[stage].after; after >= 0 {
		r.release(q.queues[after], q.handles[after])
		q.handles[after] = nil
	}
	q.handles[stage] = out.Handles
	q.left--
	for i, s := range q.class.stages {
		if s.after == stage && q.pieces[i] > 0 {
			r.submit(q, i, out.Handles)
		}
	}
	if q.left == 0 {
		r.readByEngine(q)
	}
}

// inputsOf returns the results that a stage needs.
func (r *largeReplay) inputsOf(q *largeRequest, stage int) []string {
	if after := q.class.stages[stage].after; after >= 0 {
		return q.handles[after]
	}
	return nil
}

// giveUp releases what a request holds.
func (r *largeReplay) giveUp(q *largeRequest) {
	q.try++
	for i, handles := range q.handles {
		r.release(q.queues[i], handles)
	}
	q.handles = make([][]string, len(q.pieces))
}

// comeBack lets the caller of a refused request try once more, unless it would have to wait for too long.
func (r *largeReplay) comeBack(q *largeRequest, retryAfter time.Duration) {
	left := q.class.deadline - r.now.Sub(q.arrived)
	if q.tries++; q.tries <= 1 && left > time.Second {
		r.after(min(max(retryAfter, 150*time.Millisecond), left/3), func() { r.begin(q) })
	}
}

// readByEngine ends a request whose stages are completed.
func (r *largeReplay) readByEngine(q *largeRequest) {
	r.after(q.class.engineTime, func() {
		worth := 0.0
		switch took := r.now.Sub(q.arrived); {
		case took <= q.class.target:
			worth = q.class.worth
		case took <= q.class.deadline:
			worth = q.class.late
		}
		r.earned[q.second] += worth
		r.classEarned[q.class.name] += worth
		r.giveUp(q)
	})
}

// release tells the owner of a queue that results are no longer needed. Those that it doesn't know are freed at once.
func (r *largeReplay) release(queue int, handles []string) {
	if len(handles) == 0 {
		return
	}
	r.toOwner(queue, func() {
		if unknown := r.queues[queue].Release(handles); len(unknown) > 0 {
			r.after(largeTransfer, func() { r.drop(unknown) })
		}
	})
}

// drop deletes results at their upstreams.
func (r *largeReplay) drop(handles []string) {
	for _, h := range handles {
		if res := r.results[h]; res != nil {
			res.upstream.memory += res.bytes
			delete(r.results, h)
		}
	}
}

// startCalls frees results and starts the calls that can be sent now.
func (r *largeReplay) startCalls(queue int) {
	q := r.queues[queue]
	for id, handles := range q.Freeable() {
		r.after(largeTransfer, func() {
			r.drop(handles)
			r.after(largeTransfer, func() { q.Freed(id, handles) })
		})
	}
	for c := q.Next(r.now); c != nil; c = q.Next(r.now) {
		r.after(r.work(queue, largeCallWork, largeCallBytes)+largeTransfer, func() { r.runCall(queue, q, c) })
	}
}

// runCall runs a call once its upstream has ended the calls before it.
func (r *largeReplay) runCall(queue int, q *Queue, c *Call) {
	u := r.upstreams[queue][c.Upstream.ID]
	if u.free.After(r.now) {
		r.after(u.free.Sub(r.now), func() { r.runCall(queue, q, c) })
		return
	}
	spec, took := r.stage(queue).spec, r.stage(queue).spec.CallTime
	results := make([]Result, len(c.Items))
	for i, item := range c.Items {
		results[i] = r.makePiece(queue, u, item)
		if results[i].Handle != "" {
			took += time.Duration(float64(spec.PieceTime) * r.workOf(queue, item))
		}
	}
	took = time.Duration(float64(took) * u.slowness)
	u.free = r.now.Add(took.Round(largeStep))
	r.busy[queue/r.zones] += took
	var handles []string
	for _, res := range results {
		if res.Handle != "" {
			handles = append(handles, res.Handle)
		}
	}
	r.after(took+spec.KeepFor, func() { r.drop(handles) })
	r.after(took, func() {
		r.toOwner(queue, func() { q.Release(q.Done(r.now, c, results, false)) })
	})
}

// workOf returns the work of a piece, which its size tells.
func (r *largeReplay) workOf(queue int, item Item) float64 {
	if queue/r.zones == 0 && item.Job.Bytes < 100_000 {
		return 0.3
	}
	return 1
}

// makePiece reserves the memory of a piece's result at an upstream.
func (r *largeReplay) makePiece(queue int, u *largeUpstream, item Item) Result {
	for _, input := range item.Job.Inputs {
		if r.results[input] == nil {
			return Result{Reason: ReasonGone}
		}
	}
	if u.memory < item.Job.Bytes {
		r.noMemory[queue/r.zones]++
		return Result{Reason: ReasonNoMemory}
	}
	r.made[queue/r.zones]++
	u.memory -= item.Job.Bytes
	r.handles++
	h := fmt.Sprint("h", r.handles)
	r.results[h] = &largeResult{u, item.Job.Bytes}
	return Result{Handle: h}
}

// share returns the share of its worth that the site earned with the requests of some seconds.
func (r *largeReplay) share(from, to int) float64 {
	earned, owed := 0.0, 0.0
	for i := from; i < to; i++ {
		earned += r.earned[i]
		owed += r.owed[i]
	}
	return earned / owed
}

func (r *largeReplay) summary() string {
	text := ""
	for i := 0; i+2 <= len(r.owed); i += 2 {
		text += fmt.Sprintf(" %.2f", r.share(i, i+2))
	}
	return fmt.Sprintf("worth %.3f; by two seconds%s; made %v, no memory %v", r.share(0, len(r.owed)), text, r.made, r.noMemory)
}
