package inbound

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/logs"
)

const (
	// freshTime is the time within which an ordinary caller has sent its head, or a block of its body. A connection that takes longer may be
	// closed in favor of others.
	freshTime = 100 * time.Millisecond
	// minWait is the least pause between two attempts to admit a connection while there are new ones only.
	minWait = time.Millisecond
	// Large heads are read at a rate of the memory for heads in a second, minHeadRate at least, after a burst of paceBurst. Without it, the
	// garbage of heads that are refused grows faster than it is collected. A read waits at most maxPace.
	minHeadRate = 4 << 20
	paceBurst   = time.Second
	maxPace     = time.Second
	// maxRefusals is the number of connections that are kept open at the same time until their callers have read a refusal, and
	// refusalTime is how long each of them is.
	maxRefusals = 16
	refusalTime = 300 * time.Millisecond
	// linesPerSecond is the number of log lines for closed and refused connections in a second.
	linesPerSecond = 2
)

// Stats counts the connections of a process.
type Stats struct {
	// Open is the number of open connections, HeadBytes and StreamBytes the memory in use for heads and unread parts of streams.
	Open        int   `json:"open"`
	HeadBytes   int64 `json:"headBytes"`
	StreamBytes int64 `json:"streamBytes"`
	// Limits are the bounds of these three.
	Limits Limits `json:"limits"`
	// Refused is the number of connections that were refused since there were too many. ClosedIdle, ClosedSending and ClosedBodies are the
	// numbers of those closed in favor of others while they were idle, sending a head, or sending a body. LargeHeads is the number of heads
	// over the limit of their listener, BrokenStreams that of streams broken off because their callers read too slowly.
	Refused       int64 `json:"refused"`
	ClosedIdle    int64 `json:"closedIdle"`
	ClosedSending int64 `json:"closedSending"`
	ClosedBodies  int64 `json:"closedBodies"`
	// ClosedUnread is the number of connections closed in favor of others while their callers didn't read an answer.
	ClosedUnread int64 `json:"closedUnread"`
	// ClosedReset is the number of connections that their callers had reset, and that were closed to make room.
	ClosedReset   int64 `json:"closedReset"`
	LargeHeads    int64 `json:"largeHeads"`
	BrokenStreams int64 `json:"brokenStreams"`
}

// Gate holds the connections of all listeners of a process within its limits. It is safe for concurrent use.
type Gate struct {
	limits   Limits
	lines    logs.Sampler
	refusals chan struct{}
	refused  atomic.Int64
	// crowdedUntil is when the gate stops ending connections with their answers, in nanoseconds since the epoch.
	crowdedUntil atomic.Int64

	// admission is held by the listener that waits for room, so that room goes to the listeners in the order in which they wait.
	admission sync.Mutex

	mu sync.Mutex
	// listeners are all listeners that were opened.
	listeners []*listener
	// stats are the counters but for Limits and Refused.
	stats Stats
	// sending holds the connections without a whole head by the time since when, bodies those whose body is being received by the time of
	// the last block, unread those whose callers don't read an answer by the time of the last progress, idle those that wait for a further
	// request, and large those of sending that have memory for heads. The longest is in front.
	sending, bodies, unread, idle, large *list.List
	// resetsSoughtAt is when connections that their callers have reset were last searched for.
	resetsSoughtAt time.Time
	// pacedUntil is the time until which the large heads that were read take at their rate.
	pacedUntil time.Time
	// streams holds the streams with unread parts.
	streams map[*Stream]struct{}
}

// NewGate returns a gate without connections.
func NewGate(l Limits) *Gate {
	return &Gate{
		limits: l, lines: logs.Sampler{PerSecond: linesPerSecond}, refusals: make(chan struct{}, maxRefusals),
		sending: list.New(), bodies: list.New(), unread: list.New(), idle: list.New(), large: list.New(), streams: make(map[*Stream]struct{}),
	}
}

// Stats returns the current counters.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stats
	s.Limits, s.Refused = g.limits, g.refused.Load()
	return s
}

