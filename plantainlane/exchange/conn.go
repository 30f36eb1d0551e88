// Package exchange sends requests to upstreams over persistent HTTP/1.1 connections and reads the answers. It never
// retries a request, since only the caller knows whether the request may run twice. So that the caller can decide,
// errors are marked with ErrNotSent if the upstream can't have received any part of the request.
package exchange

import (
	"bufio"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNotSent marks the errors of requests that failed before any byte was written to a connection.
var ErrNotSent = errors.New("exchange: request not sent")

// ErrNoConnection reports that a pool has as many connections as it may, all in use.
var ErrNoConnection = errors.New("exchange: too many connections")

// ErrRepeatedAnswer reports a second copy of the answer to an earlier request on the connection.
var ErrRepeatedAnswer = errors.New("exchange: repeated answer to an earlier request")

// ErrHeadTooLarge reports an answer with more than maxHeadBytes before its body.
var ErrHeadTooLarge = errors.New("exchange: head of the answer too large")

// ErrNoStatus reports an answer whose status is none of HTTP's.
var ErrNoStatus = errors.New("exchange: answer with a status outside 100 to 599")

// IsBroken reports whether an error says that a connection ended after a request was written on it and before its answer was
// whole: it was closed or reset by the upstream, not by a timeout or this instance.
func IsBroken(err error) bool {
	isEnd := errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
	return isEnd && !errors.Is(err, ErrNotSent)
}

const (
	// maxTokens is the number of answers with tokens after which a connection isn't kept. The connection remembers all of them.
	maxTokens = 256
	// maxUnserved is the number of unserved requests after which a connection isn't kept.
	maxUnserved = 16
)

const (
	// readBufferBytes is the size of a connection's buffer for answers.
	readBufferBytes = 4 << 10
	// userTimeout is the TCP user timeout: how long sent data may stay unacknowledged before the connection is reset.
	userTimeout = 3 * time.Second
	// A connection without traffic is probed after keepAliveIdle and then every keepAliveInterval. It is reset after
	// keepAliveCount probes without an answer.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdleTime is how long a connection may be idle if the upstream announces no shorter time.
	maxIdleTime = time.Minute
	// maxHeadBytes is the maximum size of the status lines and headers of one answer, informational ones included, up to
	// one buffer.
	maxHeadBytes = 64 << 10
	// maxStatus is the highest status of an answer.
	maxStatus = 599
	// maxInformational is the number of informational (1xx) answers to one request at which Read fails.
	maxInformational = 5
)

// hashSeed is the seed of the hashes of tokens and request IDs.
var hashSeed = maphash.MakeSeed()

// hashOf returns the hash of a token or request ID, which may be long.
func hashOf(text string) uint64 { return maphash.String(hashSeed, text) }

// Conn is a connection to an upstream. It carries one request at a time, and must not be used concurrently except for
// Close.
type Conn struct {
	raw *net.TCPConn
	// pool is the pool that counts the connection; nil if none does.
	pool *Pool
	// isClosed is set once the connection is closed.
	isClosed atomic.Bool

	head   *headLimiter
	reader *bufio.Reader
	// address is the host and port of the upstream.
	address string
	// openedAt is when the connection was opened.
	openedAt time.Time
	// idleSince is when the connection was returned to the pool after its last answer.
	idleSince time.Time
	// expires is the time from which an idle connection isn't reused, because the upstream may close it or the pool's
	// IdleLimit has passed.
	expires time.Time
	// Reused is set if the connection has carried a request before.
	Reused bool
	// tokens holds the hashes of the tokens of all answers, see Request.Accept.
	tokens []uint64
	// unserved holds the hashes of the IDs of the requests that the connection has carried and that were answered, but not served. They may be
	// sent again, but not on this connection: a late copy of the answer couldn't be told from that to the second send.
	unserved []uint64
	// writeFailed is set once a request couldn't be written whole. The failed write has taken the error of the connection, so that its
	// end looks like a clean one.
	writeFailed bool
}

// MarkUnserved records that the request with an ID was answered on the connection, but not served.
func (c *Conn) MarkUnserved(request string) { c.unserved = append(c.unserved, hashOf(request)) }

// Since returns the time since which the upstream can have made the answer that was read last, if nothing ties that to the request that
// was sent at sentAt: it may be a late one to any request on the connection.
func (c *Conn) Since(sentAt time.Time) time.Time {
	if c.Reused {
		return c.openedAt
	}
	return sentAt
}

// LocalPort returns the local port, which identifies the connection among those to one upstream in logs.
func (c *Conn) LocalPort() int {
	if local, ok := c.raw.LocalAddr().(*net.TCPAddr); ok {
		return local.Port
	}
	return 0
}

// dial opens a connection. All its errors are marked with ErrNotSent.
func dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "dial"), ErrNotSent)
	}
	raw, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, errors.Mark(errors.Newf("expected a TCP connection, got %T", c), ErrNotSent)
	}
	head := &headLimiter{source: raw}
	return &Conn{raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), address: address, openedAt: time.Now()}, nil
}

// IsRefused reports whether an address refuses a new connection, so that no process listens there. It returns false if that isn't
// known when ctx ends.
func IsRefused(ctx context.Context, address string) bool {
	c, err := dial(ctx, address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.Close()
	return false
}

// headLimiter reads from a connection, and only a limited number of bytes while it is limited.
type headLimiter struct {
	source  io.Reader
	limited bool
	// left is the number of bytes that may still be read while limited is set.
	left int
}

// Read reads from the connection. It returns ErrHeadTooLarge once the limit is reached.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.source.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// limit allows up to n bytes to be read until release.
func (l *headLimiter) limit(n int) { l.limited, l.left = true, n }

// release ends the limit.
func (l *headLimiter) release() { l.limited = false }

// setUserTimeout sets the TCP user timeout of a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, optionErr)
}

