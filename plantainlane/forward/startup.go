package forward

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// siteWait is how long a request waits at most for the first configuration of an instance that has just started.
	// Callers give up on requests that aren't read within a second.
	siteWait = 900 * time.Millisecond
	// startupTime is the time after the first request within which a configuration is expected. Later, no leader can be
	// reached, and requests are refused at once.
	startupTime = 3 * time.Second
	// maxSiteWaiters bounds the requests that wait at the same time.
	maxSiteWaiters = 256
)

// startup counts the requests that wait for the first configuration. The zero value is ready for use. It is safe for
// concurrent use.
type startup struct {
	mu sync.Mutex
	// firstAt is when the first request arrived that found no configuration.
	firstAt time.Time
	waiting int
}

// enter reports whether a request that arrives now may wait, and counts it if so.
func (s *startup) enter(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstAt.IsZero() {
		s.firstAt = now
	}
	if s.waiting >= maxSiteWaiters || now.Sub(s.firstAt) > startupTime {
		return false
	}
	s.waiting++
	return true
}

func (s *startup) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

// awaitSite waits for the first configuration while the instance has just started. After a loss of power all instances start
// together and have a configuration within a second: a request that waits for it is answered sooner than one that is refused
// and comes back.
func (s *Server) awaitSite(ctx context.Context) {
	now := time.Now()
	if !s.startup.enter(now) {
		return
	}
	defer s.startup.leave()
	timer := time.NewTimer(siteWait)
	defer timer.Stop()
	select {
	case <-s.Views.SiteKnown():
	case <-timer.C:
	case <-ctx.Done():
	}
	klog.V(1).InfoS("request waited for the first configuration", "ms", time.Since(now).Milliseconds())
}
