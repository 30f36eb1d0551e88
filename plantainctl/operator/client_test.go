package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// newFakeInstance returns the address of a server that answers all calls with status and body, or with 401 if the
// credential isn't "secret".
func newFakeInstance(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			status, body = http.StatusUnauthorized, `{"status":401,"title":"no credential"}`
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

// TestClientTriesNextInstance guards against a call that fails although a later instance can serve it, when an earlier
// one is stopped or has no lease.
func TestClientTriesNextInstance(t *testing.T) {
	is := is.New(t)
	unavailable := newFakeInstance(t, 503, `{"status":503,"detail":"no lease","execution":"notRun"}`)
	good := newFakeInstance(t, 200, `{"revision":7,"leader":"a"}`)
	answer, err := New([]string{closedAddress(t), unavailable, good}, "secret").Status(context.Background())
	is.NoErr(err)
	is.Equal(answer.Revision, 7)

	_, err = New([]string{closedAddress(t), unavailable}, "secret").Status(context.Background())
	is.True(errors.Is(err, ErrUnreachable))
	is.True(strings.Contains(err.Error(), "no lease"))
	_, err = New(nil, "secret").Status(context.Background())
	is.True(errors.Is(err, ErrUnreachable))
}

// TestClientStopsAtRefusal guards against a refused call that is sent to the next instance too, and against an error
// text that holds the credential.
func TestClientStopsAtRefusal(t *testing.T) {
	tests := map[string]struct {
		status     int
		credential string
		want       error
	}{
		"credential": {200, "other", ErrCredential},
		"not found":  {404, "secret", ErrNotFound},
		"refused":    {400, "secret", ErrRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := New([]string{newFakeInstance(t, tt.status, `{"title":"no"}`), newFakeInstance(t, 200, `{}`)}, tt.credential, WithTimeout(time.Minute))
			err := c.Drain(context.Background(), "a")
			is.True(errors.Is(err, tt.want))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

// TestClientReadsOutcomes guards against outcomes that are returned as errors because of the status they come with.
func TestClientReadsOutcomes(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   string
	}{
		"accepted": {200, `{"state":"accepted","revision":3}`, "accepted"},
		"pending":  {202, `{"state":"pending","revision":3}`, "pending"},
		"conflict": {412, `{"state":"conflict","currentRevision":3}`, "conflict"},
		"invalid":  {422, `{"state":"invalid","problems":["x"]}`, "invalid"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := New([]string{newFakeInstance(t, tt.status, tt.body)}, "secret").Change(context.Background(), wire.ChangeSet{ChangeID: "c"})
			is.NoErr(err)
			is.Equal(got.State, tt.want)
		})
	}
}
