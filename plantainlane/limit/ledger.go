package limit

import (
	"cmp"
	"maps"
	"slices"
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

// Ledger is the leader's record of the grants that may be in use. It belongs to one goroutine, and must only
// answer while its instance is known to lead.
type Ledger struct {
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
	newest map[holderKey]request
}

type request struct {
	sequence int
	at       time.Time
}

// account is the record of one contract.
type account struct {
	contract *wire.Contract
	holders  map[holderKey]*holder
	// used is the cost units used in the period.
	used   float64
	period int64
}

type holderKey struct {
	instance    string
	incarnation int
}

// holder is one start of an instance that has asked for a share.
type holder struct {
	asked  time.Time
	demand wire.GrantDemand
	grants []outstanding
}

// outstanding is a grant that the instance may be using.
type outstanding struct {
	sequence int
	grant    wire.Grant
	expires  time.Time
}

// NewLedger returns the Ledger of a new leader. Instances are those that may hold grants of an earlier leader;
// once all have asked, or GrantDuration has passed, shares follow demand.
func NewLedger(now time.Time, instances ...string) *Ledger {
	l := &Ledger{
		duration: GrantDuration, settled: now.Add(GrantDuration),
		unheard: map[string]bool{}, accounts: map[string]*account{}, newest: map[holderKey]request{}, held: map[holderKey]map[string]bool{},
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
func (l *Ledger) SetInstances(n int) {
	l.instances = n
}

// SetContracts replaces the contracts. Used returns the cost units used in the budget's period so far; it is
// asked for workspaces that are new to the Ledger.
func (l *Ledger) SetContracts(contracts table.Table[*wire.Contract], used func(c *wire.Contract) float64) {
	l.contracts, l.used = contracts, used
}

// account returns the record of a workspace, with its newest contract; nil without one.
func (l *Ledger) account(now time.Time, name string) *account {
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

// rescale follows the instances, which cut what they hold down with the contract.
func (a *account) rescale(from, to *wire.Contract) {
	for _, h := range a.holders {
		for i := range h.grants {
			h.grants[i].grant = scale(h.grants[i].grant, from, to)
		}
	}
}

func periodOf(now time.Time, c *wire.Contract) int64 {
	return now.Unix() / int64(max(c.Budget.PeriodHours, 1)*int(time.Hour/time.Second))
}

// Answer grants the instance its shares and records them. It reports false for a request that is older than
// one already answered.
func (l *Ledger) Answer(now time.Time, r wire.GrantRequest, revision int) (wire.GrantAnswer, bool) {
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
		a.prune(now)
		h := a.ask(now, key, d, r, l.isSettled(now))
		g := a.share(now, key, h, l.isSettled(now), l.instances)
		g.Revision = revision
		h.grants = append(h.grants, outstanding{r.Sequence, g, now.Add(l.duration)})
		answer.Grants = append(answer.Grants, g)
	}
	l.release(key, asked)
	return answer, true
}

// release ends the shares of an instance in workspaces that it left out of its newest request.
func (l *Ledger) release(key holderKey, asked map[string]bool) {
	for name := range l.held[key] {
		if asked[name] || l.accounts[name] == nil {
			continue
		}
		a := l.accounts[name]
		if h := a.holders[key]; h != nil {
			a.used += max(0, h.outstanding().UnitsLeft)
			delete(a.holders, key)
		}
	}
	l.held[key] = asked
}

// remember notes the newest request of an instance, and forgets instances that have not asked for long.
func (l *Ledger) remember(now time.Time, key holderKey, sequence int) {
	l.newest[key] = request{sequence, now}
	for k, r := range l.newest {
		if now.Sub(r.at) > rememberRequests {
			delete(l.newest, k)
			delete(l.held, k)
		}
	}
}

func (l *Ledger) isSettled(now time.Time) bool {
	return len(l.unheard) == 0 || !now.Before(l.settled)
}

// prune forgets grants that have expired and holders left without one. Cost units a vanished holder could
// have used count as used.
func (a *account) prune(now time.Time) {
	if p := periodOf(now, a.contract); p != a.period {
		a.period, a.used = p, 0
	}
	for key, h := range a.holders {
		lost := h.outstanding().UnitsLeft
		h.grants = slices.DeleteFunc(h.grants, func(o outstanding) bool { return !now.Before(o.expires) })
		if len(h.grants) == 0 {
			a.used += lost
			delete(a.holders, key)
		}
	}
}

// ask records a request. Grants older than the one the instance has in use are superseded.
func (a *account) ask(now time.Time, key holderKey, d wire.GrantDemand, r wire.GrantRequest, settled bool) *holder {
	h := a.holders[key]
	if h == nil {
		h = &holder{demand: d}
		a.holders[key] = h
		if !settled {
			h.adopt(now, r, d.Workspace)
		}
	}
	h.asked = now
	a.used += max(d.UnitsUsed-h.demand.UnitsUsed, 0)
	h.demand = d
	h.grants = slices.DeleteFunc(h.grants, func(o outstanding) bool { return o.sequence < r.Applied })
	return h
}

// adopt records what the instance holds from an earlier leader.
func (h *holder) adopt(now time.Time, r wire.GrantRequest, workspace string) {
	for _, g := range r.Held {
		if g.Workspace == workspace {
			h.grants = append(h.grants, outstanding{r.Applied, g, now.Add(GrantDuration)})
		}
	}
}

// share is the grant for a holder. Until grants of earlier leaders have ended it is what the holder has.
func (a *account) share(now time.Time, key holderKey, h *holder, settled bool, instances int) wire.Grant {
	if !settled {
		g := h.outstanding()
		g.Workspace = a.contract.Workspace
		return g
	}
	var demands []Demand
	var reserved wire.Grant
	position := 0
	for _, k := range sortedKeys(a.holders) {
		other := a.holders[k]
		if now.Sub(other.asked) > askingBound {
			reserved = addGrants(reserved, other.inUse())
			continue
		}
		if k == key {
			position = len(demands)
		}
		demands = append(demands, Demand{GrantDemand: other.demand, Outstanding: other.inUse()})
	}
	for range a.newcomers(instances, len(demands)) {
		demands = append(demands, Demand{})
	}
	return Divide(now, a.contract, demands, position, reserved, a.contract.Budget.Units-a.used)
}

// newcomers is the number of instances without a share for which one is left over, so that the first request
// there need not wait until the others have given some of theirs up. A contract with little to split leaves none.
func (a *account) newcomers(instances, holders int) int {
	n := min(instances-holders, maxNewcomers)
	if float64(a.contract.Concurrency) < float64(splitFor*(holders+n)) || a.contract.Rate.Burst < float64(splitFor*(holders+n)) {
		return 0
	}
	return max(n, 0)
}

func sortedKeys(holders map[holderKey]*holder) []holderKey {
	return slices.SortedFunc(maps.Keys(holders), func(a, b holderKey) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// outstanding is the most that the grants of the holder allow.
func (h *holder) outstanding() wire.Grant {
	var most wire.Grant
	for _, o := range h.grants {
		most = maxGrants(most, o.grant)
	}
	return most
}

// inUse is the most the holder may be using, with requests that began under a larger share.
func (h *holder) inUse() wire.Grant {
	most := h.outstanding()
	most.Concurrency = max(most.Concurrency, h.demand.InFlight)
	return most
}
