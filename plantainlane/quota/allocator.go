package quota

import (
	"math/rand/v2"
	"time"

	"plantainlane/wire"
)

const (
	// permitValidity is how long a permit can be used, counted from when it was asked for. It covers the opening of a
	// connection within a region.
	permitValidity = 300 * time.Millisecond
	// burstTime is the time whose permits may be issued at once after a pause. At least minBurst permits may be.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// maxInterval is the longest time between two permits, also for a limit of 0. Only answers tell that a limit has
	// ended, so some requests must be sent.
	maxInterval = 10 * time.Second
	// maxSpread is the longest time over which the queries of refused instances are spread, and maxSpreadIntervals the
	// same in intervals between permits.
	maxSpread          = 12 * time.Second
	maxSpreadIntervals = 1 << 12
	// The number of queries refused for each permit is kept between minRefused and maxRefused.
	minRefused = 1
	maxRefused = 4
	// countPeriod is the period of TakeCounts.
	countPeriod = 2 * time.Second
)

// Allocator issues permits on the leader. It must be used by one goroutine only. A new leader starts with a new
// Allocator: it issues the first permit for an upstream one interval after the first query, by which time the permits
// that its predecessor issued are used or spread out.
type Allocator struct {
	rows map[string]*row
	// version counts the changes of limits.
	version int
	random  *rand.Rand
	// nextCount is when TakeCounts returns counts next.
	nextCount time.Time
}

// row is the state of one upstream.
type row struct {
	statement Statement
	warmup    warmupLimit
	// askedAt is when a permit was last asked for.
	askedAt time.Time
	// version is the version of the Allocator as of the last change of the limit.
	version int
	// issued is when the last permit was issued, or when the limit became known. Permits issued at once are counted as if
	// they had been issued one interval after the other.
	issued time.Time
	// refused is the number of queries refused since the last permit.
	refused int
	// spread is the time over which the next queries of refused instances are spread, in intervals between permits.
	spread float64
	// issuedCount and refusedCount are the numbers of permits issued and of queries refused since the last TakeCounts.
	issuedCount, refusedCount int
}

// Count holds the numbers of permits issued for an upstream and of queries refused since the last TakeCounts.
type Count struct {
	Address string
	// PerSecond is the limit in requests a second; 0 if it has ended.
	PerSecond       float64
	Issued, Refused int
}

// NewAllocator returns an Allocator without rows. The seed is for the random parts of waits.
func NewAllocator(seed uint64) *Allocator {
	return &Allocator{rows: make(map[string]*row), random: rand.New(rand.NewPCG(seed, 0))}
}

// Report records statements of an instance.
func (a *Allocator) Report(now time.Time, list []wire.UpstreamLimit) {
	for _, w := range list {
		if IsValid(w.PerSecond) {
			a.report(now, w)
		}
	}
}

// report records a statement and returns the upstream's row.
func (a *Allocator) report(now time.Time, w wire.UpstreamLimit) *row {
	s := fromWire(now, w)
	r, ok := a.rows[w.Address]
	if !ok {
		r = &row{}
		a.rows[w.Address] = r
	} else if !s.replaces(r.statement) {
		return r
	}
	if !ok || !r.statement.Limited && s.Limited {
		// The first permit is issued one interval later, those of a burst only after a pause.
		r.issued = now.Add(burst(s.interval()))
	}
	if !ok || s.rate() != r.statement.rate() {
		a.version++
		r.version = a.version
	}
	r.statement = s
	return r
}

// asked returns the row of the upstream that a query is about, after it has recorded the statement in the query and what the
// query says about a warm-up. A query for a cold upstream without a limit has no statement.
func (a *Allocator) asked(now time.Time, w wire.UpstreamLimit) *row {
	r := a.rows[w.Address]
	if w.Limited || w.WarmupLeftMs <= 0 {
		r = a.report(now, w)
	} else if r == nil {
		r = &row{}
		a.rows[w.Address] = r
	}
	r.warmUp(now, w)
	r.askedAt = now
	return r
}

// Issue answers a query for a permit, and records the statement in the query.
func (a *Allocator) Issue(now time.Time, w wire.UpstreamLimit) wire.PermitAnswer {
	if !IsValid(w.PerSecond) {
		return wire.PermitAnswer{WaitMs: int(maxInterval / time.Millisecond)}
	}
	r := a.asked(now, w)
	interval := r.interval(now)
	next := r.issued.Add(interval)
	wait := next.Sub(now) - burst(interval)
	if wait > 0 {
		r.refused++
		r.refusedCount++
		spread := min(time.Duration(r.spread*float64(interval)), maxSpread)
		wait += time.Duration(a.random.Float64() * float64(spread))
		return wire.PermitAnswer{WaitMs: int(wait/time.Millisecond) + 1}
	}
	r.adaptSpread()
	r.refused = 0
	r.issuedCount++
	r.issued = later(next, now)
	return wire.PermitAnswer{Granted: true, ValidMs: int(permitValidity / time.Millisecond)}
}

// adaptSpread spreads the queries of refused instances over more time if many were refused since the last permit, and
// over less if few were.
func (r *row) adaptSpread() {
	switch {
	case r.refused > maxRefused:
		r.spread = min(2*max(r.spread, 1), maxSpreadIntervals)
	case r.refused < minRefused:
		r.spread /= 2
	}
}

// interval returns the time between two permits; 0 without a limit.
func (s Statement) interval() time.Duration { return intervalOf(s.rate()) }

// interval returns the time between two permits now; 0 without a limit.
func (r *row) interval(now time.Time) time.Duration { return intervalOf(r.rate(now)) }

// intervalOf returns the time between two permits at a rate a second, which may be infinite.
func intervalOf(rate float64) time.Duration {
	if rate <= 1/maxInterval.Seconds() {
		return maxInterval
	}
	return time.Duration(float64(time.Second) / rate)
}

// burst returns how much earlier than one interval after the last permit the next one may be issued, so that the permits
// of a pause aren't lost.
func burst(interval time.Duration) time.Duration {
	return max(burstTime, minBurst*interval) - interval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Since returns the statements whose limits changed after a version, as a message to be sent now, and the current
// version.
func (a *Allocator) Since(now time.Time, version int) ([]wire.UpstreamLimit, int) {
	out := []wire.UpstreamLimit{}
	if version == a.version {
		return out, version
	}
	for address, r := range a.rows {
		if r.version > version {
			out = append(out, r.statement.toWire(now, address))
		}
	}
	return out, a.version
}

// TakeCounts returns the counts of the upstreams that permits were asked for, at most once per countPeriod. It also
// forgets upstreams that weren't heard for forgetAfter.
func (a *Allocator) TakeCounts(now time.Time) []Count {
	var out []Count
	if now.Before(a.nextCount) {
		return nil
	}
	a.nextCount = now.Add(countPeriod)
	for address, r := range a.rows {
		if now.Sub(later(r.statement.HeardAt, r.askedAt)) > forgetAfter {
			delete(a.rows, address)
			continue
		}
		if r.issuedCount+r.refusedCount > 0 {
			n := Count{Address: address, Issued: r.issuedCount, Refused: r.refusedCount}
			if rate := r.rate(now); IsValid(rate) {
				n.PerSecond = rate
			}
			out = append(out, n)
		}
		r.issuedCount, r.refusedCount = 0, 0
	}
	return out
}
