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

func fake(t *testing.T, status int, body string) string {
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

// closed returns an address where nothing listens.
func closed(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return strings.TrimPrefix(s.URL, "http://")
}

func TestClientGoesOnToTheNextInstance(t *testing.T) {
	is := is.New(t)
	unavailable := fake(t, 503, `{"status":503,"detail":"no lease","execution":"notRun"}`)
	good := fake(t, 200, `{"revision":7,"leader":"a"}`)
	answer, err := New([]string{closed(t), unavailable, good}, "secret").Status(context.Background())
	is.NoErr(err)
	is.Equal(answer.Revision, 7)

	_, err = New([]string{closed(t), unavailable}, "secret").Status(context.Background())
	is.True(errors.Is(err, ErrUnreachable))
	is.True(strings.Contains(err.Error(), "no lease"))
	_, err = New(nil, "secret").Status(context.Background())
	is.True(errors.Is(err, ErrUnreachable))
}

func TestClientStopsAtARefusal(t *testing.T) {
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
			c := New([]string{fake(t, tt.status, `{"title":"no"}`), fake(t, 200, `{}`)}, tt.credential, WithTimeout(time.Minute))
			err := c.Drain(context.Background(), "a")
			is.True(errors.Is(err, tt.want))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

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
			got, err := New([]string{fake(t, tt.status, tt.body)}, "secret").Change(context.Background(), wire.ChangeSet{ChangeID: "c"})
			is.NoErr(err)
			is.Equal(got.State, tt.want)
		})
	}
}
