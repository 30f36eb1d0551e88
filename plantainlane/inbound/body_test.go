package inbound

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unendedBody is a request whose body has no end.
const unendedBody = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"

// TestUnreadBodyDelaysAnswer guards against an answer that waits for a body which its handler doesn't need, and against connections on
// which a body without end keeps the server.
func TestUnreadBodyDelaysAnswer(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 4, HeadBytes: 1 << 20})
	address := startServer(t, g, Options{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	caller := open(t, address, unendedBody)
	is.Equal(status(caller), http.StatusUnauthorized)
	_, err := io.Copy(io.Discard, caller)
	is.NoErr(err) // closed without a reset
	is.Equal(g.Stats().Open, 0)
}

// TestUnendedBodiesKeepOthersOut guards against callers that send no end of a body, and keep out others with whole requests.
func TestUnendedBodiesKeepOthersOut(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 2, HeadBytes: 1 << 20})
	address := startServer(t, g, Options{ForCallers: true}, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	var held []net.Conn
	for range 2 {
		held = append(held, open(t, address, unendedBody))
	}
	time.Sleep(2 * freshTime)
	is.Equal(status(open(t, address, get)), http.StatusOK)
	is.Equal(status(held[0]), 0)
	is.Equal(g.Stats().ClosedBodies, int64(1))
}
