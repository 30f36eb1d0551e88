package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

const (
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 5 * time.Second
	// dialTimeout is the maximum time for opening a connection.
	dialTimeout = time.Second
	// maxHeadBytes is the maximum size of the headers of an answer.
	maxHeadBytes = 64 << 10
	// writtenTimeout is how long the end of an answer waits for that of its call's write, which another goroutine reports.
	writtenTimeout = time.Second
)

// newTransport returns a transport whose connections count the bytes that they write.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
	}
}

// countingConn counts the bytes written to a connection. From the count, a failed call finds out whether any of its
// bytes may have been sent.
type countingConn struct {
	net.Conn
	// written is the number of bytes passed to Write.
	written atomic.Int64
	// call is the tracker of a call that hasn't written yet; nil if there is none.
	call atomic.Pointer[writeTracker]
}

// Write counts the bytes and then writes them. A write that fails counts as well, since it may have sent some bytes. The
// first write of a call fails without being counted if the call may not be sent any more.
func (c *countingConn) Write(b []byte) (int, error) {
	if t := c.call.Swap(nil); t != nil {
		if err := t.begin(); err != nil {
			return 0, err
		}
	}
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// writeTracker records whether a call has written to its connection. A connection carries one call at a time.
type writeTracker struct {
	// check returns an error if the call may not be sent any more.
	check func() error
	// begun is when the call was about to be written, and refusal the error of check, if any; nil before.
	begun   atomic.Pointer[time.Time]
	refusal atomic.Pointer[error]
	// conn is the connection of the call; nil if it has none yet.
	conn atomic.Pointer[countingConn]
	// written receives the result of writing the whole call on the newest connection.
	written chan error
	// before is the number of bytes written to conn before the call.
	before atomic.Int64
}

// trace returns the hooks that record the connection of the call.
func (t *writeTracker) trace() *httptrace.ClientTrace {
	wrote := func(info httptrace.WroteRequestInfo) {
		select {
		case t.written <- info.Err:
		default:
		}
	}
	return &httptrace.ClientTrace{WroteRequest: wrote, GotConn: func(info httptrace.GotConnInfo) {
		// The transport may have failed to write the call on a connection that was closed while idle.
		select {
		case err := <-t.written:
			klog.V(1).InfoS("call written again", "err", err)
		default:
		}
		if c, ok := info.Conn.(*countingConn); ok {
			t.before.Store(c.written.Load())
			t.conn.Store(c)
			c.call.Store(t)
		}
	}}
}

// isWhole reports whether the call was written whole. It waits for the end of a write for at most writtenTimeout.
func (t *writeTracker) isWhole() bool {
	select {
	case err := <-t.written:
		t.written <- err
		return err == nil
	case <-time.After(writtenTimeout):
		return false
	}
}

// unendedBody is the body of an answer that ends with its connection. That is a clean end only if the call was written whole: a failed
// write takes the error of a connection that is reset.
type unendedBody struct {
	io.ReadCloser
	tracker *writeTracker
}

// Read reads from the body. At the end of the connection, it returns io.ErrUnexpectedEOF unless the call was written whole.
func (b *unendedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.tracker.isWhole() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// begin records that the call is about to be written. It returns the error of check.
func (t *writeTracker) begin() error {
	now := time.Now()
	t.begun.Store(&now)
	err := t.check()
	if err != nil {
		t.refusal.Store(&err)
	}
	return err
}

// refused returns the error for which the call was not written, if any.
func (t *writeTracker) refused() error {
	if err := t.refusal.Load(); err != nil {
		return *err
	}
	return nil
}

// sentAt returns when the call was written; the zero time if it wasn't.
func (t *writeTracker) sentAt() time.Time {
	if at := t.begun.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// closeConn closes the connection of the call, also one that the transport keeps because the answer on it had no body.
func (t *writeTracker) closeConn() {
	if c := t.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// hasWritten reports whether the call may have sent any byte.
func (t *writeTracker) hasWritten() bool {
	c := t.conn.Load()
	return c != nil && c.written.Load() > t.before.Load()
}
