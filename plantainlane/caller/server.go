// Package caller serves the HTTP API for callers: the list of instances that they may use, requests to pipelines, and
// queries of the outcome of a request.
package caller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// Views provides the newest control state.
type Views interface {
	View() *control.View
}

// Runner runs admitted requests. Its errors are of type *pipeline.Failure; any other is answered as an internal error.
type Runner interface {
	Run(ctx context.Context, r *pipeline.Request) (*wire.PipelineAnswer, error)
}

// Finder finds the outcome of a request that another instance ran. It returns false if the outcome can't be found.
type Finder interface {
	Find(ctx context.Context, workspace, requestID string) (*wire.PipelineAnswer, bool)
}

// Server answers requests of callers.
type Server struct {
	// Views provides the control state that requests are checked against.
	Views Views
	// Runner runs requests.
	Runner Runner
	// Finder finds the outcomes of requests that other instances ran.
	Finder Finder
	// Answers holds the outcomes of requests that this instance ran.
	Answers *Answers
	// Metrics counts requests.
	Metrics *metric.Metrics
	// IDs generates request IDs.
	IDs *IDs
	// KeepFor is how long callers may cache the list of instances.
	KeepFor time.Duration
	// MaxBodyBytes is the maximum size of a body, even if the contract allows more.
	MaxBodyBytes int
	// Bodies bounds the memory for the bodies of all requests.
	Bodies *exchange.Memory
	// MayTake reports whether the instance may take a request now that must end by a deadline: a draining instance may not
	// take all. It may be nil.
	MayTake func(deadline time.Time) bool
}

// Register adds the routes of the API.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/entries", s.entries)
	e.POST("/v1/workspaces/:workspace/pipelines/:pipeline/requests", s.run)
	e.GET("/v1/workspaces/:workspace/requests/:request", s.queryOutcome)
}

// queryOutcome answers a query of the outcome of a request, which may have run on another instance.
func (s *Server) queryOutcome(c *echo.Context) error {
	view := s.Views.View()
	contract, refusal := authenticate(c.Request(), view, c.Param("workspace"))
	if refusal != nil {
		return problem.Write(c, *refusal)
	}
	id := c.Param("request")
	if a, ok := s.Answers.Get(contract.Workspace, id); ok {
		return c.JSON(http.StatusOK, a)
	}
	if a, ok := s.Finder.Find(c.Request().Context(), contract.Workspace, id); ok {
		return c.JSON(http.StatusOK, a)
	}
	return problem.Write(c, problem.New(http.StatusNotFound, "unknown-request",
		fmt.Sprintf("outcome of request %q is not found in workspace %q", id, contract.Workspace),
		problem.WithExecution(pipeline.Unknown), problem.WithRequest(id)))
}
