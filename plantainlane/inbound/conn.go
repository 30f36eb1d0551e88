package inbound

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var (
	// ErrLargeHead reports a head that is larger than its listener allows.
	ErrLargeHead = errors.New("inbound: head too large")
	// ErrNoMemory reports a head for which there is no memory beside those of other requests.
	ErrNoMemory = errors.New("inbound: no memory for the head")
)

const (
	// unsentBytes is the number of bytes that the kernel holds of an answer beside those that are on their way to the caller.
	unsentBytes = 128 << 10
	// stallTimeout is how long a caller may take to read stallBytes of an answer whose owner has set no deadline.
	stallTimeout = 10 * time.Second
	stallBytes   = 64 << 10
)

// Conn is a connection that another party has opened.
type Conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	fd      int32
	gate    *Gate
	options *Options
	// listener has accepted the connection.
	listener *listener
	// stream is what the caller hasn't read of a stream; nil unless an answer is one.
	stream atomic.Pointer[Stream]
	// isHijacked is set once the connection isn't the HTTP server's any more.
	isHijacked atomic.Bool

	// writing guards hasDeadline, which is set while the owner of an answer has set a deadline for its writes.
	writing     sync.Mutex
	hasDeadline bool

	// The gate's mu guards the following fields. list is the list that holds the connection, at its element there; nil while it has a
	// request. largeAt is its element in the list of large heads.
	list        *list.List
	at, largeAt *list.Element
	// since is when the connection was placed in list.
	since time.Time
	// received and lines are the size of the head so far, headBytes the memory that it counts for.
	received, lines int
	headBytes       int64
	// isBodyLeft is set if the request's handler didn't read the whole body.
	isBodyLeft bool
	isRemoved  bool
	// removed is closed when isRemoved is set.
	removed chan struct{}
}

// newConn returns a connection of a listener.
func newConn(tcp *net.TCPConn, l *listener) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &Conn{TCPConn: tcp, raw: raw, gate: l.gate, options: &l.options, listener: l, removed: make(chan struct{})}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		c.fd = int32(fd) //nolint:gosec // descriptors are small
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
	return c, errors.CombineErrors(err, optionErr)
}

// place moves the connection to the end of a list of its gate. The caller holds the gate's mu.
func (c *Conn) place(l *list.List, now time.Time) {
	c.leave()
	c.list, c.at, c.since = l, l.PushBack(c), now
}

// enterList places the connection at the end of a list of its gate, unless it's closed.
func (c *Conn) enterList(l *list.List) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.isRemoved {
		c.place(l, time.Now())
	}
}

// leaveList removes the connection from a list of its gate, if it's in that one.
func (c *Conn) leaveList(l *list.List) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.list == l {
		c.leave()
	}
}

// leave removes the connection from the lists of its gate. The caller holds the gate's mu.
func (c *Conn) leave() {
	if c.list != nil {
		c.list.Remove(c.at)
		c.list, c.at = nil, nil
	}
	if c.largeAt != nil {
		c.gate.large.Remove(c.largeAt)
		c.largeAt = nil
	}
}

// Read reads from the connection. If the head that is read is too large, Read refuses the request and returns io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n <= 0 {
		return n, err
	}
	wait, refusal := c.gate.growHead(c, n, bytes.Count(b[:n], []byte("\n")))
	if refusal == nil {
		c.pause(wait)
		return n, err
	}
	c.gate.refuseHead(c)
	switch {
	case errors.Is(refusal, ErrLargeHead):
		c.gate.log("head over the limit", c.options, c.TCPConn)
		answerUnread(c.TCPConn, largeHeadAnswer)
	default:
		c.gate.log("no memory for a head", c.options, c.TCPConn)
		answerUnread(c.TCPConn, busyAnswer)
	}
	return 0, io.EOF
}

// pause waits for a time, or until the connection is closed.
func (c *Conn) pause(wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-c.removed:
	case <-time.After(wait):
	}
}

// SetReadDeadline sets the deadline for reads. While no request is handled, it is the HTTP server's for a head or an idle connection, and
// is extended by the listener's ExtraTimeouts.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.options.ExtraTimeouts == nil {
		return c.TCPConn.SetReadDeadline(t)
	}
	head, idle := c.options.ExtraTimeouts()
	c.gate.mu.Lock()
	switch c.list {
	case c.gate.idle:
		t = t.Add(idle)
	case c.gate.sending:
		t = t.Add(head)
	}
	c.gate.mu.Unlock()
	return c.TCPConn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for writes. The zero time stands for stallTimeout for each stallBytes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.hasDeadline = !t.IsZero()
	return c.TCPConn.SetWriteDeadline(t)
}

// extendWrite sets the deadline for the write of a further part of an answer, unless its owner has set one.
func (c *Conn) extendWrite(t time.Time) error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.hasDeadline {
		return nil
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// writeAll writes to the connection, and waits for a caller that reads slowly but not for one that doesn't read.
func (c *Conn) writeAll(b []byte) (int, error) {
	n, err := c.tryWrite(b)
	if err != nil || n == len(b) {
		return n, err
	}
	defer c.leaveList(c.gate.unread)
	for n < len(b) && err == nil {
		if err = c.extendWrite(time.Now().Add(stallTimeout)); err != nil {
			return n, err
		}
		c.enterList(c.gate.unread)
		var k int
		k, err = c.TCPConn.Write(b[n:min(n+stallBytes, len(b))])
		n += k
	}
	return n, errors.CombineErrors(err, c.extendWrite(time.Time{}))
}

// Close closes the connection, after a moment if its caller is still sending a body.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	isSending := c.isBodyLeft && !c.isRemoved
	c.gate.remove(c)
	c.gate.mu.Unlock()
	if isSending {
		c.gate.closeAfter(c.TCPConn, func() { readUnsent(c.TCPConn) })
		return nil
	}
	return c.TCPConn.Close()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext adds the connection of a request to its context, as the field of an HTTP server of this name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOfRequest returns the connection of a request; nil if it isn't one of a gate.
func connOfRequest(r *http.Request) *Conn {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok {
		return nil
	}
	return c
}
