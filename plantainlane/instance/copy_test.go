package instance

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/plantainlane/engine"
	"plantainlane/plantainlane/order"
	"plantainlane/wire"
)

// laggingEngine starts an engine that sends a late copy of the answer before in front of each answer on a connection. answer returns the
// answer to a request.
func laggingEngine(t *testing.T, answer func(r *http.Request) (any, error)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	serve := func(c net.Conn) error {
		defer c.Close()
		in := bufio.NewReader(c)
		for last := ""; ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return err
			}
			a, err := answer(r)
			if err != nil {
				return err
			}
			body, err := json.Marshal(a)
			if err != nil {
				return err
			}
			own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(c, last+own)
			last = own
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _ = serve(c) }()
		}
	}()
	return l.Addr().String()
}

// TestCopyOfExportAnswersNextExport guards against a late copy of an engine's answer that is taken for the answer to the next call: a
// stream would go on from the KV cache of another request.
func TestCopyOfExportAnswersNextExport(t *testing.T) {
	is := is.New(t)
	address := laggingEngine(t, func(r *http.Request) (any, error) {
		var e wire.KVExportRequest
		err := json.NewDecoder(r.Body).Decode(&e)
		return wire.KVHandle{Export: "of " + e.Attempt}, err
	})
	fleet := engine.NewFleet(time.Now(), newEngineClient())
	for _, attempt := range []string{"a1", "a2", "a3"} {
		h, err := fleet.Export(t.Context(), address, attempt)
		is.NoErr(err)
		is.Equal(h.Export, "of "+attempt)
	}
}

// TestCopyOfStateAnswersNextRead guards against a late copy of an engine's state that counts as read now: a new leader would take it for
// the state after all orders of the one before have expired.
func TestCopyOfStateAnswersNextRead(t *testing.T) {
	is := is.New(t)
	var reads atomic.Int64
	address := laggingEngine(t, func(*http.Request) (any, error) {
		return wire.EngineState{Upstream: "e", LastOrder: strconv.FormatInt(reads.Add(1), 10)}, nil
	})
	reports := make(chan order.Report, 1)
	s := order.Sender{Client: newEngineClient(), Report: func(r order.Report) { reports <- r }}
	for n := 1; n <= 3; n++ {
		s.Send(t.Context(), order.Actions{Reads: []order.Read{{Upstream: "e", Address: address}}})
		is.Equal((<-reports).State.LastOrder, strconv.Itoa(n))
	}
}
