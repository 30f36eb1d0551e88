package order

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// fragileEngines are engines that end a second after they have begun to load a model, for as long as it is bad.
type fragileEngines struct {
	planner *Planner
	now     time.Time
	rows    map[string]*wire.Announcement
	// loading holds when engines began to load the model, served those that have it.
	loading map[string]time.Time
	served  map[string]bool
	isBad   bool
	ended   int
}

// run steps the planner for a time, and answers its orders and reads.
func (f *fragileEngines) run(length time.Duration) {
	var inbox []Report
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(tick) {
		in := Input{Models: []wire.Model{model("a", "1", 3)}, Engines: maps.Values(f.rows), Fencing: 1, LeaseUntil: f.now.Add(DefaultTiming().Lease)}
		actions := f.planner.Step(f.now, in, inbox)
		inbox = nil
		for _, o := range actions.Orders {
			f.loading[o.Order.Upstream] = f.now
			inbox = append(inbox, Report{Upstream: o.Order.Upstream, StartedAt: f.now, Answer: &wire.OrderAnswer{ID: o.Order.ID, State: "accepted", Fencing: 1}})
		}
		for _, r := range actions.Reads {
			inbox = append(inbox, Report{Upstream: r.Upstream, StartedAt: f.now, State: f.state(r.Upstream)})
		}
		f.progress()
	}
}

// state returns the state of an engine.
func (f *fragileEngines) state(id string) *wire.EngineState {
	s := &wire.EngineState{Incarnation: f.rows[id].Incarnation, FreeSlots: 1, Models: []wire.EngineModel{}, Fencing: 1}
	if _, ok := f.loading[id]; ok {
		s.Models = append(s.Models, wire.EngineModel{Model: "a@1", State: loading, Adapters: []string{}})
	}
	if f.served[id] {
		s.Models = append(s.Models, wire.EngineModel{Model: "a@1", State: loaded, Adapters: []string{}})
	}
	return s
}

// progress ends the engines that have loaded the bad model for a second, or lets them serve the sound one.
func (f *fragileEngines) progress() {
	for id, began := range f.loading {
		if f.now.Sub(began) < time.Second {
			continue
		}
		delete(f.loading, id)
		if !f.isBad {
			f.served[id] = true
			continue
		}
		f.ended++
		next := *f.rows[id]
		next.Incarnation++
		f.rows[id] = &next
	}
}

// TestModelThatEndsEnginesIsLoadedEverywhere guards against a model that ends each engine that loads it, and is ordered at
// the next one at once. When it is mended, it is loaded.
func TestModelThatEndsEnginesIsLoadedEverywhere(t *testing.T) {
	is := is.New(t)
	f := &fragileEngines{
		planner: NewPlanner(WithWeightRate(wire.Rate{PerSecond: 100, Burst: 100})), now: time.Unix(1_000_000, 0), isBad: true,
		rows: map[string]*wire.Announcement{}, loading: map[string]time.Time{}, served: map[string]bool{},
	}
	for i := range 12 {
		id := fmt.Sprint("e", i)
		f.rows[id] = &wire.Announcement{ID: id, Incarnation: 1, ChecksFencing: true, Zone: fmt.Sprint("z", i%3)}
	}
	f.run(time.Minute)
	t.Logf("%d engines ended in a minute", f.ended)
	// Three at once, then one at a time after 1, 2, 4, 8, 16 and 32 s.
	is.True(f.ended >= 3)
	is.True(f.ended <= 3+6)
	f.isBad = false
	f.run(3 * time.Minute)
	is.Equal(len(slices.Collect(maps.Keys(f.served))), 3)
}
