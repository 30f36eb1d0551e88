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

// linesPerSecond is the number of log lines for closed and refused connections in a second.
const linesPerSecond = 2

// Stats counts the connections of a process.
type Stats struct {
	// Open is the number of open connections, HeadBytes and StreamBytes the memory in use for heads and unread parts of streams.
	Open        int   `json:"open"`
	HeadBytes   int64 `json:"headBytes"`
	StreamBytes int64 `json:"streamBytes"`
	// Limits are the bounds of these three.
	Limits Limits `json:"limits"`
	// Refused is the number of connections that were refused since there were too many. ClosedIdle, ClosedSending, ClosedBodies and
	// ClosedUnread are the numbers of those closed in favor of others while they were idle, sending a head, sending a body, or not reading an
	// answer; ClosedReset is that of those closed because their callers had reset them. LargeHeads is the number of heads over the limit of
	// their listener, BrokenStreams that of streams broken off because their callers read too slowly.
	Refused       int64 `json:"refused"`
	ClosedIdle    int64 `json:"closedIdle"`
	ClosedSending int64 `json:"closedSending"`
	ClosedBodies  int64 `json:"closedBodies"`
	ClosedUnread  int64 `json:"closedUnread"`
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

// log logs a line on a connection, unless the line is left out by sampling.
func (g *Gate) log(message string, o *Options, tcp *net.TCPConn, keysAndValues ...any) {
	if ok, leftOut := g.lines.Allow(time.Now()); ok {
		klog.InfoS(message, append(keysAndValues, "listener", o.Name, "from", tcp.RemoteAddr().String(), "leftOut", leftOut)...)
	}
}

// connOf returns the connection of an element of a list.
func connOf(e *list.Element) *Conn {
	c, ok := e.Value.(*Conn)
	if !ok {
		panic(errors.AssertionFailedf("inbound: list holds %T", e.Value))
	}
	return c
}
