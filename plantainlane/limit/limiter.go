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
	// maxRetryAfter bounds the advice when to ask again.
	maxRetryAfter = 30 * time.Second
	grantWait     = time.Second
)

// Limiter admits requests within the grants of this instance. SetContracts, Grant and Demands belong to one
// goroutine; Admit, TryAdmit and Ticket.Done may be called from any.
type Limiter struct {
	start      time.Time
	processors *processors
	cells      int
	contracts  atomic.Pointer[table.Table[*wire.Contract]]
	// active holds the workspaces that had traffic of late.
	active atomic.Pointer[table.Table[*workspace]]
	wanted chan struct{}
	// sent are the grant requests that were not yet answered, by sequence.
	sent map[int]sentRequest
	// applied is the sequence of the newest answer in use.
	applied int
	// leader identifies the term of the leader that was asked last, grantedBy the one whose answer is in use.
	leader, grantedBy string
	sequence          int
	// watched holds the workspaces that shares are asked for. Only they hold grants.
	watched map[string]*workspace

	// mu guards changes of active, and fresh.
	mu sync.Mutex
	// fresh holds workspaces with traffic that are not in watched yet.
	fresh []*workspace
}

// New returns a Limiter without contracts.
func New(now time.Time) *Limiter {
	l := &Limiter{
		start: now.Add(-time.Nanosecond), processors: newProcessors(), cells: cellCount(),
		wanted: make(chan struct{}, 1), sent: map[int]sentRequest{}, watched: map[string]*workspace{},
	}
	l.contracts.Store(&table.Table[*wire.Contract]{})
	l.active.Store(&table.Table[*workspace]{})
	return l
}

func (l *Limiter) since(now time.Time) int64 {
	return int64(now.Sub(l.start))
}

// workspace returns the state of a workspace, which is made at its first request; nil without a contract.
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

// activate adds a workspace to the active ones. The lock is held.
func (l *Limiter) activate(w *workspace) {
	next := l.active.Load().With(w.name, w)
	l.active.Store(&next)
}

// deactivate forgets the state of a workspace.
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
	permits  credits
	// expires is when the grant ends, in nanoseconds since the Limiter's start.
	expires atomic.Int64
	// granted is the newest grant.
	granted wire.Grant
	// units are thousandths of cost units left in the grant. Used units are those issued less those left.
	units       credits
	unitsIssued int64
	concurrency int64
	meter       meter
	room        room
	// watched tells that shares are asked for.
	watched atomic.Bool
	// lastTraffic is when a request was made of the leader while the workspace had traffic.
	lastTraffic time.Time
}

func newWorkspace(l *Limiter, c *wire.Contract) *workspace {
	w := &workspace{name: c.Workspace, limiter: l, cells: make([]cell, l.cells)}
	w.contract.Store(c)
	w.requests.cells, w.requests.field = w.cells, func(c *cell) *atomic.Int64 { return &c.requests }
	w.tokens.cells, w.tokens.field = w.cells, func(c *cell) *atomic.Int64 { return &c.tokens }
	w.permits.cells, w.permits.field = w.cells, func(c *cell) *atomic.Int64 { return &c.permits }
	w.units.cells, w.units.field = w.cells, func(c *cell) *atomic.Int64 { return &c.units }
	w.room.workspace = w
	return w
}

