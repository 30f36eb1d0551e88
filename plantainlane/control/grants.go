package control

import (
	"strconv"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/wire"
)

// soonAgain is the least time between two requests for grants.
const soonAgain = 100 * time.Millisecond

// fewInterval is the period of requests for grants while there are few workspaces, so that shares follow traffic
// sooner.
const fewInterval = 250 * time.Millisecond

// grants is an instance's side of the shares of contracts.
type grants struct {
	limiter *limit.Limiter
	// asked is when grants were asked for last.
	asked time.Time
	// revision whose contracts the limiter has.
	revision int
	// released tells that all shares were given up for good.
	released bool
}

// WithLimiter keeps the limiter in contracts and grants.
func WithLimiter(l *limit.Limiter) Option {
	return func(c *Core) { c.grants.limiter = l }
}

// runGrants asks the leader for shares of the contracts, each GrantInterval or sooner if a request waits for
// one.
func (c *Core) runGrants() {
	g := &c.grants
	if g.limiter == nil || g.released {
		return
	}
	if g.revision != c.config.Revision {
		g.revision = c.config.Revision
		g.limiter.SetContracts(c.now, c.config.Contracts)
		g.asked = time.Time{}
	}
	due := c.timing.GrantInterval
	if c.config.Contracts.Len() <= limit.AllWorkspacesLimit {
		due = min(due, fewInterval)
	}
	select {
	case <-g.limiter.GrantNeeded():
		due = soonAgain
	default:
	}
	if c.leader == "" || c.now.Sub(g.asked) < due {
		return
	}
	g.asked = c.now
	request := g.limiter.GrantRequest(c.now, c.leader+"/"+strconv.Itoa(c.term), c.self.ID, c.self.Incarnation)
	packed := limit.PackRequest(request)
	c.send(c.leader, wire.Frame{GrantRequest: &packed})
}

// releaseGrants gives up all shares, so that the other instances need not wait until they expire.
func (c *Core) releaseGrants() {
	g := &c.grants
	if g.limiter == nil || g.released {
		return
	}
	g.released = true
	packed := limit.PackRequest(g.limiter.Release(c.self.ID, c.self.Incarnation))
	if c.leader != "" {
		c.send(c.leader, wire.Frame{GrantRequest: &packed})
	}
}

// takeGrantRequest answers an instance that may hold a lease, if a quorum confirmed this leader of late.
func (c *Core) takeGrantRequest(from string, packed wire.PackedGrantRequest) {
	r, err := limit.UnpackRequest(packed)
	if err != nil || c.lead == nil || !c.log.ConfirmedSince(c.now.Add(-c.timing.QuorumFresh)) {
		return
	}
	row := c.lead.rows[from]
	if row == nil || row.info.Incarnation != r.Incarnation {
		return
	}
	if answer, ok := c.lead.ledger(c).Answer(c.now, r, c.state.Config.Revision); ok {
		out := limit.PackAnswer(answer)
		c.send(from, wire.Frame{GrantAnswer: &out})
	}
}

// ledger returns the leader's record of grants, with the contracts of the newest revision.
func (l *leadership) ledger(c *Core) *limit.Allocator {
	if l.grants == nil {
		ids := make([]string, 0, len(l.rows))
		for id := range l.rows {
			ids = append(ids, id)
		}
		l.grants = limit.NewAllocator(c.now, ids...)
	}
	l.grants.SetInstances(len(l.rows))
	if l.grantsRevision != c.state.Config.Revision {
		l.grantsRevision = c.state.Config.Revision
		l.grants.SetContracts(c.state.Config.Contracts, func(contract *wire.Contract) float64 {
			return c.state.UsedIn(contract, int(c.now.UnixMilli()))
		})
	}
	return l.grants
}

func (c *Core) takeGrantAnswer(from string, packed wire.PackedGrantAnswer) {
	a, err := limit.UnpackAnswer(packed)
	if err == nil && c.grants.limiter != nil && from == c.leader {
		c.grants.limiter.ApplyGrant(c.now, a)
	}
}
