package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
)

// TestAnswerResetDuringCallLooksComplete guards against a part of an answer without a length that counts as whole because its connection
// was reset while the call was still being written.
func TestAnswerResetDuringCallLooksComplete(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp, ok := c.(*net.TCPConn)
			if !ok || tcp.SetReadBuffer(4<<10) != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", HeaderAttempt, r.Header.Get(HeaderAttempt))
			}
			time.Sleep(100 * time.Millisecond)
			_ = tcp.SetLinger(0)
			c.Close()
		}
	}()
	for range 5 {
		_, err = NewClient(1, quota.NewGate(nil)).Do(t.Context(), Call{Peer: quota.Peer{Address: l.Addr().String()}, Path: "/", Attempt: "a", Body: make([]byte, 12<<20)})
		t.Log(err)
		is.True(err != nil)
	}
}
