package forward

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/route"
	"plantainlane/wire"
)

// The replay in this file sends loads with fixed seeds to modelled engines, through instances with the real balancer and
// the real decision on prompts, in steps of replayStep.
const (
	replayStep      = 5 * time.Millisecond
	replayTime      = 60 * time.Second
	replaySeeds     = 3
	replayInstances = 8
	replayEngines   = 20
	replaySlots     = 24
	replayMemory    = 400_000
	// replayReport is the period of engines' reports of load.
	replayReport = 300 * time.Millisecond
)

// replayCall is a request in the replay. work is the time that the engine takes for its tokens, while it reads no prompt.
type replayCall struct {
	parts                            []PromptPart
	work                             time.Duration
	instance                         int
	target                           route.Target
	sending                          *promptcache.Sending
	unread                           float64
	sentAt, firstAfter, eventAt, gap time.Duration
	next                             *replayCall
}

// replayEngine reads prompts before it goes on with the requests that it runs. Its memory keeps the newest parts: parts
// holds their sizes, order their IDs, the newest last.
type replayEngine struct {
	tokensPerMs      float64
	waiting, running []*replayCall
	parts            map[string]int
	order            []string
	memory           int
}

// unreadOf returns the tokens of a prompt that aren't in memory, and puts them there.
func (e *replayEngine) unreadOf(parts []PromptPart) (unread float64) {
	isKept := true
	for _, p := range parts {
		kept := min(e.parts[p.ID], p.Tokens)
		if !isKept {
			kept = 0
		}
		isKept = kept == p.Tokens
		unread += float64(p.Tokens - kept)
		e.memory += p.Tokens - e.parts[p.ID]
		e.parts[p.ID] = p.Tokens
		e.order = append(slices.DeleteFunc(e.order, func(id string) bool { return id == p.ID }), p.ID)
	}
	for ; e.memory > replayMemory; e.order = e.order[1:] {
		e.memory -= e.parts[e.order[0]]
		delete(e.parts, e.order[0])
	}
	return unread
}

// step runs the engine for a step. It returns the calls that end, and the tokens of the prompts that it starts to read.
func (e *replayEngine) step(now time.Duration) (ended []*replayCall, unread float64) {
	for len(e.waiting) > 0 && len(e.running) < replaySlots {
		c := e.waiting[0]
		e.waiting, e.running = e.waiting[1:], append(e.running, c)
		c.unread = e.unreadOf(c.parts)
		unread += c.unread
	}
	left := float64(replayStep.Milliseconds())
	for _, c := range e.running {
		read := min(c.unread, left*e.tokensPerMs)
		c.unread -= read
		left -= read / e.tokensPerMs
	}
	e.running = slices.DeleteFunc(e.running, func(c *replayCall) bool {
		if c.unread == 0 && left > 0 {
			if c.firstAfter == 0 {
				c.firstAfter, c.eventAt = now-c.sentAt, now
			}
			c.gap, c.eventAt = max(c.gap, now-c.eventAt), now
			c.work -= time.Duration(left * e.tokensPerMs / 48 * float64(time.Millisecond))
		}
		if c.unread == 0 && c.work <= 0 {
			ended = append(ended, c)
			return true
		}
		return false
	})
	return ended, unread
}

// replayCase is a load and the engines for it: the rate of requests with one further prefix from second 20 to 35, and how
// many times as slow as the others one engine is.
type replayCase struct{ burst, slow float64 }

func part(id string, tokens int) PromptPart { return PromptPart{ID: id, Tokens: tokens} }

// replayLoad returns the requests by time. A few first parts are very common, and each is followed by one of many topics.
// Sessions ask up to five times, with their own part grown.
func replayLoad(r *rand.Rand, c replayCase) map[time.Duration][]*replayCall {
	out := make(map[time.Duration][]*replayCall)
	newCall := func(parts ...PromptPart) *replayCall {
		return &replayCall{parts: parts, work: time.Duration((0.5 + r.ExpFloat64()) * float64(time.Second)), instance: r.IntN(replayInstances)}
	}
	n := 0
	for at := time.Duration(0); at < replayTime; at += time.Duration(r.ExpFloat64() / 40 * float64(time.Second)) {
		n++
		first, topic := min(int(r.ExpFloat64()*1.5), 5), int(math.Pow(300, r.Float64()))
		shared := []PromptPart{part(fmt.Sprint("first", first), 600+900*first), part(fmt.Sprint("topic", first, "-", topic), 1000+topic*7919%12000)}
		own := part(fmt.Sprint("own", n), 100+int(math.Exp(r.Float64()*8)))
		call, step := newCall(shared[0], shared[1], own), at.Truncate(replayStep)
		out[step] = append(out[step], call)
		for range r.IntN(5) {
			own.Tokens += 300 + int(r.ExpFloat64()*800)
			call.next = newCall(shared[0], shared[1], own)
			call = call.next
		}
		if at > 20*time.Second && at < 35*time.Second && r.Float64() < c.burst/40 {
			out[step] = append(out[step], newCall(part("burst", 9000), part(fmt.Sprint("once", n), 300)))
		}
	}
	return out
}

