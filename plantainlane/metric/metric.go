// Package metric publishes counters and latency quantiles by expvar. The number of label sets is bounded. Of
// observations with further label sets, only the number is kept.
package metric

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxStages is the maximum number of label sets (values of Stage).
	maxStages = 256
	// maxLatencyUs is the highest latency that the histograms record, in microseconds. Higher latencies are recorded
	// as maxLatencyUs.
	maxLatencyUs = 10 * 60 * 1_000_000
	// significantDigits is the number of significant decimal digits that the histograms keep of a value.
	significantDigits = 2
)

// Metrics holds the counters and histograms of one instance. It is safe for concurrent use.
type Metrics struct {
	// Answered, Failed and Refused count requests by their outcome.
	Answered, Failed, Refused expvar.Int
	// InFlight is the number of requests that are being executed.
	InFlight expvar.Int

	mu sync.RWMutex
	// stages holds the histograms by label set, at most maxStages.
	stages map[Stage]*stageHistograms
	// refusedLabels is the number of observations that were left out because there were maxStages other label sets.
	refusedLabels atomic.Int64
}

// Stage is the label set of a stage's histograms. For opaque requests Pipeline is the route, Stage is the outcome and
// Service is empty.
type Stage struct {
	Pipeline, Stage, Service string
}

// stageHistograms holds the latencies, the number of failures and the stream times of a stage.
type stageHistograms struct {
	mu sync.Mutex
	// latencies holds the latencies of all attempts, in microseconds.
	latencies *hdrhistogram.Histogram
	// failures is the number of attempts that failed.
	failures int64
	// streams is nil until a stream of the stage is observed.
	streams *streamHistograms
}

// New returns metrics whose counters are zero.
func New() *Metrics {
	return &Metrics{stages: make(map[Stage]*stageHistograms)}
}

// Publish publishes the metrics by expvar under name. It panics if the name is in use.
func (m *Metrics) Publish(name string) {
	expvar.Publish(name, expvar.Func(m.export))
}

// Observe records an attempt to run a stage: how long the attempt took, and whether it succeeded (ok).
func (m *Metrics) Observe(s Stage, took time.Duration, ok bool) {
	h := m.histograms(s)
	if h == nil {
		m.refusedLabels.Add(1)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !ok {
		h.failures++
	}
	_ = h.latencies.RecordValue(min(took.Microseconds(), maxLatencyUs))
}

// Forwarded records the end of an opaque request on a route, with its outcome and its duration.
func (m *Metrics) Forwarded(route, outcome string, took time.Duration) {
	m.Observe(Stage{Pipeline: route, Stage: outcome}, took, outcome == "answered")
}

// histograms returns the histograms of a stage and creates them if necessary. It returns nil if there are already
// maxStages others.
func (m *Metrics) histograms(s Stage) *stageHistograms {
	m.mu.RLock()
	h := m.stages[s]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if h = m.stages[s]; h == nil && len(m.stages) < maxStages {
		h = &stageHistograms{latencies: hdrhistogram.New(1, maxLatencyUs, significantDigits)}
		m.stages[s] = h
	}
	return h
}

// StageExport is the published form of a stage's histograms. Latencies are in milliseconds.
type StageExport struct {
	Pipeline string  `json:"pipeline"`
	Stage    string  `json:"stage"`
	Service  string  `json:"service"`
	Attempts int64   `json:"attempts"`
	Failures int64   `json:"failures"`
	P50Ms    float64 `json:"p50Ms"`
	P95Ms    float64 `json:"p95Ms"`
	P99Ms    float64 `json:"p99Ms"`
	// Streams is nil if no stream of the stage has been observed.
	Streams *StreamExport `json:"streams,omitempty"`
}

// Export is the published form of Metrics.
type Export struct {
	Answered int64 `json:"answered"`
	Failed   int64 `json:"failed"`
	Refused  int64 `json:"refused"`
	InFlight int64 `json:"inFlight"`
	// RefusedLabels is the number of observations that were left out because there were too many label sets.
	RefusedLabels int64         `json:"refusedLabels"`
	Stages        []StageExport `json:"stages"`
}

// export returns the published form of m, an Export.
func (m *Metrics) export() any {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := Export{
		Answered:      m.Answered.Value(),
		Failed:        m.Failed.Value(),
		Refused:       m.Refused.Value(),
		InFlight:      m.InFlight.Value(),
		RefusedLabels: m.refusedLabels.Load(),
	}
	for s, h := range m.stages {
		out.Stages = append(out.Stages, h.export(s))
	}
	return out
}

// export returns the published form of the histograms of stage s.
func (h *stageHistograms) export(s Stage) StageExport {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(q float64) float64 { return float64(h.latencies.ValueAtQuantile(q)) / 1000 }
	return StageExport{
		Pipeline: s.Pipeline,
		Stage:    s.Stage,
		Service:  s.Service,
		Attempts: h.latencies.TotalCount(),
		Failures: h.failures,
		P50Ms:    ms(50),
		P95Ms:    ms(95),
		P99Ms:    ms(99),
		Streams:  h.streams.export(),
	}
}
