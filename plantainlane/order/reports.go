package order

import (
	"time"

	"plantainlane/wire"
)

// handleReport handles an engine's answer to an order or its response to a read. It ignores reports of engines that
// aren't announced, states of another incarnation, and states whose read was started before that of the known state.
func (p *Planner) handleReport(now time.Time, rep Report) {
	r := p.rows[rep.Upstream]
	if r == nil {
		return
	}
	if rep.Answer != nil {
		p.handleAnswer(now, r, *rep.Answer)
	}
	if s := rep.State; s != nil && s.Incarnation == r.announced.Incarnation && !rep.StartedAt.Before(r.readAt) {
		p.handleState(now, r, s, rep.StartedAt)
	}
}

// handleAnswer marks the pending order as answered, has the engine's state read immediately, and fails the order if
// it was refused. An acceptance proves nothing: only the state shows the effect. Of an answer to another
// order, which is late or repeated, it uses only the fencing number.
func (p *Planner) handleAnswer(now time.Time, r *row, answer wire.OrderAnswer) {
	if answer.Fencing > p.fencing {
		p.superseded = true
	}
	if r.order == nil || answer.ID != r.order.ID {
		return
	}
	r.answered = true
	r.readDue = now
	if answer.State != refused {
		return
	}
	// A staleFencing refusal counts only from engines that announce that they check fencing numbers.
	if r.announced.ChecksFencing || answer.Reason != staleFencing {
		p.failOrder(now, r)
	}
}

// handleState replaces the state of an engine and completes the pending order if the state shows its effect. An
// order without effect fails if the state shows that its load failed, or if the read of the state was started after the
// order expired.
func (p *Planner) handleState(now time.Time, r *row, s *wire.EngineState, startedAt time.Time) {
	r.state, r.readAt = s, startedAt
	if s.Fencing > p.fencing {
		p.superseded = true
	}
	if r.order == nil {
		return
	}
	m := findModel(s, r.order.Model)
	switch {
	case r.order.Kind == Load && m != nil && m.State == failed && s.LastOrder == r.order.ID:
		if m.Reason == weightStore {
			p.loadLimit.recordRefusal(now, time.Duration(m.RetryAfterMs)*time.Millisecond, p.timing, p.random)
		}
		p.failOrder(now, r)
	case tookEffect(r.order, s, m):
		p.completeOrder(r, m)
	case startedAt.After(r.expiresAt):
		p.failOrder(now, r)
	}
}

// failOrder removes the pending order of an engine and delays its next order by the backoff.
func (p *Planner) failOrder(now time.Time, r *row) {
	r.order = nil
	r.notBefore = now.Add(backoff(r.failures, p.timing, p.random))
	r.failures++
}

// completeOrder removes the pending order of an engine, given the order's model in the engine's state. A load stays
// pending until the model is loaded.
func (p *Planner) completeOrder(r *row, m *wire.EngineModel) {
	if r.order.Kind == Load && m.State != loaded {
		return
	}
	if r.order.Kind == Load {
		p.loadLimit.recordSuccess()
		delete(p.lost, r.order.Model)
	}
	r.order = nil
	r.failures = 0
}

// findModel returns the model with the key NAME@VERSION in an engine's state, nil if the engine doesn't have it.
func findModel(s *wire.EngineState, model string) *wire.EngineModel {
	for i := range s.Models {
		if s.Models[i].Model == model {
			return &s.Models[i]
		}
	}
	return nil
}
