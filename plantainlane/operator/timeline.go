package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// maxEvents bounds the events of one answer.
const maxEvents = 20_000

func (s *Server) timeline(c *echo.Context) error {
	q := wire.TimelineQuery{
		Request:   c.QueryParam("request"),
		Workspace: c.QueryParam("workspace"),
		Upstream:  c.QueryParam("upstream"),
		Instance:  c.QueryParam("instance"),
		Limit:     maxEvents,
	}
	for name, to := range map[string]*int{"revision": &q.Revision, "sinceMs": &q.SinceMs, "limit": &q.Limit} {
		text := c.QueryParam(name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return problem.Write(c, problem.New(http.StatusBadRequest, "bad-query", "value is not a number", problem.WithField(name)))
		}
		*to = n
	}
	q.Limit = min(q.Limit, maxEvents)
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryWait)
	defer cancel()
	return c.JSON(http.StatusOK, s.Gatherer.Timeline(ctx, q))
}
