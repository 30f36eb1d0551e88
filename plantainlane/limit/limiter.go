package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

const (
	// maxRetryAfter bounds Refusal.RetryAfter.
	maxRetryAfter = 30 * time.Second
	// grantWait is the expected wait for the next grants. An instance requests grants every second.
	grantWait = time.Second
)

// Limiter admits requests within the grants of this instance. SetContracts, GrantRequest, ApplyGrant and Release must
// be called from one goroutine; Admit, TryAdmit and Ticket.Done may be called from any.
type Limiter struct {
	// start is the origin of times that are kept as nanoseconds.
	start      time.Time
	processors *processors
	cells      int
	contracts  atomic.Pointer[table.Table[*wire.Contract]]
	// active holds the state of the workspaces with recent traffic; of all workspaces if there are at most
	// AllWorkspacesLimit contracts.
	active atomic.Pointer[table.Table[*workspace]]
	// grantNeeded is the channel that GrantNeeded returns.
	grantNeeded chan struct{}
	// unanswered holds the grant requests that have no answer yet, by sequence.
	unanswered map[int]sentRequest
	// applied is the sequence of the newest applied answer.
	applied int
	// leader names the leader, with its term, that the last grant request was for; grantedBy the leader whose answer
	// was applied last.
	leader, grantedBy string
	// sequence is that of the last grant request.
	sequence int
	// requested holds the workspaces that shares are requested for. Only these workspaces hold grants.
	requested map[string]*workspace

	// mu guards writes of active, and added.
	mu sync.Mutex
	// added holds workspaces with traffic that are not in requested yet.
	added []*workspace
}

// New returns a Limiter without contracts.
func New(now time.Time) *Limiter {
	l := &Limiter{
		start: now.Add(-time.Nanosecond), processors: newProcessors(), cells: cellCount(),
		grantNeeded: make(chan struct{}, 1), unanswered: map[int]sentRequest{}, requested: map[string]*workspace{},
	}
	l.contracts.Store(&table.Table[*wire.Contract]{})
	l.active.Store(&table.Table[*workspace]{})
	return l
}

// since returns the nanoseconds from the Limiter's start to now.
func (l *Limiter) since(now time.Time) int64 {
	return int64(now.Sub(l.start))
}

// workspace returns the state of a workspace, which is created at its first request. It returns nil if the workspace
// has no contract.
func (l *Limiter) workspace(name string) *workspace {
	if w, ok := l.active.Load().Get(name); ok {
		return w
	}
	c, ok := l.contracts.Load().Get(name)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w, ok := l.active.Load().Get(name); ok {
		return w
	}
	w := newWorkspace(l, c)
	l.activate(w)
	return w
}

// activate adds a workspace to the active ones. The caller holds l.mu.
func (l *Limiter) activate(w *workspace) {
	next := l.active.Load().With(w.name, w)
	l.active.Store(&next)
}

// deactivate removes the state of a workspace.
func (l *Limiter) deactivate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.active.Load().Without(name)
	l.active.Store(&next)
}

// workspace is the state of one contract on this instance.
type workspace struct {
	name     string
	limiter  *Limiter
	contract atomic.Pointer[wire.Contract]
	cells    []cell
	requests bucket
	tokens   bucket
	// requests and tokens hold the credits of the request rate and of the token rate, permits the free permits; each
	// request in flight holds one permit.
	permits credits
	// expires is when the grant expires, in nanoseconds since the Limiter's start; 0 without a grant.
	expires atomic.Int64
	// granted is the newest grant, scaled down if the contract was lowered since.
	granted wire.Grant
	// units holds the cost units left in the grant, in thousandths.
	units credits
	// unitsIssued is the sum of all cost units put into units, in thousandths. The units used are unitsIssued minus
	// the units left.
	unitsIssued int64
	// concurrency is the number of permits granted.
	concurrency int64
	meter       meter
	// requestedRate is the rate of requests in the newest grant request, as the bits of a float64.
	requestedRate atomic.Uint64
	waitQueue     waitQueue
	// isRequested is set while the workspace is in Limiter.requested or Limiter.added because of its traffic.
	isRequested atomic.Bool
	// lastTraffic is the time of the last grant request at which the workspace had traffic.
	lastTraffic time.Time
}

func newWorkspace(l *Limiter, c *wire.Contract) *workspace {
	w := &workspace{name: c.Workspace, limiter: l, cells: make([]cell, l.cells)}
	w.contract.Store(c)
	w.requests.cells, w.requests.field = w.cells, func(c *cell) *atomic.Int64 { return &c.requests }
	w.tokens.cells, w.tokens.field = w.cells, func(c *cell) *atomic.Int64 { return &c.tokens }
	w.permits.cells, w.permits.field = w.cells, func(c *cell) *atomic.Int64 { return &c.permits }
	w.units.cells, w.units.field = w.cells, func(c *cell) *atomic.Int64 { return &c.units }
	w.waitQueue.workspace = w
	return w
}

// SetContracts replaces the contracts. If a contract is lowered, the rates, bursts and concurrency of the grant that
// the instance holds are scaled down by the same ratios, so that the new limits hold immediately over all instances. A
// changed budget takes effect with the next grant. The run time of SetContracts grows with the number of active
// workspaces, not with the number of contracts.
func (l *Limiter) SetContracts(now time.Time, contracts table.Table[*wire.Contract]) {
	sinceStart := l.since(now)
	l.contracts.Store(&contracts)
	for name, w := range l.active.Load().All() {
		c, ok := contracts.Get(name)
		if !ok {
			l.deactivate(name)
			w.expires.Store(0)
			w.waitQueue.admitWaiting(now)
			continue
		}
		if previous := w.contract.Swap(c); limitsDiffer(previous, c) {
			w.applyLimits(sinceStart, scale(w.granted, previous, c))
		}
	}
}

