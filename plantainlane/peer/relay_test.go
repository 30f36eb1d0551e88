package peer

import (
	"net"
	"sync/atomic"
	"testing"
)

// relay is a TCP proxy between clients and a server. It can drop all data in either direction while it keeps the
// connections open, like a network path that has lost the state of a connection.
type relay struct {
	address string
	// dropToServer and dropToClient are set for the directions in which data is dropped.
	dropToServer, dropToClient atomic.Bool
	// accepted is the number of accepted connections. Data is dropped only on the first dropUpTo of them.
	accepted, dropUpTo atomic.Int64
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
			go r.copyBytes(s, c, n, &r.dropToServer)
			go r.copyBytes(c, s, n, &r.dropToClient)
		}
	}()
	return r
}

// dropData starts to drop all data in the given directions of the connections accepted so far. Later connections are
// not affected.
func (r *relay) dropData(toServer, toClient bool) {
	r.dropUpTo.Store(r.accepted.Load())
	r.dropToServer.Store(toServer)
	r.dropToClient.Store(toClient)
}

// copyBytes copies the data in one direction of the connection number n, counted from 1. While drop is set, it drops
// the data if the connection is one of the first dropUpTo.
func (r *relay) copyBytes(to, from net.Conn, n int64, drop *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		if drop.Load() && n <= r.dropUpTo.Load() {
			continue // neither end sees an error
		}
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}
