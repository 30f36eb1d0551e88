package announce

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

type source struct{ fault wire.Fault }

func (s *source) Announcement() wire.Announcement {
	return wire.Announcement{ID: "encoder-1", Service: "encoder"}
}

func (s *source) Fault() wire.Fault { return s.fault }

// instance records what it is told and answers with a status.
type instance struct {
	status int

	mu     sync.Mutex
	orders []string
	told   []wire.Announcement
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a wire.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	i.mu.Lock()
	i.orders = append(i.orders, r.Method+" "+r.URL.String()+" "+r.Header.Get("Authorization"))
	i.told = append(i.told, a)
	i.mu.Unlock()
	w.WriteHeader(i.status)
	_ = json.NewEncoder(w).Encode(wire.AnnounceAnswer{RenewWithinMs: 1000})
}

func startInstance(t *testing.T, status int) (*instance, string) {
	t.Helper()
	i := &instance{status: status}
	server := httptest.NewServer(i)
	t.Cleanup(server.Close)
	return i, strings.TrimPrefix(server.URL, "http://")
}

func TestAnnounceGoesOnToTheNext(t *testing.T) {
	is := is.New(t)
	bad, badAddress := startInstance(t, http.StatusServiceUnavailable)
	good, goodAddress := startInstance(t, http.StatusOK)
	a := New(http.DefaultClient, &source{}, []string{badAddress, goodAddress}, WithCredential("secret"))
	for range 2 {
		_, err := a.announce(t.Context())
		is.NoErr(err)
	}
	is.NoErr(a.Leave(t.Context()))
	is.Equal(len(bad.orders), 1) // it stays with the one that answers
	is.Equal(len(good.orders), 3)
	is.Equal(good.orders[0], "PUT /v1/upstreams/encoder-1 Bearer secret")
	is.True(strings.HasPrefix(good.orders[2], "DELETE /v1/upstreams/encoder-1?incarnation="))
	is.True(strings.Contains(good.orders[2], "&sequence=4 "))
	is.Equal(good.told[0].Sequence, 2)
	is.Equal(good.told[1].Sequence, 3)
	is.Equal(good.told[0].TTLMs, 3000)
}

func TestAnnounceWithoutInstance(t *testing.T) {
	is := is.New(t)
	_, address := startInstance(t, http.StatusConflict)
	a := New(http.DefaultClient, &source{}, []string{address})
	_, err := a.announce(t.Context())
	is.True(errors.Is(err, ErrNoTarget))
	is.True(errors.Is(err, ErrRefused))
	is.True(errors.Is(a.Leave(t.Context()), ErrNoTarget))
}

func TestRunCallsFirstOnce(t *testing.T) {
	is := is.New(t)
	good, address := startInstance(t, http.StatusOK)
	a := New(http.DefaultClient, &source{}, []string{address})
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	a.Run(ctx, func() {
		calls++
		cancel()
	})
	is.Equal(calls, 1)
	is.Equal(len(good.orders), 1)
}
