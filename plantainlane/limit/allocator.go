package limit

import (
	"time"

	"plantainlane/plantainlane/table"
	"plantainlane/wire"
)

const (
	// GrantDuration is the time from the request after which a grant expires. An instance requests grants every
	// second.
	GrantDuration = 10 * time.Second
	// requestingTimeout is the time without a request after which an instance no longer counts as requesting.
	requestingTimeout = 3 * time.Second
	// sequenceRetention is how long the newest sequence of an instance is kept to detect delayed requests. No request
	// is delayed for longer.
	sequenceRetention = 10 * time.Minute
	// maxNewHolders is the maximum number of instances without a share for which a share is kept free.
	maxNewHolders = 2
	// minSplitPerHolder is the concurrency and the request burst per holder that a contract must have for a share to
	// be kept free for new holders.
	minSplitPerHolder = 4
)

// Allocator splits contracts into grants and records the grants that may be in use. It must be used from one goroutine,
// and Answer must only be called while the instance that runs the Allocator is known to be the leader.
type Allocator struct {
	duration time.Duration
	// previousExpire is when the last grants of previous leaders expire. Until then, or until all instances have
	// reported their grants, instances keep the grants they hold but get no larger ones.
	previousExpire time.Time
	// unreported holds the instances that may hold grants of a previous leader and have not reported them yet.
	unreported map[string]bool
	// instanceCount is the number of instances that may request shares.
	instanceCount int
	contracts     table.Table[*wire.Contract]
	// used returns the cost units used in the current period of a contract's budget.
	used func(c *wire.Contract) float64
	// accounts holds an account for each workspace, created when a share is first requested.
	accounts map[string]*account
	// requested holds the workspaces in the newest request of each incarnation of an instance.
	requested map[holderKey]map[string]bool
	// newest holds the newest request of each incarnation of an instance.
	newest map[holderKey]receivedRequest
}

// receivedRequest is the sequence of a request and the time it was received.
type receivedRequest struct {
	sequence   int
	receivedAt time.Time
}

// NewAllocator returns the Allocator of a new leader. instances holds the IDs of the instances that may hold grants of
// a previous leader. Shares follow demand once all of these instances have sent a request, or GrantDuration has passed.
func NewAllocator(now time.Time, instances ...string) *Allocator {
	a := &Allocator{
		duration: GrantDuration, previousExpire: now.Add(GrantDuration),
		unreported: map[string]bool{}, accounts: map[string]*account{}, newest: map[holderKey]receivedRequest{}, requested: map[holderKey]map[string]bool{},
	}
	for _, id := range instances {
		a.unreported[id] = true
	}
	if len(instances) == 0 {
		a.previousExpire = now
	}
	return a
}

// SetInstances sets the number of instances that may request shares.
func (a *Allocator) SetInstances(n int) {
	a.instanceCount = n
}

// SetContracts replaces the contracts. used returns the cost units used so far in the current period of a contract's
// budget; it is called when the account of a workspace is created.
func (a *Allocator) SetContracts(contracts table.Table[*wire.Contract], used func(c *wire.Contract) float64) {
	a.contracts, a.used = contracts, used
}

// account returns the account of a workspace, updated to its current contract and created if there is none. If the
// workspace has no contract, account deletes its account and returns nil.
func (a *Allocator) account(now time.Time, name string) *account {
	acc := a.accounts[name]
	c, ok := a.contracts.Get(name)
	switch {
	case !ok:
		delete(a.accounts, name)
		return nil
	case acc == nil:
		acc = &account{contract: c, holders: map[holderKey]*holder{}, used: a.used(c), period: periodOf(now, c)}
		a.accounts[name] = acc
	case acc.contract != c:
		acc.rescale(acc.contract, c)
		acc.contract = c
	}
	return acc
}

// Answer returns the grants for a request and records them; revision is written into each grant. It returns false for a
// request that is not newer than the newest one from the same incarnation of the instance.
func (a *Allocator) Answer(now time.Time, r wire.GrantRequest, revision int) (wire.GrantAnswer, bool) {
	answer := wire.GrantAnswer{
		Sequence: r.Sequence, DurationMs: int(a.duration / time.Millisecond), Grants: []wire.Grant{},
	}
	key := holderKey{r.Instance, r.Incarnation}
	if r.Sequence <= a.newest[key].sequence {
		return answer, false
	}
	a.recordSequence(now, key, r.Sequence)
	delete(a.unreported, r.Instance)
	requested := map[string]bool{}
	for _, d := range r.Demands {
		acc := a.account(now, d.Workspace)
		if acc == nil {
			continue
		}
		requested[d.Workspace] = true
		acc.recount(now)
		h := acc.recordRequest(now, key, d, r, a.knowsAllGrants(now))
		g := acc.share(now, h, a.knowsAllGrants(now), a.instanceCount)
		g.Revision = revision
		h.grants = append(h.grants, outstandingGrant{r.Sequence, g, now.Add(a.duration)})
		acc.count(h)
		answer.Grants = append(answer.Grants, g)
	}
	a.release(key, requested)
	return answer, true
}

// release removes the shares of an instance in workspaces that its newest request leaves out. The cost units left in
// these shares count as used.
func (a *Allocator) release(key holderKey, requested map[string]bool) {
	for name := range a.requested[key] {
		if requested[name] || a.accounts[name] == nil {
			continue
		}
		acc := a.accounts[name]
		if h := acc.holders[key]; h != nil {
			acc.used += max(0, h.outstanding().UnitsLeft)
			acc.removeHolder(key, h)
		}
	}
	a.requested[key] = requested
}

// recordSequence records the newest request of an instance, and removes instances without a request for
// sequenceRetention.
func (a *Allocator) recordSequence(now time.Time, key holderKey, sequence int) {
	a.newest[key] = receivedRequest{sequence, now}
	for k, r := range a.newest {
		if now.Sub(r.receivedAt) > sequenceRetention {
			delete(a.newest, k)
			delete(a.requested, k)
		}
	}
}

// knowsAllGrants reports whether all grants that may be in use are recorded: all instances have reported the grants
// of previous leaders, or these have expired.
func (a *Allocator) knowsAllGrants(now time.Time) bool {
	return len(a.unreported) == 0 || !now.Before(a.previousExpire)
}
