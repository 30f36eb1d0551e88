package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

const (
	// historyStep is the step of simulated time.
	historyStep = 10 * time.Millisecond
	// begunAfter is when an upstream begins to answer a request, wholeAfter when the answer is whole.
	begunAfter = 120 * time.Millisecond
	wholeAfter = 900 * time.Millisecond
	// downtime is how long an upstream that has ended is missing.
	downtime = 2500 * time.Millisecond
	// badPart crashes each upstream that begins to answer a request with it.
	badPart = "bad"
)

// history is a simulated service with upstreams that end: under requests with badPart, and for other causes.
type history struct {
	random    *rand.Rand
	now       time.Time
	detector  *Detector
	upstreams []*simulatedUpstream
	running   []*simulatedRequest
	entries   []wire.QuarantineEntry
	started   int
	// badRate and soundRate are the requests a second with badPart and without.
	badRate, soundRate float64
	topics             int
	// badCrashes holds when requests with badPart ended upstreams, badSends when such requests were sent.
	badCrashes, badSends []time.Time
	falselyRefused       int
	// text describes the history.
	text string
}

// simulatedUpstream is a place for an upstream's processes, one after the other.
type simulatedUpstream struct {
	incarnation int
	// downUntil is when the next process starts; zero while one runs.
	downUntil time.Time
}

// simulatedRequest is a request at an upstream.
type simulatedRequest struct {
	id          string
	upstream    int
	incarnation int
	sentAt      time.Time
	request     Request
}

func newHistory(seed uint64, upstreams int) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 39)), now: time.Unix(1_000_000, 0), topics: 30, soundRate: 30}
	h.detector = NewDetector(noNews{})
	for range upstreams {
		h.upstreams = append(h.upstreams, &simulatedUpstream{incarnation: 1})
	}
	return h
}

// noNews is an Upstreams that hears of no upstream.
type noNews struct{}

func (noNews) RenewedAt(string, int) time.Time { return time.Time{} }
func (noNews) IsLeaving(string, int) bool      { return false }

// run simulates a time, in which each is called in each step.
func (h *history) run(length time.Duration, each func()) {
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(historyStep) {
		if h.random.Float64() < h.soundRate*historyStep.Seconds() {
			h.send([]string{"first", fmt.Sprint("topic-", h.random.IntN(h.topics))})
		}
		if h.random.Float64() < h.badRate*historyStep.Seconds() {
			h.send([]string{"first", badPart})
		}
		if each != nil {
			each()
		}
		h.progress()
		if h.detector.TakeChanged(h.now) {
			h.entries = append(h.entries, h.detector.Blame(h.now, h.entries)...)
			h.entries = append(h.entries, h.detector.Narrowed(h.now, h.entries)...)
		}
	}
}

// send sends a request to a random upstream that runs, unless an entry refuses it.
func (h *history) send(parts []string) {
	var up []int
	for i, u := range h.upstreams {
		if u.downUntil.IsZero() {
			up = append(up, i)
		}
	}
	isBad := slices.Contains(parts, badPart)
	workspace := fmt.Sprint("w", h.random.IntN(4))
	if slices.ContainsFunc(h.entries, func(e wire.QuarantineEntry) bool {
		return isSubset(e.Parts, parts) && (e.Workspace == "" || e.Workspace == workspace)
	}) {
		if !isBad {
			h.falselyRefused++
		}
		return
	}
	if len(up) == 0 {
		return
	}
	if isBad {
		h.badSends = append(h.badSends, h.now)
	}
	h.started++
	i := up[h.random.IntN(len(up))]
	h.running = append(h.running, &simulatedRequest{
		id: fmt.Sprint("r", h.started), upstream: i, incarnation: h.upstreams[i].incarnation, sentAt: h.now,
		request: Request{Service: "s", Workspace: workspace, Parts: parts},
	})
}

// progress ends upstreams that begin to answer a request with badPart, answers requests, and starts upstreams again.
func (h *history) progress() {
	for _, r := range slices.Clone(h.running) {
		age := h.now.Sub(r.sentAt)
		switch {
		case !slices.Contains(h.running, r):
		case age >= begunAfter && slices.Contains(r.request.Parts, badPart):
			h.badCrashes = append(h.badCrashes, h.now)
			h.crash(r.upstream)
		case age >= wholeAfter:
			h.answer(r)
		}
	}
	for _, u := range h.upstreams {
		if !u.downUntil.IsZero() && !h.now.Before(u.downUntil) {
			u.downUntil = time.Time{}
			u.incarnation++
		}
	}
}

// answer answers a request, and reports its suspect parts.
func (h *history) answer(r *simulatedRequest) {
	h.running = slices.DeleteFunc(h.running, func(o *simulatedRequest) bool { return o == r })
	var served []wire.ServedPart
	for _, s := range h.detector.Suspects(h.now) {
		if s.Part == anyPart || slices.Contains(r.request.Parts, s.Part) {
			served = append(served, wire.ServedPart{Service: s.Service, Part: s.Part, Answers: 1})
		}
	}
	h.detector.Report(h.now, nil, served)
}

// crash ends an upstream, and reports the requests that ran there.
func (h *history) crash(i int) {
	u := h.upstreams[i]
	if !u.downUntil.IsZero() {
		return
	}
	u.downUntil = h.now.Add(downtime)
	var broken []wire.BrokenSend
	h.running = slices.DeleteFunc(h.running, func(r *simulatedRequest) bool {
		if r.upstream != i {
			return false
		}
		broken = append(broken, wire.BrokenSend{
			Upstream: fmt.Sprint("u", i), Incarnation: r.incarnation, Service: r.request.Service, Send: r.id,
			Workspace: r.request.Workspace, Parts: r.request.Parts, Begun: h.now.Sub(r.sentAt) > begunAfter,
		})
		return true
	})
	h.detector.Report(h.now, broken, nil)
}

