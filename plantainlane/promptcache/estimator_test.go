package promptcache

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/route"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testEngine = Engine{Slots: 24, CacheTokens: 100_000}

// placementOf returns a placement of n upstreams, e0 and so on.
func placementOf(n int) *Placement {
	p := &Placement{}
	for i := range n {
		p.Add(fmt.Sprint("e", i), "z", 1)
	}
	return p
}

// plan plans a prompt for n upstreams.
func plan(e *Estimator, now time.Time, n int, parts ...Part) *Plan {
	return e.Plan(now, "s", testEngine, NewPrompt(parts), placementOf(n))
}

// idle is an upstream without calls.
func idle(id string) route.State { return route.State{ID: id, Capacity: 24, Slowdown: 1} }

// TestKeptPromptIsWeighedAgainstWait guards against a session that leaves the upstream which keeps its prompt for a small
// difference of load, and against one that waits there longer than reading takes.
func TestKeptPromptIsWeighedAgainstWait(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	parts := []Part{{"first", 1000}, {"own", 30_000}}
	home := "home"
	e.Sent(epoch, plan(e, epoch, 8, parts...), home, 1).End(epoch.Add(2*time.Second), true)
	now := epoch.Add(3 * time.Second)
	parts[1].Tokens += 500 // the session has grown
	p := plan(e, now, 8, parts...)
	is.True(p.Preferred[len(p.Preferred)-1] == home) // known, though not placed there
	loaded := idle(home)
	loaded.Load = 12
	is.Equal(e.Weigh(now, p, []route.State{loaded, idle("other")}), 0)
	is.Equal(p.Choice().ReadTokens, 500)
	is.Equal(p.Choice().SavedTokens, 31_000)
	loaded.Load = 20
	is.Equal(e.Weigh(now, p, []route.State{loaded, idle("other")}), 0)
	loaded.Pace = 8 // contention on its machine
	is.Equal(e.Weigh(now, p, []route.State{loaded, idle("other")}), 1)
	loaded.Pace = 1
	loaded.Load = 40
	is.Equal(e.Weigh(now, p, []route.State{loaded, idle("other")}), 1)
}

// TestCacheEntriesEnd guards against estimates of parts that the engine has dropped: newer ones fill its memory, it
// restarted, or it refused the request.
func TestCacheEntriesEnd(t *testing.T) {
	parts := []Part{{"first", 1000}, {"topic", 9000}, {"own", 100}}
	state := idle("e0")
	for name, lose := range map[string]func(e *Estimator, x *Sending){
		"newer parts": func(e *Estimator, _ *Sending) {
			for i := range 14 {
				e.Sent(epoch, plan(e, epoch, 8, Part{fmt.Sprint("x", i), 10_000}, Part{fmt.Sprint("y", i), 10}), "e0", 1)
			}
		},
		"restart": func(_ *Estimator, _ *Sending) { state.Incarnation = 2 },
		"not run": func(_ *Estimator, x *Sending) { x.NotRun() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &Estimator{}
			state.Incarnation = 1
			x := e.Sent(epoch, plan(e, epoch, 8, parts...), "e0", 1)
			read := func() int {
				p := plan(e, epoch, 8, parts...)
				e.Weigh(epoch, p, []route.State{state})
				return p.Choice().ReadTokens
			}
			is.Equal(read(), 0)
			lose(e, x)
			is.Equal(read(), 10_100)
		})
	}
}

// TestCommonPrefixGetsMoreUpstreams guards against a very common prefix that overloads its few upstreams, and against a rare
// one that is read at several.
func TestCommonPrefixGetsMoreUpstreams(t *testing.T) {
	is := is.New(t)
	e := &Estimator{Share: func() float64 { return 0.1 }}
	common, rare := make(map[string]bool), make(map[string]bool)
	now := epoch
	for i := range 400 {
		now = now.Add(25 * time.Millisecond) // 40 a second here, 400 in all
		common[plan(e, now, 60, Part{"common", 3000}, Part{fmt.Sprint("own", i), 100}).Preferred[0]] = true
		if i%100 == 0 {
			rare[plan(e, now, 60, Part{"rare", 3000}, Part{fmt.Sprint("own", i), 100}).Preferred[0]] = true
		}
	}
	is.True(len(common) > 20)
	is.Equal(len(rare), 1)
}

