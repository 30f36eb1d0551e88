package order

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"plantainlane/wire"
)

const (
	reasonNoRoom   = "noRoom"
	reasonNoEngine = "noEngine"
)

// loadingShare is the part of the engines that may load at once, so that loads after an outage leave the others
// to serve.
const loadingShare = 0.25

// want is a declared model and where it stands.
type want struct {
	wire.Model
	// key is name@version.
	key string
	// replicas wanted, by declaration and demand.
	replicas int
	// serving are engines that serve the declared version; older are those that serve another one.
	serving, older []*row
	// coming are engines that load the declared version or have an order to.
	coming int
}

// plan orders at most one thing of each engine: roles and adapters, then unloads that make room, then loads by
// urgency.
func (p *Planner) plan(now time.Time, t Input, a *Actions) {
	wants := p.wants(t)
	p.planRoles(now, t, a)
	p.planAdapters(now, t, wants, a)
	p.planUnloads(now, t, wants, a)
	p.planLoads(now, t, wants, a)
}

func (p *Planner) wants(t Input) []*want {
	wants := make([]*want, 0, len(t.Models))
	for _, m := range t.Models {
		w := &want{Model: m, key: m.Name + "@" + m.Version, replicas: max(m.Replicas, t.Demand[m.Name])}
		for _, id := range p.ids {
			p.rows[id].count(w)
		}
		wants = append(wants, w)
	}
	slices.SortFunc(wants, func(a, b *want) int {
		return cmp.Or(cmp.Compare(a.share(), b.share()), strings.Compare(a.Name, b.Name))
	})
	return wants
}

// share is the part of the wanted replicas that serve any version; loads go to the least first.
func (w *want) share() float64 {
	return float64(len(w.serving)+len(w.older)) / float64(max(w.replicas, 1))
}

// count notes where an engine stands towards a wanted model.
func (r *row) count(w *want) {
	if r.order != nil && r.order.Kind == Load && r.order.Model == w.key {
		w.coming++
		return
	}
	if r.state == nil {
		return
	}
	if m := find(r.state, w.key); m != nil {
		switch {
		case m.State == loaded && !r.unloads(w.key):
			w.serving = append(w.serving, r)
			return
		case m.State == loading:
			w.coming++
			return
		}
	}
	for _, m := range r.state.Models {
		if m.State == loaded && nameOf(m.Model) == w.Name && m.Model != w.key && !r.unloads(m.Model) {
			w.older = append(w.older, r)
			return
		}
	}
}

// servesOther reports whether an engine serves another version of a model, too.
func (r *row) servesOther(model string) bool {
	return slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool {
		return m.State == loaded && m.Model != model && nameOf(m.Model) == nameOf(model)
	})
}

// unloads reports whether an order to unload a model is under way.
func (r *row) unloads(model string) bool {
	return r.order != nil && r.order.Kind == Unload && r.order.Model == model
}

func nameOf(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}

func (p *Planner) planRoles(now time.Time, t Input, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		if role := t.Roles[id]; role != "" && p.canOrder(now, r) && r.state.Role != role {
			p.issue(now, t, r, wire.Order{Kind: Role, Role: role}, a)
		}
	}
}

func (p *Planner) planAdapters(now time.Time, t Input, wants []*want, a *Actions) {
	for _, w := range wants {
		for _, r := range w.serving {
			if p.canOrder(now, r) && !hasAdapters(find(r.state, w.key), w.Adapters) {
				p.issue(now, t, r, wire.Order{Kind: Load, Model: w.key, Adapters: w.Adapters}, a)
			}
		}
	}
}

func hasAdapters(m *wire.EngineModel, adapters []string) bool {
	return !slices.ContainsFunc(adapters, func(a string) bool { return !slices.Contains(m.Adapters, a) })
}

// planUnloads removes older versions once the declared one serves in their place, and replicas beyond those
// wanted. A model that nothing declares stays until its place is needed: an empty set of declarations must not
// empty the engines.
func (p *Planner) planUnloads(now time.Time, t Input, wants []*want, a *Actions) {
	byName := make(map[string]*want, len(wants))
	for _, w := range wants {
		byName[w.Name] = w
	}
	needed := p.neededPlaces(wants)
	for _, id := range p.ids {
		r := p.rows[id]
		if !p.canOrder(now, r) {
			continue
		}
		for _, m := range r.state.Models {
			w := byName[nameOf(m.Model)]
			if w == nil && needed <= 0 {
				continue
			}
			if m.State == loaded && mayUnload(r, m.Model, w) {
				if w == nil {
					needed--
				}
				p.issue(now, t, r, wire.Order{Kind: Unload, Model: m.Model}, a)
				break
			}
		}
	}
}