// crashSome ends each upstream that runs with a probability.
func (h *history) crashSome(probability float64) {
	for i := range h.upstreams {
		if h.random.Float64() < probability {
			h.crash(i)
		}
	}
}

// ends is how often upstreams end in a history beside requests with badPart: single ones, and a share of all together.
type ends struct {
	single, joint []float64
	shares        []float64
}

// causes returns what ends upstreams in each step.
func (h *history) causes(e ends) func() {
	single, joint := e.single[h.random.IntN(len(e.single))], e.joint[h.random.IntN(len(e.joint))]
	share := e.shares[h.random.IntN(len(e.shares))]
	h.text = fmt.Sprintf("%d upstreams, %v requests/s, single ends %v/s, joint ends %v/s of a share of %v", len(h.upstreams), h.soundRate, single, joint, share)
	return func() {
		if h.random.Float64() < single*historyStep.Seconds() {
			h.crash(h.random.IntN(len(h.upstreams)))
		}
		if h.random.Float64() < joint*historyStep.Seconds() {
			h.crashSome(share)
		}
	}
}

const (
	// crashesUntilBlamed is the number of crashes under a part after which, within contact, it must be blamed.
	crashesUntilBlamed = 5
	contact            = 3 * time.Second
	// maxSendsOnceBlamed is the number of requests with a part that may be sent afterwards.
	maxSendsOnceBlamed = 3
	// minBadShare and maxBadShare bound the requests with badPart as a share of the others.
	minBadShare = 0.05
	maxBadShare = 0.15
	// histories is the number of histories of each test, shortHistories that in short mode.
	histories      = 1000
	shortHistories = 50
)

// isBlamedLate reports whether more requests with badPart were sent than are allowed.
func (h *history) isBlamedLate() bool {
	if len(h.badCrashes) < crashesUntilBlamed {
		return false
	}
	known := h.badCrashes[crashesUntilBlamed-1].Add(contact)
	late := slices.DeleteFunc(slices.Clone(h.badSends), func(at time.Time) bool { return at.Before(known) })
	return len(late) > maxSendsOnceBlamed
}

// runHistories runs histories with ends of other causes, every second one with badPart, and passes each to check.
func runHistories(t *testing.T, sizes []int, rates []float64, e ends, check func(is *is.I, h *history)) {
	count := histories
	if testing.Short() {
		count = shortHistories
	}
	for seed := range uint64(count) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			h := newHistory(seed, sizes[seed%uint64(len(sizes))])
			h.soundRate = rates[seed/6%uint64(len(rates))]
			causes := h.causes(e)
			h.run(5*time.Second, nil)
			if seed%2 == 0 {
				h.badRate = h.soundRate * (minBadShare + (maxBadShare-minBadShare)*h.random.Float64())
			}
			h.run(30*time.Second, causes)
			t.Logf("%d crashes under the bad part, %d sound requests refused, entries %v, %s", len(h.badCrashes), h.falselyRefused, entriesText(h.entries), h.text)
			check(is.New(t), h)
		})
	}
}

// TestPartIsBlamedLateOrFalsely guards against content that ends upstream after upstream and isn't blamed in time, and against
// sound content that is blamed because it ran beside it, or at upstreams that ended for another cause.
func TestPartIsBlamedLateOrFalsely(t *testing.T) {
	e := ends{single: []float64{0, 0.05, 0.2}, joint: []float64{0, 0.05}, shares: []float64{0.3, 1}}
	runHistories(t, []int{3, 9, 18}, []float64{10, 30}, e, func(is *is.I, h *history) {
		is.Equal(h.falselyRefused, 0)
		is.True(!h.isBlamedLate())
	})
}

// TestEndsOfUpstreamsBlameSoundParts guards against sound content that is blamed while upstreams end all the time for another
// cause, so that few requests are answered.
func TestEndsOfUpstreamsBlameSoundParts(t *testing.T) {
	e := ends{single: []float64{0, 0.2, 1}, joint: []float64{0, 0.1, 0.3}, shares: []float64{0.3, 1}}
	runHistories(t, []int{2, 9, 18}, []float64{3, 30}, e, func(is *is.I, h *history) {
		is.Equal(h.falselyRefused, 0)
	})
}

func entriesText(entries []wire.QuarantineEntry) []string {
	var out []string
	for i := range entries {
		out = append(out, entries[i].Workspace+":"+Text(&entries[i]))
	}
	return out
}

// BenchmarkBlame measures a look at as many crashes as a Detector keeps, each with 16 sends of three parts.
func BenchmarkBlame(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 39))
	now := time.Unix(1_000_000, 0)
	d := NewDetector(noNews{})
	for i := range maxCrashes {
		var broken []wire.BrokenSend
		for n := range 16 {
			broken = append(broken, wire.BrokenSend{
				Upstream: fmt.Sprint("u", i), Service: "s", Send: fmt.Sprint(i, n), Workspace: "w", Begun: n%2 == 0, AgoMs: 100 * i,
				Parts: []string{"first", fmt.Sprint("topic-", random.IntN(3000)), fmt.Sprint("session-", random.IntN(30_000))},
			})
		}
		d.Report(now, broken, nil)
	}
	for b.Loop() {
		d.Suspects(now)
		d.Blame(now.Add(time.Second), nil)
	}
}
