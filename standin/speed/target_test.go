package speed

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
)

// serve starts a server that answers every call with a status and body, and returns the direct way to it.
func serve(t *testing.T, status int, body string) *Direct {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	address := []string{strings.TrimPrefix(server.URL, "http://")}
	return &Direct{NonStreaming: address, Streaming: address, Path: chain.PathEncode}
}

// A rate or latency must count only correct answers: refusals and truncated answers are faster than the work itself and
// would make an instance look fast.
func TestCallChecksTheAnswer(t *testing.T) {
	want, err := expectedDigest(smallBody, chain.PathEncode)
	if err != nil {
		t.Fatal(err)
	}
	whole, err := json.Marshal(chain.Output{Digest: want})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		status int
		body   string
		ok     bool
	}{
		"own":        {http.StatusOK, string(whole), true},
		"of another": {http.StatusOK, `{"digest":"00"}`, false},
		"truncated":  {http.StatusOK, string(whole[:10]), false},
		"refused":    {http.StatusServiceUnavailable, string(whole), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := serve(t, tt.status, tt.body)
			err := call(t.Context(), http.DefaultClient, d, smallBody, want)
			is.New(t).Equal(err == nil, tt.ok)
		})
	}
}

// A stream that stops before its end event, or ends with a problem, must be an error, although onToken was called for
// its tokens.
func TestReadStreamNeedsItsEnd(t *testing.T) {
	token := "event: token\ndata: {}\n\n"
	tests := map[string]struct {
		body   string
		tokens int
		ok     bool
	}{
		"whole":        {token + token + "event: end\ndata: {}\n\n", 2, true},
		"no end event": {token + token, 2, false},
		"problem":      {token + "event: problem\ndata: {}\n\n", 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tokens := 0
			d := serve(t, http.StatusOK, tt.body)
			err := readStream(t.Context(), http.DefaultClient, d, smallBody, func() { tokens++ })
			is.Equal(tokens, tt.tokens)
			is.Equal(err == nil, tt.ok)
		})
	}
}

// An answer that is not complete carries no output and must not pass as a correct one.
func TestThroughOutput(t *testing.T) {
	is := is.New(t)
	w := &Through{}
	out, err := w.Output([]byte(`{"requestId":"r","status":"complete","cost":[],"elapsedMs":1,"output":{"digest":"d"}}`))
	is.NoErr(err)
	is.Equal(string(out), `{"digest":"d"}`)
	_, err = w.Output([]byte(`{"requestId":"r","status":"running","cost":[],"elapsedMs":1}`))
	is.True(err != nil)
}
