package batch

import (
	"sync"
	"time"
)

const (
	// resendWindow is the age up to which releases are sent again to a new owner. It exceeds the time in which the loss of
	// an owner is detected.
	resendWindow = 4 * time.Second
	// maxRecentReleases bounds the releases that are kept for a service.
	maxRecentReleases = 4096
)

// recentReleases holds the releases of results of one service that this instance has sent within resendWindow. It is
// safe for concurrent use.
type recentReleases struct {
	mu sync.Mutex
	// owner is the owner of the queue at the last changeOwner; empty before that.
	owner string
	// oldestFirst holds the releases, at most maxRecentReleases.
	oldestFirst []sentRelease
}

// sentRelease is a release of results.
type sentRelease struct {
	at      time.Time
	handles []string
}

// add records a release.
func (r *recentReleases) add(now time.Time, handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	r.oldestFirst = append(r.oldestFirst, sentRelease{at: now, handles: handles})
}

// changeOwner records the owner of the queue. It returns the handles of all recent releases if the owner has changed.
func (r *recentReleases) changeOwner(now time.Time, owner string) (again []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.owner
	if owner == "" || owner == previous {
		return nil
	}
	r.owner = owner
	if previous == "" {
		return nil
	}
	r.expire(now)
	for _, s := range r.oldestFirst {
		again = append(again, s.handles...)
	}
	return again
}

// expire drops the releases that are older than resendWindow, and the oldest ones beyond maxRecentReleases - 1. The
// caller holds r.mu.
func (r *recentReleases) expire(now time.Time) {
	n := max(len(r.oldestFirst)-(maxRecentReleases-1), 0)
	for n < len(r.oldestFirst) && now.Sub(r.oldestFirst[n].at) > resendWindow {
		n++
	}
	r.oldestFirst = r.oldestFirst[n:]
}
