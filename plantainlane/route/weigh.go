package route

import "slices"

// State is the load of an upstream that may be chosen.
type State struct {
	ID          string
	Incarnation int
	// Load is the number of calls there, of this instance and others.
	Load float64
	// Capacity is the number of calls that the upstream can run concurrently, less during slow start.
	Capacity float64
	// Slowdown is the ratio of the upstream's latency to the median.
	Slowdown float64
	// Pace is how long work takes there now, relative to the normal time; 0 if it isn't known.
	Pace float64
}

// Weigher chooses one of several usable upstreams and returns its index. The last one is the best by load alone. Weigher
// must be fast, and must not call the Balancer.
type Weigher func(list []State) int

// maxWeighed bounds the upstreams that a Weigher chooses from.
const maxWeighed = 8

// weighed returns the upstream that q.Weigh chooses from the usable preferred ones and the best candidate; nil if there is
// neither.
func (b *Balancer) weighed(now int64, q *Query, best candidate) *upstream {
	upstreams := make([]*upstream, 0, maxWeighed)
	states := make([]State, 0, maxWeighed)
	add := func(u *upstream) {
		upstreams = append(upstreams, u)
		i := u.info.Load()
		states = append(states, State{
			ID: i.id, Incarnation: i.incarnation, Load: u.load(),
			Capacity: float64(u.capacity.Load()) * u.slowStartFactor(now), Slowdown: u.slowdown(now), Pace: u.paceAt(now),
		})
	}
	for _, id := range q.Preferred {
		if len(upstreams) == maxWeighed-1 {
			break
		}
		u := b.usableByID(now, Hint{Upstream: id}, q)
		if u != nil && u != best.upstream && u.slowdown(now) <= maxPreferredSlowdown && !slices.Contains(upstreams, u) {
			add(u)
		}
	}
	if best.upstream != nil {
		add(best.upstream)
	}
	if len(upstreams) == 0 {
		return nil
	}
	return upstreams[q.Weigh(states)]
}
