package instance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/engine"
	"plantainlane/wire"
)

// exportTwice serves a connection to an engine: it answers each export with a handle named after the attempt, and sends a late copy of
// the answer before in front of it.
func exportTwice(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	last := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		var e wire.KVExportRequest
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
			return
		}
		body, err := json.Marshal(wire.KVHandle{Export: "of " + e.Attempt})
		if err != nil {
			return
		}
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		_, _ = io.WriteString(c, last+own)
		last = own
	}
}

// TestCopyOfExportAnswersNextExport guards against a late copy of an engine's answer that is taken for the answer to the next call: a
// stream would go on from the KV cache of another request. Nothing in an export, an order or a state says which call it answers.
func TestCopyOfExportAnswersNextExport(t *testing.T) {
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
			go exportTwice(c)
		}
	}()
	fleet := engine.NewFleet(time.Now(), newEngineClient())
	for _, attempt := range []string{"a1", "a2", "a3"} {
		h, err := fleet.Export(t.Context(), l.Addr().String(), attempt)
		is.NoErr(err)
		is.Equal(h.Export, "of "+attempt)
	}
}
