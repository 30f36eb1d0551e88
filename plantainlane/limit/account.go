package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"plantainlane/wire"
)

// recountEvery is the period at which an account is summed from nothing.
const recountEvery = time.Second

// account is the record of one contract.
type account struct {
	contract *wire.Contract
	holders  map[holderKey]*holder
	// used is the cost units used in the period.
	used   float64
	period int64
	// totals sums what is counted of each holder.
	totals totals
	// countedAt is when totals was last counted from nothing.
	countedAt time.Time
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
	// counted is what the account's totals hold of it, if isCounted.
	counted   Demand
	isCounted bool
	// isReserved tells that the totals count it as one that no longer asks.
	isReserved bool
	// position among the holders that ask.
	position int
}

// outstanding is a grant that the instance may be using.
type outstanding struct {
	sequence int
	grant    wire.Grant
	expires  time.Time
}

// rescale follows the instances, which cut what they hold down with the contract.
func (a *account) rescale(from, to *wire.Contract) {
	a.countedAt = time.Time{}
	for _, h := range a.holders {
		for i := range h.grants {
			h.grants[i].grant = scale(h.grants[i].grant, from, to)
		}
	}
}

func periodOf(now time.Time, c *wire.Contract) int64 {
	return now.Unix() / int64(max(c.Budget.PeriodHours, 1)*int(time.Hour/time.Second))
}

// recount forgets grants that have expired and holders left without one, and sums anew, once in recountEvery. Cost
// units a vanished holder could have used count as used. In between, what has expired still counts as in use.
func (a *account) recount(now time.Time) {
	if p := periodOf(now, a.contract); p != a.period {
		a.period, a.used = p, 0
	}
	if now.Sub(a.countedAt) < recountEvery {
		return
	}
	a.countedAt = now
	a.totals = totals{}
	for _, key := range sortedKeys(a.holders) {
		h := a.holders[key]
		lost := h.outstanding().UnitsLeft
		h.grants = slices.DeleteFunc(h.grants, func(o outstanding) bool { return !now.Before(o.expires) })
		h.isCounted, h.isReserved = false, false
		switch {
		case len(h.grants) == 0:
			a.used += lost
			delete(a.holders, key)
		case now.Sub(h.asked) > askingBound:
			h.isReserved = true
			a.totals.reserved = addGrants(a.totals.reserved, h.inUse())
		default:
			h.position = a.totals.asking
			a.count(h)
		}
	}
}

// count puts what a holder asks for and may be using into the totals.
func (a *account) count(h *holder) {
	if h.isCounted {
		a.totals.remove(h.counted)
	}
	h.counted, h.isCounted = Demand{GrantDemand: h.demand, Outstanding: h.inUse()}, true
	a.totals.add(h.counted)
}

func (a *account) drop(key holderKey, h *holder) {
	switch {
	case h.isCounted:
		a.totals.remove(h.counted)
	case h.isReserved:
		a.totals.reserved = subtractGrants(a.totals.reserved, h.inUse())
	}
	delete(a.holders, key)
}

// ask records a request. Grants older than the one the instance has in use are superseded.
func (a *account) ask(now time.Time, key holderKey, d wire.GrantDemand, r wire.GrantRequest, settled bool) *holder {
	h := a.holders[key]
	if h == nil {
		h = &holder{demand: d, position: a.totals.asking}
		a.holders[key] = h
		if !settled {
			h.adopt(now, r, d.Workspace)
		}
	}
	if h.isReserved {
		h.isReserved = false
		a.totals.reserved = subtractGrants(a.totals.reserved, h.inUse())
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
func (a *account) share(now time.Time, h *holder, settled bool, instances int) wire.Grant {
	if !settled {
		g := h.outstanding()
		g.Workspace = a.contract.Workspace
		return g
	}
	a.count(h)
	t := a.totals
	t.asking += a.newcomers(instances, t.asking)
	return t.share(now, a.contract, h.counted, h.position, a.contract.Budget.Units-a.used)
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
