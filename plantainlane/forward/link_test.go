package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// link is a relay between the instance and an upstream, and the upstream behind it. The upstream writes one event of a stream, or
// nothing, then the link is lost; a rest that is asked for by an ID is written whole.
type link struct {
	play                 *linkPlay
	relay, upstream      *net.TCPListener
	instance, toUpstream *net.TCPConn
}

// linkPlay holds what the links of one test share.
type linkPlay struct {
	t *testing.T
	// lose ends the connection of the first send. served is the upstream's end of it.
	lose func(l *link, served *net.TCPConn)
	// begins says whether the first event is written before.
	begins bool

	mu sync.Mutex
	// sends is the number of requests that upstreams have read, lostAt when the link was lost, movedAt when the second one came.
	sends           int
	lostAt, movedAt time.Time
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// lostLinks are the ways in which the connection of a stream ends while its upstream's process lives, and may still be at work.
var lostLinks = map[string]func(l *link, served *net.TCPConn){
	"reset on both sides":                   func(l *link, _ *net.TCPConn) { reset(l.instance); reset(l.toUpstream) },
	"closed on both sides":                  func(l *link, _ *net.TCPConn) { l.instance.Close(); l.toUpstream.Close() },
	"reset towards the instance":            func(l *link, _ *net.TCPConn) { reset(l.instance) },
	"half closed towards the instance":      func(l *link, _ *net.TCPConn) { _ = l.instance.CloseWrite() },
	"reset by an upstream that lives":       func(_ *link, served *net.TCPConn) { reset(served) },
	"closed by an upstream that lives":      func(_ *link, served *net.TCPConn) { served.Close() },
	"half closed by an upstream that lives": func(_ *link, served *net.TCPConn) { _ = served.CloseWrite() },
}

// endedProcesses are the ways in which the process of an upstream ends: nothing listens at its address from then on.
var endedProcesses = map[string]func(l *link, served *net.TCPConn){
	"reset":  func(l *link, served *net.TCPConn) { l.relay.Close(); l.upstream.Close(); reset(served) },
	"closed": func(l *link, served *net.TCPConn) { l.relay.Close(); l.upstream.Close(); served.Close() },
}

// newLinkPlay adds two upstreams behind links to a harness.
func newLinkPlay(h *harness, begins bool, lose func(l *link, served *net.TCPConn)) *linkPlay {
	p := &linkPlay{t: h.t, lose: lose, begins: begins}
	for _, id := range []string{"u1", "u2"} {
		l := &link{play: p, relay: p.listen(), upstream: p.listen()}
		go acceptAll(l.upstream, l.serve)
		go acceptAll(l.relay, l.relayConn)
		h.row(id, l.relay.Addr().String())
	}
	return p
}

// listen returns a new listener.
func (p *linkPlay) listen() *net.TCPListener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { l.Close() })
	return l
}

// acceptAll calls serve with each connection to a listener.
func acceptAll(l *net.TCPListener, serve func(c *net.TCPConn)) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// relayConn relays a connection of the instance to the upstream, with its ends and resets.
func (l *link) relayConn(c *net.TCPConn) {
	defer c.Close()
	addr, ok := l.upstream.Addr().(*net.TCPAddr)
	if !ok {
		return
	}
	up, err := net.DialTCP("tcp", nil, addr)
	if err != nil {
		return
	}
	defer up.Close()
	l.play.mu.Lock()
	if l.instance == nil {
		l.instance, l.toUpstream = c, up
	}
	l.play.mu.Unlock()
	go copyAll(up, c)
	copyAll(c, up)
}

// copyAll copies what it reads, and its end or reset.
func copyAll(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		return
	}
	_ = to.CloseWrite()
}

// serve answers one request: the first that any upstream reads loses its link, the others get a whole stream.
func (l *link) serve(c *net.TCPConn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	p := l.play
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sends++
	if p.sends > 1 {
		p.movedAt = time.Now()
		_, _ = io.WriteString(c, streamHead(r)+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, r.ContentLength))
	if p.begins {
		_, _ = io.WriteString(c, streamHead(r)+chunk("id: 1\ndata: a\n\n"))
	}
	time.AfterFunc(20*time.Millisecond, func() { // what was written has arrived
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lostAt = time.Now()
		p.lose(l, c)
	})
}

// streamHead is the head of a stream in answer to a request.
func streamHead(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("X-Id"))
}

// chunk is a chunk of a stream.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// pause sends a stream and returns how long after the loss of its link it went on at the other upstream.
func (p *linkPlay) pause(h *harness) time.Duration {
	is := is.New(p.t)
	_, body, err := h.post()
	is.NoErr(err)
	want := "id: 2\ndata: b\n\n"
	if p.begins {
		want = "id: 1\ndata: a\n\n" + want
	}
	is.Equal(body, want)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(p.sends, 2)
	return p.movedAt.Sub(p.lostAt)
}

// maxWorkAfterLoss is how long an upstream works on here that looks at its connection only now and then, maxOverlap for how long of it
// its stream may go on elsewhere.
const (
	maxWorkAfterLoss = 900 * time.Millisecond
	maxOverlap       = 400 * time.Millisecond
)

// TestStreamWithLostLinkGoesOnWhileUpstreamIsAtWork guards against a stream that goes on at another upstream at once since its
// connection was reset or closed, while the first upstream, whose process lives, is at work for another 0.9 s. 0.4 s are allowed.
func TestStreamWithLostLinkGoesOnWhileUpstreamIsAtWork(t *testing.T) {
	for name, lose := range lostLinks {
		for _, begins := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", begun ", begins), func(t *testing.T) {
				t.Parallel()
				h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: 100 * time.Millisecond})
				pause := newLinkPlay(h, begins, lose).pause(h)
				if overlap := maxWorkAfterLoss - pause; overlap > maxOverlap {
					t.Errorf("went on %v after the loss, %v before the first upstream ends", pause, overlap)
				}
			})
		}
	}
}

// TestStreamOfEndedProcessWaits guards against a pause before a stream goes on whose upstream's process has ended: nobody is at work
// there.
func TestStreamOfEndedProcessWaits(t *testing.T) {
	for name, lose := range endedProcesses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{Stream: true, RetryMode: site.Resumable, MaxAttempts: 2, TargetGap: 100 * time.Millisecond})
			is.True(newLinkPlay(h, true, lose).pause(h) < maxOverlap)
		})
	}
}

// TestIdempotentRequestWaitsForEnd guards against a pause before a request that may run twice at the same time is sent again.
func TestIdempotentRequestWaitsForEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, &site.Route{RetryMode: site.Idempotent, MaxAttempts: 2})
	is.True(newLinkPlay(h, false, lostLinks["reset on both sides"]).pause(h) < maxOverlap)
}
