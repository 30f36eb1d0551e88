package control

import (
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/quota"
	"plantainlane/wire"
)

// refusedPermitWait is the wait for an instance that asks one which can't issue permits.
const refusedPermitWait = 200 * time.Millisecond

// quotas is the state with which an instance reports the limits that upstreams name, and learns those that other
// instances heard.
type quotas struct {
	gate *quota.Gate
	// reportedTerm is the term whose leader is told all known limits.
	reportedTerm int
	// unconfirmed holds, by the address of the upstream, the sequence of the first lease request that told the leader the
	// newest change of its limit; 0 until one has. The answer to that request or a later one confirms the change.
	unconfirmed map[string]int
	// version is the version of the limits learned from the leader of term.
	version, term int
}

// WithGate has the core report the limits of upstreams that the gate knows to the leader, and supply the gate with those
// that the leader knows.
func WithGate(g *quota.Gate) Option {
	return func(c *Core) { c.quotas.gate = g }
}

// runQuotas makes a lease request due if limits have changed, since lease requests report them. A new leader is told all
// known limits. On the leader, it logs the counts of permits.
func (c *Core) runQuotas() {
	if c.leaderState != nil {
		for _, n := range c.leaderState.quotas.TakeCounts(c.now) {
			klog.InfoS("permits", "address", n.Address, "perSecond", n.PerSecond, "issued", n.Issued, "refused", n.Refused)
		}
	}
	q := &c.quotas
	if q.gate == nil || c.leader == "" {
		return
	}
	changed := q.gate.TakeChanged(c.now)
	if q.reportedTerm != c.term {
		q.reportedTerm = c.term
		changed = q.gate.All(c.now)
		clear(q.unconfirmed)
	}
	if len(changed) == 0 {
		return
	}
	if q.unconfirmed == nil {
		q.unconfirmed = make(map[string]int)
	}
	for _, l := range changed {
		q.unconfirmed[l.Address] = 0
	}
	c.lease.requestNow()
}

// unconfirmedLimits returns the limits for the lease request with a sequence.
func (q *quotas) unconfirmedLimits(now time.Time, sequence int) []wire.UpstreamLimit {
	out := []wire.UpstreamLimit{}
	if len(q.unconfirmed) == 0 {
		return out
	}
	for _, l := range q.gate.All(now) {
		first, ok := q.unconfirmed[l.Address]
		if !ok {
			continue
		}
		if first == 0 {
			q.unconfirmed[l.Address] = sequence
		}
		out = append(out, l)
	}
	return out
}

// confirm records that the leader has answered the lease request with a sequence.
func (q *quotas) confirm(sequence int) {
	for address, first := range q.unconfirmed {
		if first != 0 && first <= sequence {
			delete(q.unconfirmed, address)
		}
	}
}

// handlePermitQuery answers a query for a permit. Only a leader that a quorum confirmed within the last QuorumFresh
// issues permits, since another instance may lead otherwise.
func (c *Core) handlePermitQuery(to origin, u wire.UpstreamLimit) {
	a := wire.PermitAnswer{WaitMs: int(refusedPermitWait / time.Millisecond)}
	if c.leaderState != nil && c.isConfirmed() {
		a = c.leaderState.quotas.Issue(c.now, u)
	}
	c.send(to.instance, wire.Frame{Call: to.call, PermitAnswer: &a})
}

// limitsVersion returns the version of the limits that this instance learned from the leader of a term.
func (q *quotas) limitsVersion(term int) int {
	if q.term != term {
		return 0
	}
	return q.version
}

// learn records limits of a lease answer of the leader.
func (q *quotas) learn(now time.Time, a wire.LeaseAnswer) {
	if q.gate == nil || a.LimitsVersion == q.limitsVersion(a.Term) {
		return
	}
	q.gate.Learn(now, a.Limits)
	q.version, q.term = a.LimitsVersion, a.Term
}
