package order

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"plantainlane/wire"
)

const (
	// Reasons of a Stall, besides weightStore.
	reasonNoFreeSlot = "noRoom"
	reasonNoEngine   = "noEngine"
	// reasonEnginesLost is that of a model under whose load engines have ended.
	reasonEnginesLost = "enginesLost"
)

// maxLoadingFraction is the fraction of the engines that may load weights at the same time, so that after an outage
// the other engines keep serving.
const maxLoadingFraction = 0.25

// modelTarget is a declared model and the engines that serve or load it.
type modelTarget struct {
	wire.Model
	// key is NAME@VERSION.
	key string
	// replicas is the larger of the declared replicas and the demand.
	replicas int
	// serving are the engines that serve the declared version and have no pending order to load it again, with further
	// adapters; otherVersion are those that neither serve nor load the declared version, but serve another one. A version
	// that an engine has a pending order to unload doesn't count as served.
	serving, otherVersion []*row
	// loadingCount counts the engines that load the declared version or have an order to load it.
	loadingCount int
}

// plan issues at most one order to each engine: first roles and adapters, then unloads that free slots, then loads.
// The model with the smallest servedFraction comes first.
func (p *Planner) plan(now time.Time, in Input, a *Actions) {
	targets := p.modelTargets(in)
	p.planRoles(now, in, a)
	p.planAdapters(now, in, targets, a)
	p.planUnloads(now, in, targets, a)
	p.planLoads(now, in, targets, a)
}

// modelTargets returns the declared models by ascending servedFraction, then by name.
func (p *Planner) modelTargets(in Input) []*modelTarget {
	targets := make([]*modelTarget, 0, len(in.Models))
	for _, m := range in.Models {
		target := &modelTarget{Model: m, key: m.Name + "@" + m.Version, replicas: max(m.Replicas, in.Demand[m.Name])}
		for _, id := range p.ids {
			p.rows[id].classify(target)
		}
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *modelTarget) int {
		return cmp.Or(cmp.Compare(a.servedFraction(), b.servedFraction()), strings.Compare(a.Name, b.Name))
	})
	return targets
}

// servedFraction returns the number of engines that serve the model at any version, divided by the target replicas. It
// is above 1 if more engines serve the model than required.
func (t *modelTarget) servedFraction() float64 {
	return float64(len(t.serving)+len(t.otherVersion)) / float64(max(t.replicas, 1))
}

// classify counts the engine as serving, loading or otherVersion in target, or leaves target unchanged if the engine
// neither serves nor loads the model.
func (r *row) classify(target *modelTarget) {
	if r.order != nil && r.order.Kind == Load && r.order.Model == target.key {
		target.loadingCount++
		return
	}
	if r.state == nil {
		return
	}
	if m := findModel(r.state, target.key); m != nil {
		switch {
		case m.State == loaded && !r.isUnloading(target.key):
			target.serving = append(target.serving, r)
			return
		case m.State == loading:
			target.loadingCount++
			return
		}
	}
	for _, m := range r.state.Models {
		if m.State == loaded && modelName(m.Model) == target.Name && m.Model != target.key && !r.isUnloading(m.Model) {
			target.otherVersion = append(target.otherVersion, r)
			return
		}
	}
}

// servesOtherVersion reports whether an engine serves a version of the model other than the given NAME@VERSION.
func (r *row) servesOtherVersion(model string) bool {
	return slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool {
		return m.State == loaded && m.Model != model && modelName(m.Model) == modelName(model)
	})
}

// isUnloading reports whether the engine has a pending order to unload a model.
func (r *row) isUnloading(model string) bool {
	return r.order != nil && r.order.Kind == Unload && r.order.Model == model
}

// modelName returns the name of a model given as NAME@VERSION.
func modelName(model string) string {
	name, _, _ := strings.Cut(model, "@")
	return name
}

