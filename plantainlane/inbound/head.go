package inbound

import "time"

const (
	// freeHeadBytes is the size up to which a head is part of bytesPerConn. It is the size of the HTTP server's buffer.
	freeHeadBytes = 4 << 10
	// headCopies is the memory that a larger head takes while it is read, as a multiple of its size, since lines grow by copies;
	// readHeadCopies is that of a head that was read.
	headCopies, readHeadCopies = 4, 2
	// freeHeadLines is the number of lines up to which a head is part of bytesPerConn, lineBytes what an entry of a further line takes
	// while the list of entries grows by copies, and readLineBytes afterwards.
	freeHeadLines, lineBytes, readLineBytes = 100, 96, 32
	// Large heads are read at a rate of the memory for heads in a second, minHeadRate at least, after a burst of paceBurst. Without it, the
	// garbage of heads that are refused grows faster than it is collected. A read waits at most maxPace.
	minHeadRate = 4 << 20
	paceBurst   = time.Second
	maxPace     = time.Second
)

// largeHeadAnswer is the answer to a request with a head over the limit.
const largeHeadAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

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
