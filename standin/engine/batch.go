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
	blockUnits = 0.01 // Cost units of a computed prompt block.
	tokenUnits = 0.05 // Cost units of a generated token.
)

// Engine is a fake model engine. Its methods may be called concurrently.
type Engine struct {
	cfg Config

	mu sync.Mutex
	// attempts holds the attempts that can be resumed or cancelled, by ID.
	attempts map[string]*attempt
	// waiting is the queue, running the batch.
	waiting []*attempt
	running []*attempt
	cache   *blockCache
	events  eventQueue
	state   orderState
	// exports holds the exported KV caches, by the ID of the export.
	exports map[string]kvExport
	// loadSamples holds the load samples of the past LoadLag and the last one before, oldest first.
	loadSamples []loadSample
	leaving     bool
	ledger      Ledger
	// wake ends waitForWork.
	wake chan struct{}
}

// New returns an engine, which generates tokens only while Run runs. It fetches weights of models from weights before
// it loads them; if weights is nil, loading a model takes only the load time.
func New(cfg Config, weights WeightSource) *Engine {
	e := &Engine{
		cfg: cfg, attempts: make(map[string]*attempt), cache: newBlockCache(cfg.CacheBlocks),
		exports: make(map[string]kvExport), wake: make(chan struct{}, 1),
		events: eventQueue{random: rand.New(rand.NewPCG(cfg.Seed, 0))},
	}
	e.state = newOrderState(cfg, weights)
	return e
}

// wakeUp ends waitForWork, now or when it is called next.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run executes steps of the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.detachUnread(time.Now())
		e.fillBatch(time.Now())
		pause, busy := e.planStep()
		e.mu.Unlock()
		if !busy {
			e.waitForWork(ctx)
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

// waitForWork waits until wakeUp is called, or until the next check for attempts without a reader.
func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-e.wake:
	case <-time.After(e.cfg.DetachAfter):
	case <-ctx.Done():
	}
}

// detachUnread removes sequences without a reader from the batch and the queue after DetachAfter, and drops them
// after ResumeWindow. The caller holds e.mu.
func (e *Engine) detachUnread(now time.Time) {
	for id, a := range e.attempts {
		if a.readers > 0 {
			continue
		}
		unread := now.Sub(a.unreadSince)
		if unread >= e.cfg.ResumeWindow {
			e.endAttempt(a)
			delete(e.attempts, id)
			if !a.done() {
				e.ledger.Dropped++
			}
			continue
		}
		if unread >= e.cfg.DetachAfter {
			e.unschedule(a)
		}
	}
}

// fillBatch starts waiting sequences in the order of their effective priority until the batch is full. The caller
// holds e.mu.
func (e *Engine) fillBatch(now time.Time) {
	for len(e.running) < e.cfg.BatchLimit && len(e.waiting) > 0 {
		best := 0
		for i, a := range e.waiting {
			if e.effectivePriority(a, now) > e.effectivePriority(e.waiting[best], now) {
				best = i
			}
		}
		a := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.startAttempt(a)
	}
}

// effectivePriority returns the priority of a waiting sequence, raised by its waiting time.
func (e *Engine) effectivePriority(a *attempt, now time.Time) float64 {
	return float64(a.Priority) + float64(now.Sub(a.arrived))/float64(e.cfg.AgingInterval)
}

// startAttempt adds a sequence to the batch. The first time, it counts an execution and determines which prompt blocks
// are to be computed: none after an import of the KV cache, otherwise those that the prefix cache doesn't hold and
// those of the text before Offset. The caller holds e.mu.
func (e *Engine) startAttempt(a *attempt) {
	a.running = true
	e.running = append(e.running, a)
	if a.started {
		return
	}
	a.started = true
	a.generated = a.Offset
	a.cached = e.cache.cachedPrefix(a.Blocks)
	e.ledger.Executions++
	e.ledger.PromptBlocks += len(a.Blocks)
	e.ledger.CachedBlocks += a.cached
	if a.Imported {
		return
	}
	a.prefill = len(a.Blocks) - a.cached + a.ExtraBlocks
}

// planStep assigns up to ChunkBlocks prompt blocks to the running sequences, in the order in which they started. It
// returns the duration of the step and reports whether any sequence runs. The caller holds e.mu.
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

// finishStep generates the next token of each running sequence whose prompt is computed, and adds the prompts computed
// in this step to the prefix cache. The caller holds e.mu.
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
			e.unschedule(a)
		}
		a.notify()
	}
}

// unschedule removes an attempt from the batch and the queue. Resume can queue the attempt again. The caller holds
// e.mu.
func (e *Engine) unschedule(a *attempt) {
	a.running = false
	e.running = removeAttempt(e.running, a)
	e.waiting = removeAttempt(e.waiting, a)
}

// endAttempt stops an attempt, which can't be resumed afterwards, and wakes its readers. The caller holds e.mu.
func (e *Engine) endAttempt(a *attempt) {
	e.unschedule(a)
	a.ended = true
	a.notify()
}

func removeAttempt(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(other *attempt) bool { return other == a })
}

// Generate queues a call and returns the stream of its tokens. It returns ErrModel if the model isn't loaded or the
// engine is leaving, and ErrBusy if the queue is full; the call isn't run then.
func (e *Engine) Generate(c Call) (*Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.state.servesModel(c.Model) || e.leaving {
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
	return &Stream{engine: e, attempt: a, nextOffset: c.Offset}, nil
}

// Resume returns a stream of an attempt's tokens from an offset, and queues the attempt again if it was removed from
// the batch for lack of a reader. It returns ErrUnknownAttempt if the attempt doesn't exist or has been ended, and
// ErrOffset if the offset is beyond the generated tokens or before the attempt's first token.
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
	return &Stream{engine: e, attempt: a, nextOffset: offset}, nil
}

// Cancel ends an attempt immediately. It does nothing if the attempt is unknown.
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
	e.endAttempt(a)
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

// CacheBlocks returns the blocks in the prefix cache and the sequence number of the latest cache event.
func (e *Engine) CacheBlocks() wire.CacheBlocks {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wire.CacheBlocks{
		Upstream: e.cfg.ID, Incarnation: e.cfg.Incarnation,
		Sequence: e.events.sequence, Blocks: e.cache.blocks(),
	}
}