// replay is a run of a load, by the fixed slack or by weighing.
type replay struct {
	isOld      bool
	balancers  []*route.Balancer
	estimators []*promptcache.Estimator
	engines    map[string]*replayEngine
	upstreams  *upstreamList
	// read is the number of tokens read, all that of all prompts; onTime and calls are numbers of requests.
	read, all     float64
	onTime, calls int
}

// moment returns a time of the replay.
func moment(at time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(at) }

func newReplay(c replayCase, isOld bool) *replay {
	r := &replay{isOld: isOld, engines: make(map[string]*replayEngine), upstreams: &upstreamList{placement: &promptcache.Placement{}}}
	for i := range replayEngines {
		e := &replayEngine{tokensPerMs: 48, parts: make(map[string]int)}
		if i == 3 {
			e.tokensPerMs /= max(c.slow, 1)
		}
		id := fmt.Sprint("e", i)
		r.engines[id] = e
		r.upstreams.all = append(r.upstreams.all, listedUpstream{id, "z", 1})
		r.upstreams.placement.Add(id, "z", 1)
	}
	for i := range replayInstances {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		r.balancers = append(r.balancers, route.New(moment(-time.Minute), "r", "z", route.WithRandom(random.Uint64)))
		r.estimators = append(r.estimators, &promptcache.Estimator{Share: func() float64 { return 1.0 / replayInstances }})
	}
	r.report(-time.Minute)
	return r
}

// report announces the engines with their loads.
func (r *replay) report(now time.Duration) {
	for _, u := range r.upstreams.all {
		load := wire.UpstreamLoad{InFlight: len(r.engines[u.id].running), Queued: len(r.engines[u.id].waiting)}
		for _, b := range r.balancers {
			b.Apply(moment(now), wire.Announcement{
				ID: u.id, Service: "s", Region: "r", Zone: "z", Capacity: replaySlots, Incarnation: 1, Sequence: int(now/replayStep) + 1e6, Load: load,
			})
			b.Review(moment(now))
		}
	}
}

// send chooses the engine of a call.
func (r *replay) send(now time.Duration, c *replayCall) {
	estimator, q := r.estimators[c.instance], route.Query{Service: "s"}
	var plan *promptcache.Plan
	if r.isOld {
		a := affinityOf(r.upstreams.all, c.parts)
		q.Preferred, q.PreferredSlack = a.ids, a.slack
	} else {
		engine := promptcache.Engine{Slots: replaySlots, CacheTokens: replayMemory}
		plan = estimator.Plan(moment(now), "s", engine, promptcache.NewPrompt(c.parts), r.upstreams.placement)
		plan.HasEvents, q.Preferred = true, plan.Preferred
		q.Weigh = func(list []route.State) int { return estimator.Weigh(moment(now), plan, list) }
	}
	c.target, _ = r.balancers[c.instance].Pick(moment(now), q)
	c.sentAt, c.sending = now, estimator.Sent(moment(now), plan, c.target.ID, 1)
	e := r.engines[c.target.ID]
	e.waiting = append(e.waiting, c)
	r.calls++
	for _, p := range c.parts {
		r.all += float64(p.Tokens)
	}
}

// run replays a load.
func (r *replay) run(load map[time.Duration][]*replayCall) {
	for now := time.Duration(0); now < replayTime+20*time.Second; now += replayStep {
		if now%replayReport == 0 {
			r.report(now)
		}
		for _, c := range load[now] {
			r.send(now, c)
		}
		for _, u := range r.upstreams.all {
			ended, unread := r.engines[u.id].step(now)
			r.read += unread
			for _, c := range ended {
				c.sending.FirstEvent(moment(c.sentAt + c.firstAfter))
				c.sending.End(moment(now), true)
				c.target.Done(moment(now), route.Outcome{Result: route.Success, Latency: now - c.sentAt})
				if c.firstAfter <= 1500*time.Millisecond && c.gap <= 500*time.Millisecond {
					r.onTime++
				}
				if c.next != nil {
					load[now+2*time.Second] = append(load[now+2*time.Second], c.next)
				}
			}
		}
	}
}

// TestPromptReplay guards against a decision that has more tokens read again than a fixed slack in calls has, or that pays
// for fewer with requests that are late.
func TestPromptReplay(t *testing.T) {
	for name, c := range map[string]replayCase{"calm": {}, "burst": {burst: 40}, "slow engine": {slow: 2.5}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var old, weighed replay
			for i, sum := range []*replay{&old, &weighed} {
				for seed := range uint64(replaySeeds) {
					x := newReplay(c, i == 0)
					x.run(replayLoad(rand.New(rand.NewPCG(1, seed)), c))
					sum.read, sum.all, sum.onTime, sum.calls = sum.read+x.read, sum.all+x.all, sum.onTime+x.onTime, sum.calls+x.calls
				}
				t.Logf("%s: read %.2f of %.1f million tokens, %d of %d on time", []string{"slack  ", "weighed"}[i], sum.read/1e6, sum.all/1e6, sum.onTime, sum.calls)
			}
			is.True(weighed.read < old.read)
			is.True(weighed.onTime >= old.onTime)
		})
	}
}
