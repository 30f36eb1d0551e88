package order

import (
	"time"

	"plantainlane/wire"
)

// takeReport notes what an engine answered and read back.
func (p *Planner) takeReport(now time.Time, rep Report) {
	r := p.rows[rep.Upstream]
	if r == nil {
		return
	}
	if rep.Answer != nil {
		p.takeAnswer(now, r, *rep.Answer)
	}
	if s := rep.State; s != nil && s.Incarnation == r.announced.Incarnation && !rep.StartedAt.Before(r.readAt) {
		p.takeState(now, r, s, rep.StartedAt)
	}
}

// takeAnswer only learns from a refusal; an answer to an order that isn't under way any more is late or repeated.
func (p *Planner) takeAnswer(now time.Time, r *row, answer wire.OrderAnswer) {
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
	if r.announced.ChecksFencing || answer.Reason != staleFencing {
		p.fail(now, r)
	}
}

// takeState replaces the state of an engine and closes the order whose effect it shows. An order without effect
// is given up once it can't take effect any more.
func (p *Planner) takeState(now time.Time, r *row, s *wire.EngineState, readAt time.Time) {
	r.state, r.readAt = s, readAt
	if s.Fencing > p.fencing {
		p.superseded = true
	}
	if r.order == nil {
		return
	}
	m := find(s, r.order.Model)
	switch {
	case r.order.Kind == Load && m != nil && m.State == failed && s.LastOrder == r.order.ID:
		if m.Reason == weightStore {
			p.pace.refuse(now, time.Duration(m.RetryAfterMs)*time.Millisecond, p.timing, p.random)
		}
		p.fail(now, r)
	case hasEffect(r.order, s, m):
		p.succeed(r, m)
	case readAt.After(r.until):
		p.fail(now, r)
	}
}

func (p *Planner) fail(now time.Time, r *row) {
	r.order = nil
	r.notBefore = now.Add(backoff(r.failures, p.timing, p.random))
	r.failures++
}

func (p *Planner) succeed(r *row, m *wire.EngineModel) {
	if r.order.Kind == Load && m.State != loaded {
		return
	}
	if r.order.Kind == Load {
		p.pace.served()
	}
	r.order = nil
	r.failures = 0
}

func find(s *wire.EngineState, model string) *wire.EngineModel {
	for i := range s.Models {
		if s.Models[i].Model == model {
			return &s.Models[i]
		}
	}
	return nil
}
