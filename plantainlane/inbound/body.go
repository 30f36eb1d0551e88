package inbound

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// bodyBlockBytes is the size of the parts in which the progress of a body is measured. A connection whose current part has taken
	// longer than freshTime may be closed in favor of others.
	bodyBlockBytes = 16 << 10
	// discardTime is how long the rest of a body is read after the request's handler has returned without reading it. The HTTP server
	// reads it, as otherwise the connection can't be used again.
	discardTime = 300 * time.Millisecond
)

// Handler returns a handler for the requests on connections of a gate. Until a request's body has arrived, its connection may be closed in
// favor of others, since nothing of the request has run. The whole body must arrive within timeout, unless next sets another read deadline;
// what next leaves of it is read for discardTime at most. While connections are closed in favor of others, each answer ends its connection:
// callers that always have a next request would otherwise keep all places.
func Handler(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOfRequest(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.isClosed() { // in favor of another one, while the server was parsing the head
			panic(http.ErrAbortHandler)
		}
		if c.gate.isCrowded(time.Now()) {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		b := &requestBody{ReadCloser: r.Body, conn: c}
		c.enterList(c.gate.bodies)
		setReadDeadline(w, time.Now().Add(timeout))
		r = r.WithContext(r.Context())
		r.Body = b
		next.ServeHTTP(w, r)
		if !b.isComplete {
			c.setBodyLeft()
			setReadDeadline(w, time.Now().Add(discardTime))
		}
	})
}

// setReadDeadline sets the deadline for reading a request's body. The HTTP server removes it at the end of the body.
func setReadDeadline(w http.ResponseWriter, t time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(t); err != nil {
		klog.V(1).InfoS("no deadline for the body of a request", "err", err)
	}
}

// requestBody is the body of a request that is being received.
type requestBody struct {
	io.ReadCloser
	conn *Conn
	// blockBytes is the size of what was read of the current block.
	blockBytes int
	// isComplete is set at the end of the body.
	isComplete bool
}

// Read reads from the body, and records its progress. If the connection was closed in favor of another one, Read returns net.ErrClosed in
// place of the end of the body, so that the request isn't run: its caller takes the close for a request that wasn't read.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case b.isComplete:
	case errors.Is(err, io.EOF):
		b.isComplete = true
		if !b.conn.endBody() {
			return n, net.ErrClosed
		}
	default:
		if b.blockBytes += n; b.blockBytes >= bodyBlockBytes {
			b.blockBytes = 0
			b.conn.enterList(b.conn.gate.bodies)
		}
	}
	return n, err
}

// isClosed reports whether the connection is closed.
func (c *Conn) isClosed() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.isRemoved
}

// endBody records that the connection's request is whole. It returns false if the connection is closed.
func (c *Conn) endBody() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.list == c.gate.bodies {
		c.leave()
	}
	return !c.isRemoved
}

// setBodyLeft records that the rest of a body isn't needed.
func (c *Conn) setBodyLeft() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.isBodyLeft = true
}