// SetContracts replaces the contracts. A share held of a contract that changed is scaled with it, so that the
// new limit holds at once over all instances. Its cost follows the workspaces with traffic.
func (l *Limiter) SetContracts(now time.Time, contracts table.Table[*wire.Contract]) {
	at := l.since(now)
	l.contracts.Store(&contracts)
	for name, w := range l.active.Load().All() {
		c, ok := contracts.Get(name)
		if !ok {
			l.deactivate(name)
			w.expires.Store(0)
			w.room.wake(now)
			continue
		}
		if before := w.contract.Swap(c); limitsDiffer(before, c) {
			w.use(at, scale(w.granted, before, c))
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
	// Needs is the time the request is expected to take once admitted.
	Needs time.Duration
	// Tokens is the largest number of tokens the request may generate; 0 if unknown.
	Tokens int
	// Units is the cost expected in cost units.
	Units float64
}

// Ticket is an admitted request. Done must be called once.
type Ticket struct {
	workspace *workspace
	tokens    int
	units     float64
}

// TryAdmit admits the request now or returns a Refusal.
func (l *Limiter) TryAdmit(now time.Time, a Request) (Ticket, error) {
	w := l.workspace(a.Workspace)
	if w == nil {
		return Ticket{}, unknownWorkspace
	}
	if reason := w.arrive(now, &a); reason != nil {
		return Ticket{}, refuse(reason, w.retryAfter(reason))
	}
	return w.ticket(&a), nil
}

// arrive counts a request and admits it, or says what is missing.
func (w *workspace) arrive(now time.Time, a *Request) error {
	at := w.limiter.processors.current()
	w.cells[at%uint32(len(w.cells))].arrivals.Add(1)
	if !w.watched.Load() {
		w.limiter.noteTraffic(w)
	}
	return w.admit(w.limiter.since(now), at, a)
}

func (w *workspace) ticket(a *Request) Ticket {
	return Ticket{workspace: w, tokens: a.Tokens, units: a.Units}
}

var unknownWorkspace = refuse(ErrUnknownWorkspace, 0)

// admit takes everything the request needs, or nothing and says what is missing.
func (w *workspace) admit(now int64, at uint32, a *Request) error {
	if w.expires.Load() <= now {
		return ErrNoGrant
	}
	units := int64(a.Units * milli)
	if !w.units.takeAll(at, max(units, 1)) {
		return ErrBudget
	}
	w.units.give(at, max(units, 1)-units)
	if !w.permits.takeAll(at, 1) {
		w.units.give(at, units)
		return ErrConcurrency
	}
	if !w.requests.takeAt(now, at, milli) {
		w.permits.give(at, 1)
		w.units.give(at, units)
		return ErrRate
	}
	if !w.takeTokens(now, at, a.Tokens) {
		w.requests.give(at, milli)
		w.permits.give(at, 1)
		w.units.give(at, units)
		return ErrTokens
	}
	return nil
}

// takeTokens takes the tokens a request may generate. One that may generate more than a whole burst needs a
// full bucket and leaves it in debt.
func (w *workspace) takeTokens(now int64, at uint32, n int) bool {
	want := int64(n) * milli
	capacity := w.tokens.capacity.Load()
	if want <= capacity && want > 0 {
		return w.tokens.takeAt(now, at, want)
	}
	need := min(max(want, 1), capacity)
	if !w.tokens.takeAt(now, at, need) {
		return false
	}
	w.tokens.give(at, need-want)
	return true
}

// Usage is what a request used.
type Usage struct {
	Tokens int
	Units  float64
}

// Done ends the request and settles what it used against what was expected. Tokens and units over the
// expectation are owed: they hold back later requests.
func (t Ticket) Done(now time.Time, used Usage) {
	w := t.workspace
	at := w.limiter.processors.current()
	if t.units != used.Units {
		w.units.give(at, int64(t.units*milli)-int64(used.Units*milli))
	}
	if t.tokens != used.Tokens {
		w.tokens.give(at, int64(t.tokens-used.Tokens)*milli)
	}
	if used.Tokens > 0 {
		w.cells[at%uint32(len(w.cells))].generated.Add(int64(used.Tokens))
	}
	w.permits.give(at, 1)
	if w.room.waiting.Load() > 0 {
		w.room.wake(now)
	}
}

func (w *workspace) retryAfter(reason error) time.Duration {
	switch {
	case errors.Is(reason, ErrRate):
		return w.requests.wait(milli)
	case errors.Is(reason, ErrTokens):
		return w.tokens.wait(milli)
	case errors.Is(reason, ErrNoGrant):
		return grantWait
	case errors.Is(reason, ErrBudget):
		return maxRetryAfter
	}
	return 0
}
