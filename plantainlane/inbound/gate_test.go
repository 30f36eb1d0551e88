package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer starts a server with a listener of a gate, and returns its address.
func startServer(t *testing.T, g *Gate, o Options, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(Handler(h, time.Minute))
	s.Listener.Close()
	s.Listener = g.Listen(l.(*net.TCPListener), o)
	s.Config.ConnState, s.Config.ConnContext, s.Config.MaxHeaderBytes = g.ConnState, ConnContext, 16<<20
	s.Start()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

// open opens a connection and sends a text.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// status returns the status of the answer on a connection; 0 if the connection is closed before there is one.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestOrdinaryCallersAreClosedFirst guards against connections of ordinary callers that are closed while others have been idle or sending
// a head for longer, and against requests that are ended or left without an answer because there are too many.
func TestOrdinaryCallersAreClosedFirst(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 4, OperatorConns: 1, HeadBytes: 1 << 20})
	release := make(chan struct{})
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	}
	address := startServer(t, g, Options{ForCallers: true}, handler)
	operators := startServer(t, g, Options{}, handler)
	idle := open(t, address, get)
	is.Equal(status(idle), 200)
	sending := open(t, address, "GET / HT")
	waiting := []net.Conn{open(t, address, strings.Replace(get, "/", "/wait", 1)), open(t, address, strings.Replace(get, "/", "/wait", 1))}
	time.Sleep(2 * freshTime)
	for _, victim := range []net.Conn{sending, idle} {
		waiting = append(waiting, open(t, address, strings.Replace(get, "/", "/wait", 1)))
		is.Equal(status(victim), 0)
		time.Sleep(2 * freshTime) // the request of the other one is being handled
	}
	is.Equal(status(open(t, address, get)), 503) // all have requests
	is.Equal(status(open(t, operators, get)), 200)
	close(release)
	for _, c := range waiting {
		is.Equal(status(c), 200)
	}
	s := g.Stats()
	is.Equal([]int64{s.Refused, s.ClosedSending}, []int64{1, 1})
}

// TestHeadInsideLimitIsRefused guards against heads that their listener allows and that are refused, however large the site's limit is
// against the memory for all heads, and against larger ones that aren't.
func TestHeadInsideLimitIsRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 4, HeadBytes: 64 << 10})
	limit := 4 << 20
	address := startServer(t, g, Options{HeadLimit: func() int { return limit }}, func(http.ResponseWriter, *http.Request) {})
	head := func(size int) string { return "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", size) }
	is.Equal(status(open(t, address, head(limit-4<<10)+"\r\n\r\n")), 200)
	is.Equal(status(open(t, address, head(limit)+"\r\n\r\n")), 431)
	// Heads that are held back give way to the next one.
	held := open(t, address, head(12<<10))
	time.Sleep(freshTime)
	is.Equal(status(open(t, address, head(12<<10)+"\r\n\r\n")), 200)
	is.Equal(status(held), 0)
}

// TestSlowReaderHoldsStream guards against a stream whose source waits for a slow caller, a stream that takes more memory than allowed,
// and one that is broken off though its caller reads.
func TestSlowReaderHoldsStream(t *testing.T) {
	const event = "data: 0123456789\n\n"
	for name, c := range map[string]struct {
		events     int
		limit      int64
		isComplete bool
	}{
		"slow":     {20_000, 1 << 20, true},
		"own most": {2_000_000, 64 << 20, false},
		"all":      {2_000_000, 64 << 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := NewGate(Limits{Conns: 4, HeadBytes: 1 << 20, StreamBytes: c.limit})
			ended := make(chan error, 1)
			address := startServer(t, g, Options{}, func(w http.ResponseWriter, r *http.Request) {
				s := StartStream(r)
				var err error
				for n := 0; n < c.events && err == nil; n++ {
					if _, err = fmt.Fprint(w, event); err == nil {
						err = http.NewResponseController(w).Flush()
					}
				}
				ended <- err
				if err == nil {
					err = s.Drain()
				}
				if err != nil {
					panic(http.ErrAbortHandler)
				}
			})
			conn := open(t, address, get)
			err := <-ended // before the caller has read anything
			is.Equal(err == nil, c.isComplete)
			if !c.isComplete {
				is.Equal(g.Stats().BrokenStreams, int64(1))
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			text := make([]byte, 0, c.events*len(event))
			for b := make([]byte, 64<<10); !strings.HasSuffix(string(text[max(len(text)-5, 0):]), "0\r\n\r\n"); {
				n, err := conn.Read(b)
				text = append(text, b[:n]...)
				if err != nil {
					break
				}
			}
			is.Equal(strings.Count(string(text), event) == c.events, c.isComplete)
			is.Equal(g.Stats().StreamBytes, int64(0))
		})
	}
}

