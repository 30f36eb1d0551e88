package operator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/problem"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/wire"
	"plantainlane/wire/jsonc"
)

const (
	// maxQuarantineBytes is the maximum size of a request to set an entry.
	maxQuarantineBytes = 64 << 10
	// maxQuarantinePeriod is the longest time for which an entry may refuse requests.
	maxQuarantinePeriod = 30 * 24 * time.Hour
	// operatorName is the name of operators in entries, which aren't told apart.
	operatorName = "operator"
)

// Quarantine supplies the quarantine as this instance knows it.
type Quarantine interface {
	// Known returns the quarantine as of the last update of the leader.
	Known() wire.QuarantineUpdate
}

// Router is where endpoints are added: an echo instance or a group.
type Router interface {
	GET(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) echo.RouteInfo
	POST(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) echo.RouteInfo
	DELETE(path string, h echo.HandlerFunc, m ...echo.MiddlewareFunc) echo.RouteInfo
}

// RegisterQuarantine adds only the endpoints of the quarantine, which use the fields Control and Quarantine. It doesn't check
// credentials.
func (s *Server) RegisterQuarantine(r Router) {
	r.GET("/v1/quarantine", s.quarantine)
	r.POST("/v1/quarantine", s.setQuarantine)
	r.DELETE("/v1/quarantine/:id", s.liftQuarantine)
}

// quarantine answers with the quarantine as this instance knows it.
func (s *Server) quarantine(c *echo.Context) error {
	u := s.Quarantine.Known()
	if u.Entries == nil {
		u.Entries = []wire.QuarantineEntry{}
	}
	if u.Suspects == nil {
		u.Suspects = []wire.SuspectPart{}
	}
	return c.JSON(http.StatusOK, u)
}

// setQuarantine sets an entry and answers with it once it is committed.
func (s *Server) setQuarantine(c *echo.Context) error {
	body, err := readAll(c, maxQuarantineBytes)
	if err != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "malformed-body", "body not read: "+err.Error()))
	}
	var r wire.QuarantineRequest
	if err := jsonc.Read("", body, &r); err != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "malformed-body", err.Error()))
	}
	period := quarantine.DefaultPeriod
	if r.ForMs != nil && *r.ForMs != 0 {
		period = time.Duration(*r.ForMs) * time.Millisecond
	}
	parts := quarantine.Parts(r.Parts)
	if r.Service == "" || len(parts) == 0 || len(parts) != len(r.Parts) || period <= 0 || period > maxQuarantinePeriod {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-entry",
			fmt.Sprintf("expected a service, 1 to %d parts and forMs of at most %d, found service %q, %d parts and %v",
				quarantine.MaxParts, maxQuarantinePeriod.Milliseconds(), r.Service, len(r.Parts), period)))
	}
	e := quarantine.NewEntry(time.Now(), r.Service, textOf(r.Workspace), parts, period)
	e.SetBy, e.Reason = operatorName, textOf(r.Reason)
	return s.changeQuarantine(c, wire.QuarantineChange{Entry: &e}, &e)
}

// liftQuarantine ends an entry.
func (s *Server) liftQuarantine(c *echo.Context) error {
	id := c.Param("id")
	for _, e := range s.Quarantine.Known().Entries {
		if e.ID == id {
			return s.changeQuarantine(c, wire.QuarantineChange{Lift: &id}, &e)
		}
	}
	return problem.Write(c, problem.New(http.StatusNotFound, "unknown-entry", "the quarantine has no entry "+id))
}

// changeQuarantine proposes a change and answers with the entry that it is about. A change may be sent again.
func (s *Server) changeQuarantine(c *echo.Context, change wire.QuarantineChange, e *wire.QuarantineEntry) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	change.AtMs = int(time.Now().UnixMilli())
	if !s.Control.Propose(ctx, wire.Command{Quarantine: &change}).Committed {
		return problem.Write(c, problem.New(http.StatusServiceUnavailable, "no-leader",
			"no leader confirmed the change; send it again", problem.WithRetryAfter(time.Second)))
	}
	return c.JSON(http.StatusOK, e)
}

// textOf returns an optional text; empty if it is missing.
func textOf(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
