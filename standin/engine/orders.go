package engine

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// Kinds of orders, states of models and states of orders.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"

	modelLoading   = "loading"
	modelLoaded    = "loaded"
	modelUnloading = "unloading"
	modelFailed    = "failed"

	orderTaken   = "taken"
	orderRefused = "refused"
)

// orderState is the part of an engine's state that orders change.
type orderState struct {
	weights WeightSource
	role    string
	// models are the models that use a slot, and those that failed to load.
	models []wire.EngineModel
	// fencing is the highest fencing number of the orders taken so far, or 0 if the engine doesn't check the numbers.
	fencing int
	// lastOrder is the ID of the order taken last.
	lastOrder string
	// managed is set if the engine serves only the models that it has loaded. Otherwise it serves any model.
	managed bool
}

func newOrderState(cfg Config, weights WeightSource) orderState {
	s := orderState{weights: weights, role: cfg.Role, managed: len(cfg.Models) > 0 || weights != nil}
	for _, m := range cfg.Models {
		s.models = append(s.models, wire.EngineModel{Model: m, Adapters: []string{}, State: modelLoaded})
	}
	return s
}

// findModel returns the state of a model, nil if the engine doesn't have the model.
func (s *orderState) findModel(model string) *wire.EngineModel {
	for i := range s.models {
		if s.models[i].Model == model {
			return &s.models[i]
		}
	}
	return nil
}

// servesModel reports whether the engine runs calls for a model.
func (s *orderState) servesModel(model string) bool {
	if !s.managed {
		return true
	}
	m := s.findModel(model)
	return m != nil && m.State == modelLoaded
}

func (s *orderState) removeModel(model string) {
	s.models = slices.DeleteFunc(s.models, func(m wire.EngineModel) bool { return m.Model == model })
}

// usedSlots returns the number of models that use a slot: all but those that failed to load.
func (s *orderState) usedSlots() int {
	n := 0
	for _, m := range s.models {
		if m.State != modelFailed {
			n++
		}
	}
	return n
}

// Order applies an order, or refuses it with a reason in the answer. An order that repeats the ID of the order taken
// last changes nothing. The load or unload that the order starts runs in the background; ctx bounds the fetch of the
// weights and the wait of the unload.
func (e *Engine) Order(ctx context.Context, o wire.Order) wire.OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.refusalReason(o); reason != "" {
		e.ledger.RefusedOrders++
		return wire.OrderAnswer{ID: o.ID, State: orderRefused, Reason: reason, Fencing: e.state.fencing}
	}
	if e.cfg.ChecksFencing {
		e.state.fencing = max(e.state.fencing, o.Fencing)
	}
	if o.ID != e.state.lastOrder {
		e.ledger.Orders = append(e.ledger.Orders, AppliedOrder{Order: o, AtMs: int(time.Now().UnixMilli())})
		e.applyOrder(ctx, o)
	}
	e.state.lastOrder = o.ID
	return wire.OrderAnswer{ID: o.ID, State: orderTaken, Fencing: e.state.fencing}
}

// refusalReason returns why an order can't be applied, or the empty string if it can. The caller holds e.mu.
func (e *Engine) refusalReason(o wire.Order) string {
	switch {
	case o.Incarnation != e.cfg.Incarnation:
		return "incarnation"
	case time.Now().UnixMilli() >= int64(o.ExpiresMs):
		return "expired"
	case e.cfg.ChecksFencing && o.Fencing < e.state.fencing:
		return "staleFencing"
	}
	switch o.Kind {
	case orderLoad:
		if e.state.findModel(o.Model) == nil && e.state.usedSlots() >= e.cfg.Slots {
			return "noRoom"
		}
	case orderUnload:
		if e.state.findModel(o.Model) == nil {
			return "unknownModel"
		}
	case orderRole:
	default:
		return "malformed"
	}
	return ""
}

// applyOrder changes the role or the models as an order asks. Loading a model that is being unloaded keeps the model.
// The caller holds e.mu.
func (e *Engine) applyOrder(ctx context.Context, o wire.Order) {
	m := e.state.findModel(o.Model)
	switch o.Kind {
	case orderRole:
		e.state.role = o.Role
	case orderUnload:
		m.State = modelUnloading
		go e.unloadModel(ctx, o.Model)
	case orderLoad:
		if m != nil && m.State != modelFailed {
			m.Adapters = o.Adapters
			if m.State == modelUnloading {
				m.State = modelLoaded
			}
			return
		}
		e.state.removeModel(o.Model)
		e.state.models = append(e.state.models, wire.EngineModel{Model: o.Model, Adapters: o.Adapters, State: modelLoading})
		go e.loadModel(ctx, o.Model)
	}
}

// loadModel fetches the weights of a model and waits for the load time. It then marks the model as loaded, or as
// failed with a reason.
func (e *Engine) loadModel(ctx context.Context, model string) {
	var err error
	if e.state.weights != nil {
		err = e.state.weights.Fetch(ctx, wire.WeightRequest{Upstream: e.cfg.ID, Model: model, Units: e.cfg.WeightUnits})
	}
	if err == nil {
		time.Sleep(e.cfg.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.state.findModel(model)
	if m == nil || m.State != modelLoading {
		return
	}
	m.State = modelLoaded
	if err == nil {
		return
	}
	m.State, m.Reason = modelFailed, "error"
	var refused *WeightsRefusedError
	if errors.As(err, &refused) {
		e.ledger.WeightRefusals++
		m.Reason, m.RetryAfterMs = "weightStore", int(refused.RetryAfter.Milliseconds())
	}
}

// unloadModel removes a model as soon as no sequence of the model runs or waits. It leaves the model in memory if an
// order loads the model again or ctx ends before.
func (e *Engine) unloadModel(ctx context.Context, model string) {
	tick := time.NewTicker(e.cfg.StepTime)
	defer tick.Stop()
	for {
		e.mu.Lock()
		m := e.state.findModel(model)
		if m == nil || m.State != modelUnloading {
			e.mu.Unlock()
			return
		}
		if !e.usesModel(model) {
			e.state.removeModel(model)
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

// usesModel reports whether a running or waiting sequence uses a model. The caller holds e.mu.
func (e *Engine) usesModel(model string) bool {
	matches := func(a *attempt) bool { return a.Model == model }
	return slices.ContainsFunc(e.running, matches) || slices.ContainsFunc(e.waiting, matches)
}

// State returns the engine's role, models, free slots, fencing number and last order.
func (e *Engine) State() wire.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.EngineState{
		Upstream: e.cfg.ID, Incarnation: e.cfg.Incarnation, Role: e.state.role,
		Models: append([]wire.EngineModel{}, e.state.models...), FreeSlots: e.cfg.Slots - e.state.usedSlots(),
		Fencing: e.state.fencing, LastOrder: e.state.lastOrder,
	}
}
