package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// errTrailing reports a body with text after its JSON value.
var errTrailing = errors.New("text after the JSON value")

// asError sets target to the first error of type T in the chain of err and reports whether there is one.
func asError[T error](err error, target *T) bool {
	return errors.As(err, target)
}

// run runs a pipeline request and answers it, as one JSON value or as a stream if the caller asks for that.
func (s *Server) run(c *echo.Context) error {
	memory := s.Bodies.Reserve()
	defer memory.Release()
	req, stream, refusal := s.admit(c.Request(), c.Response(), c.Param("workspace"), c.Param("pipeline"), memory)
	if refusal != nil {
		s.Metrics.Refused.Add(1)
		return problem.Write(c, *refusal)
	}
	s.Answers.Start(req.Contract.Workspace, req.ID)
	s.Metrics.InFlight.Add(1)
	defer s.Metrics.InFlight.Add(-1)
	if stream {
		return s.runStream(c, req)
	}
	a, err := s.Runner.Run(c.Request().Context(), req)
	if err != nil {
		return problem.Write(c, s.fail(req, err))
	}
	s.finish(req, a)
	return c.JSON(http.StatusOK, a)
}

// runStream runs a request and sends its tokens as server-sent events as they are received. The status 200 is sent
// with the first event. A failure before the first event is answered as without a stream, a later failure is sent as a
// problem event.
func (s *Server) runStream(c *echo.Context, req *pipeline.Request) error {
	out := &eventWriter{w: c.Response(), control: http.NewResponseController(c.Response()), request: c.Request()}
	req.OnToken = func(offset int, text string) error {
		return out.write("token", tokenEvent{Offset: offset, Text: text})
	}
	a, err := s.Runner.Run(c.Request().Context(), req)
	if err != nil {
		p := s.fail(req, err)
		if !out.started {
			return problem.Write(c, p)
		}
		return out.end("problem", p)
	}
	s.finish(req, a)
	// The end event carries no output: a streamed output was sent as tokens.
	end := *a
	end.Output = nil
	return out.end("end", end)
}

// fail records the failure of a request and returns its problem.
func (s *Server) fail(req *pipeline.Request, err error) wire.Problem {
	s.Metrics.Failed.Add(1)
	p := failureProblem(req.ID, err)
	s.Answers.Fail(req.Contract.Workspace, req.ID, p.Execution)
	return p
}

// finish records the answer of a request.
func (s *Server) finish(req *pipeline.Request, a *wire.PipelineAnswer) {
	s.Metrics.Answered.Add(1)
	s.Answers.Finish(req.Contract.Workspace, req.ID, a)
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	// Offset is the number of tokens before this one in the stream.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// eventWriter writes server-sent events and flushes each one immediately.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	// unread holds what the caller hasn't read; nil before the first event.
	unread *inbound.Stream
	// started is set once the status and the headers are sent.
	started bool
	// buffer holds the last encoded event. Each event reuses the buffer.
	buffer []byte
}

// write sends an event with the given name and data as JSON. The first call also sends the status and the headers.
func (e *eventWriter) write(name string, data any) error {
	b, err := json.Marshal(data)
	if err != nil {
		return err
	}
	if !e.started {
		e.started = true
		h := e.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
		e.unread = inbound.StartStream(e.request)
	}
	e.buffer = append(e.buffer[:0], "event: "...)
	e.buffer = append(e.buffer, name...)
	e.buffer = append(e.buffer, "\ndata: "...)
	e.buffer = append(e.buffer, b...)
	e.buffer = append(e.buffer, "\n\n"...)
	if _, err := e.w.Write(e.buffer); err != nil {
		return err
	}
	return e.control.Flush()
}

// end sends the last event, and waits until the caller has been sent all.
func (e *eventWriter) end(name string, data any) error {
	return errors.CombineErrors(e.write(name, data), e.unread.Drain())
}

// failureProblems maps each reason of a pipeline.Failure to the HTTP status and the kind of its problem.
var failureProblems = []struct {
	reason error
	status int
	kind   string
}{
	{pipeline.ErrDeadline, http.StatusGatewayTimeout, "deadline"},
	{pipeline.ErrQuarantined, http.StatusServiceUnavailable, "quarantined"},
	{pipeline.ErrNoUpstream, http.StatusServiceUnavailable, "no-upstream"},
	{pipeline.ErrUpstream, http.StatusBadGateway, "upstream-failed"},
	{pipeline.ErrKeyMismatch, http.StatusUnprocessableEntity, "key-mismatch"},
	{pipeline.ErrUnresolved, http.StatusConflict, "unresolved"},
	{pipeline.ErrExpiredKey, http.StatusConflict, "key-expired"},
	{pipeline.ErrNoClaim, http.StatusServiceUnavailable, "no-claim"},
	{pipeline.ErrResultSize, http.StatusBadGateway, "result-too-large"},
	{limit.ErrRate, http.StatusTooManyRequests, "over-rate"},
	{limit.ErrConcurrency, http.StatusTooManyRequests, "over-concurrency"},
	{limit.ErrTokens, http.StatusTooManyRequests, "over-token-rate"},
	{limit.ErrBudget, http.StatusTooManyRequests, "over-budget"},
	{limit.ErrNoGrant, http.StatusServiceUnavailable, "no-grant"},
	{limit.ErrUnknownWorkspace, http.StatusServiceUnavailable, "no-grant"},
	{limit.ErrQueueFull, http.StatusServiceUnavailable, "overloaded"},
	{limit.ErrDeadline, http.StatusServiceUnavailable, "deadline-too-near"},
	{pipeline.ErrCancelled, http.StatusServiceUnavailable, "cancelled"},
}

// failureProblem returns the problem of a request that failed.
func failureProblem(id string, err error) wire.Problem {
	var f *pipeline.Failure
	if !errors.As(err, &f) {
		return problem.New(http.StatusInternalServerError, "internal", "request failed with an internal error",
			problem.WithExecution(pipeline.Unknown), problem.WithRequest(id))
	}
	for _, k := range failureProblems {
		if errors.Is(f.Reason, k.reason) {
			return problem.New(k.status, k.kind, f.Error(), problem.WithExecution(f.Execution),
				problem.WithRequest(id), problem.WithRetryAfter(f.RetryAfter))
		}
	}
	return problem.New(http.StatusBadGateway, "failed", f.Error(), problem.WithExecution(f.Execution), problem.WithRequest(id))
}
