package engine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// Kinds of orders, states of models and reasons of refusals.
const (
	load   = "load"
	unload = "unload"
	role   = "role"

	loading   = "loading"
	loaded    = "loaded"
	unloading = "unloading"
	failed    = "failed"

	taken   = "taken"
	refused = "refused"
)

// orderBook is what orders have made of the engine.
type orderBook struct {
	weights   WeightSource
	role      string
	models    []wire.EngineModel
	fencing   int
	lastOrder string
	// managed says that the engine serves only the models it has loaded.
	managed bool
}

func newOrderBook(cfg Config, weights WeightSource) orderBook {
	b := orderBook{weights: weights, role: cfg.Role, managed: len(cfg.Models) > 0 || weights != nil}
	for _, m := range cfg.Models {
		b.models = append(b.models, wire.EngineModel{Model: m, Adapters: []string{}, State: loaded})
	}
	return b
}

func (b *orderBook) find(model string) *wire.EngineModel {
	for i := range b.models {
		if b.models[i].Model == model {
			return &b.models[i]
		}
	}
	return nil
}

func (b *orderBook) serves(model string) bool {
	if !b.managed {
		return true
	}
	m := b.find(model)
	return m != nil && m.State == loaded
}

func (b *orderBook) drop(model string) {
	b.models = slices.DeleteFunc(b.models, func(m wire.EngineModel) bool { return m.Model == model })
}

// occupied counts the models that take a slot.
func (b *orderBook) occupied() int {
	n := 0
	for _, m := range b.models {
		if m.State != failed {
			n++
		}
	}
	return n
}

// Order applies an order. What it began goes on until ctx ends.
func (e *Engine) Order(ctx context.Context, o wire.Order) wire.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusal(o); reason != "" {
		e.ledger.RefusedOrders++
		return wire.OrderAnswer{ID: o.ID, State: refused, Reason: reason, Fencing: e.orders.fencing}
	}
	if e.cfg.ChecksFencing {
		e.orders.fencing = max(e.orders.fencing, o.Fencing)
	}
	if o.ID != e.orders.lastOrder {
		e.ledger.Orders = append(e.ledger.Orders, AppliedOrder{Order: o, AtMs: int(time.Now().UnixMilli())})
		e.apply(ctx, o)
	}
	e.orders.lastOrder = o.ID
	return wire.OrderAnswer{ID: o.ID, State: taken, Fencing: e.orders.fencing}
}

func (e *Engine) refusal(o wire.Order) string {
	switch {
	case o.Incarnation != e.cfg.Incarnation:
		return "incarnation"
	case time.Now().UnixMilli() >= int64(o.ExpiresMs):
		return "expired"
	case e.cfg.ChecksFencing && o.Fencing < e.orders.fencing:
		return "staleFencing"
	}
	switch o.Kind {
	case load:
		if e.orders.find(o.Model) == nil && e.orders.occupied() >= e.cfg.Slots {
			return "noRoom"
		}
	case unload:
		if e.orders.find(o.Model) == nil {
			return "unknownModel"
		}
	case role:
	default:
		return "malformed"
	}
	return ""
}

func (e *Engine) apply(ctx context.Context, o wire.Order) {
	m := e.orders.find(o.Model)
	switch o.Kind {
	case role:
		e.orders.role = o.Role
	case unload:
		m.State = unloading
		go e.unload(ctx, o.Model)
	case load:
		if m != nil && m.State != failed {
			m.Adapters = o.Adapters
			if m.State == unloading {
				m.State = loaded
			}
			return
		}
		e.orders.drop(o.Model)
		e.orders.models = append(e.orders.models, wire.EngineModel{Model: o.Model, Adapters: o.Adapters, State: loading})
		go e.load(ctx, o.Model)
	}
}

func (e *Engine) load(ctx context.Context, model string) {
	var err error
	if e.orders.weights != nil {
		err = e.orders.weights.Fetch(ctx, wire.WeightRequest{Upstream: e.cfg.ID, Model: model, Units: e.cfg.WeightUnits})
	}
	if err == nil {
		time.Sleep(e.cfg.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.orders.find(model)
	if m == nil || m.State != loading {
		return
	}
	m.State = loaded
	if err == nil {
		return
	}
	m.State, m.Reason = failed, "error"
	var refused *WeightsRefusedError
	if errors.As(err, &refused) {
		e.ledger.WeightRefusals++
		m.Reason, m.RetryAfterMs = "weightStore", int(refused.RetryAfter.Milliseconds())
	}
}

// unload frees a model once nothing runs on it.
func (e *Engine) unload(ctx context.Context, model string) {
	tick := time.NewTicker(e.cfg.StepTime)
	defer tick.Stop()
	for {
		e.mu.Lock()
		m := e.orders.find(model)
		if m == nil || m.State != unloading {
			e.mu.Unlock()
			return
		}
		if !e.uses(model) {
			e.orders.drop(model)
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) uses(model string) bool {
	on := func(a *attempt) bool { return a.Model == model }
	return slices.ContainsFunc(e.running, on) || slices.ContainsFunc(e.waiting, on)
}

// State reads the engine's state back.
func (e *Engine) State() wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.EngineState{
		Upstream: e.cfg.ID, Incarnation: e.cfg.Incarnation, Role: e.orders.role,
		Models: append([]wire.EngineModel{}, e.orders.models...), FreeSlots: e.cfg.Slots - e.orders.occupied(),
		Fencing: e.orders.fencing, LastOrder: e.orders.lastOrder,
	}
}
