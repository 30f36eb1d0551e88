// Package caller serves callers: the entry answer, requests on pipelines, and the follow-up of requests.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// Views gives the newest control state.
type Views interface {
	View() *control.View
}

// Runner runs admitted requests. Errors are *pipeline.Failure.
type Runner interface {
	Run(ctx context.Context, r *pipeline.Request) (*wire.PipelineAnswer, error)
}

// Finder finds the outcome of a request that another instance ran.
type Finder interface {
	Find(ctx context.Context, workspace, requestID string) (*wire.PipelineAnswer, bool)
}

// Server answers callers.
type Server struct {
	// Views gives the control state that requests are admitted under.
	Views Views
	// Runner runs requests.
	Runner Runner
	// Finder finds requests that ran elsewhere.
	Finder Finder
	// Answers keeps the outcomes of requests that ran here.
	Answers *Answers
	// Metrics counts requests.
	Metrics *metric.Metrics
	// IDs makes request IDs.
	IDs *IDs
	// KeepFor is how long callers may keep the entry answer.
	KeepFor time.Duration
	// MaxBodyBytes bounds a body whatever the contract allows.
	MaxBodyBytes int
}

// Register adds the endpoints to an echo instance.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/entries", s.entries)
	e.POST("/v1/workspaces/:workspace/pipelines/:pipeline/requests", s.run)
	e.GET("/v1/workspaces/:workspace/requests/:request", s.follow)
}

func (s *Server) follow(c *echo.Context) error {
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
	return problem.Write(c, problem.New(http.StatusNotFound, "unknown-request", "request is not known",
		problem.WithExecution(pipeline.Unknown), problem.WithRequest(id)))
}
