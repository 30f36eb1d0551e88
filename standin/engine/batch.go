package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"plantainlane/wire"
)

const (
	blockUnits = 0.01
	tokenUnits = 0.05
)

// Engine is a fake model engine.
type Engine struct {
	cfg Config

	mu       sync.Mutex
	attempts map[string]*attempt
	waiting  []*attempt
	running  []*attempt
	cache    *blockCache
	events   eventLog
	orders   orderBook
	exports  map[string]export
	loads    []loadSample
	leaving  bool
	ledger   Ledger
	wake     chan struct{}
}

// New returns an engine that does nothing until Run.
func New(cfg Config, weights WeightSource) *Engine {
	e := &Engine{
		cfg: cfg, attempts: make(map[string]*attempt), cache: newBlockCache(cfg.CacheBlocks),
		exports: make(map[string]export), wake: make(chan struct{}, 1),
		events: eventLog{random: rand.New(rand.NewPCG(cfg.Seed, 0))},
	}
	e.orders = newOrderBook(cfg, weights)
	return e
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run generates until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.sweep(time.Now())
		e.admit(time.Now())
		pause, busy := e.planStep()
		e.mu.Unlock()
		if !busy {
			e.idle(ctx)
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		e.mu.Lock()
		e.finishStep()
		e.mu.Unlock()
	}
}

// idle waits for work, or for held attempts to be dropped.
func (e *Engine) idle(ctx context.Context) {
	select {
	case <-e.wake:
	case <-time.After(e.cfg.DetachAfter):
	case <-ctx.Done():
	}
}

// sweep takes unread sequences out of the batch, and drops those held for too long.
func (e *Engine) sweep(now time.Time) {
	for id, a := range e.attempts {
		if a.readers > 0 {
			continue
		}
		unread := now.Sub(a.unread)
		if unread >= e.cfg.HoldFor {
			e.end(a)
			delete(e.attempts, id)
			if !a.done() {
				e.ledger.Dropped++
			}
			continue
		}
		if unread >= e.cfg.DetachAfter {
			e.remove(a)
		}
	}
}

// admit fills the batch by priority, raised for those that have waited.
func (e *Engine) admit(now time.Time) {
	for len(e.running) < e.cfg.BatchLimit && len(e.waiting) > 0 {
		best := 0
		for i, a := range e.waiting {
			if e.rank(a, now) > e.rank(e.waiting[best], now) {
				best = i
			}
		}
		a := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.start(a)
	}
}

func (e *Engine) rank(a *attempt, now time.Time) float64 {
	return float64(a.Priority) + float64(now.Sub(a.arrived))/float64(e.cfg.AgeEvery)
}

func (e *Engine) start(a *attempt) {
	a.running = true
	e.running = append(e.running, a)
	if a.started {
		return
	}
	a.started = true
	a.generated = a.Offset
	a.cached = e.cache.prefix(a.Blocks)
	e.ledger.Executions++
	e.ledger.PromptBlocks += len(a.Blocks)
	e.ledger.CachedBlocks += a.cached
	if a.Imported {
		return
	}
	a.prefill = len(a.Blocks) - a.cached + a.ExtraBlocks
}

// planStep shares the step's prefill among running sequences in order, and returns how long the step takes.
func (e *Engine) planStep() (pause time.Duration, busy bool) {
	left := e.cfg.ChunkBlocks
	for _, a := range e.running {
		n := min(a.prefill, left)
		a.prefill -= n
		left -= n
	}
	computed := e.cfg.ChunkBlocks - left
	return e.cfg.StepTime + time.Duration(computed)*e.cfg.PrefillBlock, len(e.running) > 0
}

// finishStep gives each sequence whose prompt is computed its next token.
func (e *Engine) finishStep() {
	for _, a := range slices.Clone(e.running) {
		if !a.running || a.prefill > 0 {
			continue
		}
		if !a.prefilled {
			a.prefilled = true
			e.events.add(time.Now().Add(e.cfg.EventDelay), e.cfg.EventLoss, e.cache.put(a.Blocks))
		}
		if !a.done() {
			a.generated++
			e.ledger.Tokens++
		}
		if a.done() {
			e.ledger.Completed++
			e.remove(a)
		}
		a.notify()
	}
}

// remove takes an attempt out of the batch and the queue.
func (e *Engine) remove(a *attempt) {
	a.running = false
	e.running = without(e.running, a)
	e.waiting = without(e.waiting, a)
}

// end stops an attempt for good and wakes its readers.
func (e *Engine) end(a *attempt) {
	e.remove(a)
	a.ended = true
	a.notify()
}

func without(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(other *attempt) bool { return other == a })
}

// Generate queues a call. It returns ErrModel or ErrBusy for a call that doesn't run.
func (e *Engine) Generate(c Call) (*Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.orders.serves(c.Model) || e.leaving {
		e.ledger.Refused++
		return nil, ErrModel
	}
	if len(e.waiting) >= e.cfg.QueueLimit {
		e.ledger.Refused++
		return nil, ErrBusy
	}
	if c.Offset > 0 {
		e.ledger.Continued++
	}
	if c.Imported {
		e.ledger.Imported++
	}
	a := &attempt{Call: c, arrived: time.Now(), changed: make(chan struct{}), readers: 1}
	e.attempts[c.Attempt] = a
	e.waiting = append(e.waiting, a)
	e.wakeUp()
	return &Stream{engine: e, attempt: a, next: c.Offset}, nil
}

// Resume reads an attempt again from an offset. It returns ErrUnknownAttempt or ErrOffset.
func (e *Engine) Resume(id string, offset int) (*Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil || a.ended {
		return nil, ErrUnknownAttempt
	}
	if offset > a.generated || offset < a.Offset {
		return nil, ErrOffset
	}
	a.readers++
	e.ledger.Resumed++
	if !a.running && !a.done() && !slices.Contains(e.waiting, a) {
		e.waiting = append(e.waiting, a)
	}
	e.wakeUp()
	return &Stream{engine: e, attempt: a, next: offset}, nil
}

// Cancel ends an attempt at once. An unknown attempt is no error.
func (e *Engine) Cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil {
		return
	}
	if !a.done() {
		e.ledger.Cancelled++
	}
	e.end(a)
	delete(e.attempts, id)
}

// Ledger returns a copy of the counters.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.ledger
	l.Orders = slices.Clone(l.Orders)
	return l
}

// CacheBlocks lists the prefix cache.
func (e *Engine) CacheBlocks() wire.CacheBlocks {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.CacheBlocks{
		Upstream: e.cfg.ID, Incarnation: e.cfg.Incarnation,
		Sequence: e.events.sequence, Blocks: e.cache.blocks(),
	}
}
