// Package exchange sends requests to upstreams over kept HTTP/1.1 connections and reads their answers. It never
// sends a request again by itself: what may be repeated is the caller's decision, so each error tells whether the
// request may have reached the upstream.
package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrNotSent marks errors of requests of which no byte was written.
var ErrNotSent = errors.New("exchange: request not sent")

// ErrUnexpectedData reports bytes on a connection that belong to no request.
var ErrUnexpectedData = errors.New("exchange: stray bytes on the connection")

const (
	// readBuffer is the size of a connection's buffer for answers.
	readBuffer = 4 << 10
	// userTimeout is how long written bytes may stay unacknowledged until the connection is reset.
	userTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval time the probes of a connection without traffic.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxKeep is how long a connection may be idle if the upstream doesn't tell.
	maxKeep = time.Minute
	// maxInformational is the number of 1xx answers that are skipped before a final one.
	maxInformational = 5
)

// Conn is a connection to an upstream. It carries one request at a time.
type Conn struct {
	raw    *net.TCPConn
	reader *bufio.Reader
	// address that the connection leads to.
	address string
	// idleSince is when the last answer was read.
	idleSince time.Time
	// expires is when the upstream may close the connection while it is idle.
	expires time.Time
	// Reused tells that the connection has carried a request before.
	Reused bool
}

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
		return nil, errors.Mark(errors.Newf("connection of type %T", c), ErrNotSent)
	}
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	return errors.CombineErrors(err, inner)
}

// isClean tells whether the idle connection is open and nothing waits to be read on it.
func (c *Conn) isClean() bool {
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

// Close closes the connection at once.
func (c *Conn) Close() { _ = c.raw.Close() }

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Write sends a request. An error is ErrNotSent if no byte was written.
func (c *Conn) Write(r *Request) error {
	n, err := c.raw.Write(r.encode())
	if err != nil {
		err = errors.Wrap(err, "write")
		if n == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
	}
	return err
}

func (r *Request) encode() []byte {
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
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// Read reads the head of the next answer; its body is to be read from the answer.
func (c *Conn) Read(method string) (*http.Response, error) {
	for range maxInformational {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, errors.New("too many informational answers")
}

// SetDeadline bounds the reading and writing.
func (c *Conn) SetDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// KeepFor returns how long a connection may be idle after an answer whose whole body was read; 0 if it can't carry
// another request.
func KeepFor(res *http.Response) time.Duration {
	if res.Close || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return 0
	}
	most := maxKeep
	for part := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		// The upstream counts from when it sent the answer.
		most = min(most, time.Duration(seconds)*time.Second*3/4)
	}
	return most
}
