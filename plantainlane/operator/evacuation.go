package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// evacuateTimeout is the maximum wait for the outcome of an order for an availability zone.
const evacuateTimeout = 4 * time.Second

// Evacuator orders evacuations of availability zones.
type Evacuator interface {
	// Evacuate orders that the upstreams of a zone get no work, or some again, and returns nil once that is committed, as
	// control.Loop.Evacuate does.
	Evacuate(ctx context.Context, zone string, isActive bool) error
}

// evacuate orders that the upstreams of a zone get no work.
func (s *Server) evacuate(c *echo.Context) error { return s.orderEvacuation(c, true) }

// endEvacuation orders that the upstreams of a zone get work again.
func (s *Server) endEvacuation(c *echo.Context) error { return s.orderEvacuation(c, false) }

// orderEvacuation gives an order for the zone that the path names, and answers once it is committed.
func (s *Server) orderEvacuation(c *echo.Context, isActive bool) error {
	zone := c.Param("zone")
	if !hasZone(s.Views.View(), zone) {
		return problem.Write(c, problem.New(http.StatusNotFound, "unknown-zone", "no instance or upstream is known in zone "+zone))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), evacuateTimeout)
	defer cancel()
	err := s.Evacuator.Evacuate(ctx, zone, isActive)
	switch {
	case errors.Is(err, control.ErrStaleOrder):
		return problem.Write(c, problem.New(http.StatusServiceUnavailable, "stale-order",
			"the state of the zone has changed meanwhile; send the order again", problem.WithExecution("notRun"), problem.WithRetryAfter(time.Second)))
	case err != nil:
		return problem.Write(c, problem.New(http.StatusServiceUnavailable, "no-leader",
			"no leader confirmed the order; send it again", problem.WithExecution("unknown"), problem.WithRetryAfter(time.Second)))
	}
	return c.JSON(http.StatusOK, wire.EvacuationAnswer{Zone: zone, Active: isActive})
}

// hasZone reports whether a zone is that of a known instance or upstream, or one for which there was an order.
func hasZone(v *control.View, zone string) bool {
	if v.Config.Evacuations.Has(zone) {
		return true
	}
	for _, i := range v.Instances.All() {
		if i.Zone == zone {
			return true
		}
	}
	for _, row := range v.Upstreams.Rows.All() {
		if row.Announcement.Zone == zone {
			return true
		}
	}
	return false
}
