package peer

import (
	"net"
	"sync/atomic"
	"testing"
)

// relay passes bytes between a client and a server until a direction is frozen. A frozen direction neither
// passes bytes nor closes, like a path that lost track of the connection.
type relay struct {
	address string
	// frozen holds, for each accepted connection in turn, what is frozen of it.
	toServer, toClient atomic.Bool
	// first limits the freezing to connections accepted before it was set.
	accepted, frozenUpTo atomic.Int64
}

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
			go r.pass(s, c, n, &r.toServer)
			go r.pass(c, s, n, &r.toClient)
		}
	}()
	return r
}

// freeze stops the given directions of the connections that are open now.
func (r *relay) freeze(toServer, toClient bool) {
	r.frozenUpTo.Store(r.accepted.Load())
	r.toServer.Store(toServer)
	r.toClient.Store(toClient)
}

func (r *relay) pass(to, from net.Conn, n int64, frozen *atomic.Bool) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		if err != nil {
			return
		}
		if frozen.Load() && n <= r.frozenUpTo.Load() {
			// The bytes are lost, and neither end is told.
			continue
		}
		if _, err := to.Write(buf[:k]); err != nil {
			return
		}
	}
}
