package forward

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"plantainlane/plantainlane/site"
)

// TestOutdatedInstanceDeniesRequests guards against an instance that knows that its configuration is old and denies what
// a newer one may allow, or serves under it for too long.
func TestOutdatedInstanceDeniesRequests(t *testing.T) {
	for name, c := range map[string]struct {
		freshness site.Freshness
		key       string
		status    int
	}{
		"newest, unknown key":      {site.Newest, "other", http.StatusUnauthorized},
		"newest, known key":        {site.Newest, "key", http.StatusOK},
		"unconfirmed, unknown key": {site.Unconfirmed, "other", http.StatusServiceUnavailable},
		"unconfirmed, known key":   {site.Unconfirmed, "key", http.StatusOK},
		"behind, unknown key":      {site.Behind, "other", http.StatusServiceUnavailable},
		"behind, known key":        {site.Behind, "key", http.StatusOK},
		"outdated, unknown key":    {site.Outdated, "other", http.StatusServiceUnavailable},
		"outdated, known key":      {site.Outdated, "key", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, &site.Route{MaxAttempts: 1})
			h.upstream("u", func(w http.ResponseWriter, r *http.Request) { sign(w, r) })
			h.freshness = c.freshness
			res, _, err := h.post("X-Key", c.key)
			is.NoErr(err)
			is.Equal(res.StatusCode, c.status)
			is.Equal(h.totalArrivals() == 1, c.status == http.StatusOK)
		})
	}
}
