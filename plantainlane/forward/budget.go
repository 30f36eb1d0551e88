package forward

import (
	"sync"
	"time"
)

// Budget bounds how often requests are sent to a second upstream. Its part of the bound is this instance's share:
// a ratio of its own requests and an equal part of what is allowed beside them.
//
// Load pattern: when a service fails, every request would be sent again, and the service gets twice the load at
// the moment at which it can bear least.
type Budget struct {
	// Ratio of further sends to requests.
	Ratio float64
	// Window over which both are counted. Positive.
	Window time.Duration
	// Allowance is the number of further sends in a window beside the ratio, over all instances.
	Allowance float64
	// Instances is the number of instances that share Allowance.
	Instances func() int

	mu       sync.Mutex
	services map[string]*budgetRow
}

// budgetRow counts in steps of a part of the window.
type budgetRow struct {
	requests [budgetSteps]int
	repeats  [budgetSteps]int
	step     int64
}

const (
	// budgetSteps is the number of parts that a window is counted in.
	budgetSteps = 10
	// budgetUse is the part of the bound that is used, since windows slide and instances don't see each other.
	budgetUse = 0.7
)

// Request notes a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service, now)
	r.requests[r.step%budgetSteps]++
}

// Take asks for one further send and notes it if it is allowed.
func (b *Budget) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(service, now)
	requests, repeats := 0, 0
	for i := range budgetSteps {
		requests += r.requests[i]
		repeats += r.repeats[i]
	}
	allowed := budgetUse * (b.Ratio*float64(requests) + b.Allowance/float64(max(b.Instances(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	r.repeats[r.step%budgetSteps]++
	return true
}

func (b *Budget) row(service string, now time.Time) *budgetRow {
	if b.services == nil {
		b.services = make(map[string]*budgetRow)
	}
	r := b.services[service]
	step := now.UnixNano() / int64(b.Window/budgetSteps)
	if r == nil {
		r = &budgetRow{step: step}
		b.services[service] = r
	}
	for missed := 0; r.step < step && missed < budgetSteps; missed++ {
		r.step++
		r.requests[r.step%budgetSteps], r.repeats[r.step%budgetSteps] = 0, 0
	}
	r.step = max(r.step, step)
	return r
}