// neededPlaces is the number of missing replicas for which no engine has a free slot, or is making one.
func (p *Planner) neededPlaces(wants []*want) int {
	needed := 0
	for _, w := range wants {
		missing := w.replicas - len(w.serving) - w.coming
		for _, r := range p.rows {
			if r.state != nil && !r.holds(w.key) && (r.state.FreeSlots > 0 || r.freesSlot()) {
				missing--
			}
		}
		needed += max(missing, 0)
	}
	return needed
}

// freesSlot reports whether a model is being unloaded.
func (r *row) freesSlot() bool {
	return r.order != nil && r.order.Kind == Unload ||
		slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool { return m.State == unloading })
}

// mayUnload reports whether a model can go from an engine without loss of wanted capacity, and takes it off the
// counts.
func mayUnload(r *row, model string, w *want) bool {
	if w == nil {
		return true
	}
	if model != w.key {
		return slices.Contains(w.serving, r) || len(w.serving) >= w.replicas || r.servesOther(model)
	}
	if len(w.serving) <= w.replicas || w.coming > 0 {
		return false
	}
	w.serving = slices.DeleteFunc(w.serving, func(other *row) bool { return other == r })
	return true
}

func (p *Planner) planLoads(now time.Time, t Input, wants []*want, a *Actions) {
	room := max(int(loadingShare*float64(len(p.rows))), 1)
	for _, w := range wants {
		room -= w.coming
	}
	for _, w := range wants {
		for missing := w.replicas - len(w.serving) - w.coming; missing > 0; missing-- {
			r, reason := p.place(now, w)
			switch {
			case r == nil:
				a.Stalls = append(a.Stalls, Stall{Model: w.key, Reason: reason})
			case room <= 0:
				return
			case !p.pace.take(now, w.LoadCost):
				a.Stalls = append(a.Stalls, Stall{Model: w.key, Reason: weightStore})
				return
			default:
				p.issue(now, t, r, wire.Order{Kind: Load, Model: w.key, Adapters: w.Adapters}, a)
				w.coming++
				room--
				continue
			}
			break
		}
	}
}

// place chooses the engine for one more replica: in the zone with the fewest, one that serves an older version of
// the model, then the one with the fewest models and the least load.
func (p *Planner) place(now time.Time, w *want) (best *row, reason string) {
	reason = reasonNoEngine
	zones := make(map[string]int)
	for _, r := range p.rows {
		if r.holds(w.key) {
			zones[r.announced.Zone]++
		}
	}
	for _, id := range p.ids {
		r := p.rows[id]
		if r.state == nil || r.holds(w.key) {
			continue
		}
		if r.state.FreeSlots <= 0 {
			reason = reasonNoRoom
			continue
		}
		if p.canOrder(now, r) && (best == nil || w.compare(r, best, zones) < 0) {
			best = r
		}
	}
	return best, reason
}

// holds reports whether a model is on an engine or ordered there.
func (r *row) holds(model string) bool {
	if r.order != nil && r.order.Kind == Load && r.order.Model == model {
		return true
	}
	if r.state == nil {
		return false
	}
	m := find(r.state, model)
	return m != nil && m.State != failed
}

func (w *want) compare(a, b *row, zones map[string]int) int {
	older := func(r *row) int {
		if slices.Contains(w.older, r) {
			return 0
		}
		return 1
	}
	load := func(r *row) int { return r.announced.Load.InFlight + r.announced.Load.Queued }
	return cmp.Or(
		cmp.Compare(zones[a.announced.Zone], zones[b.announced.Zone]),
		cmp.Compare(older(a), older(b)),
		cmp.Compare(len(a.state.Models), len(b.state.Models)),
		cmp.Compare(load(a), load(b)),
	)
}

// hasEffect reports whether a state shows what an order asked for, given the order's model there.
func hasEffect(o *wire.Order, s *wire.EngineState, m *wire.EngineModel) bool {
	switch o.Kind {
	case Load:
		return m != nil && (m.State == loading || m.State == loaded && hasAdapters(m, o.Adapters))
	case Unload:
		return m == nil || m.State == unloading
	default:
		return s.Role == o.Role
	}
}
