package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

const (
	// engineInterval is the period of comparing the prefix index with announcements.
	engineInterval = time.Second
	// resyncsAtOnce bounds the engines whose cache is read in one period.
	resyncsAtOnce = 4
	// engineIdle is how long an unused connection for calls beside generation is kept.
	engineIdle = 5 * time.Second
	// relayFanout bounds the instances that cache events are passed on to.
	relayFanout = 16
)

// HandleCacheEvents notes what an engine published here and passes it on to other instances.
func (x *Instance) HandleCacheEvents(m *wire.CacheEvents) int {
	x.fleet.Index.Apply(m)
	others := x.others()
	for _, id := range others[:min(len(others), relayFanout)] {
		x.net.Send(id, wire.Frame{CacheEvents: m})
	}
	return x.fleet.Index.Next(m.Upstream)
}

// watchEngines keeps the prefix index in step with the announced engines until ctx ends.
func (x *Instance) watchEngines(ctx context.Context) {
	ticker := time.NewTicker(engineInterval)
	defer ticker.Stop()
	random := rand.New(rand.NewPCG(uint64(x.self.Incarnation), 1))
	known := map[string]bool{}
	var seen roster.View
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if v := x.View().Upstreams; v != seen {
			seen = v
			x.syncEngines(now, known, v)
		}
		for _, id := range x.fleet.Index.NeedResync(now, resyncsAtOnce, random) {
			row, ok := seen.Rows.Get(id)
			if !ok {
				continue
			}
			go func() {
				if err := x.fleet.Resync(ctx, id, row.Announcement.Address); err != nil {
					klog.ErrorS(err, "cache of engine not read", "upstream", id)
				}
			}()
		}
	}
}

// syncEngines notes announcements of engines and forgets those that are gone.
func (x *Instance) syncEngines(now time.Time, known map[string]bool, v roster.View) {
	for id, row := range v.Rows.All() {
		if row.Announcement.Role == "" {
			continue
		}
		switch {
		case row.Usable():
			known[id] = true
			x.fleet.Index.Announced(now, &row.Announcement)
		case known[id]:
			delete(known, id)
			x.fleet.Index.Forget(id)
		}
	}
	for id := range known {
		if !v.Rows.Has(id) {
			delete(known, id)
			x.fleet.Index.Forget(id)
		}
	}
}

// engines is what the pipeline uses of engines.
type engines struct {
	*engine.Fleet
	instance *Instance
}

// Declared returns a model as name@version, at the declared version if it names none.
func (e engines) Declared(model string) string {
	if m, ok := e.instance.View().Config.Models.Get(model); ok {
		return m.Name + "@" + m.Version
	}
	return model
}

// Leaving reports whether an engine takes no new work.
func (e engines) Leaving(id string) bool {
	row, ok := e.instance.View().Upstreams.Rows.Get(id)
	return ok && row.Announcement.Leaving
}