// Listen returns a listener whose connections count towards the limits of the gate. The server that accepts them must call ConnState.
func (g *Gate) Listen(tcp *net.TCPListener, o Options) net.Listener {
	l := &listener{TCPListener: tcp, gate: g, options: o}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// listener is a listener of a gate.
type listener struct {
	*net.TCPListener
	gate    *Gate
	options Options
	// open is the number of open connections that aren't hijacked. The gate's mu guards it.
	open int
}

// Accept returns the next connection that the limits allow, and refuses those before it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c, err := newConn(tcp, l)
		if err != nil {
			l.gate.log("connection not set up", &l.options, tcp, "err", err)
			_ = tcp.Close()
			continue
		}
		switch err := l.gate.waitForRoom(c); {
		case err == nil:
			return c, nil
		case errors.Is(err, errReset):
			_ = tcp.Close()
			continue
		}
		l.gate.refused.Add(1)
		l.gate.log("connection refused", &l.options, tcp)
		l.gate.refuse(tcp)
	}
}

var (
	// errFull reports that there are too many connections, all with requests.
	errFull = errors.New("inbound: too many connections with requests")
	// errReset reports a connection that its caller has reset.
	errReset = errors.New("inbound: connection reset by its caller")
)

// waitForRoom admits a connection once the limits allow it. It returns errFull or errReset if it isn't admitted.
func (g *Gate) waitForRoom(c *Conn) error {
	if g.admitReserved(c) {
		return nil
	}
	g.admission.Lock()
	defer g.admission.Unlock()
	for {
		wait, err := g.admit(c)
		if wait == 0 {
			return err
		}
		time.Sleep(wait)
	}
}

// admitReserved adds a connection if its listener has fewer than are reserved for it.
func (g *Gate) admitReserved(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.listener.open >= g.limits.ReservedConns {
		return false
	}
	g.add(c, time.Now())
	return true
}

// admit adds a connection, and closes another one if there are too many. If all others are new ones, it returns the time after which it
// is to be called again.
func (g *Gate) admit(c *Conn) (wait time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.stats.Open >= g.limitFor(c.listener) {
		if len(findReset([]*Conn{c})) > 0 {
			return 0, errReset
		}
		if wait, err := g.evict(now); wait > 0 || err != nil {
			return wait, err
		}
	}
	g.add(c, now)
	return 0, nil
}

// limitFor returns the number of open connections at which a listener accepts no others: the limit less what is reserved for the other
// listeners and not in use. The caller holds mu.
func (g *Gate) limitFor(l *listener) int {
	limit := g.limits.Conns
	if !l.options.ForCallers {
		limit += g.limits.OperatorConns
	}
	for _, other := range g.listeners {
		if other != l {
			limit -= max(g.limits.ReservedConns-other.open, 0)
		}
	}
	return limit
}

// add adds a connection. The caller holds mu.
func (g *Gate) add(c *Conn, now time.Time) {
	g.stats.Open++
	c.listener.open++
	c.place(g.sending, now)
}

// refuseHead moves a connection that is refused because of its head to those that are closed first.
func (g *Gate) refuseHead(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isRemoved {
		return
	}
	g.freeHead(c, 0)
	c.leave()
	c.list, c.at, c.since = g.sending, g.sending.PushFront(c), time.Time{}
}

// freeHead lowers the memory that a connection's head counts for to bytes. The caller holds mu.
func (g *Gate) freeHead(c *Conn, bytes int64) {
	bytes = min(bytes, c.headBytes)
	g.stats.HeadBytes -= c.headBytes - bytes
	c.headBytes = bytes
}

// closeConn closes a connection in favor of another one. The caller holds mu.
func (g *Gate) closeConn(c *Conn, state string) {
	g.log("connection closed in favor of another one", c.options, c.TCPConn, "state", state, "for", time.Since(c.since).Round(time.Millisecond))
	g.remove(c)
	_ = c.TCPConn.Close()
}

