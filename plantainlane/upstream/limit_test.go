package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/plantainlane/quota"
	"plantainlane/wire"
)

// fixedAsker answers queries for permits with a fixed answer.
type fixedAsker struct {
	mu     sync.Mutex
	answer wire.PermitAnswer
}

func (a *fixedAsker) Ask(context.Context, wire.UpstreamLimit) (wire.PermitAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer, true
}

func (a *fixedAsker) set(answer wire.PermitAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answer = answer
}

// TestCallWithoutPermitIsSent guards against calls and streams to an upstream that names a limit, which are sent without
// a permit or with one that has run out, also on a connection that is in use already.
func TestCallWithoutPermitIsSent(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	var limit atomic.Pointer[string]
	named := "2.5"
	limit.Store(&named)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
		if text := limit.Load(); text != nil {
			w.Header().Set(HeaderLimit, *text)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer s.Close()
	asker := &fixedAsker{answer: wire.PermitAnswer{WaitMs: 50}}
	c := NewClient(4, quota.NewGate(asker))
	call := Call{Peer: quota.Peer{Address: s.Listener.Addr().String()}, Path: "/run", Attempt: "a1", Body: []byte("{}")}
	_, err := c.Do(t.Context(), call) // names the limit
	is.NoErr(err)
	for _, answer := range []wire.PermitAnswer{{WaitMs: 50}, {Granted: true, ValidMs: 0}} {
		asker.set(answer)
		for _, fresh := range []bool{false, true} {
			call.Fresh = fresh
			_, err = c.Do(t.Context(), call)
			is.True(errors.Is(err, quota.ErrNoPermit))
			is.True(errors.Is(err, ErrNotRun))
			_, err = c.Stream(t.Context(), call, func(Token) error { return nil })
			is.True(errors.Is(err, quota.ErrNoPermit))
		}
	}
	is.Equal(arrived.Load(), int64(1))
	asker.set(wire.PermitAnswer{Granted: true, ValidMs: 10_000})
	limit.Store(nil)
	_, err = c.Do(t.Context(), call) // tells the end of the limit
	is.NoErr(err)
	asker.set(wire.PermitAnswer{WaitMs: 50})
	_, err = c.Do(t.Context(), call)
	is.NoErr(err)
	malformed := "many"
	limit.Store(&malformed)
	for range 2 {
		_, err = c.Do(t.Context(), call)
		is.NoErr(err)
	}
}
