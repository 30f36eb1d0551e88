package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
	}
}

// countingConn counts the bytes written, so that a failed call can tell whether any byte of it went out.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts before it writes, since a failed write may have written.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// sentBytes tells whether a call wrote to its connection. A connection carries one call at a time.
type sentBytes struct {
	conn  atomic.Pointer[countingConn]
	start atomic.Int64
}

func (s *sentBytes) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countingConn); ok {
			s.start.Store(c.written.Load())
			s.conn.Store(c)
		}
	}}
}

func (s *sentBytes) any() bool {
	c := s.conn.Load()
	return c != nil && c.written.Load() > s.start.Load()
}
