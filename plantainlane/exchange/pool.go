package exchange

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout is the maximum time for opening a connection.
	dialTimeout = 600 * time.Millisecond
	// maxIdlePerAddress is the maximum number of idle connections to one address.
	maxIdlePerAddress = 16
	// sweepInterval is the minimum time between two searches for expired connections.
	sweepInterval = time.Second
)

// Pool keeps idle connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	// IdleLimit is the maximum time for which an idle connection is kept.
	IdleLimit time.Duration
	// Memory is for the answers that are being collected.
	Memory *Memory
	// MaxConns is the largest number of open connections, in use and idle; 0 for no bound. It is set before the pool is used.
	MaxConns int

	// open is the number of open connections.
	open atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections by address. The one that was returned last comes last.
	idle map[string][]*Conn
	// lastSweep is when expired connections were last searched for.
	lastSweep time.Time
}

// NewPool returns an empty pool that keeps idle connections for up to idleLimit.
func NewPool(idleLimit time.Duration) *Pool {
	return &Pool{IdleLimit: idleLimit, idle: make(map[string][]*Conn), Memory: NewMemory(AnswerBytes)}
}

// Get returns a connection to an address for the request with an ID: the most recently used idle connection that is still
// open, has been idle for no longer than maxAge and hasn't carried the request before, or a new connection if there is none.
// Get closes the idle connections that it finds closed or idle for longer. If there are MaxConns connections, it closes the one that has
// been idle for longest; it returns ErrNoConnection if all are in use. All its errors are marked with ErrNotSent.
func (p *Pool) Get(ctx context.Context, address, request string, maxAge time.Duration) (*Conn, error) {
	now := time.Now()
	p.closeExpired(now)
	for {
		c := p.pop(address, request)
		if c == nil {
			break
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= maxAge && c.isReusable() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	if !p.reserve() {
		return nil, errors.Mark(errors.Wrapf(ErrNoConnection, "maximum %d", p.MaxConns), ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dial(ctx, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c.pool = p
	return c, nil
}

// reserve counts a connection that is about to be opened, and makes room for it. It returns false if there is none.
func (p *Pool) reserve() bool {
	for p.open.Add(1) > int64(p.MaxConns) && p.MaxConns > 0 {
		p.open.Add(-1)
		c := p.popOldest()
		if c == nil {
			return false
		}
		c.Close()
	}
	return true
}

// popOldest removes the connection that has been idle for longest and returns it; nil if there is none.
func (p *Pool) popOldest() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *Conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.address] = slices.Delete(p.idle[oldest.address], 0, 1)
	}
	return oldest
}

// pop removes the most recently used idle connection to an address that hasn't carried a request and returns it; nil if there
// is none.
func (p *Pool) pop(address, request string) *Conn {
	hash := hashOf(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if slices.Contains(c.unserved, hash) {
			continue
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// Put returns a connection to the pool after the whole body of its answer was read. The connection can be reused for
// keepFor, or for IdleLimit if that is shorter. Put closes the connection if keepFor is 0, if its buffer holds data
// after the answer, if it has carried maxUnserved requests that weren't served, or if the pool already has maxIdlePerAddress
// connections to the address.
func (p *Pool) Put(c *Conn, keepFor time.Duration) {
	keepFor = min(keepFor, p.IdleLimit)
	if keepFor <= 0 || c.reader.Buffered() > 0 || len(c.unserved) >= maxUnserved {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keepFor)
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < maxIdlePerAddress {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// closeExpired closes the expired idle connections to all addresses, at most once in sweepInterval.
func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for address, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				unexpired = append(unexpired, c)
				continue
			}
			c.Close()
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = unexpired
	}
}

// Reply is a complete answer.
type Reply struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Since is the time since which the upstream can have made the answer, also if it is a late one to an earlier request on the
	// connection. RoundTrip sets it.
	Since time.Time
}

// RoundTrip sends a request and reads the whole answer. It is for requests that may run more than once: it may use a
// connection that has been idle for up to IdleLimit, and the upstream may close such a connection while the request is
// sent. RoundTrip returns the errors of Memory.ReadBody for a body of more than maxBody bytes, and the whole answer besides
// the error if r.Accept returns one or the answer is a repeated one. If ctx ends, RoundTrip closes the connection, so that
// the request fails.
func (p *Pool) RoundTrip(ctx context.Context, address string, r *Request, maxBody int64) (*Reply, error) {
	c, err := p.Get(ctx, address, "", p.IdleLimit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	reply, keepFor, err := p.roundTripOn(c, r, maxBody)
	if !stop() || err != nil {
		c.Close()
		return reply, err
	}
	p.Put(c, keepFor)
	return reply, nil
}

// roundTripOn sends a request on a connection and reads the whole answer. It also returns how long the connection may
// be idle afterwards.
func (p *Pool) roundTripOn(c *Conn, r *Request, maxBody int64) (*Reply, time.Duration, error) {
	since := c.Since(time.Now())
	if err := c.Write(r); err != nil {
		return nil, 0, err
	}
	res, err := c.Read(r.Method)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	body, err := p.Memory.ReadBody(res, maxBody)
	if err != nil {
		return nil, 0, err
	}
	reply := &Reply{Status: res.StatusCode, Header: res.Header, Body: body, Since: since}
	keep, err := c.accept(r, reply)
	if !keep {
		return reply, 0, err
	}
	return reply, KeepFor(res), nil
}
