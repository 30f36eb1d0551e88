package quota

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/exchange"
)

// Reader reads the notice in the head of an answer. The parts that can't be read are left out, and reported as ErrBadLimit
// and ErrBadPause.
type Reader func(status int, h http.Header) (Notice, error)

// Client sends requests with a permit each, and reads the notices in their answers. It is safe for concurrent use.
//
// Requests of different kinds have connections of their own, since a late copy of an answer is only recognized by what ties the
// answers of its kind to their requests.
type Client struct {
	// Pool holds the connections for the requests that are forwarded, whose answers have their IDs.
	Pool *exchange.Pool
	// Calls holds the connections for RoundTrip, whose answers have tokens.
	Calls *exchange.Pool
	// Control holds the connections for RoundTripControl. Nothing ties the answers on them to their requests.
	Control *exchange.Pool
	Gate    *Gate
	Read    Reader
}

// NewClient returns a client that forwards requests on connections of a pool, and makes other calls on connections of pools like it.
func NewClient(pool *exchange.Pool, g *Gate, r Reader) *Client {
	c := &Client{Pool: pool, Calls: exchange.NewPool(pool.IdleLimit), Control: exchange.NewPool(pool.IdleLimit), Gate: g, Read: r}
	c.Calls.Memory, c.Control.Memory = pool.Memory, pool.Memory
	return c
}

// CloseIdle closes all idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.Pool.CloseIdle(address)
	c.Calls.CloseIdle(address)
	c.Control.CloseIdle(address)
}

// Acquire obtains a permit as Gate.Acquire does. It closes the idle connections to an earlier process at the peer's
// address: what answers on them say isn't about the peer.
func (c *Client) Acquire(ctx context.Context, p Peer) (Permit, error) {
	if c.Gate.Replaced(time.Now(), p) {
		c.CloseIdle(p.Address)
	}
	return c.Gate.Acquire(ctx, p)
}

// RoundTrip obtains a permit, sends a request and reads the whole answer, as exchange.Pool.RoundTrip does. If there is
// no permit, it returns a *Refusal marked with exchange.ErrNotSent.
func (c *Client) RoundTrip(ctx context.Context, p Peer, r *exchange.Request, maxBody int64) (*exchange.Reply, error) {
	reply, sentAt, err := c.roundTrip(ctx, c.Calls, p, r, maxBody)
	if reply != nil && !errors.Is(err, exchange.ErrRepeatedAnswer) {
		// Others may be a part of a late copy.
		isOwn := err == nil || reply.Status == http.StatusServiceUnavailable
		if !isOwn {
			sentAt = reply.Since
		}
		c.Observe(p, Heard{SentAt: sentAt, Status: reply.Status, Header: reply.Header, IsOwn: isOwn, MayEndLimit: err == nil})
	}
	return reply, err
}

// RoundTripControl does the same for a call that is no work for the upstream. The answer may leave out the limit, so it
// doesn't tell that a limit has ended.
func (c *Client) RoundTripControl(ctx context.Context, p Peer, r *exchange.Request, maxBody int64) (*exchange.Reply, error) {
	reply, _, err := c.roundTrip(ctx, c.Control, p, r, maxBody)
	if reply != nil {
		c.Observe(p, Heard{SentAt: reply.Since, Status: reply.Status, Header: reply.Header})
	}
	return reply, err
}

// roundTrip obtains a permit, sends a request and reads the whole answer. It also returns when the request was sent.
func (c *Client) roundTrip(ctx context.Context, pool *exchange.Pool, p Peer, r *exchange.Request, maxBody int64) (*exchange.Reply, time.Time, error) {
	permit, err := c.Acquire(ctx, p)
	if err != nil {
		return nil, time.Time{}, errors.Mark(err, exchange.ErrNotSent)
	}
	var sentAt time.Time
	r.Check = func() error {
		sentAt = time.Now()
		return permit.Check()
	}
	reply, err := pool.RoundTrip(ctx, p.Address, r, maxBody)
	return reply, sentAt, err
}

// Heard is the head of an answer.
type Heard struct {
	// SentAt is when the request was sent to which this is the answer. If that isn't known, it is when the first request was sent to
	// which it can be the answer.
	SentAt time.Time
	Status int
	Header http.Header
	// IsOwn is set if the answer is the peer's. Otherwise it tells nothing about the peer itself.
	IsOwn bool
	// MayEndLimit is set if the answer is known to be the peer's to this request, so that it tells that there is no limit
	// if it names none.
	MayEndLimit bool
}

// Observe records what an answer says about a peer.
func (c *Client) Observe(p Peer, a Heard) {
	now := time.Now()
	n, err := c.Read(a.Status, a.Header)
	if err != nil {
		klog.V(1).InfoS("notice of upstream not read", "upstream", p.ID, "address", p.Address, "err", err)
	}
	if a.IsOwn {
		c.Gate.ObserveStanding(now, p, n)
	}
	if errors.Is(err, ErrBadLimit) || !n.Limited && !a.MayEndLimit {
		return
	}
	c.Gate.Observe(p.Address, Statement{Limited: n.Limited, PerSecond: n.PerSecond, SentAt: a.SentAt, HeardAt: now})
}