// planRoles orders engines to take the role given in the input.
func (p *Planner) planRoles(now time.Time, in Input, a *Actions) {
	for _, id := range p.ids {
		r := p.rows[id]
		if role := in.Roles[id]; role != "" && p.canOrder(now, r) && r.state.Role != role {
			p.issue(now, in, r, wire.Order{Kind: Role, Role: role}, a)
		}
	}
}

// planAdapters orders engines that serve the declared version to load the adapters that they lack.
func (p *Planner) planAdapters(now time.Time, in Input, targets []*modelTarget, a *Actions) {
	for _, target := range targets {
		for _, r := range target.serving {
			if p.canOrder(now, r) && !hasAdapters(findModel(r.state, target.key), target.Adapters) {
				p.issue(now, in, r, wire.Order{Kind: Load, Model: target.key, Adapters: target.Adapters}, a)
			}
		}
	}
}

// hasAdapters reports whether a model has all the given adapters; it may have others.
func hasAdapters(m *wire.EngineModel, adapters []string) bool {
	return !slices.ContainsFunc(adapters, func(a string) bool { return !slices.Contains(m.Adapters, a) })
}

// planUnloads orders unloads of other versions of a model that no longer add to its capacity, and of replicas above
// the target; see reserveUnload. An undeclared model is unloaded only when another model needs its slot, so that an
// empty set of declarations doesn't unload everything.
func (p *Planner) planUnloads(now time.Time, in Input, targets []*modelTarget, a *Actions) {
	byName := make(map[string]*modelTarget, len(targets))
	for _, target := range targets {
		byName[target.Name] = target
	}
	slotsNeeded := p.missingSlots(targets)
	for _, id := range p.ids {
		r := p.rows[id]
		if !p.canOrder(now, r) {
			continue
		}
		for _, m := range r.state.Models {
			target := byName[modelName(m.Model)]
			if target == nil && slotsNeeded <= 0 {
				continue
			}
			if m.State == loaded && reserveUnload(r, m.Model, target) {
				if target == nil {
					slotsNeeded--
				}
				p.issue(now, in, r, wire.Order{Kind: Unload, Model: m.Model}, a)
				break
			}
		}
	}
}

// missingSlots returns the number of missing replicas, over all models, for which no engine has a free slot or is
// freeing one. It considers each model alone: a free slot counts for every model that could use it.
func (p *Planner) missingSlots(targets []*modelTarget) int {
	slotsNeeded := 0
	for _, target := range targets {
		missing := target.replicas - len(target.serving) - target.loadingCount
		for _, r := range p.rows {
			if r.state != nil && !r.holds(target.key) && (r.state.FreeSlots > 0 || r.isFreeingSlot()) {
				missing--
			}
		}
		slotsNeeded += max(missing, 0)
	}
	return slotsNeeded
}

// isFreeingSlot reports whether an engine is unloading a model or has an order to.
func (r *row) isFreeingSlot() bool {
	return r.order != nil && r.order.Kind == Unload ||
		slices.ContainsFunc(r.state.Models, func(m wire.EngineModel) bool { return m.State == unloading })
}

// reserveUnload reports whether an engine can unload a model without loss of required capacity. target is the model's
// target, nil for an undeclared model. Another version than the declared one can be unloaded if the engine serves a
// further version of the model or if the declared version has all its replicas. The declared version can be unloaded
// if it has more replicas than required and no engine loads it; reserveUnload then removes the engine from
// target.serving, so that the next calls count one replica less.
func reserveUnload(r *row, model string, target *modelTarget) bool {
	if target == nil {
		return true
	}
	if model != target.key {
		return slices.Contains(target.serving, r) || len(target.serving) >= target.replicas || r.servesOtherVersion(model)
	}
	if len(target.serving) <= target.replicas || target.loadingCount > 0 {
		return false
	}
	target.serving = slices.DeleteFunc(target.serving, func(other *row) bool { return other == r })
	return true
}

