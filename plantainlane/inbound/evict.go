package inbound

import (
	"container/list"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// freshTime is the time within which an ordinary caller has sent its head, or a block of its body. A connection that takes longer may be
	// closed in favor of others.
	freshTime = 100 * time.Millisecond
	// minWait is the least pause between two attempts to admit a connection while there are new ones only.
	minWait = time.Millisecond
	// crowdedTime is how long each answer ends its connection after a connection was closed or refused because there are too many.
	crowdedTime = time.Second
	// resetInterval is the least time between two searches for connections that their callers have reset.
	resetInterval = 5 * time.Millisecond
)

// evict closes a connection in favor of another one. It takes those that their callers have reset, or else the first one of:
//
//   - the one that has been sending a head for the longest time, if that is more than freshTime,
//   - the one that has been idle for the longest time,
//   - the one that has been sending a block of a body for the longest time, if that is more than freshTime,
//   - the one whose caller has read nothing of its answer for the longest time, if that is more than stalledAfter.
//
// If there are only newer ones that send, evict returns the time after which to call it again. It returns errFull if the requests of all are
// being handled. The caller holds mu.
func (g *Gate) evict(now time.Time) (wait time.Duration, err error) {
	g.crowdedUntil.Store(now.Add(crowdedTime).UnixNano())
	if g.closeReset(now) {
		return 0, nil
	}
	headWait, bodyWait := waitForFront(g.sending, now, freshTime), waitForFront(g.bodies, now, freshTime)
	unreadWait := waitForFront(g.unread, now, stalledAfter)
	switch {
	case headWait <= 0:
		g.stats.ClosedSending++
		g.closeConn(connOf(g.sending.Front()), "sending a head")
	case g.idle.Len() > 0:
		g.stats.ClosedIdle++
		g.closeConn(connOf(g.idle.Front()), "idle")
	case bodyWait <= 0:
		g.stats.ClosedBodies++
		g.closeConn(connOf(g.bodies.Front()), "sending a body")
	case unreadWait <= 0:
		g.stats.ClosedUnread++
		g.closeConn(connOf(g.unread.Front()), "not reading an answer")
	case g.sending.Len()+g.bodies.Len() > 0:
		return max(min(headWait, bodyWait, resetInterval), minWait), nil
	default:
		return 0, errFull
	}
	return 0, nil
}

// isCrowded reports whether a connection was closed or refused within crowdedTime because there are too many.
func (g *Gate) isCrowded(now time.Time) bool { return now.UnixNano() < g.crowdedUntil.Load() }

// waitForFront returns the time until the connection in front of a list has been there for limit; limit if the list is empty.
func waitForFront(l *list.List, now time.Time, limit time.Duration) time.Duration {
	if l.Len() == 0 {
		return limit
	}
	return limit - now.Sub(connOf(l.Front()).since)
}

// closeReset closes the connections that their callers have reset while they were sending a head, and reports whether there were any. Their
// goroutines may be waiting for the rate of large heads, and don't learn of the reset until they read again. The caller holds mu.
func (g *Gate) closeReset(now time.Time) bool {
	if now.Sub(g.resetsSoughtAt) < resetInterval {
		return false
	}
	g.resetsSoughtAt = now
	conns := make([]*Conn, 0, g.sending.Len())
	for e := g.sending.Front(); e != nil; e = e.Next() {
		conns = append(conns, connOf(e))
	}
	// A connection in a list isn't closed yet, so its descriptor is its own.
	resets := findReset(conns)
	for _, c := range resets {
		g.remove(c)
		_ = c.TCPConn.Close()
	}
	g.stats.ClosedReset += int64(len(resets))
	return len(resets) > 0
}

// findReset returns the connections that their callers have reset.
func findReset(conns []*Conn) []*Conn {
	polled := make([]unix.PollFd, len(conns))
	for i, c := range conns {
		polled[i].Fd = c.fd
	}
	if _, err := unix.Poll(polled, 0); err != nil {
		klog.V(1).InfoS("connections that were reset not found", "err", err)
		return nil
	}
	var out []*Conn
	for i, p := range polled {
		if p.Revents&(unix.POLLERR|unix.POLLHUP) != 0 {
			out = append(out, conns[i])
		}
	}
	return out
}
