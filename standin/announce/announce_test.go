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

// source is a Source of a fixed upstream.
type source struct{ fault wire.Fault }

func (s *source) Announcement() wire.Announcement {
	return wire.Announcement{ID: "encoder-1", Service: "encoder"}
}

func (s *source) Fault() wire.Fault { return s.fault }

// instance is an upstream listener that records its requests and answers all of them with the same status.
type instance struct {
	status int

	mu            sync.Mutex
	requests      []string
	announcements []wire.Announcement
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a wire.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	i.mu.Lock()
	i.requests = append(i.requests, r.Method+" "+r.URL.String()+" "+r.Header.Get("Authorization"))
	i.announcements = append(i.announcements, a)
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

// An announcer whose target refuses an announcement uses the next target from then on, also to leave. The sequence
// number grows with each request, as instances ignore announcements with an older number.
func TestAnnouncementFailsOverToTheNextInstance(t *testing.T) {
	is := is.New(t)
	bad, badAddress := startInstance(t, http.StatusServiceUnavailable)
	good, goodAddress := startInstance(t, http.StatusOK)
	a := New(http.DefaultClient, &source{}, []string{badAddress, goodAddress}, WithCredential("secret"))
	for range 2 {
		_, err := a.announce(t.Context())
		is.NoErr(err)
	}
	is.NoErr(a.Leave(t.Context()))
	is.Equal(len(bad.requests), 1) // later requests go to the target that accepted an announcement
	is.Equal(len(good.requests), 3)
	is.Equal(good.requests[0], "PUT /v1/upstreams/encoder-1 Bearer secret")
	is.True(strings.HasPrefix(good.requests[2], "DELETE /v1/upstreams/encoder-1?incarnation="))
	is.True(strings.Contains(good.requests[2], "&sequence=4 "))
	is.Equal(good.announcements[0].Sequence, 2)
	is.Equal(good.announcements[1].Sequence, 3)
	is.Equal(good.announcements[0].TTLMs, 3000)
}

// If every instance refuses, the error says both that no instance accepted the announcement and that it was refused.
func TestAnnouncementRefusedByEveryInstance(t *testing.T) {
	is := is.New(t)
	_, address := startInstance(t, http.StatusConflict)
	a := New(http.DefaultClient, &source{}, []string{address})
	_, err := a.announce(t.Context())
	is.True(errors.Is(err, ErrNoTarget))
	is.True(errors.Is(err, ErrRefused))
	is.True(errors.Is(a.Leave(t.Context()), ErrNoTarget))
}

// Run calls onFirst after the first accepted announcement. The commands print a fake as announced then.
func TestRunCallsOnFirstOnce(t *testing.T) {
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
	is.Equal(len(good.requests), 1)
}
