package forward

import (
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxUpstreamRequests and maxUpstreamBytes bound the requests of this instance that are under way at one upstream, and their bodies.
	maxUpstreamRequests = 256
	maxUpstreamBytes    = 32 << 20
)

// errUpstreamFull reports an upstream at which too many requests of this instance are under way.
var errUpstreamFull = errors.New("too many requests of this instance are under way at the upstream")

// upstreamLoads counts the requests that are under way at each upstream, so that no upstream runs out of memory by what it
// holds for this instance. It is safe for concurrent use.
type upstreamLoads struct {
	mu sync.Mutex
	// loads holds the loads that aren't zero, by the address of the upstream.
	loads map[string]upstreamLoad
}

// upstreamLoad is what is under way at one upstream.
type upstreamLoad struct {
	requests int
	bytes    int64
}

// begin counts a request with a body of size bytes at an upstream. It returns false if that would be too much there. A single request is
// never too much.
func (u *upstreamLoads) begin(address string, size int64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.loads[address]
	if l.requests > 0 && (l.requests >= maxUpstreamRequests || l.bytes+size > maxUpstreamBytes) {
		return false
	}
	if u.loads == nil {
		u.loads = make(map[string]upstreamLoad)
	}
	u.loads[address] = upstreamLoad{l.requests + 1, l.bytes + size}
	return true
}

// end ends the count of a request.
func (u *upstreamLoads) end(address string, size int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.loads[address]
	l.requests, l.bytes = l.requests-1, l.bytes-size
	if l.requests == 0 {
		delete(u.loads, address)
		return
	}
	u.loads[address] = l
}
