package batch

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/wire"
)

const (
	// loadValid is the age up to which a load report is passed on.
	loadValid = time.Second
	// maxLoads bounds the reports in one frame and the reports that are kept.
	maxLoads = 256
	// minLoadInterval is the least time between two frames with reports to the same instance.
	minLoadInterval = 50 * time.Millisecond
)

// loadReport is what an upstream said of its load.
type loadReport struct {
	calls, pace int
	at          time.Time
	// recordedAt is when this instance learned of it.
	recordedAt time.Time
	// from is the instance that passed the report on; empty if this instance received it from the upstream.
	from string
}

// loadReceiver is an instance that is sent all reports, or only those that this instance received from the upstreams.
type loadReceiver struct {
	id      string
	onlyOwn bool
}

// loadBoard holds the newest load reports of upstreams that report a pace. One of many instances sends few requests to each
// upstream and would know little of its load. Jobs and their answers pass through the owners of queues anyway: instances give
// owners the reports that they receive, and owners give them to all whose jobs they complete. It is safe for concurrent use.
type loadBoard struct {
	mu      sync.Mutex
	reports map[string]loadReport
	// sentAt is when reports were last sent.
	sentAt map[loadReceiver]time.Time
}

func newLoadBoard() *loadBoard {
	return &loadBoard{reports: make(map[string]loadReport), sentAt: make(map[loadReceiver]time.Time)}
}

// record records a report, and returns false if a newer one is known or there are too many.
func (b *loadBoard) record(now time.Time, upstream string, r loadReport) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.reports[upstream]
	if ok && !r.at.After(known.at) {
		return false
	}
	if !ok && len(b.reports) >= maxLoads {
		b.forget(now)
		if len(b.reports) >= maxLoads {
			return false
		}
	}
	r.recordedAt = now
	b.reports[upstream] = r
	return true
}

// forget removes the reports that are no longer valid. b.mu must be held.
func (b *loadBoard) forget(now time.Time) {
	for id, r := range b.reports {
		if now.Sub(r.at) > loadValid {
			delete(b.reports, id)
		}
	}
	for id, at := range b.sentAt {
		if now.Sub(at) > loadValid {
			delete(b.sentAt, id)
		}
	}
}

// reportsFor returns the valid reports that an instance wasn't sent and didn't send; nil if there are none. With onlyOwn, only those
// that this instance received from the upstreams.
func (b *loadBoard) reportsFor(now time.Time, to string, onlyOwn bool) *wire.UpstreamLoads {
	b.mu.Lock()
	defer b.mu.Unlock()
	receiver := loadReceiver{to, onlyOwn}
	since := b.sentAt[receiver]
	if now.Sub(since) < minLoadInterval {
		return nil
	}
	out := &wire.UpstreamLoads{}
	for id, r := range b.reports {
		if !r.recordedAt.After(since) || now.Sub(r.at) > loadValid || r.from == to || onlyOwn && r.from != "" {
			continue
		}
		out.Upstreams = append(out.Upstreams, id)
		out.Calls = append(out.Calls, r.calls)
		out.Paces = append(out.Paces, r.pace)
		out.AgoMs = append(out.AgoMs, int(now.Sub(r.at)/time.Millisecond))
	}
	if len(out.Upstreams) == 0 {
		return nil
	}
	b.sentAt[receiver] = now
	return out
}

// Reported records the load that an upstream reported to this instance, for the other instances.
func (d *Dispatcher) Reported(upstream string, load wire.UpstreamLoad) {
	if load.Pace > 0 {
		now := time.Now()
		d.loads.record(now, upstream, loadReport{calls: load.InFlight + load.Queued, pace: load.Pace, at: now})
	}
}

// learnLoads records the reports of another instance, and passes the new ones on to OnLoad.
func (d *Dispatcher) learnLoads(from string, l *wire.UpstreamLoads) {
	if l == nil {
		return
	}
	n := len(l.Upstreams)
	if n > maxLoads || len(l.Calls) != n || len(l.Paces) != n || len(l.AgoMs) != n {
		klog.InfoS("malformed load reports", "from", from, "upstreams", n)
		return
	}
	now := time.Now()
	for i, id := range l.Upstreams {
		age := time.Duration(l.AgoMs[i]) * time.Millisecond
		if age < 0 || age > loadValid || l.Calls[i] < 0 || l.Paces[i] < 0 {
			continue
		}
		r := loadReport{calls: l.Calls[i], pace: l.Paces[i], at: now.Add(-age), from: from}
		if d.loads.record(now, id, r) && d.OnLoad != nil {
			d.OnLoad(id, wire.UpstreamLoad{InFlight: r.calls, Pace: r.pace}, r.at)
		}
	}
}
