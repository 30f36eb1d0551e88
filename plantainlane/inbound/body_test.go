package inbound

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// TestRequestOfClosedConnectionRuns guards against a request that runs though its connection was closed in favor of another one, just after
// its head or the end of its body had arrived.
func TestRequestOfClosedConnectionRuns(t *testing.T) {
	is := is.New(t)
	g := NewGate(Limits{Conns: 1, HeadBytes: 1 << 20})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer tcp.Close()
	open(t, tcp.Addr().String(), "")
	accepted, err := g.Listen(tcp.(*net.TCPListener), Options{ForCallers: true}).Accept()
	is.NoErr(err)
	c := accepted.(*Conn)
	c.enterList(g.bodies)
	is.NoErr(c.Close())
	_, err = io.ReadAll(&requestBody{ReadCloser: io.NopCloser(strings.NewReader("body")), conn: c})
	is.True(errors.Is(err, net.ErrClosed))
	defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	handler := Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request has run") }), time.Minute)
	handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(ConnContext(t.Context(), c)))
}
