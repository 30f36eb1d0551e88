package inbound

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRefusals is the number of connections that are kept open at the same time until their callers have read a refusal, and
	// refusalTime is how long each of them is.
	maxRefusals = 16
	refusalTime = 300 * time.Millisecond
	// maxDiscardedBytes bounds what is read of a head that is refused.
	maxDiscardedBytes = 64 << 10
)

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

// busyAnswer is the answer to requests that can't be read. They haven't run.
const busyAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuse answers on a connection without reading its request, and closes it.
func (g *Gate) refuse(tcp *net.TCPConn) {
	g.closeAfter(tcp, func() { answerUnread(tcp, busyAnswer) })
}

// closeAfter closes a connection after a last exchange with its caller, which takes a moment, or at once if there are too many of these.
func (g *Gate) closeAfter(tcp *net.TCPConn, exchange func()) {
	select {
	case g.refusals <- struct{}{}:
	default:
		_ = tcp.Close()
		return
	}
	go func() {
		defer func() { <-g.refusals }()
		exchange()
		_ = tcp.Close()
	}()
}

// answerUnread writes an answer to a request that isn't read.
func answerUnread(tcp *net.TCPConn, answer string) {
	if tcp.SetWriteDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := io.WriteString(tcp, answer); err == nil {
		readUnsent(tcp)
	}
}

// readUnsent ends the answer on a connection, and reads what the caller still sends for a moment: unread data would turn the end of the
// connection into a reset, which overtakes the answer.
func readUnsent(tcp *net.TCPConn) {
	if tcp.SetReadDeadline(time.Now().Add(refusalTime)) == nil && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(tcp, maxDiscardedBytes))
	}
}
