package forward

import (
	"sync"
	"time"
)

// backlogs holds, by service, the requests of this instance that wait for upstreams whose limits are used up. The zero
// value is empty. It is safe for concurrent use.
type backlogs struct {
	mu       sync.Mutex
	services map[string]*backlog
}

// backlog is the state of one service.
type backlog struct {
	// waiting is the number of requests that wait.
	waiting int
	// interval is the moving average of the time between two sends of requests that waited; 0 if not known.
	interval time.Duration
	// sentAt is when a request that waited was last sent.
	sentAt time.Time
}

const (
	// intervalWeight is the weight of a new interval in its moving average.
	intervalWeight = 0.3
	// maxInterval is the longest interval that counts: after longer ones the limits may be others.
	maxInterval = 5 * time.Second
)

// of returns the backlog of a service. b.mu must be held.
func (b *backlogs) of(service string) *backlog {
	if b.services == nil {
		b.services = make(map[string]*backlog)
	}
	s := b.services[service]
	if s == nil {
		s = &backlog{}
		b.services[service] = s
	}
	return s
}

// enter counts a request that begins to wait.
func (b *backlogs) enter(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).waiting++
}

// leave counts a request that no longer waits.
func (b *backlogs) leave(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).waiting--
}

// sent records that a request is sent. The interval is forgotten if the request didn't need to wait.
func (b *backlogs) sent(service string, now time.Time, waited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if !waited {
		if s != nil && s.waiting == 0 {
			s.interval, s.sentAt = 0, time.Time{}
		}
		return
	}
	s = b.of(service)
	if interval := now.Sub(s.sentAt); !s.sentAt.IsZero() && interval < maxInterval {
		if s.interval == 0 {
			s.interval = interval
		}
		s.interval += time.Duration(intervalWeight * float64(interval-s.interval))
	}
	s.sentAt = now
}

// expectedWait returns how long a request that begins to wait now is expected to wait for those before it; 0 if not
// known.
func (b *backlogs) expectedWait(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return 0
	}
	return time.Duration(s.waiting) * s.interval
}
