package report

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"plantainlane/standin/load"
	"plantainlane/standin/scenario"
)

// Range of latency histograms in microseconds, and their precision.
const (
	lowestUs          = 1
	highestUs         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// tally collects the outcomes of a group of requests.
type tally struct {
	group      Group
	latency    *hdr.Histogram // of complete answers, also late ones
	firstToken *hdr.Histogram
	gaps       *hdr.Histogram // between tokens
	// problems counts the requests without a complete answer by status and problem type. Count is 0 in its keys and is
	// set by finish.
	problems map[ProblemCount]int
}

func newTally(workspace string) *tally {
	h := func() *hdr.Histogram { return hdr.New(lowestUs, highestUs, significantDigits) }
	return &tally{Group{Workspace: workspace}, h(), h(), h(), make(map[ProblemCount]int)}
}

func (t *tally) add(o *load.Outcome) {
	g := &t.group
	g.Offered++
	g.Sends += o.Sends
	counts := map[load.Result]*int{
		load.Whole: &g.Whole, load.Late: &g.Late, load.Wrong: &g.Wrong, load.Refused: &g.Refused,
		load.Failed: &g.Failed, load.Lost: &g.Lost, load.Unsent: &g.Unsent,
	}
	*counts[o.Result]++
	if o.Result == load.Whole || o.Result == load.Late {
		record(t.latency, o.Elapsed)
	} else {
		t.problems[ProblemCount{Status: o.Status, Type: o.Problem}]++
	}
	if o.FirstToken > 0 {
		record(t.firstToken, o.FirstToken)
	}
	for _, gap := range o.Gaps {
		record(t.gaps, gap)
	}
}

// record adds a duration to a histogram, limited to the range of the histogram.
func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestUs), highestUs))
}

// finish returns the figures of the group; measured is the length of the measured part of the run.
func (t *tally) finish(measured time.Duration) Group {
	g := t.group
	g.Attainment = ratio(float64(g.Whole), float64(g.Offered))
	g.GoodputPerSecond = ratio(float64(g.Whole), measured.Seconds())
	g.LatencyMs, g.FirstTokenMs, g.TokenGapMs = quantiles(t.latency), quantiles(t.firstToken), quantiles(t.gaps)
	g.Problems = []ProblemCount{}
	for p, n := range t.problems {
		p.Count = n
		g.Problems = append(g.Problems, p)
	}
	slices.SortFunc(g.Problems, func(a, b ProblemCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Type, b.Type))
	})
	return g
}

// quantiles returns the quantiles of a histogram in milliseconds.
func quantiles(h *hdr.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)),
		P99: ms(h.ValueAtQuantile(99)), P999: ms(h.ValueAtQuantile(99.9)), Max: ms(h.Max()),
	}
}

// ratio returns a over b, and 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// inWindow reports whether an arrival is in a window. A window whose ToMs is 0 has no end.
func inWindow(w scenario.Window, at time.Duration) bool {
	ms := int(at.Milliseconds())
	return ms >= w.FromMs && (w.ToMs == 0 || ms < w.ToMs)
}
