package exchange

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 600 * time.Millisecond
	// maxIdle is the number of idle connections kept to one address.
	maxIdle = 16
	// sweepEvery is the period at which expired connections are closed.
	sweepEvery = time.Second
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	// IdleLimit is how long an idle connection is kept at most.
	IdleLimit time.Duration

	mu    sync.Mutex
	idle  map[string][]*Conn
	swept time.Time
}

// NewPool returns an empty pool.
func NewPool(idleLimit time.Duration) *Pool {
	return &Pool{IdleLimit: idleLimit, idle: make(map[string][]*Conn)}
}

// Get returns a connection to an address: the one used last that has been idle no longer than maxAge and is still
// open, or else a new one. Errors are ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string, maxAge time.Duration) (*Conn, error) {
	now := time.Now()
	p.sweep(now)
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if now.Before(c.expires) && now.Sub(c.idleSince) <= maxAge && c.isClean() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dial(ctx, address)
}

func (p *Pool) pop(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Put takes a connection back after the whole body of its answer was read, to be kept for a while. It is closed if
// that is 0 or something is left to be read.
func (p *Pool) Put(c *Conn, keep time.Duration) {
	keep = min(keep, p.IdleLimit)
	if keep <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(keep)
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < maxIdle {
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

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Reply is an answer that was read whole.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// RoundTrip sends a request and reads the whole answer, for calls that may be made again.
func (p *Pool) RoundTrip(ctx context.Context, address string, r *Request, maxBody int64) (*Reply, error) {
	c, err := p.Get(ctx, address, p.IdleLimit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.Close)
	reply, keep, err := round(c, r, maxBody)
	if !stop() || err != nil {
		c.Close()
		return reply, err
	}
	p.Put(c, keep)
	return reply, nil
}

func round(c *Conn, r *Request, maxBody int64) (*Reply, time.Duration, error) {
	if err := c.Write(r); err != nil {
		return nil, 0, err
	}
	res, err := c.Read(r.Method)
	if err != nil {
		return nil, 0, err
	}
	body, err := ReadBody(res, maxBody)
	if err != nil {
		return nil, 0, err
	}
	return &Reply{Status: res.StatusCode, Header: res.Header, Body: body}, KeepFor(res), nil
}
