package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// startUpstream starts an upstream and returns its address. The upstream answers request number n, counted from 0, with
// the bytes that serve returns, or closes the connection if serve returns "".
func startUpstream(t *testing.T, serve func(n int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := make(chan int, 1) // holds the number of requests so far
	requests <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := <-requests
					requests <- n + 1
					answer := serve(n)
					if answer == "" {
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// completeAnswer is an answer after which the connection can be reused.
const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// get sends a GET request to an address and reads an answer of up to 100 bytes.
func get(p *Pool, address string) (*Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.RoundTrip(ctx, address, &Request{Method: http.MethodGet, Target: "/x?y=%2F", Host: "h"}, 100)
}

// countIdle returns the number of idle connections to an address.
func countIdle(p *Pool, address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// TestIdleConnectionIsReused guards against a pool that opens a connection for each request or collects more idle
// connections than it needs.
func TestIdleConnectionIsReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(int) string { return completeAnswer })
	for range 3 {
		reply, err := get(p, address)
		is.NoErr(err)
		is.Equal(string(reply.Body), "ok")
		is.Equal(countIdle(p, address), 1)
	}
}

// TestConnectionIsClosedAfterAnswer guards against reuse of a connection that the upstream closes, whose answer has no
// definite end, or that has received data after the answer. The next request would fail, or get the wrong answer.
func TestConnectionIsClosedAfterAnswer(t *testing.T) {
	tests := map[string]string{
		"close":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"no length":               "HTTP/1.1 200 OK\r\n\r\nok",
		"zero keep-alive timeout": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"data after the answer":   completeAnswer + "HTTP/1.1 200 OK\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(time.Minute)
			address := startClosingUpstream(t, answer)
			reply, err := get(p, address)
			is.NoErr(err)
			is.Equal(string(reply.Body), "ok")
			is.Equal(countIdle(p, address), 0)
		})
	}
}

// startClosingUpstream starts an upstream that answers one request and closes the connection. It returns the address.
func startClosingUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
		c.Close()
	}()
	return l.Addr().String()
}

// TestTruncatedAnswerIsAnError guards against a truncated answer that is taken for a complete one, and against marking
// the request as not sent although the upstream has answered it.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := get(NewPool(time.Minute), startClosingUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
}

// TestFailedDialIsMarkedNotSent guards against a failed attempt to connect whose error isn't marked with ErrNotSent.
// The caller could then not retry a request that must not run twice.
func TestFailedDialIsMarkedNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = get(NewPool(time.Minute), address)
	is.True(errors.Is(err, ErrNotSent))
}

// TestClosedIdleConnectionIsNotReusable guards against sending a request on an idle connection that the upstream has
// closed in the meantime.
func TestClosedIdleConnectionIsNotReusable(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(n int) string {
		return completeAnswer
	})
	_, err := get(p, address)
	is.NoErr(err)
	c := p.pop(address, "")
	is.True(c.isReusable())
	is.NoErr(c.raw.CloseRead()) // as if the upstream had closed
	is.True(!c.isReusable())
}

// TestConnectionIdleLongerThanMaxAgeIsNotReused guards against Get ignoring maxAge: requests that must not run twice
// would be sent on connections that the upstream may be closing.
func TestConnectionIdleLongerThanMaxAgeIsNotReused(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(int) string { return completeAnswer })
	_, err := get(p, address)
	is.NoErr(err)
	c, err := p.Get(context.Background(), address, "", time.Nanosecond)
	is.NoErr(err)
	is.True(!c.Reused)
	c.Close()
}

// TestInformationalAnswersAreSkipped guards against a 1xx answer that is taken for the final answer.
func TestInformationalAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	reply, err := get(NewPool(time.Minute), startUpstream(t, func(int) string { return "HTTP/1.1 100 Continue\r\n\r\n" + completeAnswer }))
	is.NoErr(err)
	is.Equal(reply.Status, 200)
}

// TestTooLargeBodyIsAnError guards against reading answers of any length into memory.
func TestTooLargeBodyIsAnError(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(int) string { return completeAnswer })
	_, err := p.RoundTrip(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, 1)
	is.True(errors.Is(err, ErrTooLarge))
}