// TestGrowingPromptKeepsItsPlace guards against sessions whose prompts grow by further parts, and which would be placed
// elsewhere with each.
func TestGrowingPromptKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	parts := []Part{{"first", 3000}, {"turn0", 500}}
	places := make(map[string]bool)
	for i := range 10 {
		e := &Estimator{Share: func() float64 { return 0.1 }} // another instance for each turn
		for j := range 100 {
			plan(e, epoch, 60, Part{"first", 3000}, Part{fmt.Sprint("one", j), 500}, Part{"x", 100})
		}
		parts = append(parts, Part{fmt.Sprint("turn", i+1), 500})
		places[plan(e, epoch, 60, parts...).Preferred[0]] = true
	}
	is.Equal(len(places), 1)
}

// TestSpeedIsMeasured guards against a speed that counts the wait for the first event as reading.
func TestSpeedIsMeasured(t *testing.T) {
	is := is.New(t)
	var s speed
	for i := range 300 {
		tokens := float64(200 + i*7919%9000)
		wait := time.Duration(150+i*31%40) * time.Millisecond
		s.observe(tokens, wait+time.Duration(tokens/48*float64(time.Millisecond)))
	}
	perMs := 1 / (s.perToken() * 1000)
	is.True(math.Abs(perMs-48) < 3)
}

// TestMemoryIsBounded guards against estimates that grow with the number of prompts or of upstreams.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	for i := range 3 * maxPrefixes {
		id := fmt.Sprint("e", i%100)
		e.Sent(epoch, plan(e, epoch, 8, Part{"first", 1000}, Part{fmt.Sprint("own", i), 10}), id, 1)
	}
	is.True(e.Stats().Services["s"].Prefixes <= maxPrefixes)
	p := plan(e, epoch, 8, Part{"first", 1000})
	is.Equal(len(e.services["s"].node(p.Prompt.prefixes[0].hash).holders), maxHolders)
	for i := range maxCaches + 10 {
		e.Sent(epoch, p, fmt.Sprint("many", i), 1)
	}
	is.Equal(len(e.services["s"].caches), maxCaches)
	e.Sent(epoch.Add(2*staleCache), p, "new", 1) // the stale ones make room
	is.Equal(len(e.services["s"].caches), 1)
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{60, 1500, 12_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e, upstreams := &Estimator{Share: func() float64 { return 0.01 }}, placementOf(n)
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * 5 * time.Millisecond)
				parts := []Part{{"first", 1000}, {fmt.Sprint("topic", i%500), 4000}, {fmt.Sprint("own", i%5000), 2000}}
				p := e.Plan(now, "s", testEngine, NewPrompt(parts), upstreams)
				list := []route.State{idle("e7")}
				for _, id := range p.Preferred {
					list = append(list, idle(id))
				}
				e.Sent(now, p, list[e.Weigh(now, p, list)].ID, 1).End(now, true)
			}
		})
	}
}

// TestWaitRisesWithLoad guards against a wait that is only expected once all slots are known to be in use: reports are late.
func TestWaitRisesWithLoad(t *testing.T) {
	is := is.New(t)
	s := &service{latency: 2}
	is.True(s.slotWait(10, 24) < 0.01)
	is.True(s.slotWait(21, 24) > 0.1 && s.slotWait(21, 24) < s.slotWait(24, 24))
	is.True(s.slotWait(48, 24) > 2)
	for _, hasEvents := range []bool{false, true} { // without events, the prompt would count as unread until the answer
		e := &Estimator{}
		p := plan(e, epoch, 8, Part{"first", 1000}, Part{"own", 50_000})
		p.HasEvents = hasEvents
		e.Sent(epoch, p, "e0", 1)
		is.Equal(e.services["s"].caches["e0"].unread > 0, hasEvents)
	}
}

// TestHugePromptIsNotCounted guards against one caller that states a size beyond all bounds, by which everything else would count as
// read long ago.
func TestHugePromptIsNotCounted(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	is.True(plan(e, epoch, 8, Part{"first", math.MaxInt}, Part{"own", math.MaxInt}) == nil)
	is.True(plan(e, epoch, 8, Part{"first", 1000}, Part{"own", 100}) != nil)
}
