package forward

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

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/site"
)

// gateHarness returns a harness whose listener is one of a gate, as those of instances are.
func gateHarness(t *testing.T, r *site.Route) (*harness, *inbound.Gate) {
	h := newHarness(t, r)
	h.listener.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := inbound.NewGate(inbound.LimitsOf(0, 0))
	h.listener = httptest.NewUnstartedServer(h.server)
	h.listener.Listener.Close()
	h.listener.Listener = g.Listen(l.(*net.TCPListener), inbound.Options{ForCallers: true})
	h.listener.Config.ConnState, h.listener.Config.ConnContext = g.ConnState, inbound.ConnContext
	h.listener.Start()
	t.Cleanup(h.listener.Close)
	return h, g
}

// postUnread sends a caller's request and reads nothing of the answer.
func (h *harness) postUnread() net.Conn {
	c, err := net.Dial("tcp", h.listener.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	fmt.Fprint(c, "POST /x/y HTTP/1.1\r\nHost: a.example\r\nX-Id: id1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	return c
}

// TestSlowReaderStopsUpstream guards against a stream that isn't read from its upstream while its caller doesn't read, and against a
// caller that gets less than the whole stream when it reads again.
func TestSlowReaderStopsUpstream(t *testing.T) {
	is := is.New(t)
	h, g := gateHarness(t, &site.Route{Stream: true, Timeout: 20 * time.Second})
	event := "data: " + strings.Repeat("x", 900) + "\n\n"
	const count = 1100
	ended := make(chan struct{})
	h.listen(func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		// The kernel of the upstream holds little of the stream.
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(4 << 10)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Signed: yes\r\nContent-Length: %d\r\n\r\n", count*len(event))
		for range count {
			_, _ = io.WriteString(c, event)
		}
		close(ended)
	}, "u")
	c := h.postUnread()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the stream isn't read")
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(got), event), count)
	is.Equal(g.Stats().StreamBytes, int64(0))
}

// TestSlowReadersTakeAnswers guards against callers that don't read their answers and take the memory for those of others.
func TestSlowReadersTakeAnswers(t *testing.T) {
	is := is.New(t)
	h, _ := gateHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second})
	const size = 8 << 20
	memory := exchange.NewMemory(3 * size)
	memory.MakeRoom = h.server.BreakOffSlowAnswers
	h.server.Client.Pool.Memory = memory
	h.upstream("u", func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size))
	})
	for range 3 {
		h.postUnread()
	}
	for deadline := time.Now().Add(10 * time.Second); h.totalArrivals() < 3 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(slowAfter + 500*time.Millisecond)
	res, body, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.Equal(len(body), size)
}

// TestUpstreamHoldsTooMuch guards against an upstream that is ended by the requests that one instance has under way there: those over the
// bound are sent to another one, and refused as not run if there is none.
func TestUpstreamHoldsTooMuch(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.AtMostOnce, MaxAttempts: 1, Timeout: 20 * time.Second})
	h.site.Limits.BodyBytes = maxUpstreamBytes
	h.server.Bodies = exchange.NewMemory(1 << 30)
	h.body = strings.Repeat("x", maxUpstreamBytes/2)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	serve := func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		<-release
	}
	h.upstream("u1", serve)
	h.upstream("u2", serve)
	var all sync.WaitGroup
	statuses := make(chan int, 4)
	for range 4 {
		all.Go(func() {
			if res, _, err := h.post(); err == nil {
				statuses <- res.StatusCode
			}
		})
	}
	for deadline := time.Now().Add(10 * time.Second); h.totalArrivals() < 4 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal([]int{h.arrivalsAt("u1"), h.arrivalsAt("u2")}, []int{2, 2})
	h.body = "small"
	res, body, err := h.post()
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(body, errUpstreamFull.Error())
	free()
	all.Wait()
	close(statuses)
	for status := range statuses {
		is.Equal(status, http.StatusOK)
	}
}
