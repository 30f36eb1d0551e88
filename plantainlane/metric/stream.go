package metric

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxTokenWaitUs is the longest wait for a token that the histograms record, in microseconds. Longer waits are recorded
// as maxTokenWaitUs.
const maxTokenWaitUs = 60 * 1_000_000

// StreamTimes holds the times that the reader of a stream waited for its tokens.
type StreamTimes struct {
	// First is the time from the receipt of the request to the first token of the stream; 0 if the observed part of the
	// stream doesn't contain the first token.
	First time.Duration
	// Gaps holds the times between consecutive tokens, including those across an interruption of the stream.
	Gaps []time.Duration
}

// streamHistograms holds the histograms of a stage's waits for the first token and of its gaps between tokens, in
// microseconds.
type streamHistograms struct {
	first, gaps *hdrhistogram.Histogram
}

// ObserveStream records the waits for the tokens of a stream, or of the part of a stream that one attempt delivered.
func (m *Metrics) ObserveStream(s Stage, t StreamTimes) {
	h := m.histograms(s)
	if h == nil {
		m.refusedLabels.Add(1)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams == nil {
		h.streams = &streamHistograms{
			first: hdrhistogram.New(1, maxTokenWaitUs, significantDigits),
			gaps:  hdrhistogram.New(1, maxTokenWaitUs, significantDigits),
		}
	}
	if t.First > 0 {
		_ = h.streams.first.RecordValue(min(t.First.Microseconds(), maxTokenWaitUs))
	}
	for _, gap := range t.Gaps {
		_ = h.streams.gaps.RecordValue(min(gap.Microseconds(), maxTokenWaitUs))
	}
}

// StreamExport is the published form of a stage's waits for tokens. Times are in milliseconds.
type StreamExport struct {
	// Streams is the number of streams whose first token was observed, Gaps the number of gaps between tokens.
	Streams    int64   `json:"streams"`
	Gaps       int64   `json:"gaps"`
	FirstP50Ms float64 `json:"firstP50Ms"`
	FirstP95Ms float64 `json:"firstP95Ms"`
	GapP50Ms   float64 `json:"gapP50Ms"`
	GapP95Ms   float64 `json:"gapP95Ms"`
}

// export returns the published form of the histograms; nil if s is nil.
func (s *streamHistograms) export() *StreamExport {
	if s == nil {
		return nil
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &StreamExport{
		Streams: s.first.TotalCount(), Gaps: s.gaps.TotalCount(),
		FirstP50Ms: ms(s.first, 50), FirstP95Ms: ms(s.first, 95), GapP50Ms: ms(s.gaps, 50), GapP95Ms: ms(s.gaps, 95),
	}
}
