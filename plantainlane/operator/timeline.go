package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// maxEvents is the maximum number of events in an answer.
const maxEvents = 20_000

// timeline answers with the events, of all instances, that match the query parameters. Without the parameter limit, up
// to maxEvents are returned.
func (s *Server) timeline(c *echo.Context) error {
	q := wire.TimelineQuery{
		Request:   c.QueryParam("request"),
		Workspace: c.QueryParam("workspace"),
		Upstream:  c.QueryParam("upstream"),
		Instance:  c.QueryParam("instance"),
		Limit:     maxEvents,
	}
	for name, target := range map[string]*int{"revision": &q.Revision, "sinceMs": &q.SinceMs, "limit": &q.Limit} {
		text := c.QueryParam(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return problem.Write(c, problem.New(http.StatusBadRequest, "bad-query",
				fmt.Sprintf("expected an integer of at least 0, found %q", text), problem.WithField(name)))
		}
		*target = n
	}
	q.Limit = min(q.Limit, maxEvents)
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, s.Gatherer.Timeline(ctx, q))
}
