package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/wire"
)

const (
	// engineInterval is the period at which the prefix index is synchronized with the announced engines.
	engineInterval = time.Second
	// maxResyncs is the maximum number of engines whose list of cached blocks is read in one period.
	maxResyncs = 4
	// relayFanout is the maximum number of instances that cache events are forwarded to.
	relayFanout = 16
)

// HandleCacheEvents applies cache events that an engine sent to this instance, and forwards them to other instances. It
// returns the sequence of the next event expected from the engine.
func (x *Instance) HandleCacheEvents(m *wire.CacheEvents) int {
	x.fleet.Index.Apply(m)
	others := x.others()
	for _, id := range others[:min(len(others), relayFanout)] {
		x.net.Send(id, wire.Frame{CacheEvents: m})
	}
	return x.fleet.Index.Next(m.Upstream)
}

// watchEngines synchronizes the prefix index with the announced engines until ctx ends. If the index is uncertain which
// blocks an engine has cached, watchEngines reads the engine's list of cached blocks.
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
		for _, id := range x.fleet.Index.NeedResync(now, maxResyncs, random) {
			row, ok := seen.Rows.Get(id)
			if !ok {
				continue
			}
			go func() {
				if err := x.fleet.Resync(ctx, id, row.Announcement.Address); err != nil {
					klog.ErrorS(err, "cached blocks of engine not read", "upstream", id)
				}
			}()
		}
	}
}

// syncEngines applies the announcements of engines to the prefix index, and removes the engines that are leaving,
// expired, no longer announced or in an evacuated zone. known is the set of engine IDs in the index; syncEngines updates the set.
func (x *Instance) syncEngines(now time.Time, known map[string]bool, v roster.View) {
	for id, row := range v.Rows.All() {
		if row.Announcement.Role == "" {
			continue
		}
		switch {
		case v.Usable(row):
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

// engines implements pipeline.Engines.
type engines struct {
	*engine.Fleet
	instance *Instance
}

// Declared returns a model as NAME@VERSION. A model without a version gets the declared version; an undeclared model is
// returned unchanged.
func (e engines) Declared(model string) string {
	if m, ok := e.instance.View().Config.Models.Get(model); ok {
		return m.Name + "@" + m.Version
	}
	return model
}

// Leaving reports whether an engine accepts no new work.
func (e engines) Leaving(id string) bool {
	v := e.instance.View().Upstreams
	row, ok := v.Rows.Get(id)
	return ok && (row.Announcement.Leaving || v.IsEvacuated(row.Announcement.Zone))
}

// Export stops an attempt and returns a handle of its KV cache. An engine in an evacuated zone isn't asked, so that the
// stream is generated again.
func (e engines) Export(ctx context.Context, address, attempt string) (*wire.KVHandle, error) {
	if e.instance.isEvacuated(quota.Peer{Address: address}) {
		return nil, errors.Newf("engine at %s is in an evacuated zone", address)
	}
	return e.Fleet.Export(ctx, address, attempt)
}
