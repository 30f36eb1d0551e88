package batch

import (
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"plantainlane/plantainlane/placement"
)

// claimAfter is how long an instance must have run without a stall before it claims queues. It is longer than another
// instance's claim takes to reach it.
const claimAfter = 2 * time.Second

// ownerships are the queues that an instance owns, by name. The number of an ownership is its beginning in
// milliseconds since 1970, or one more than the highest that was known of an earlier one of the queue. So the newest owner
// has the highest number, if the clocks agree roughly; if not, all instances still agree on the owner.
//
// The owner of a queue keeps it until it is lost or leaves, since its successor doesn't know the state of the upstreams:
// each change of owner costs calls. So a queue doesn't return to an instance that was restarted or stood still.
type ownerships map[string]int

// String returns the text that is sent to the other instances.
func (o ownerships) String() string {
	values := make(url.Values, len(o))
	for queue, number := range o {
		values.Set(queue, strconv.Itoa(number))
	}
	return values.Encode()
}

// ownershipNumber returns the number of a member's ownership of a queue; 0 if it doesn't claim the queue.
func ownershipNumber(q queueID, m Member) int {
	if m.Owns == "" {
		return 0
	}
	values, err := url.ParseQuery(m.Owns)
	if err != nil {
		return 0
	}
	number, err := strconv.Atoi(values.Get(q.String()))
	if err != nil {
		return 0
	}
	return number
}

// Owner returns the ID of the member that owns the queue of a service for a zone, or, without a zone, that for all zones that
// have no queue of their own: the one that claims it with the highest number, or if none does,
// one of the candidates by rendezvous hashing, weighted by their capacities. It returns "" if there are no members.
func Owner(service, zone string, members []Member) string {
	q := queueID{service, zone}
	best, bestNumber := "", 0
	for _, m := range members {
		number := ownershipNumber(q, m)
		if number > bestNumber || number == bestNumber && number > 0 && m.ID < best {
			best, bestNumber = m.ID, number
		}
	}
	if best != "" {
		return best
	}
	list := candidates(q, members)
	highest := 0.0
	for i, capacity := range relativeCapacities(list) {
		id := list[i].ID
		score := placement.Score(xxhash.Sum64String(q.String()+"\x00"+id), capacity)
		if best == "" || score > highest || score == highest && id < best {
			best, highest = id, score
		}
	}
	return best
}

// relativeCapacities returns the capacities of members as multiples of their mean.
func relativeCapacities(members []Member) []float64 {
	capacities := make([]float64, len(members))
	for i := range members {
		capacities[i] = members[i].Capacity
	}
	return placement.Relative(capacities)
}

// candidates returns the eligible owners of a queue that nobody claims: those with enough processor cores, of these the ones not
// on the leader's machine, of these the ones in the queue's zone, of these the ones that own the fewest queues for their capacity,
// of these the ones on machines that serve no control; each only if there are any. What an owner does takes its calls' time from
// the upstreams, and takes the longer the smaller its share of a core is.
func candidates(q queueID, members []Member) []Member {
	list := preferred(eligibleOwners(members), func(m Member) bool { return !m.BesideLeader })
	list = preferred(list, func(m Member) bool { return q.zone == "" || m.Zone == q.zone })
	list = fewestQueues(list)
	return preferred(list, func(m Member) bool { return !m.BesideControl })
}

// fewestQueues returns the members that own the fewest queues, counted in whole queues for each smallest capacity: one with
// four times the smallest capacity may own three queues before it counts as owner of one.
func fewestQueues(members []Member) []Member {
	if len(members) == 0 {
		return members
	}
	capacities := relativeCapacities(members)
	smallest, fewest := slices.Min(capacities), math.MaxInt
	counts := make(map[string]int, len(members))
	for i, m := range members {
		// The tolerance allows for rounding of the quotient.
		counts[m.ID] = int(float64(ownedCount(m))*smallest/capacities[i] + 1e-9)
		fewest = min(fewest, counts[m.ID])
	}
	return preferred(members, func(m Member) bool { return counts[m.ID] == fewest })
}

// preferred returns the members that meet a condition, or all if there are none.
func preferred(members []Member, meets func(Member) bool) []Member {
	list := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !meets(m) })
	if len(list) == 0 {
		return members
	}
	return list
}

// ownedCount returns the number of queues that a member claims.
func ownedCount(m Member) int {
	values, err := url.ParseQuery(m.Owns)
	if err != nil {
		return 0
	}
	return len(values)
}

// members returns the members. Its own claims are those of the dispatcher, which the others may not know yet.
func (d *Dispatcher) members() []Member {
	list := d.peers.Members()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range list {
		if list[i].ID == d.self {
			list[i].Owns = d.owned.String()
		}
	}
	return list
}

// ownerAmong returns the current owner of a queue, and remembers the number of its ownership.
func (d *Dispatcher) ownerAmong(q queueID, members []Member) string {
	owner := Owner(q.service, q.zone, members)
	for _, m := range members {
		if number := ownershipNumber(q, m); number > 0 {
			d.mu.Lock()
			d.numbers[q] = max(d.numbers[q], number)
			d.mu.Unlock()
		}
	}
	return owner
}

// claim records that this instance owns a queue, or no longer does, and tells the other instances. It claims no
// queue until claimAfter after the start or the last stall.
func (d *Dispatcher) claim(now time.Time, q queueID, owns bool) {
	d.mu.Lock()
	name := q.String()
	_, known := d.owned[name]
	if known == owns || owns && now.Before(d.claimFrom) {
		d.mu.Unlock()
		return
	}
	// The map is shared with nobody while it is changed.
	d.owned = maps.Clone(d.owned)
	delete(d.owned, name)
	if owns {
		d.numbers[q] = max(d.numbers[q]+1, int(now.UnixMilli()))
		d.owned[name] = d.numbers[q]
	}
	text := d.owned.String()
	d.mu.Unlock()
	d.peers.Claim(text)
}

// stalled records that this instance stood still until now: another may own its queues.
func (d *Dispatcher) stalled(now time.Time, q queueID) {
	d.mu.Lock()
	d.claimFrom = now.Add(claimAfter)
	d.mu.Unlock()
	d.claim(now, q, false)
}