func limitsDiffer(a, b *wire.Contract) bool {
	return a.Rate != b.Rate || a.Tokens != b.Tokens || a.Concurrency != b.Concurrency || a.Budget != b.Budget
}

// Request describes a request to admit.
type Request struct {
	Workspace string
	Deadline  time.Time
	// Needs is the expected execution time of the request once admitted.
	Needs time.Duration
	// Tokens is the maximum number of tokens that the request may generate; 0 if unknown.
	Tokens int
	// Units is the expected cost in cost units.
	Units float64
}

// Ticket is an admitted request, with the tokens and cost units that were taken for it at admission. Done must be
// called exactly once.
type Ticket struct {
	workspace *workspace
	tokens    int
	units     float64
}

// TryAdmit admits the request without waiting, or returns a Refusal.
func (l *Limiter) TryAdmit(now time.Time, r Request) (Ticket, error) {
	w := l.workspace(r.Workspace)
	if w == nil {
		return Ticket{}, unknownWorkspaceRefusal
	}
	if reason := w.countAndAdmit(now, &r); reason != nil {
		return Ticket{}, refuse(reason, w.retryAfter(reason))
	}
	return w.newTicket(&r), nil
}

// countAndAdmit counts the request as an arrival and admits it. It returns the reason if the request is refused.
func (w *workspace) countAndAdmit(now time.Time, r *Request) error {
	processor := w.limiter.processors.current()
	w.cells[processor%uint32(len(w.cells))].arrivals.Add(1)
	if !w.isRequested.Load() {
		w.limiter.requestShare(w)
	}
	return w.admit(w.limiter.since(now), processor, r)
}

func (w *workspace) newTicket(r *Request) Ticket {
	return Ticket{workspace: w, tokens: r.Tokens, units: r.Units}
}

// unknownWorkspaceRefusal is the Refusal for a workspace without a contract.
var unknownWorkspaceRefusal = refuse(ErrUnknownWorkspace, 0)

// admit takes the cost units, permit, request credits and tokens that the request needs. If one of them is
// insufficient, admit takes nothing and returns the reason.
func (w *workspace) admit(now int64, processor uint32, r *Request) error {
	if w.expires.Load() <= now {
		return ErrNoGrant
	}
	units := int64(r.Units * milli)
	// A request without cost units is also refused once the units are used up.
	if !w.units.takeOrCollect(processor, max(units, 1)) {
		return ErrBudget
	}
	w.units.give(processor, max(units, 1)-units)
	if !w.permits.takeOrCollect(processor, 1) {
		w.units.give(processor, units)
		return ErrConcurrency
	}
	if !w.requests.refillAndTake(now, processor, milli) {
		w.permits.give(processor, 1)
		w.units.give(processor, units)
		return ErrRate
	}
	if !w.takeTokens(now, processor, r.Tokens) {
		w.requests.give(processor, milli)
		w.permits.give(processor, 1)
		w.units.give(processor, units)
		return ErrTokens
	}
	return nil
}

// takeTokens takes the n tokens that a request may generate. A request that may generate more than the burst is
// admitted only while the bucket is full, and takes the bucket below zero. If n is 0, takeTokens takes nothing but
// requires that the bucket isn't empty.
func (w *workspace) takeTokens(now int64, processor uint32, n int) bool {
	amount := int64(n) * milli
	capacity := w.tokens.capacity.Load()
	if amount <= capacity && amount > 0 {
		return w.tokens.refillAndTake(now, processor, amount)
	}
	required := min(max(amount, 1), capacity)
	if !w.tokens.refillAndTake(now, processor, required) {
		return false
	}
	w.tokens.give(processor, required-amount)
	return true
}

// Usage is the number of tokens that a request generated and its cost in cost units.
type Usage struct {
	Tokens int
	Units  float64
}

// Done releases the request's permit and reconciles its actual usage with what was taken at admission. Tokens and units
// used beyond that are subtracted from the workspace's credits, which may become negative and delay later requests.
func (t Ticket) Done(now time.Time, used Usage) {
	w := t.workspace
	processor := w.limiter.processors.current()
	if t.units != used.Units {
		w.units.give(processor, int64(t.units*milli)-int64(used.Units*milli))
	}
	if t.tokens != used.Tokens {
		w.tokens.give(processor, int64(t.tokens-used.Tokens)*milli)
	}
	if used.Tokens > 0 {
		w.cells[processor%uint32(len(w.cells))].generated.Add(int64(used.Tokens))
	}
	w.permits.give(processor, 1)
	if w.waitQueue.waiting.Load() > 0 {
		w.waitQueue.admitWaiting(now)
	}
}

// retryAfter returns the shortest time after which a request refused for the reason may be admitted; 0 if unknown. For
// ErrTokens, that is the time until one token is available.
func (w *workspace) retryAfter(reason error) time.Duration {
	switch {
	case errors.Is(reason, ErrRate):
		return w.requests.waitTime(milli)
	case errors.Is(reason, ErrTokens):
		return w.tokens.waitTime(milli)
	case errors.Is(reason, ErrNoGrant):
		return grantWait
	case errors.Is(reason, ErrBudget):
		return maxRetryAfter
	}
	return 0
}