// isReusable reports whether an idle connection is open and has no unread data. Unread data would be taken for the
// answer to the next request.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.raw.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}

// Close closes the connection immediately. A Read or Write in progress fails. Close may be called concurrently.
func (c *Conn) Close() {
	_ = c.raw.Close()
	if !c.isClosed.Swap(true) && c.pool != nil {
		c.pool.open.Add(-1)
	}
}

// Request is a request to an upstream.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query. It is sent unchanged, without decoding or normalization.
	Target string
	// Host is the value of the Host header.
	Host string
	// Header holds the other headers except Content-Length, which Write adds.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Check is called when the request has a connection, immediately before it is written. If it returns an error, the
	// request isn't written, and fails with this error. It may be nil.
	Check func() error
	// Accept reads a whole answer of RoundTrip. If it returns an error, the connection is closed, and RoundTrip returns
	// the error. A token that isn't empty identifies the answer: no two answers have the same one. After an answer without a
	// token the connection isn't kept. Accept may be nil where a late copy of another answer does no harm.
	Accept func(r *Reply) (token string, err error)
}

// Write sends a request. An error is marked with ErrNotSent if no byte was written.
func (c *Conn) Write(r *Request) error {
	buffers := net.Buffers{r.encodeHead()}
	if len(r.Body) > 0 {
		buffers = append(buffers, r.Body)
	}
	if r.Check != nil {
		if err := r.Check(); err != nil {
			return errors.Mark(err, ErrNotSent)
		}
	}
	n, err := buffers.WriteTo(c.raw)
	if err != nil {
		c.writeFailed = true
		err = errors.Wrap(err, "write")
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
	}
	return err
}

// encodeHead returns what is sent before the body. Content-Length is added if there is a body or the method is not GET,
// HEAD or DELETE.
func (r *Request) encodeHead() []byte {
	var b []byte
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// endlessBody is a body whose end can't be told from a break of its connection.
type endlessBody struct{ io.Reader }

// Read reads from the body. It returns io.ErrUnexpectedEOF at its end.
func (b endlessBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// unreadBody is a body whose Close leaves the rest unread, which may have no end.
type unreadBody struct{ io.Reader }

// Close does nothing.
func (unreadBody) Close() error { return nil }

// Read reads the status and headers of the next final answer, and skips the informational (1xx) answers before it. The
// caller must read the whole body from the answer, or close the connection; closing the body does nothing. method is the
// method of the request. Read returns ErrHeadTooLarge for more than maxHeadBytes, ErrJoinedAnswers if the head is not that of one
// answer, and ErrNoStatus for a status outside 100 to 599. After a failed Write, the end of a body without a length or a last chunk is
// an error.
func (c *Conn) Read(method string) (*http.Response, error) {
	c.head.limit(maxHeadBytes)
	defer c.head.release()
	for range maxInformational {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if IsJoined(res) {
			return nil, ErrJoinedAnswers
		}
		if res.StatusCode < http.StatusContinue || res.StatusCode > maxStatus {
			return nil, errors.Wrapf(ErrNoStatus, "status %s", res.Status)
		}
		res.Body = unreadBody{res.Body}
		if c.writeFailed && !HasEnd(res) {
			res.Body = unreadBody{endlessBody{res.Body}}
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.Newf("no final answer after %d informational (1xx) answers", maxInformational)
}

// accept passes a whole answer to r.Accept. It returns ErrRepeatedAnswer if an earlier answer on the connection has the
// same token. The result keep is false if the connection can't carry another request: a copy of the answer couldn't be told from the
// answer to that, or maxTokens are remembered.
func (c *Conn) accept(r *Request, reply *Reply) (keep bool, err error) {
	if r.Accept == nil {
		return true, nil
	}
	token, err := r.Accept(reply)
	if err != nil || token == "" {
		return false, err
	}
	hash := hashOf(token)
	if slices.Contains(c.tokens, hash) {
		return false, ErrRepeatedAnswer
	}
	c.tokens = append(c.tokens, hash)
	return len(c.tokens) < maxTokens, nil
}

// SetDeadline sets the time after which reads and writes fail. The zero time means no deadline.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// HasEnd reports whether an answer has an end of its own, a length or a last chunk, rather than that of its connection.
func HasEnd(res *http.Response) bool { return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 }

// KeepFor returns how long a connection may be idle after the answer res, whose whole body must have been read. It
// returns 0 if the connection can't carry another request, which is also so after an answer to HEAD that names the length of a body: where
// a copy of that is read as the answer to another request, what comes after it would be taken for its body.
func KeepFor(res *http.Response) time.Duration {
	isLengthOnly := res.Request != nil && res.Request.Method == http.MethodHead && res.ContentLength != 0
	if res.Close || !HasEnd(res) || isLengthOnly {
		return 0
	}
	idle := maxIdleTime
	for param := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		// The upstream's timeout starts when it sends the answer, which is before the answer is received here. So only
		// three quarters of the timeout are used.
		idle = min(idle, time.Duration(seconds)*time.Second*3/4)
	}
	return idle
}
