package control

import (
	"strconv"
	"time"

	"plantainlane/plantainlane/limit"
	"plantainlane/wire"
)

// minRequestInterval is the shortest time between two requests for grants, and the delay before a refused lease is
// requested again.
const minRequestInterval = 100 * time.Millisecond

// fewWorkspacesInterval is the period of requests for grants while there are at most limit.AllWorkspacesLimit
// contracts, of which each workspace has one. The period is shorter than the default GrantInterval, so that shares
// follow traffic sooner.
const fewWorkspacesInterval = 250 * time.Millisecond

// grants is the state with which an instance requests its shares of the contracts. A grant is a share that the leader
// assigned for a limited time.
type grants struct {
	limiter *limit.Limiter
	// lastRequest is when grants were last requested; zero to request them in the next step.
	lastRequest time.Time
	// revision is the configuration revision whose contracts the limiter has.
	revision int
	// released is set once all shares are permanently released, because the instance stops.
	released bool
}

// WithLimiter has the core supply the limiter with contracts and grants.
func WithLimiter(l *limit.Limiter) Option {
	return func(c *Core) { c.grants.limiter = l }
}

// runGrants requests shares of the contracts from the leader: every GrantInterval, or every fewWorkspacesInterval if
// that is shorter and there are few contracts, and after minRequestInterval if a request waits for a share.
func (c *Core) runGrants() {
	g := &c.grants
	if g.limiter == nil || g.released {
		return
	}
	if g.revision != c.config.Revision {
		g.revision = c.config.Revision
		g.limiter.SetContracts(c.now, c.config.Contracts)
		g.lastRequest = time.Time{}
	}
	interval := c.timing.GrantInterval
	if c.config.Contracts.Len() <= limit.AllWorkspacesLimit {
		interval = min(interval, fewWorkspacesInterval)
	}
	select {
	case <-g.limiter.GrantNeeded():
		interval = minRequestInterval
	default:
	}
	if c.leader == "" || c.now.Sub(g.lastRequest) < interval {
		return
	}
	g.lastRequest = c.now
	request := g.limiter.GrantRequest(c.now, c.leader+"/"+strconv.Itoa(c.term), c.self.ID, c.self.Incarnation)
	packed := limit.PackRequest(request)
	c.send(c.leader, wire.Frame{GrantRequest: &packed})
}

// releaseGrants permanently releases all shares of this instance, so that other instances get them before the grants
// expire.
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

// handleGrantRequest answers a registered instance if a quorum confirmed this leader within the last QuorumFresh.
// Other requests get no answer.
func (c *Core) handleGrantRequest(from string, packed wire.PackedGrantRequest) {
	r, err := limit.UnpackRequest(packed)
	if err != nil || c.leaderState == nil || !c.isConfirmed() {
		return
	}
	row := c.leaderState.rows[from]
	if row == nil || row.info.Incarnation != r.Incarnation {
		return
	}
	if answer, ok := c.leaderState.updatedAllocator(c).Answer(c.now, r, c.state.Config.Revision); ok {
		out := limit.PackAnswer(answer)
		c.send(from, wire.Frame{GrantAnswer: &out})
	}
}

// updatedAllocator returns the leader's allocator of grants, with the number of instances and the contracts of the
// newest revision. The first call creates the allocator.
func (l *leaderState) updatedAllocator(c *Core) *limit.Allocator {
	if l.allocator == nil {
		ids := make([]string, 0, len(l.rows))
		for id := range l.rows {
			ids = append(ids, id)
		}
		l.allocator = limit.NewAllocator(c.now, ids...)
	}
	l.allocator.SetInstances(len(l.rows))
	if l.allocatorRevision != c.state.Config.Revision {
		l.allocatorRevision = c.state.Config.Revision
		l.allocator.SetContracts(c.state.Config.Contracts, func(contract *wire.Contract) float64 {
			return c.state.UsedIn(contract, int(c.now.UnixMilli()))
		})
	}
	return l.allocator
}

// handleGrantAnswer applies the shares that the current leader granted. Answers of other instances are ignored.
func (c *Core) handleGrantAnswer(from string, packed wire.PackedGrantAnswer) {
	a, err := limit.UnpackAnswer(packed)
	if err == nil && c.grants.limiter != nil && from == c.leader {
		c.grants.limiter.ApplyGrant(c.now, a)
	}
}
