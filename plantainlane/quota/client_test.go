package quota

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/exchange"
)

// readNotice is a Reader of short headers.
func readNotice(status int, h http.Header) (Notice, error) {
	n := Notice{Leaving: h.Get("Leaving") != ""}
	var limitErr, pauseErr error
	n.PerSecond, n.Limited, limitErr = ReadLimit(h.Get("Limit"))
	n.Pause, pauseErr = ReadPause(time.Now(), status, h)
	return n, errors.Join(limitErr, pauseErr)
}

// TestAnswerToControlCallEndsLimit guards against a limit that counts as ended because the answer to a call which isn't
// work doesn't name it.
func TestAnswerToControlCallEndsLimit(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/work":
			w.Header().Set("Limit", "3")
		case "/refused":
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	peer := Peer{Address: address}
	c := NewClient(exchange.NewPool(time.Minute), NewGate(&slowAsker{}), readNotice)
	request := func(path string) *exchange.Request {
		return &exchange.Request{Method: http.MethodPost, Target: path, Host: "h"}
	}
	_, err := c.RoundTrip(t.Context(), peer, request("/work"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 3.0)
	_, err = c.RoundTripControl(t.Context(), peer, request("/free"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 3.0)
	refused := request("/refused")
	refused.Accept = func(*exchange.Reply) (string, error) { return "", errors.New("refused") }
	_, err = c.RoundTrip(t.Context(), peer, refused, 100)
	is.True(err != nil)
	is.Equal(limitOf(c.Gate, address), 3.0) // nor by a refusal, which may be a late one
	_, err = c.RoundTrip(t.Context(), peer, request("/other"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), -1.0)
	_, err = c.RoundTripControl(t.Context(), peer, request("/work"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 3.0)
}

// TestLateCopyRaisesLimit guards against a late copy of an answer that raises a limit which was lowered meanwhile. Nothing ties the answer
// to a control call to its request, so on a kept connection it may be as old as that.
func TestLateCopyRaisesLimit(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", r.URL.Path[1:])
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	c := NewClient(exchange.NewPool(time.Minute), NewGate(&slowAsker{}), readNotice)
	request := func(limit string) *exchange.Request {
		return &exchange.Request{Method: http.MethodPost, Target: "/" + limit, Host: "h"}
	}
	_, err := c.RoundTripControl(t.Context(), Peer{Address: address}, request("9"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 9.0)
	_, err = c.RoundTrip(t.Context(), Peer{Address: address}, request("3"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 3.0)
	_, err = c.RoundTripControl(t.Context(), Peer{Address: address}, request("9"), 100) // as the first answer, once more
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 3.0)
	malformed := request("9")
	malformed.Accept = func(*exchange.Reply) (string, error) { return "", errors.New("half a copy and the answer") }
	_, err = c.RoundTrip(t.Context(), Peer{Address: address}, malformed, 100)
	is.True(err != nil)
	is.Equal(limitOf(c.Gate, address), 3.0)
	_, err = c.RoundTrip(t.Context(), Peer{Address: address}, request("9"), 100)
	is.NoErr(err)
	is.Equal(limitOf(c.Gate, address), 9.0)
}
