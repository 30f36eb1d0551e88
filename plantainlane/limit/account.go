package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainlane/wire"
)

// recountPeriod is the period at which the totals of an account are recomputed from its holders.
const recountPeriod = time.Second

// account records the grants of one contract that may be in use, and the use of its budget.
type account struct {
	contract *wire.Contract
	holders  map[holderKey]*holder
	// used is the number of cost units used in the budget's current period.
	used float64
	// period is the number of the budget's current period, see periodOf.
	period int64
	// totals is the sum over all holders.
	totals totals
	// countedAt is when totals was last recomputed from the holders.
	countedAt time.Time
}

// holderKey identifies one incarnation of an instance.
type holderKey struct {
	instance    string
	incarnation int
}

// holder is one incarnation of an instance that has requested a share of the contract.
type holder struct {
	// requestedAt is the time of the newest request, demand the workspace's demand in it.
	requestedAt time.Time
	demand      wire.GrantDemand
	// grants are the grants that the instance may be using.
	grants []outstandingGrant
	// counted is the holder's contribution to the account's totals if isCounted is set.
	counted   Demand
	isCounted bool
	// isReserved is set if totals.reserved includes the holder because it stopped requesting.
	isReserved bool
	// position is the holder's index among the requesting holders, which decides its turn for scarce limits.
	position int
}

// outstandingGrant is a grant that the instance may be using. sequence is that of the request it answers.
type outstandingGrant struct {
	sequence int
	grant    wire.Grant
	expires  time.Time
}

// rescale scales the recorded grants down when the contract is lowered, as Limiter.SetContracts does with the grants
// that the instances hold. The next recount then recomputes the totals.
func (a *account) rescale(from, to *wire.Contract) {
	a.countedAt = time.Time{}
	for _, h := range a.holders {
		for i := range h.grants {
			h.grants[i].grant = scale(h.grants[i].grant, from, to)
		}
	}
}

// periodOf returns the number of the budget's period at now, counted from the Unix epoch.
func periodOf(now time.Time, c *wire.Contract) int64 {
	return now.Unix() / int64(max(c.Budget.PeriodHours, 1)*int(time.Hour/time.Second))
}

// recount starts a new period of the budget when it is due. Once in every recountPeriod it also removes expired
// grants and holders that are left without a grant, and recomputes the totals. The cost units that a removed holder
// could have used count as used. Between two recounts, expired grants still count as in use.
func (a *account) recount(now time.Time) {
	if p := periodOf(now, a.contract); p != a.period {
		a.period, a.used = p, 0
	}
	if now.Sub(a.countedAt) < recountPeriod {
		return
	}
	a.countedAt = now
	a.totals = totals{}
	for _, key := range sortedKeys(a.holders) {
		h := a.holders[key]
		unitsLeft := h.outstanding().UnitsLeft
		h.grants = slices.DeleteFunc(h.grants, func(o outstandingGrant) bool { return !now.Before(o.expires) })
		h.isCounted, h.isReserved = false, false
		switch {
		case len(h.grants) == 0:
			a.used += unitsLeft
			delete(a.holders, key)
		case now.Sub(h.requestedAt) > requestingTimeout:
			h.isReserved = true
			a.totals.reserved = addGrants(a.totals.reserved, h.inUse())
		default:
			h.position = a.totals.requesting
			a.count(h)
		}
	}
}

// count updates the totals with the holder's current demand and the grant that it may be using.
func (a *account) count(h *holder) {
	if h.isCounted {
		a.totals.remove(h.counted)
	}
	h.counted, h.isCounted = Demand{GrantDemand: h.demand, InUse: h.inUse()}, true
	a.totals.add(h.counted)
}

// removeHolder removes a holder and its contribution to the totals.
func (a *account) removeHolder(key holderKey, h *holder) {
	switch {
	case h.isCounted:
		a.totals.remove(h.counted)
	case h.isReserved:
		a.totals.reserved = subtractGrants(a.totals.reserved, h.inUse())
	}
	delete(a.holders, key)
}

// recordRequest records a request and returns its holder. The cost units used since the holder's previous request count
// as used. Grants older than the one that the instance has applied are superseded and removed. allKnown is the result
// of Allocator.knowsAllGrants.
func (a *account) recordRequest(now time.Time, key holderKey, d wire.GrantDemand, r wire.GrantRequest, allKnown bool) *holder {
	h := a.holders[key]
	if h == nil {
		h = &holder{demand: d, position: a.totals.requesting}
		a.holders[key] = h
		if !allKnown {
			h.adopt(now, r, d.Workspace)
		}
	}
	if h.isReserved {
		h.isReserved = false
		a.totals.reserved = subtractGrants(a.totals.reserved, h.inUse())
	}
	h.requestedAt = now
	a.used += max(d.UnitsUsed-h.demand.UnitsUsed, 0)
	h.demand = d
	h.grants = slices.DeleteFunc(h.grants, func(o outstandingGrant) bool { return o.sequence < r.Applied })
	return h
}

// adopt records the grants that the instance holds from a previous leader.
func (h *holder) adopt(now time.Time, r wire.GrantRequest, workspace string) {
	for _, g := range r.Held {
		if g.Workspace == workspace {
			h.grants = append(h.grants, outstandingGrant{r.Applied, g, now.Add(GrantDuration)})
		}
	}
}

// share returns the grant for a holder. While grants of previous leaders may be unknown (allKnown is not set), it is
// the grant that the holder has already. instances is the number of instances that may request shares.
func (a *account) share(now time.Time, h *holder, allKnown bool, instances int) wire.Grant {
	if !allKnown {
		g := h.outstanding()
		g.Workspace = a.contract.Workspace
		return g
	}
	a.count(h)
	t := a.totals
	t.requesting += a.newHolders(instances, t.requesting)
	return t.share(now, a.contract, h.counted, h.position, a.contract.Budget.Units-a.used)
}

// newHolders returns the number of instances without a share for which a share is kept free, so that the first request
// on such an instance need not wait until other instances have released part of their shares. instances is the number
// of instances that may request shares, holders the number that do. A contract with too little concurrency or burst to
// split, see minSplitPerHolder, keeps no share free.
func (a *account) newHolders(instances, holders int) int {
	n := min(instances-holders, maxNewHolders)
	if float64(a.contract.Concurrency) < float64(minSplitPerHolder*(holders+n)) || a.contract.Rate.Burst < float64(minSplitPerHolder*(holders+n)) {
		return 0
	}
	return max(n, 0)
}

func sortedKeys(holders map[holderKey]*holder) []holderKey {
	return slices.SortedFunc(maps.Keys(holders), func(a, b holderKey) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// outstanding returns the largest value of each limit over the holder's grants.
func (h *holder) outstanding() wire.Grant {
	var most wire.Grant
	for _, o := range h.grants {
		most = maxGrants(most, o.grant)
	}
	return most
}

// inUse returns the largest grant that the holder may be using, including requests in flight that started under a
// larger share.
func (h *holder) inUse() wire.Grant {
	most := h.outstanding()
	most.Concurrency = max(most.Concurrency, h.demand.InFlight)
	return most
}
