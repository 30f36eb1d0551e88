// Package operator serves the HTTP endpoints for operators: changes, declarations, status, drain, evacuation of availability
// zones, quarantine, cost, time line and metrics.
package operator

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/credential"
	"plantainlane/plantainlane/problem"
	"plantainlane/plantainlane/settings"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
	"plantainlane/wire/jsonc"
)

// Control gives access to the control goroutine.
type Control interface {
	// Deliver passes an input to the control goroutine. It returns false if ctx or the goroutine ends before the input
	// is passed.
	Deliver(ctx context.Context, in control.Input) bool
	// Propose commits a command and returns its outcome. The zero answer means that the outcome isn't known.
	Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer
}

// Views supplies the control state.
type Views interface {
	// View returns the newest control state.
	View() *control.View
}

// Gatherer queries all instances and merges their answers.
type Gatherer interface {
	// Timeline returns the events of all instances that match a query.
	Timeline(ctx context.Context, q wire.TimelineQuery) wire.TimelineAnswer
	// Cost returns the cost totals of a workspace, or of all workspaces if workspace is empty.
	Cost(ctx context.Context, workspace string) wire.CostAnswer
}

const (
	// maxBodyBytes is the maximum size of a change set.
	maxBodyBytes = 32 << 20
	// changeTimeout is the maximum wait for the outcome of a change.
	changeTimeout = 15 * time.Second
	// queryTimeout is the maximum wait for the outcome of any other request.
	queryTimeout = 3 * time.Second
)

// Server handles the requests of operators.
type Server struct {
	// Control handles changes, drains and status requests.
	Control Control
	// Views supplies the declarations.
	Views Views
	// Gatherer queries all instances for cost and the time line.
	Gatherer Gatherer
	// Quarantine supplies the quarantine.
	Quarantine Quarantine
	// Evacuator orders evacuations of availability zones.
	Evacuator Evacuator
	// Credentials holds the credentials of operators.
	Credentials []settings.OperatorCredential
}

// Register adds the endpoints to an echo instance.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group("", s.authenticate)
	g.POST("/v1/changes", s.change)
	g.GET("/v1/changes/:id", s.outcome)
	g.GET("/v1/declarations", s.declarations)
	g.GET("/v1/status", s.status)
	g.POST("/v1/instances/:id/drain", s.drain)
	g.GET("/v1/cost", s.cost)
	g.GET("/v1/timeline", s.timeline)
	g.POST("/v1/zones/:zone/evacuation", s.evacuate)
	g.DELETE("/v1/zones/:zone/evacuation", s.endEvacuation)
	s.RegisterQuarantine(g)
	g.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
}

// authenticate returns a handler that calls next if the request has an operator's credential. The handler compares all
// stored credentials, so that the time it takes doesn't reveal which one matches.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		secret, _ := credential.Bearer(c.Request())
		hash := credential.Hash(secret)
		isKnown := false
		for _, o := range s.Credentials {
			isKnown = credential.Matches(hash, o.SHA256) || isKnown
		}
		if !isKnown {
			return problem.Write(c, problem.New(http.StatusUnauthorized, "unknown-credential", "the bearer credential is missing or unknown"))
		}
		return next(c)
	}
}

// change checks a change set and proposes it.
func (s *Server) change(c *echo.Context) error {
	body, err := readAll(c, maxBodyBytes)
	if err != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "malformed-body", "body not read: "+err.Error()))
	}
	set := wire.ChangeSet{Set: declaration.Empty(), Remove: []wire.DeclarationName{}}
	if err := jsonc.Read("", body, &set, declaration.Defaults()...); err != nil {
		return problem.Write(c, problem.New(http.StatusBadRequest, "malformed-body", err.Error()))
	}
	if set.ChangeID == "" || len(set.ChangeID) > maxChangeIDBytes || set.BaseRevision < 0 {
		return problem.Write(c, problem.New(http.StatusBadRequest, "bad-change",
			fmt.Sprintf("expected changeId of 1 to %d bytes and baseRevision of at least 0, found %d bytes and %d",
				maxChangeIDBytes, len(set.ChangeID), set.BaseRevision)))
	}
	return s.propose(c, set)
}

// readAll reads the body of a request of at most limit bytes.
func readAll(c *echo.Context, limit int64) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
}

// maxChangeIDBytes is the maximum length of a change ID.
const maxChangeIDBytes = 128

// propose passes a change set to the leader and answers with the outcome. Without an outcome, the answer is a problem
// with execution notRun if the change certainly was not proposed, and unknown otherwise.
func (s *Server) propose(c *echo.Context, set wire.ChangeSet) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	a := s.Control.Propose(ctx, wire.Command{Change: &set})
	if a.Change != nil {
		return c.JSON(statusOf(a.Change.State), a.Change)
	}
	execution := "unknown"
	if a.Refusal != "" {
		execution = "notRun"
	}
	return problem.Write(c, problem.New(http.StatusServiceUnavailable, "no-leader",
		"no leader confirmed the change; send it again with the same changeId",
		problem.WithExecution(execution), problem.WithRetryAfter(time.Second)))
}

// statusOf returns the HTTP status for the state of a change.
func statusOf(changeState string) int {
	switch changeState {
	case state.ChangePending:
		return http.StatusAccepted
	case state.ChangeConflict:
		return http.StatusPreconditionFailed
	case state.ChangeInvalid:
		return http.StatusUnprocessableEntity
	case state.ChangeUnknown:
		return http.StatusNotFound
	}
	return http.StatusOK
}

// outcome answers with the outcome of an earlier change. It proposes a dry run that only queries the outcome.
func (s *Server) outcome(c *echo.Context) error {
	return s.propose(c, wire.ChangeSet{ChangeID: c.Param("id"), BaseRevision: control.OutcomeOnly, DryRun: true})
}

// declarations answers with the declarations in force at this instance.
func (s *Server) declarations(c *echo.Context) error {
	config := s.Views.View().Config
	return c.JSON(http.StatusOK, wire.DeclarationsAnswer{Revision: config.Revision, Set: config.Declarations()})
}

// status answers with the status of all instances.
func (s *Server) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	reply := make(chan wire.StatusAnswer, 1)
	if !s.Control.Deliver(ctx, control.StatusRequested{Until: time.Now().Add(queryTimeout), Reply: reply}) {
		return problem.Write(c, busy())
	}
	select {
	case a := <-reply:
		return c.JSON(http.StatusOK, a)
	case <-ctx.Done():
		return problem.Write(c, busy())
	}
}

// busy returns the problem for a control goroutine that doesn't answer in time.
func busy() wire.Problem {
	return problem.New(http.StatusServiceUnavailable, "busy", "the control goroutine did not answer in time", problem.WithRetryAfter(time.Second))
}

// drain requests that an instance drains and stops. It answers before the drain has ended.
func (s *Server) drain(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	reply := make(chan error, 1)
	if !s.Control.Deliver(ctx, control.DrainRequested{Instance: c.Param("id"), Reply: reply}) {
		return problem.Write(c, busy())
	}
	select {
	case err := <-reply:
		if err != nil {
			return problem.Write(c, problem.New(http.StatusNotFound, "unknown-instance", err.Error()))
		}
		return c.NoContent(http.StatusAccepted)
	case <-ctx.Done():
		return problem.Write(c, busy())
	}
}

// cost answers with the cost totals of the workspace in the query, or of all workspaces.
func (s *Server) cost(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	return c.JSON(http.StatusOK, s.Gatherer.Cost(ctx, c.QueryParam("workspace")))
}
