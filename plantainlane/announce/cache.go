package announce

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/problem"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/settings"
	"plantainlane/wire"
)

// CacheEventHandler handles the events that engines publish about their prefix caches.
type CacheEventHandler interface {
	// View returns the newest control state.
	View() *control.View
	// HandleCacheEvents applies the events of an announced engine and returns the sequence number expected next.
	HandleCacheEvents(m *wire.CacheEvents) int
}

func (s *Server) cacheEvents(c *echo.Context) error {
	var m wire.CacheEvents
	cred, refusal := s.read(c, &m)
	if refusal != nil {
		return problem.Write(c, *refusal)
	}
	if m.Upstream != c.Param("id") || m.FirstSequence < 1 {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-events", "upstream or firstSequence is out of range"))
	}
	row, ok := s.Caches.View().Upstreams.Rows.Get(m.Upstream)
	switch {
	case !ok || row.Expired || row.Announcement.Incarnation != m.Incarnation:
		return problem.Write(c, problem.New(http.StatusConflict, "stale", "incarnation is not the announced one"))
	case !owns(cred, row):
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-upstream", "credential may not speak for the upstream"))
	}
	return c.JSON(http.StatusOK, wire.CacheEventsAnswer{NextSequence: s.Caches.HandleCacheEvents(&m)})
}

// owns reports whether a credential may speak for an upstream: the one that announced it, or, where that was at
// another instance, one for its service.
func owns(cred *settings.UpstreamCredential, row *roster.Row) bool {
	if row.Credential != "" {
		return row.Credential == cred.Name
	}
	return mayAnnounce(cred, row.Announcement.Service)
}