// planLoads orders loads for the missing replicas of each model until maxLoadingFraction or the weight store's rate
// is reached; the models that follow then get no load either. A model for which no engine can be chosen, under whose load
// engines have ended, or that reaches the weight store's rate, is reported as a stall; reaching maxLoadingFraction isn't.
func (p *Planner) planLoads(now time.Time, in Input, targets []*modelTarget, a *Actions) {
	allowance := max(int(maxLoadingFraction*float64(len(p.rows))), 1)
	for _, target := range targets {
		allowance -= target.loadingCount
	}
	for _, target := range targets {
		for missing := target.replicas - len(target.serving) - target.loadingCount; missing > 0; missing-- {
			r, reason := p.chooseEngine(now, target)
			switch {
			case r == nil:
				a.Stalls = append(a.Stalls, Stall{Model: target.key, Reason: reason})
			case !p.lost.allows(now, target.key, target.loadingCount):
				a.Stalls = append(a.Stalls, Stall{Model: target.key, Reason: reasonEnginesLost})
			case allowance <= 0:
				return
			case !p.loadLimit.take(now, target.LoadCost):
				a.Stalls = append(a.Stalls, Stall{Model: target.key, Reason: weightStore})
				return
			default:
				p.issue(now, in, r, wire.Order{Kind: Load, Model: target.key, Adapters: target.Adapters}, a)
				target.loadingCount++
				allowance--
				continue
			}
			break
		}
	}
}

// chooseEngine returns the engine for one more replica of a model, or nil and the reason of the stall: noRoom if any
// engine without the model has no free slot, noEngine otherwise. It prefers,
// in this order: the zone with the fewest replicas of the model, an engine that serves another version of it, the
// fewest models on the engine, and the lowest load.
func (p *Planner) chooseEngine(now time.Time, target *modelTarget) (best *row, reason string) {
	reason = reasonNoEngine
	zones := make(map[string]int)
	for _, r := range p.rows {
		if r.holds(target.key) {
			zones[r.announced.Zone]++
		}
	}
	for _, id := range p.ids {
		r := p.rows[id]
		if r.state == nil || r.holds(target.key) {
			continue
		}
		if r.state.FreeSlots <= 0 {
			reason = reasonNoFreeSlot
			continue
		}
		if p.canOrder(now, r) && (best == nil || target.compare(r, best, zones) < 0) {
			best = r
		}
	}
	return best, reason
}

// holds reports whether an engine has a model, in any state but failed, or an order to load it.
func (r *row) holds(model string) bool {
	if r.order != nil && r.order.Kind == Load && r.order.Model == model {
		return true
	}
	if r.state == nil {
		return false
	}
	m := findModel(r.state, model)
	return m != nil && m.State != failed
}

// compare orders two engines by preference for one more replica, negative if a is the better one. zones counts the
// replicas in each zone.
func (t *modelTarget) compare(a, b *row, zones map[string]int) int {
	versionRank := func(r *row) int {
		if slices.Contains(t.otherVersion, r) {
			return 0
		}
		return 1
	}
	load := func(r *row) int { return r.announced.Load.InFlight + r.announced.Load.Queued }
	return cmp.Or(
		cmp.Compare(zones[a.announced.Zone], zones[b.announced.Zone]),
		cmp.Compare(versionRank(a), versionRank(b)),
		cmp.Compare(len(a.state.Models), len(b.state.Models)),
		cmp.Compare(load(a), load(b)),
	)
}

// tookEffect reports whether an engine's state s shows the effect of an order. m is the order's model in s, nil if
// the engine doesn't have it. A load counts from the moment the engine starts it.
func tookEffect(o *wire.Order, s *wire.EngineState, m *wire.EngineModel) bool {
	switch o.Kind {
	case Load:
		return m != nil && (m.State == loading || m.State == loaded && hasAdapters(m, o.Adapters))
	case Unload:
		return m == nil || m.State == unloading
	default:
		return s.Role == o.Role
	}
}
