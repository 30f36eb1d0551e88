package forward

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// endlessly sends the head of an answer and then repeats a text until the connection is closed.
func endlessly(head, repeated string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, err = c.Write([]byte(strings.ReplaceAll(head, "ID", r.Header.Get("X-Id"))))
		writeUntilClosed(c, repeated, err)
	}
}

func writeUntilClosed(c net.Conn, repeated string, err error) {
	block := []byte(strings.Repeat(repeated, 1+(32<<10)/len(repeated)))
	for err == nil {
		_, err = c.Write(block)
	}
}

// TestEndlessAnswerHoldsRequest guards against an answer without end that takes an instance's memory, or holds a request
// that another upstream could answer.
func TestEndlessAnswerHoldsRequest(t *testing.T) {
	const signed = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	for name, c := range map[string]struct {
		stream         bool
		head, repeated string
	}{
		"no answer":              {false, "", "garbage"},
		"header line":            {false, signed + "X-Long: ", "x"},
		"body":                   {false, signed + "\r\n", "x"},
		"body without signature": {false, "HTTP/1.1 200 OK\r\n\r\n", "x"},
		"other request's body":   {false, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: yes\r\n\r\n", "x"},
		"refusal":                {false, "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: yes\r\n\r\n", "x"},
		"event line":             {true, signed + "\r\n", "x"},
		"event lines":            {true, signed + "\r\n", "data: x\n"},
		"empty lines":            {true, signed + "\r\n", "\n"},
		"lines behind an ID":     {true, signed + "\r\nid: 1\n\n", "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{MaxAttempts: 2, RetryMode: site.Resumable, Stream: c.stream, Timeout: 10 * time.Second, TargetLatency: 5 * time.Second})
			h.upstream("bad", endlessly(c.head, c.repeated))
			h.upstream("good", func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = w.Write([]byte("data: whole\n\n"))
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			started := time.Now()
			for h.arrivalsAt("bad") == 0 {
				res, body, err := h.post()
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusOK)
				is.Equal(body, "data: whole\n\n")
			}
			runtime.ReadMemStats(&after)
			is.True(time.Since(started) < 2*time.Second)
			is.True(int64(after.HeapSys)-int64(before.HeapSys) < 100<<20)
		})
	}
}

// arrivalsAt returns the number of requests that an upstream received.
func (h *harness) arrivalsAt(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrivals[id]
}
