package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// upstream answers each request with the bytes that serve returns, and closes the connection if there are none.
func upstream(t *testing.T, serve func(n int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := make(chan int, 1)
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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(p *Pool, address string) (*Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.RoundTrip(ctx, address, &Request{Method: http.MethodGet, Target: "/x?y=%2F", Host: "h"}, 100)
}

func idleAt(p *Pool, address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := upstream(t, func(int) string { return whole })
	for range 3 {
		reply, err := get(p, address)
		is.NoErr(err)
		is.Equal(string(reply.Body), "ok")
		is.Equal(idleAt(p, address), 1)
	}
}

func TestConnectionIsNotKept(t *testing.T) {
	tests := map[string]string{
		"close":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"no length":        "HTTP/1.1 200 OK\r\n\r\nok",
		"keep for nothing": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok",
		"further bytes":    whole + "HTTP/1.1 200 OK\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(time.Minute)
			address := closing(t, answer)
			reply, err := get(p, address)
			is.NoErr(err)
			is.Equal(string(reply.Body), "ok")
			is.Equal(idleAt(p, address), 0)
		})
	}
}

// closing answers one request and closes the connection.
func closing(t *testing.T, answer string) string {
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

func TestCutAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := get(NewPool(time.Minute), closing(t, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
}

func TestUnreachedUpstreamWasSentNothing(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = get(NewPool(time.Minute), address)
	is.True(errors.Is(err, ErrNotSent))
}

// TestClosedIdleConnectionIsNotUsed closes a kept connection at the upstream's side while it is idle.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := upstream(t, func(n int) string {
		return whole
	})
	_, err := get(p, address)
	is.NoErr(err)
	c := p.pop(address)
	is.True(c.isClean())
	is.NoErr(c.raw.CloseRead()) // as if the upstream had closed
	is.True(!c.isClean())
}

func TestOldIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := upstream(t, func(int) string { return whole })
	_, err := get(p, address)
	is.NoErr(err)
	c, err := p.Get(context.Background(), address, time.Nanosecond)
	is.NoErr(err)
	is.True(!c.Reused)
	c.Close()
}

func TestInformationalAnswersAreSkipped(t *testing.T) {
	is := is.New(t)
	reply, err := get(NewPool(time.Minute), upstream(t, func(int) string { return "HTTP/1.1 100 Continue\r\n\r\n" + whole }))
	is.NoErr(err)
	is.Equal(reply.Status, 200)
}

func TestTooLargeBodyIsAnError(t *testing.T) {
	is := is.New(t)
	p := NewPool(time.Minute)
	address := upstream(t, func(int) string { return whole })
	_, err := p.RoundTrip(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h"}, 1)
	is.True(errors.Is(err, ErrTooLarge))
}

func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 999\r\n\r\n"))
	f.Fuzz(func(_ *testing.T, answer []byte) {
		a, b := net.Pipe()
		go func() {
			_, _ = b.Write(answer)
			b.Close()
		}()
		c := &Conn{reader: bufio.NewReader(a)}
		if res, err := c.Read(http.MethodPost); err == nil {
			_, _ = ReadBody(res, 1<<16)
			KeepFor(res)
		}
		a.Close()
	})
}
