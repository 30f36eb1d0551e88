package quarantine

import (
	"slices"
	"time"

	"plantainlane/wire"
)

// Report is what an instance reports to the leader with a lease request.
type Report struct {
	Broken []wire.BrokenSend
	Served []wire.ServedPart
}

// TakeChanged reports whether there is something new to report since the last call.
func (g *Guard) TakeChanged() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.changed
	g.changed = false
	return changed
}

// Report returns what the lease request with a number reports: all that the answer to an earlier one hasn't confirmed.
func (g *Guard) Report(now time.Time, sequence int) Report {
	r := Report{Broken: []wire.BrokenSend{}, Served: []wire.ServedPart{}}
	if g == nil {
		return r
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.broken = slices.DeleteFunc(g.broken, func(b *brokenSend) bool { return now.Sub(b.at) > evidenceWindow })
	for _, b := range g.broken {
		if b.confirmed {
			continue
		}
		if b.sequence == 0 {
			b.sequence = sequence
		}
		b.AgoMs = int(now.Sub(b.at).Milliseconds())
		r.Broken = append(r.Broken, b.BrokenSend)
	}
	for key, w := range g.watched {
		at := g.served.at(key)
		if at.IsZero() || w.sequence == 0 && !at.After(w.reported) {
			continue
		}
		w.reported, w.sequence = at, sequence
		s := wire.ServedPart{Service: key.service, Part: key.part, AgoMs: int(now.Sub(at).Milliseconds())}
		if key.part == anyPart {
			s.Answers, g.answers[key.service] = g.answers[key.service], 0
		}
		r.Served = append(r.Served, s)
	}
	return r
}

// Confirm records that the leader has answered the lease request with a number.
func (g *Guard) Confirm(sequence int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.broken {
		b.confirmed = b.confirmed || b.sequence != 0 && b.sequence <= sequence
	}
	g.countUnconfirmed()
	for _, w := range g.watched {
		if w.sequence <= sequence {
			w.sequence = 0
		}
	}
}

// countUnconfirmed updates the number of broken sends that no leader has confirmed. Once there is none, the trials without a
// leader are forgotten. It is called under mu.
func (g *Guard) countUnconfirmed() {
	n := 0
	for _, b := range g.broken {
		if !b.confirmed {
			n++
		}
	}
	g.unconfirmed.Store(int64(n))
	if n == 0 {
		clear(g.alone)
	}
}

// Repeat makes the next lease request report everything again, since another leader has to be told.
func (g *Guard) Repeat() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.broken {
		b.sequence, b.confirmed = 0, false
	}
	for _, w := range g.watched {
		w.reported, w.sequence = time.Time{}, 0
	}
	g.countUnconfirmed()
	g.changed = g.changed || len(g.broken) > 0
}
