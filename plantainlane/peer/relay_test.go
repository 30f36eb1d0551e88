package peer

import (
	"net"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy between clients and a server. Either direction can be frozen: it then drops all bytes but keeps
// the connections open, like a network path that has lost the state of a connection.
type relay struct {
	address string
	// freezeToServer and freezeToClient are set for the directions that are frozen.
	freezeToServer, freezeToClient atomic.Bool
	// accepted is the number of accepted connections. Only the first frozenUpTo of them are frozen.
	accepted, frozenUpTo atomic.Int64
}

// newRelay starts a relay to the server at an address.
func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &relay{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp", server)
			if err != nil {
				c.Close()
				continue
			}
			n := r.accepted.Add(1)
			go r.copyBytes(s, c, n, &r.freezeToServer)
			go r.copyBytes(c, s, n, &r.freezeToClient)
		}
	}()
	return r
}

// freeze freezes the given directions of all connections accepted so far. Later connections are not frozen.
func (r *relay) freeze(toServer, toClient bool) {
	r.frozenUpTo.Store(r.accepted.Load())
	r.freezeToServer.Store(toServer)
	r.freezeToClient.Store(toClient)
}

// copyBytes copies data in one direction of the connection number n, and drops it while the direction is frozen.
func (r *relay) copyBytes(to, from net.Conn, n int64, frozen *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		if frozen.Load() && n <= r.frozenUpTo.Load() {
			// Drop the bytes without an error at either end.
			continue
		}
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}
