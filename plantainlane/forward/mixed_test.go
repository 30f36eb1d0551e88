package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// resetUpload reads the head of a request, answers without a length, and resets the connection before it has read the body.
func resetUpload(body string) func(c net.Conn) {
	return func(c net.Conn) {
		tcp, ok := c.(*net.TCPConn)
		if !ok || tcp.SetReadBuffer(4<<10) != nil {
			return
		}
		// One read, so that the kernel holds the rest of the body and the writer waits.
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: yes\r\n\r\n%s", r.Header.Get("X-Id"), body)
		time.Sleep(100 * time.Millisecond)
		_ = tcp.SetLinger(0)
	}
}

// TestAnswerResetDuringUploadLooksComplete guards against a part of an answer without a length that reaches the caller as a whole one
// because its connection was reset while the request was still being written: the failed write takes the error of the reset, and the
// answer then seems to end cleanly.
func TestAnswerResetDuringUploadLooksComplete(t *testing.T) {
	for name, stream := range map[string]bool{"answer": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{MaxAttempts: 1, RetryMode: site.AtMostOnce, Stream: stream})
			h.site.Limits.BodyBytes = 16 << 20
			h.body = strings.Repeat("x", 12<<20)
			h.listen(resetUpload("id: 1\ndata: part\n\n"), "u")
			for range 3 {
				res, body, err := h.post()
				t.Logf("%v, %.80q, %v", res, body, err)
				is.True(err != nil || res.StatusCode >= http.StatusBadRequest)
			}
		})
	}
}

// TestAnswerWithoutHTTPStatusIsForwarded guards against answers with a status that no HTTP answer has, which callers can't read.
func TestAnswerWithoutHTTPStatusIsForwarded(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprint(status, stream), func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, &site.Route{MaxAttempts: 1, RetryMode: site.AtMostOnce, Stream: stream})
				h.listen(func(c net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					head := "X-Id: " + r.Header.Get("X-Id") + "\r\nX-Signed: yes\r\n"
					// What follows is another answer, if the first one counts as informational.
					fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\n%s\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\nodd\n", status, head, head)
				}, "u")
				res, body, err := h.post()
				t.Logf("%v, %.80q, %v", res, body, err)
				is.NoErr(err)
				is.Equal(res.StatusCode, http.StatusBadGateway)
			})
		}
	}
}
