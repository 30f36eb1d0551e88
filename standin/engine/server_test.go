package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/standin/chain"
	"plantainlane/wire"
)

// serveEngine returns the address of an engine over HTTP.
func serveEngine(t *testing.T, id string) (*Engine, string) {
	cfg := DefaultConfig(id)
	cfg.StepTime, cfg.PrefillBlock = time.Millisecond, time.Millisecond
	e := New(cfg, nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	server.Config.Handler = NewServer(ctx, e, address, http.DefaultClient).Handler()
	server.Start()
	t.Cleanup(server.Close)
	return e, address
}

// reply is an answer read whole.
type reply struct {
	status          int
	header, trailer http.Header
	body            []byte
}

func post(is *is.I, address, path string, body any, header ...string) reply {
	b, err := json.Marshal(body)
	is.NoErr(err)
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	is.NoErr(err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer answer.Body.Close()
	b, err = io.ReadAll(answer.Body)
	is.NoErr(err)
	return reply{status: answer.StatusCode, header: answer.Header, trailer: answer.Trailer, body: b}
}

// texts joins the tokens of an answer and reports whether it ended.
func texts(answer reply) (text string, ended bool) {
	for event := range strings.SplitSeq(string(answer.body), "\n\n") {
		name, data, _ := strings.Cut(event, "\ndata: ")
		var token wire.Token
		if name == "event: token" && json.Unmarshal([]byte(data), &token) == nil {
			text += token.Text
		}
		ended = ended || name == "event: end"
	}
	return text, ended
}

func TestStreamOverHTTP(t *testing.T) {
	is := is.New(t)
	_, first := serveEngine(t, "e1")
	other, second := serveEngine(t, "e2")
	input := map[string]string{"prompt": strings.Repeat("a pharmacy in Bergamo ", 20)}

	answer := post(is, first, "/generate", input, headerAttempt, "a1")
	is.Equal(answer.header.Get(headerAttempt), "a1")
	whole, ended := texts(answer)
	is.True(ended)
	is.True(answer.trailer.Get(headerCost) != "")

	// The rest from an offset, on the same engine.
	answer = post(is, first, "/generate", input, headerAttempt, "a1", headerOffset, "4")
	rest, ended := texts(answer)
	is.True(ended && strings.HasSuffix(whole, rest) && len(rest) < len(whole))
	unknown := post(is, second, "/generate", input, headerAttempt, "a1", headerOffset, "4")
	is.Equal(unknown.status, http.StatusNotFound)

	// The rest on another engine, with the KV cache of the first.
	exported := post(is, first, "/v1/kv/exports", wire.KVExportRequest{Attempt: "a1"})
	var handle wire.KVHandle
	is.NoErr(json.Unmarshal(exported.body, &handle))
	raw, err := json.Marshal(input)
	is.NoErr(err)
	more := wire.Continuation{Input: raw, Offset: 4, Text: strings.TrimSuffix(whole, rest), Import: &handle}
	answer = post(is, second, "/generate", more, headerAttempt, "a2", "Content-Type", continuationType)
	moved, ended := texts(answer)
	is.True(ended)
	is.Equal(moved, rest)
	is.Equal(other.Ledger().Imported, 1)

	// Without KV cache it is computed; with text that was not generated the call does not run.
	more.Import = nil
	moved, _ = texts(post(is, second, "/generate", more, headerAttempt, "a3", "Content-Type", continuationType))
	is.Equal(moved, rest)
	more.Text = chain.Token("00112233", 0)
	wrong := post(is, second, "/generate", more, headerAttempt, "a4", "Content-Type", continuationType)
	is.Equal(wrong.status, http.StatusBadRequest)
	is.Equal(wrong.header.Get(headerExecution), notRun)
}

func TestOrdersOverHTTP(t *testing.T) {
	is := is.New(t)
	_, address := serveEngine(t, "e1")
	order := wire.Order{
		ID: "o1", Upstream: "e1", Incarnation: 1, Kind: role, Role: "decode", Fencing: 1, Adapters: []string{},
		ExpiresMs: int(time.Now().Add(time.Hour).UnixMilli()),
	}
	answer := post(is, address, "/v1/orders", order)
	var said wire.OrderAnswer
	is.NoErr(json.Unmarshal(answer.body, &said))
	is.Equal(said, wire.OrderAnswer{ID: "o1", State: taken, Fencing: 1})
	state, err := http.Get("http://" + address + "/v1/engine")
	is.NoErr(err)
	defer state.Body.Close()
	var read wire.EngineState
	is.NoErr(json.NewDecoder(state.Body).Decode(&read))
	is.Equal(read.Role, "decode")
	is.Equal(read.LastOrder, "o1")
}
