package announce

import (
	"fmt"
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

// cacheEvents handles events of an engine's prefix cache. The events are accepted only from the announced incarnation
// of the engine, with a credential that may act for the engine.
func (s *Server) cacheEvents(c *echo.Context) error {
	var m wire.CacheEvents
	cred, refusal := s.readRequest(c, &m)
	if refusal != nil {
		return problem.Write(c, *refusal)
	}
	if m.Upstream != c.Param("id") || m.FirstSequence < 1 {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-events",
			fmt.Sprintf("expected upstream %q and firstSequence of at least 1, found %q and %d", c.Param("id"), m.Upstream, m.FirstSequence)))
	}
	row, ok := s.Caches.View().Upstreams.Rows.Get(m.Upstream)
	switch {
	case !ok || row.Expired || row.Announcement.Incarnation != m.Incarnation:
		return problem.Write(c, problem.New(http.StatusConflict, "stale",
			fmt.Sprintf("upstream %q is not announced with incarnation %d", m.Upstream, m.Incarnation)))
	case !mayActFor(cred, row):
		return problem.Write(c, problem.New(http.StatusForbidden, "foreign-upstream",
			fmt.Sprintf("the credential may not send events for upstream %q", m.Upstream)))
	}
	return c.JSON(http.StatusOK, wire.CacheEventsAnswer{NextSequence: s.Caches.HandleCacheEvents(&m)})
}

// mayActFor reports whether a credential may send events for an upstream. If the upstream was announced at this
// instance, only the credential of the announcement may. If the upstream was announced at another instance, the
// credential of the announcement isn't known here, and any credential for the service may.
func mayActFor(cred *settings.UpstreamCredential, row *roster.Row) bool {
	if row.Credential != "" {
		return row.Credential == cred.Name
	}
	return mayAnnounce(cred, row.Announcement.Service)
}
