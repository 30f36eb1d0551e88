package batch

import (
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// claimAfter is how long an instance must have run without a stall before it claims queues. It is longer than another
// instance's claim takes to reach it.
const claimAfter = 2 * time.Second

// ownerships are the queues that an instance owns, by service. The number of an ownership is its beginning in
// milliseconds since 1970, or one more than the highest that was known of an earlier one of the queue. So the newest owner
// has the highest number, if the clocks agree roughly; if not, all instances still agree on the owner.
//
// The owner of a queue keeps it until it is lost or leaves, since its successor doesn't know the state of the upstreams:
// each change of owner costs calls. So a queue doesn't return to an instance that was restarted or stood still.
type ownerships map[string]int

// String returns the text that is sent to the other instances.
func (o ownerships) String() string {
	values := make(url.Values, len(o))
	for service, number := range o {
		values.Set(service, strconv.Itoa(number))
	}
	return values.Encode()
}

// ownershipNumber returns the number of a member's ownership of a queue; 0 if it doesn't claim the queue.
func ownershipNumber(service string, m Member) int {
	if m.Owns == "" {
		return 0
	}
	values, err := url.ParseQuery(m.Owns)
	if err != nil {
		return 0
	}
	number, err := strconv.Atoi(values.Get(service))
	if err != nil {
		return 0
	}
	return number
}

// Owner returns the ID of the member that owns a service's queue: the one that claims it with the highest number, or if
// none does, one of the candidates by rendezvous hashing. It returns "" if there are no members.
func Owner(service string, members []Member) string {
	best, bestNumber := "", 0
	for _, m := range members {
		number := ownershipNumber(service, m)
		if number > bestNumber || number == bestNumber && number > 0 && m.ID < best {
			best, bestNumber = m.ID, number
		}
	}
	if best != "" {
		return best
	}
	highest := uint64(0)
	for _, m := range candidates(members) {
		weight := xxhash.Sum64String(service + "\x00" + m.ID)
		if best == "" || weight > highest || weight == highest && m.ID < best {
			best, highest = m.ID, weight
		}
	}
	return best
}

// candidates returns the eligible owners of a queue that nobody claims: those that own the fewest queues, and not those on
// the leader's machine, unless there are no others. A machine that leads and owns queues is short of processor time just
// when the load is at its worst, and its loss would be that of all.
func candidates(members []Member) []Member {
	eligible := eligibleOwners(members)
	if others := slices.DeleteFunc(slices.Clone(eligible), func(m Member) bool { return m.BesideLeader }); len(others) > 0 {
		eligible = others
	}
	fewest := math.MaxInt
	for _, m := range eligible {
		fewest = min(fewest, ownedCount(m))
	}
	return slices.DeleteFunc(slices.Clone(eligible), func(m Member) bool { return ownedCount(m) > fewest })
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

// ownerAmong returns the current owner of a service's queue, and remembers the number of its ownership.
func (d *Dispatcher) ownerAmong(service string, members []Member) string {
	owner := Owner(service, members)
	for _, m := range members {
		if number := ownershipNumber(service, m); number > 0 {
			d.mu.Lock()
			d.numbers[service] = max(d.numbers[service], number)
			d.mu.Unlock()
		}
	}
	return owner
}

// claim records that this instance owns a service's queue, or no longer does, and tells the other instances. It claims no
// queue until claimAfter after the start or the last stall.
func (d *Dispatcher) claim(now time.Time, service string, owns bool) {
	d.mu.Lock()
	_, known := d.owned[service]
	if known == owns || owns && now.Before(d.claimFrom) {
		d.mu.Unlock()
		return
	}
	// The map is shared with nobody while it is changed.
	d.owned = maps.Clone(d.owned)
	delete(d.owned, service)
	if owns {
		d.numbers[service] = max(d.numbers[service]+1, int(now.UnixMilli()))
		d.owned[service] = d.numbers[service]
	}
	text := d.owned.String()
	d.mu.Unlock()
	d.peers.Claim(text)
}

// stalled records that this instance stood still until now: another may own its queues.
func (d *Dispatcher) stalled(now time.Time, service string) {
	d.mu.Lock()
	d.claimFrom = now.Add(claimAfter)
	d.mu.Unlock()
	d.claim(now, service, false)
}
