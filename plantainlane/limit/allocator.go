package limit

import (
	"time"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

const (
	// GrantDuration is how long a grant holds. An instance asks again every second.
	GrantDuration = 10 * time.Second
	// askingBound is the time without a request after which an instance no longer counts as asking.
	askingBound = 3 * time.Second
	// rememberRequests is the time after which a request is too old to still arrive.
	rememberRequests = 10 * time.Minute
	// maxNewcomers is the number of instances that a share is left over for.
	maxNewcomers = 2
	// splitFor is the number of requests at once for each holder from which a share is left over.
	splitFor = 4
)

// Allocator is the leader's record of the grants that may be in use. It belongs to one goroutine, and must only
// answer while its instance is known to lead.
type Allocator struct {
	duration time.Duration
	// settled is when no grant of an earlier leader can be in use any more. Until then instances keep what
	// they hold, but get no more.
	settled time.Time
	// unheard are the instances that may hold grants of an earlier leader and did not report them yet.
	unheard map[string]bool
	// instances is the number of instances that may ask.
	instances int
	contracts table.Table[*wire.Contract]
	// used returns the cost units used in the period of a contract's budget.
	used func(c *wire.Contract) float64
	// accounts by workspace, made when a share is first asked for.
	accounts map[string]*account
	// held names the workspaces in an instance's newest request.
	held map[holderKey]map[string]bool
	// newest is the newest request of each start of an instance.
	newest map[holderKey]grantRequest
}

type grantRequest struct {
	sequence int
	at       time.Time
}

// NewAllocator returns the Allocator of a new leader. Instances are those that may hold grants of an earlier leader;
// once all have asked, or GrantDuration has passed, shares follow demand.
func NewAllocator(now time.Time, instances ...string) *Allocator {
	l := &Allocator{
		duration: GrantDuration, settled: now.Add(GrantDuration),
		unheard: map[string]bool{}, accounts: map[string]*account{}, newest: map[holderKey]grantRequest{}, held: map[holderKey]map[string]bool{},
	}
	for _, id := range instances {
		l.unheard[id] = true
	}
	if len(instances) == 0 {
		l.settled = now
	}
	return l
}

// SetInstances tells how many instances may ask for shares.
func (l *Allocator) SetInstances(n int) {
	l.instances = n
}

// SetContracts replaces the contracts. Used returns the cost units used in the budget's period so far; it is
// asked for workspaces that are new to the Allocator.
func (l *Allocator) SetContracts(contracts table.Table[*wire.Contract], used func(c *wire.Contract) float64) {
	l.contracts, l.used = contracts, used
}

// account returns the record of a workspace, with its newest contract; nil without one.
func (l *Allocator) account(now time.Time, name string) *account {
	a := l.accounts[name]
	c, ok := l.contracts.Get(name)
	switch {
	case !ok:
		delete(l.accounts, name)
		return nil
	case a == nil:
		a = &account{contract: c, holders: map[holderKey]*holder{}, used: l.used(c), period: periodOf(now, c)}
		l.accounts[name] = a
	case a.contract != c:
		a.rescale(a.contract, c)
		a.contract = c
	}
	return a
}

// Answer grants the instance its shares and records them. It reports false for a request that is older than
// one already answered.
func (l *Allocator) Answer(now time.Time, r wire.GrantRequest, revision int) (wire.GrantAnswer, bool) {
	answer := wire.GrantAnswer{
		Sequence: r.Sequence, DurationMs: int(l.duration / time.Millisecond), Grants: []wire.Grant{},
	}
	key := holderKey{r.Instance, r.Incarnation}
	if r.Sequence <= l.newest[key].sequence {
		return answer, false
	}
	l.remember(now, key, r.Sequence)
	delete(l.unheard, r.Instance)
	asked := map[string]bool{}
	for _, d := range r.Demands {
		a := l.account(now, d.Workspace)
		if a == nil {
			continue
		}
		asked[d.Workspace] = true
		a.recount(now)
		h := a.ask(now, key, d, r, l.isSettled(now))
		g := a.share(now, h, l.isSettled(now), l.instances)
		g.Revision = revision
		h.grants = append(h.grants, outstanding{r.Sequence, g, now.Add(l.duration)})
		a.count(h)
		answer.Grants = append(answer.Grants, g)
	}
	l.release(key, asked)
	return answer, true
}

// release ends the shares of an instance in workspaces that it left out of its newest request.
func (l *Allocator) release(key holderKey, asked map[string]bool) {
	for name := range l.held[key] {
		if asked[name] || l.accounts[name] == nil {
			continue
		}
		a := l.accounts[name]
		if h := a.holders[key]; h != nil {
			a.used += max(0, h.outstanding().UnitsLeft)
			a.drop(key, h)
		}
	}
	l.held[key] = asked
}

// remember notes the newest request of an instance, and forgets instances that have not asked for long.
func (l *Allocator) remember(now time.Time, key holderKey, sequence int) {
	l.newest[key] = grantRequest{sequence, now}
	for k, r := range l.newest {
		if now.Sub(r.at) > rememberRequests {
			delete(l.newest, k)
			delete(l.held, k)
		}
	}
}

func (l *Allocator) isSettled(now time.Time) bool {
	return len(l.unheard) == 0 || !now.Before(l.settled)
}