// BenchmarkStreamWrite measures the write of an event to a caller that reads, as a stream and without.
func BenchmarkStreamWrite(b *testing.B) {
	for name, isStream := range map[string]bool{"direct": false, "stream": true} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
					_, _ = io.Copy(io.Discard, c)
				}
			}()
			accepted, err := NewGate(LimitsOf(0, 0)).Listen(l.(*net.TCPListener), Options{}).Accept()
			if err != nil {
				b.Fatal(err)
			}
			c := accepted.(*Conn)
			defer c.Close()
			var w io.Writer = c.TCPConn
			if isStream {
				w = c
				StartStream((&http.Request{}).WithContext(ConnContext(b.Context(), c)))
			}
			event := make([]byte, 120)
			for b.Loop() {
				if _, err := w.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestResetConnectionsKeepOthersOut guards against connections that their callers have reset and that keep their places, so that others are
// closed or wait.
func TestResetConnectionsKeepOthersOut(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 1, HeadBytes: 1 << 20})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer tcp.Close()
	l := g.Listen(tcp.(*net.TCPListener), Options{ForCallers: true})
	reset := func(c net.Conn) {
		is.NoErr(c.(*net.TCPConn).SetLinger(0))
		is.NoErr(c.Close())
	}
	first := open(t, tcp.Addr().String(), "GET /")
	_, err = l.Accept()
	is.NoErr(err)
	reset(first)
	reset(open(t, tcp.Addr().String(), "GET /")) // before it is accepted
	second := open(t, tcp.Addr().String(), "GET /")
	accepted, err := l.Accept()
	is.NoErr(err)
	is.Equal(accepted.RemoteAddr().String(), second.LocalAddr().String())
	s := g.Stats()
	is.Equal([]int64{s.ClosedReset, s.ClosedSending}, []int64{1, 0})
}

// TestPipelinedRequestsKeepOthersOut guards against callers that always have a next request, and so keep their connections while others are
// refused.
func TestPipelinedRequestsKeepOthersOut(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 1, HeadBytes: 1 << 20})
	handled, release := make(chan struct{}, 3), make(chan struct{})
	address := startServer(t, g, Options{ForCallers: true}, func(http.ResponseWriter, *http.Request) {
		handled <- struct{}{}
		<-release
	})
	pipelining := open(t, address, strings.Repeat(get, cap(handled)))
	<-handled
	is.Equal(status(open(t, address, get)), 503)
	close(release)
	answers := bufio.NewReader(pipelining)
	for _, isLast := range []bool{false, true} { // the first request was read before the other caller came
		res, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		is.Equal(res.Close, isLast)
	}
	is.Equal(status(open(t, address, get)), 200)
}

// TestListenerKeepsReservedPlaces guards against a listener whose connections take the places of all others.
func TestListenerKeepsReservedPlaces(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 3, OperatorConns: 1, ReservedConns: 1, HeadBytes: 1 << 20})
	ended := make(chan struct{})
	release := sync.OnceFunc(func() { close(ended) })
	operators := startServer(t, g, Options{}, func(http.ResponseWriter, *http.Request) { <-ended })
	callers := startServer(t, g, Options{ForCallers: true}, func(http.ResponseWriter, *http.Request) {})
	defer release()
	var waiting []net.Conn
	for range 3 {
		waiting = append(waiting, open(t, operators, get))
	}
	time.Sleep(2 * freshTime) // their requests are being handled
	is.Equal(status(open(t, operators, get)), 503)
	is.Equal(status(open(t, callers, get)), 200)
	release()
	for _, c := range waiting {
		is.Equal(status(c), 200)
	}
}

// TestUnstatedMemoryAllowsAllDescriptors guards against a process whose memory isn't stated, and that accepts more connections than its
// machine has memory for.
func TestUnstatedMemoryAllowsAllDescriptors(t *testing.T) {
	is := is.New(t)
	l := LimitsOf(0, 0)
	is.True(int64(l.Conns+l.OperatorConns)*bytesPerConn <= max(machineMemory()/unstatedMemoryParts, minConns*bytesPerConn))
}

// TestUnreadAnswersKeepOthersOut guards against callers that don't read a large answer, and keep out others until it can be given up.
func TestUnreadAnswersKeepOthersOut(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 1, HeadBytes: 1 << 20})
	address := startServer(t, g, Options{ForCallers: true}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 32<<20))
		}
	})
	open(t, address, strings.Replace(get, "/", "/large", 1))
	time.Sleep(stalledAfter + freshTime)
	is.Equal(status(open(t, address, get)), 200)
	is.Equal(g.Stats().ClosedUnread, int64(1))
}
