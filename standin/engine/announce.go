package engine

import (
	"time"

	"plantainlane/wire"
)

// loadSample is the load of an engine at the time of an announcement.
type loadSample struct {
	at   time.Time
	load wire.UpstreamLoad
}

// Announcement returns the engine's current description, with the load as it was LoadLag ago. Service, zone, region,
// address, sequence and time to live aren't set.
func (e *Engine) Announcement() wire.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := wire.Announcement{
		ID: e.cfg.ID, Incarnation: e.cfg.Incarnation, Capacity: e.cfg.BatchLimit, Role: e.state.role,
		ChecksFencing: e.cfg.ChecksFencing, CacheSequence: e.events.sequence, Leaving: e.leaving,
		Models: []string{}, Adapters: []string{}, Load: e.delayedLoad(time.Now()),
	}
	for _, m := range e.state.models {
		if m.State == modelLoaded {
			a.Models = append(a.Models, m.Model)
			a.Adapters = append(a.Adapters, m.Adapters...)
		}
	}
	return a
}

// delayedLoad records the current load and returns the latest recorded load that is at least LoadLag old, or the oldest
// one if all are younger. The caller holds e.mu.
func (e *Engine) delayedLoad(now time.Time) wire.UpstreamLoad {
	e.loadSamples = append(e.loadSamples, loadSample{now, wire.UpstreamLoad{
		InFlight: len(e.running), Queued: len(e.waiting), FreeBlocks: e.cfg.CacheBlocks - e.cache.recency.Len(),
	}})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.cfg.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
	return e.loadSamples[0].load
}

// Leave makes the engine refuse new calls, and sets Leaving in its announcements.
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
