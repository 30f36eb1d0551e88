package engine

import (
	"time"

	"plantainlane/wire"
)

// loadSample is a load at a time.
type loadSample struct {
	at   time.Time
	load wire.UpstreamLoad
}

// Announcement returns what the engine says of itself, with the load as it was LoadLag ago.
func (e *Engine) Announcement() wire.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := wire.Announcement{
		ID: e.cfg.ID, Incarnation: e.cfg.Incarnation, Capacity: e.cfg.BatchLimit, Role: e.orders.role,
		ChecksFencing: e.cfg.ChecksFencing, CacheSequence: e.events.sequence, Leaving: e.leaving,
		Models: []string{}, Adapters: []string{}, Load: e.laggedLoad(time.Now()),
	}
	for _, m := range e.orders.models {
		if m.State == loaded {
			a.Models = append(a.Models, m.Model)
			a.Adapters = append(a.Adapters, m.Adapters...)
		}
	}
	return a
}

func (e *Engine) laggedLoad(now time.Time) wire.UpstreamLoad {
	e.loads = append(e.loads, loadSample{now, wire.UpstreamLoad{
		InFlight: len(e.running), Queued: len(e.waiting), FreeBlocks: e.cfg.CacheBlocks - e.cache.used.Len(),
	}})
	for len(e.loads) > 1 && now.Sub(e.loads[1].at) >= e.cfg.LoadLag {
		e.loads = e.loads[1:]
	}
	return e.loads[0].load
}

// Leave makes the engine refuse new calls and announce that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Busy reports whether any sequence runs or waits.
func (e *Engine) Busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)+len(e.waiting) > 0
}
