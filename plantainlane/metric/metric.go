// Package metric publishes counters and latency quantiles by expvar. The number of label sets is bounded;
// one beyond the bound is refused and counted.
package metric

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxStages is the number of stage label sets.
	maxStages = 256
	// maxLatency is the longest latency told apart, in microseconds.
	maxLatencyUs = 10 * 60 * 1_000_000
	// digits is the number of significant decimal digits of a latency.
	digits = 2
)

// Metrics are one instance's counters and histograms. Several goroutines may use them.
type Metrics struct {
	// Requests counts admitted requests by outcome.
	Answered, Failed, Refused expvar.Int
	// InFlight is the number of requests being run.
	InFlight expvar.Int

	mu      sync.RWMutex
	stages  map[Stage]*latency
	refused atomic.Int64
}

// Stage labels a histogram.
type Stage struct {
	Pipeline, Stage, Service string
}

type latency struct {
	mu       sync.Mutex
	attempts *hdrhistogram.Histogram
	failures int64
	// streams is nil until the stage has streamed.
	streams *streams
}

// New returns metrics that count from zero.
func New() *Metrics {
	return &Metrics{stages: make(map[Stage]*latency)}
}

// Publish makes the metrics readable under a name by expvar. It panics if the name is taken.
func (m *Metrics) Publish(name string) {
	expvar.Publish(name, expvar.Func(m.export))
}

// Observe counts one attempt of a stage.
func (m *Metrics) Observe(s Stage, took time.Duration, ok bool) {
	l := m.latency(s)
	if l == nil {
		m.refused.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok {
		l.failures++
	}
	_ = l.attempts.RecordValue(min(took.Microseconds(), maxLatencyUs))
}

// Forwarded counts the end of an opaque request on a route.
func (m *Metrics) Forwarded(route, outcome string, took time.Duration) {
	m.Observe(Stage{Pipeline: route, Stage: outcome}, took, outcome != "answered")
}

// latency returns the histogram of a stage; nil if there are too many.
func (m *Metrics) latency(s Stage) *latency {
	m.mu.RLock()
	l := m.stages[s]
	m.mu.RUnlock()
	if l != nil {
		return l
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if l = m.stages[s]; l == nil && len(m.stages) < maxStages {
		l = &latency{attempts: hdrhistogram.New(1, maxLatencyUs, digits)}
		m.stages[s] = l
	}
	return l
}

// StageExport is the published form of a stage's histogram. Latencies are in milliseconds.
type StageExport struct {
	Pipeline string  `json:"pipeline"`
	Stage    string  `json:"stage"`
	Service  string  `json:"service"`
	Attempts int64   `json:"attempts"`
	Failures int64   `json:"failures"`
	P50Ms    float64 `json:"p50Ms"`
	P95Ms    float64 `json:"p95Ms"`
	P99Ms    float64 `json:"p99Ms"`
	// Streams is nil for a stage that has not streamed.
	Streams *StreamExport `json:"streams,omitempty"`
}

// Export is the published form of Metrics.
type Export struct {
	Answered      int64         `json:"answered"`
	Failed        int64         `json:"failed"`
	Refused       int64         `json:"refused"`
	InFlight      int64         `json:"inFlight"`
	RefusedLabels int64         `json:"refusedLabels"`
	Stages        []StageExport `json:"stages"`
}

func (m *Metrics) export() any {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := Export{
		Answered:      m.Answered.Value(),
		Failed:        m.Failed.Value(),
		Refused:       m.Refused.Value(),
		InFlight:      m.InFlight.Value(),
		RefusedLabels: m.refused.Load(),
	}
	for s, l := range m.stages {
		out.Stages = append(out.Stages, l.export(s))
	}
	return out
}

func (l *latency) export(s Stage) StageExport {
	l.mu.Lock()
	defer l.mu.Unlock()
	ms := func(q float64) float64 { return float64(l.attempts.ValueAtQuantile(q)) / 1000 }
	return StageExport{
		Pipeline: s.Pipeline,
		Stage:    s.Stage,
		Service:  s.Service,
		Attempts: l.attempts.TotalCount(),
		Failures: l.failures,
		P50Ms:    ms(50),
		P95Ms:    ms(95),
		P99Ms:    ms(99),
		Streams:  l.streams.export(),
	}
}