// remove ends the accounting of a connection. The caller holds mu.
func (g *Gate) remove(c *Conn) {
	if c.isRemoved {
		return
	}
	c.isRemoved = true
	close(c.removed)
	g.stats.Open--
	if !c.isHijacked.Load() {
		c.listener.open--
	}
	c.leave()
	g.freeHead(c, 0)
}

// ConnState follows the states of the connections of an HTTP server, as its field of this name.
func (g *Gate) ConnState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.isRemoved {
		return
	}
	switch s {
	case http.StateActive, http.StateHijacked:
		c.leave()
		if s == http.StateHijacked {
			c.isHijacked.Store(true)
			c.listener.open--
		}
		g.freeHead(c, int64(max(c.received-freeHeadBytes, 0)*readHeadCopies+max(c.lines-freeHeadLines, 0)*readLineBytes))
	case http.StateIdle:
		g.freeHead(c, 0)
		c.received, c.lines, c.isBodyLeft = 0, 0, false
		c.place(g.idle, time.Now())
	case http.StateClosed:
		g.remove(c)
	case http.StateNew:
	}
}

// growHead adds n bytes with a number of lines to the head that a connection is sending. It returns ErrLargeHead if the head is larger
// than its listener allows, and ErrNoMemory if there is no memory for it beside other requests; otherwise the time for which the rest of
// the head must wait.
func (g *Gate) growHead(c *Conn, n, lines int) (wait time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.list != g.sending && c.list != g.idle {
		return 0, nil // closed, or its head was read
	}
	now := time.Now()
	if c.list == g.idle {
		c.place(g.sending, now)
	}
	c.received += n
	c.lines += lines
	more := int64(max(c.received-freeHeadBytes, 0))*headCopies + int64(max(c.lines-freeHeadLines, 0))*lineBytes - c.headBytes
	if more <= 0 {
		return 0, nil
	}
	if limit := c.options.headLimit(); limit > 0 && c.received > limit {
		g.stats.LargeHeads++
		return 0, ErrLargeHead
	}
	if c.largeAt == nil {
		c.largeAt = g.large.PushBack(c)
	}
	for g.stats.HeadBytes+more > g.limits.HeadBytes && g.stats.HeadBytes > c.headBytes {
		oldest := connOf(g.large.Front())
		if oldest == c {
			g.stats.ClosedSending++
			return 0, ErrNoMemory
		}
		g.stats.ClosedSending++
		g.closeConn(oldest, "sending a large head")
	}
	c.headBytes += more
	g.stats.HeadBytes += more
	return g.pace(n, now), nil
}

// pace counts n bytes of large heads, and returns the time after which they may be followed by others. The caller holds mu.
func (g *Gate) pace(n int, now time.Time) time.Duration {
	perSecond := max(g.limits.HeadBytes, minHeadRate)
	if start := now.Add(-paceBurst); g.pacedUntil.Before(start) {
		g.pacedUntil = start
	}
	g.pacedUntil = g.pacedUntil.Add(time.Duration(int64(n) * int64(time.Second) / perSecond))
	return min(g.pacedUntil.Sub(now), maxPace)
}

// log logs a line on a connection, unless the line is left out by sampling.
func (g *Gate) log(message string, o *Options, tcp *net.TCPConn, keysAndValues ...any) {
	if ok, leftOut := g.lines.Allow(time.Now()); ok {
		klog.InfoS(message, append(keysAndValues, "listener", o.Name, "from", tcp.RemoteAddr().String(), "leftOut", leftOut)...)
	}
}

// busyAnswer is the answer to requests that can't be read. They haven't run.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers on a connection without reading its request, and closes it.
func (g *Gate) refuse(tcp *net.TCPConn) {
	select {
	case g.refusals <- struct{}{}:
	default:
		_ = tcp.Close()
		return
	}
	go func() {
		defer func() { <-g.refusals }()
		answerUnread(tcp, busyAnswer)
		_ = tcp.Close()
	}()
}

// connOf returns the connection of an element of a list.
func connOf(e *list.Element) *Conn {
	c, ok := e.Value.(*Conn)
	if !ok {
		panic(errors.AssertionFailedf("inbound: list holds %T", e.Value))
	}
	return c
}