// FuzzReadAnswer reads arbitrary bytes as an answer. No input may cause a panic or an endless read.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte(completeAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 999\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, answer []byte) {
		a, b := net.Pipe()
		go func() {
			_, _ = b.Write(answer)
			b.Close()
		}()
		head := &headLimiter{source: a}
		c := &Conn{head: head, reader: bufio.NewReader(head)}
		if res, err := c.Read(http.MethodPost); err == nil {
			_, _ = NewMemory(AnswerBytes).ReadBody(res, 1<<16)
			KeepFor(res)
			_ = res.Body.Close()
		}
		a.Close()
	})
}

// TestConnectionCarriesRequestTwice guards against a request that is sent again on the connection on which it was refused: a late
// copy of the refusal couldn't be told from the answer. Others may use the connection, until it has carried too many.
func TestConnectionCarriesRequestTwice(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(int) string { return completeAnswer })
	_, err := get(p, address)
	is.NoErr(err)
	refused := p.pop(address, "r0")
	refused.MarkUnserved("r0")
	p.Put(refused, time.Minute)
	other, err := p.Get(context.Background(), address, "r0", time.Minute)
	is.NoErr(err)
	is.True(other != refused)
	other.Close()
	for n := 1; n < maxUnserved; n++ {
		c, err := p.Get(context.Background(), address, strconv.Itoa(n), time.Minute)
		is.NoErr(err)
		is.Equal(c, refused)
		c.MarkUnserved(strconv.Itoa(n))
		p.Put(c, time.Minute)
	}
	is.Equal(countIdle(p, address), 0)
}

// TestLongIDsOfRefusedRequestsAreKept guards against idle connections that hold the IDs of refused requests, each as long as a site allows
// headers to be.
func TestLongIDsOfRefusedRequestsAreKept(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := startUpstream(t, func(int) string { return completeAnswer })
	id := strings.Repeat("i", 60<<10)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var conns []*Conn
	for range maxIdlePerAddress {
		c, err := p.Get(context.Background(), address, id, time.Minute)
		is.NoErr(err)
		conns = append(conns, c)
	}
	for _, c := range conns {
		for n := range maxUnserved - 1 {
			c.MarkUnserved(id + strconv.Itoa(n))
		}
		p.Put(c, time.Minute)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	is.Equal(countIdle(p, address), maxIdlePerAddress)
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < 2<<20) // 15 MB if they are kept
}

// TestPoolOpensTooManyConnections guards against a pool that takes all descriptors of the process, and against one that refuses a connection
// while others are idle.
func TestPoolOpensTooManyConnections(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	p := NewPool(time.Minute)
	p.MaxConns = 2
	get := func(address string) (*Conn, error) { return p.Get(t.Context(), address, "", time.Minute) }
	first, err := get(addresses[0])
	is.NoErr(err)
	second, err := get(addresses[0])
	is.NoErr(err)
	defer second.Close()
	_, err = get(addresses[1])
	is.True(errors.Is(err, ErrNoConnection))
	is.True(errors.Is(err, ErrNotSent))
	p.Put(first, time.Minute)
	third, err := get(addresses[1]) // in place of the idle one
	is.NoErr(err)
	third.Close()
	third.Close() // counts once
	for _, isOpened := range []bool{true, false} {
		c, err := get(addresses[1])
		is.Equal(err == nil, isOpened)
		if isOpened {
			defer c.Close()
		}
	}
}

// TestRefusedBodiesLeaveGarbage guards against bodies that are refused and whose parts take memory until they are collected, while their
// memory counts as free.
func TestRefusedBodiesLeaveGarbage(t *testing.T) {
	is := is.New(t)
	const limit, refusals = 1 << 20, 100
	text := strings.Repeat("x", 2*limit)
	m := NewMemory(AnswerBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range refusals {
		_, err := m.ReadAll(strings.NewReader(text), limit)
		is.True(errors.Is(err, ErrTooLarge))
	}
	runtime.ReadMemStats(&after)
	is.True(after.TotalAlloc-before.TotalAlloc < refusals*limit) // half of the bodies' size
}
