package exchange

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// maxAllocated is the memory that an answer without end may take from the system, beside the body that is allowed.
const maxAllocated = 4 << 20

// endless are answers that never end: a start, and a part that is repeated until the connection is closed.
var endless = map[string]struct{ start, repeated string }{
	"status line":            {"HTTP/1.1 200 ", "x"},
	"no answer":              {"", "garbage "},
	"header line":            {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header lines":           {"HTTP/1.1 200 OK\r\n", "X-Many: 1\r\n"},
	"informational answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	"informational headers":  {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
	"body until close":       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"body with a length":     {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", "x"},
	"body in chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk size":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x"},
	"chunks with extensions": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("a", 1000) + "\r\nx\r\n"},
	"trailer line":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\nT: ", "x"},
	"trailer lines":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\n", "T: 1\r\n"},
}

// serveEndless answers each connection to the returned address with an answer that never ends, until it is closed.
func serveEndless(t *testing.T, start, repeated string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 1000))
				_, err := io.WriteString(c, start)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestEndlessAnswerTakesMemory guards against an answer without end that takes memory without bound, or keeps the
// connection and the request until the request's deadline.
func TestEndlessAnswerTakesMemory(t *testing.T) {
	const maxBody = 100 << 10
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveEndless(t, e.start, e.repeated)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			_, err := NewPool(time.Minute).RoundTrip(ctx, address, &Request{Method: "GET", Target: "/", Host: "u"}, maxBody)
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(time.Since(started) < time.Second)
			is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
		})
	}
}

// TestEndlessBodiesTakeMemoryTogether guards against many answers without end, each within the bound of one answer, that
// take more memory together than an instance has.
func TestEndlessBodiesTakeMemoryTogether(t *testing.T) {
	is := is.New(t)
	address := serveEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	pool := NewPool(time.Minute)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	const requests = 40
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	done := make(chan error, requests)
	for range requests {
		go func() {
			_, err := pool.RoundTrip(ctx, address, &Request{Method: "GET", Target: "/", Host: "u"}, 16<<20)
			done <- err
		}()
	}
	for range requests {
		is.True(<-done != nil)
	}
	runtime.ReadMemStats(&after)
	is.True(int64(after.HeapSys)-int64(before.HeapSys) < 4*AnswerBytes)
}

// TestLargeBodyIsRefusedAlone guards against a body that is refused for the memory of others though there are none, because its parts and the
// whole take more together than there is. A second one is refused while the first is held.
func TestLargeBodyIsRefusedAlone(t *testing.T) {
	is := is.New(t)
	const size = 3 << 20
	m := NewMemory(4 << 20)
	first := m.Reserve()
	body, err := first.ReadAll(strings.NewReader(strings.Repeat("b", size)), size)
	is.NoErr(err)
	is.Equal(len(body), size)
	second := m.Reserve()
	_, err = second.ReadAll(strings.NewReader(strings.Repeat("b", size)), size)
	is.True(errors.Is(err, ErrNoMemory))
	first.Release()
	second.Release()
	_, err = m.ReadAll(strings.NewReader(strings.Repeat("b", size)), size)
	is.NoErr(err)
}
