package batch

import "time"

// What an owner's process does for a message and for a call: time on a whole core, and memory that it allocates.
const (
	largeMessageWork  = 120 * time.Microsecond
	largeMessageBytes = 30 << 10
	largeCallWork     = time.Millisecond
	largeCallBytes    = 200 << 10
)

const (
	// largeScanPerSecond is how many bytes of live memory the collector scans in a second of a whole core.
	largeScanPerSecond = 2.2e9
	// largeMemoryLimit is the soft limit of the runtime's memory, largeOtherMemory what it holds beside the connections.
	largeMemoryLimit = 184 << 20 * 6 / 10
	largeOtherMemory = 22 << 20
	// leastHeadroom is the memory that can be allocated between two collections, however near the limit is.
	leastHeadroom = 4 << 20
)

// What the processes of a machine do that hold a replica of the control log: the share of a core of the machine, the work of
// the replica on it, and the memory that it allocates in a second.
const (
	largeCoreShare    = 0.512
	largeReplicaWork  = 0.07
	largeReplicaBytes = 16 << 20
	largeLeaderWork   = 0.28
	largeLeaderBytes  = 45 << 20
	// leastShare is what a process gets of its core, however busy the other one is.
	leastShare = 0.05
)

// headroom is the memory that can be allocated between two collections.
func headroom(live int) int { return max(min(live, largeMemoryLimit-live), leastHeadroom) }

// collection is the time of a collection on a whole core.
func collection(live int) time.Duration {
	return time.Duration(float64(live) / largeScanPerSecond * float64(time.Second))
}

// besideReplica returns the machine of an owner beside a replica of the control log, with the live memory of both.
func besideReplica(live, replicaLive int) *largeMachine {
	return &largeMachine{share: largeCoreShare - largeReplicaWork - collected(replicaLive, largeReplicaBytes), live: live}
}

// besideLeader is besideReplica for the replica that leads.
func besideLeader(live, leaderLive int) *largeMachine {
	return &largeMachine{share: max(largeCoreShare-largeLeaderWork-collected(leaderLive, largeLeaderBytes), leastShare), live: live}
}

// collected returns the share of a core that the collector takes of a process that allocates some bytes in a second.
func collected(live, bytesPerSecond int) float64 {
	return float64(bytesPerSecond) / float64(headroom(live)) * collection(live).Seconds()
}

// largeMachine is the machine of an owner: a part of a core, and a collector that scans the live memory each time when
// the memory up to twice of it, or up to the limit, is used up.
type largeMachine struct {
	// share is the part of a core that the owner's process can use.
	share float64
	// live is the live memory, in bytes.
	live int
	// allocated is the memory allocated since the last collection. free is when all work is done that was given so far.
	allocated int
	free      time.Time
}

// work adds work, and returns the time until it is done.
func (m *largeMachine) work(now time.Time, takes time.Duration, bytes int) time.Duration {
	m.allocated += bytes
	if m.allocated > headroom(m.live) {
		m.allocated = 0
		takes += collection(m.live)
	}
	m.free = later(now, m.free).Add(time.Duration(float64(takes) / m.share))
	return m.free.Sub(now)
}

// moveQueues gives queues to an owner on another machine.
func (r *largeReplay) moveQueues(m *largeMachine, services ...int) {
	for _, i := range services {
		r.machines[i] = m
		r.changeOwner(i)
	}
}
