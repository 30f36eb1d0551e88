package metric

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxTokenUs is the longest wait for a token told apart, in microseconds.
const maxTokenUs = 60 * 1_000_000

// StreamTimes are the waits of one stream's reader.
type StreamTimes struct {
	// First is the time from the request's arrival to the first token; 0 if this part of the stream has none.
	First time.Duration
	// Gaps are the times between two tokens, those over a break of the stream included.
	Gaps []time.Duration
}

// streams holds the waits for tokens of a stage.
type streams struct {
	first, gaps *hdrhistogram.Histogram
}

// ObserveStream counts the waits of a stream, or of the part of it that one attempt brought.
func (m *Metrics) ObserveStream(s Stage, t StreamTimes) {
	l := m.latency(s)
	if l == nil {
		m.refused.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = &streams{
			first: hdrhistogram.New(1, maxTokenUs, digits), gaps: hdrhistogram.New(1, maxTokenUs, digits),
		}
	}
	if t.First > 0 {
		_ = l.streams.first.RecordValue(min(t.First.Microseconds(), maxTokenUs))
	}
	for _, gap := range t.Gaps {
		_ = l.streams.gaps.RecordValue(min(gap.Microseconds(), maxTokenUs))
	}
}

// StreamExport is the published form of the waits for tokens, in milliseconds.
type StreamExport struct {
	Streams    int64   `json:"streams"`
	Gaps       int64   `json:"gaps"`
	FirstP50Ms float64 `json:"firstP50Ms"`
	FirstP95Ms float64 `json:"firstP95Ms"`
	GapP50Ms   float64 `json:"gapP50Ms"`
	GapP95Ms   float64 `json:"gapP95Ms"`
}

func (s *streams) export() *StreamExport {
	if s == nil {
		return nil
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return &StreamExport{
		Streams: s.first.TotalCount(), Gaps: s.gaps.TotalCount(),
		FirstP50Ms: ms(s.first, 50), FirstP95Ms: ms(s.first, 95), GapP50Ms: ms(s.gaps, 50), GapP95Ms: ms(s.gaps, 95),
	}
}
