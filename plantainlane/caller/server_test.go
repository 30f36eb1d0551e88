package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/credential"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// fixedView is a Views that never changes.
type fixedView struct{ view *control.View }

func (f fixedView) View() *control.View { return f.view }

// recordingRunner is a Runner that answers every request and records it.
type recordingRunner struct{ got []*pipeline.Request }

func (r *recordingRunner) Run(_ context.Context, req *pipeline.Request) (*wire.PipelineAnswer, error) {
	r.got = append(r.got, req)
	if req.OnToken != nil {
		if err := req.OnToken(0, "a"); err != nil {
			return nil, err
		}
	}
	out := json.RawMessage(`{"ok":true}`)
	return &wire.PipelineAnswer{RequestID: req.ID, Status: StatusComplete, Output: &out}, nil
}

// noFinder is a Finder that finds no request.
type noFinder struct{}

func (noFinder) Find(context.Context, string, string) (*wire.PipelineAnswer, bool) { return nil, false }

// contract returns the contract of a workspace with one key.
func contract(workspace, key string) wire.Contract {
	return wire.Contract{
		Workspace: workspace, Keys: []wire.ContractKey{{ID: "k", Sha256: credential.Hash(key)}},
		Pipelines: []string{"guide", "buy"}, Models: []string{"phrase"},
		DefaultDeadlineMs: 1000, MaxDeadlineMs: 5000, MaxBodyBytes: 200,
	}
}

// newServer returns a server that holds its lease for the given time from now, and the runner that records its
// requests. The pipeline buy is not idempotent. The pipeline other is in no contract.
func newServer(lease time.Duration, opts ...func(*Server)) (*echo.Echo, *recordingRunner) {
	large := contract("museum", "key-3")
	large.MaxBodyBytes = 64 << 10
	set := wire.Declarations{
		Contracts: []wire.Contract{contract("hostel", "key-1"), contract("school", "key-2"), large},
		Pipelines: []wire.Pipeline{
			{Name: "guide", Stages: []wire.Stage{{Name: "s", Service: "s", Idempotent: true}}},
			{Name: "buy", Stages: []wire.Stage{{Name: "s", Service: "s"}}},
			{Name: "other", Stages: []wire.Stage{{Name: "s", Service: "s", Idempotent: true}}},
		},
	}
	runner := &recordingRunner{}
	s := &Server{
		Views:  fixedView{&control.View{Config: state.Config{}.With(set, nil, 1), LeaseUntil: time.Now().Add(lease)}},
		Runner: runner, Finder: noFinder{}, Answers: NewAnswers(), Metrics: metric.New(),
		IDs: NewIDs("a-1", 7), KeepFor: time.Second, MaxBodyBytes: 1000, Bodies: exchange.NewMemory(1000),
	}
	for _, o := range opts {
		o(s)
	}
	e := echo.New()
	s.Register(e)
	return e, runner
}

// requestSpec describes a request to a pipeline. idempotency is the idempotency key; empty strings leave out headers.
type requestSpec struct {
	workspace, pipeline, key, idempotency, body string
}

// send sends the request and returns the response.
func (r requestSpec) send(e *echo.Echo) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "/v1/workspaces/"+r.workspace+"/pipelines/"+r.pipeline+"/requests", strings.NewReader(r.body))
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.idempotency != "" {
		req.Header.Set(idempotencyKeyHeader, r.idempotency)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	return w
}

// TestBadRequestsAreRefusedAsNotRun guards against an invalid request that runs, or is refused without the statement
// that it did not run, and against keys in the answer.
func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	validBody := `{"input":"x"}`
	tests := map[string]struct {
		request requestSpec
		status  int
	}{
		"unknown workspace":          {requestSpec{"nobody", "guide", "key-1", "", validBody}, 404},
		"no key":                     {requestSpec{"hostel", "guide", "", "", validBody}, 401},
		"wrong key":                  {requestSpec{"hostel", "guide", "key-x", "", validBody}, 401},
		"other workspace's key":      {requestSpec{"hostel", "guide", "key-2", "", validBody}, 401},
		"unknown pipeline":           {requestSpec{"hostel", "nothing", "key-1", "", validBody}, 404},
		"pipeline not allowed":       {requestSpec{"hostel", "other", "key-1", "", validBody}, 403},
		"malformed body":             {requestSpec{"hostel", "guide", "key-1", "", `{"input":`}, 400},
		"empty body":                 {requestSpec{"hostel", "guide", "key-1", "", ``}, 400},
		"trailing text":              {requestSpec{"hostel", "guide", "key-1", "", validBody + validBody}, 400},
		"unknown field":              {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","surplus":1}`}, 400},
		"no input":                   {requestSpec{"hostel", "guide", "key-1", "", `{}`}, 400},
		"negative deadline":          {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":-1}`}, 400},
		"deadline over the contract": {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":9000000}`}, 400},
		"deadline over integer":      {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":1e300}`}, 400},
		"zero maxTokens":             {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","maxTokens":0}`}, 400},
		"model not allowed":          {requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","model":"big"}`}, 403},
		"body over the contract":     {requestSpec{"hostel", "guide", "key-1", "", `{"input":"` + strings.Repeat("x", 300) + `"}`}, 413},
		"no idempotency key":         {requestSpec{"hostel", "buy", "key-1", "", validBody}, 400},
		"too long idempotency key":   {requestSpec{"hostel", "buy", "key-1", strings.Repeat("x", 129), validBody}, 400},
		"space in idempotency key":   {requestSpec{"hostel", "buy", "key-1", "a b", validBody}, 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, runner := newServer(time.Hour)
			w := tt.request.send(e)
			is.Equal(w.Code, tt.status)
			var p wire.Problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			is.Equal(p.Execution, "notRun")
			is.Equal(len(runner.got), 0)
			is.True(!strings.Contains(w.Body.String(), "key-"))
		})
	}
}

// TestRequestIsRunUnderItsContract checks the fields of an admitted request, and guards against an outcome that is
// shown to another workspace.
func TestRequestIsRunUnderItsContract(t *testing.T) {
	is := is.New(t)
	e, runner := newServer(time.Hour)
	w := requestSpec{"hostel", "buy", "key-1", "order-1", `{"input":"x","deadlineMs":2000}`}.send(e)
	is.Equal(w.Code, 200)
	got := runner.got[0]
	is.Equal(got.Contract.Workspace, "hostel")
	is.Equal(got.Deadline.Sub(got.Started), 2*time.Second)
	is.Equal(got.Key, "order-1")
	is.Equal(got.Model, "phrase")
	is.Equal(InstanceOf(got.ID), "a-1")

	follow := func(workspace, key, id string) int {
		req := httptest.NewRequest(http.MethodGet, "/v1/workspaces/"+workspace+"/requests/"+id, http.NoBody)
		req.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, req)
		return w.Code
	}
	is.Equal(follow("hostel", "key-1", got.ID), 200)
	is.Equal(follow("school", "key-2", got.ID), 404)
	is.Equal(follow("hostel", "key-2", got.ID), 401)
}

// TestExpiredLeaseRefusesNewWork guards against work that runs under an outdated configuration.
func TestExpiredLeaseRefusesNewWork(t *testing.T) {
	is := is.New(t)
	e, runner := newServer(-time.Second)
	w := requestSpec{"hostel", "guide", "key-1", "", `{"input":"x"}`}.send(e)
	is.Equal(w.Code, 503)
	is.Equal(len(runner.got), 0)
}

// TestDrainTakesWhatItCannotEnd guards against a request that a draining instance takes though it may outlast the drain.
func TestDrainTakesWhatItCannotEnd(t *testing.T) {
	is := is.New(t)
	ends := time.Now().Add(2 * time.Second)
	e, runner := newServer(time.Minute, func(s *Server) {
		s.MayTake = func(deadline time.Time) bool { return !deadline.After(ends) }
	})
	send := func(body string) int { return requestSpec{"hostel", "guide", "key-1", "", body}.send(e).Code }
	is.Equal(send(`{"input":1,"deadlineMs":4000}`), http.StatusServiceUnavailable)
	is.Equal(len(runner.got), 0)
	is.Equal(send(`{"input":1,"deadlineMs":1000}`), http.StatusOK)
}

// TestLargeBodiesTakeMemory guards against bodies that together take more memory than there is for them.
func TestLargeBodiesTakeMemory(t *testing.T) {
	is := is.New(t)
	e, _ := newServer(time.Minute, func(s *Server) { s.MaxBodyBytes, s.Bodies = 64<<10, exchange.NewMemory(64<<10) })
	body := `{"input":"` + strings.Repeat("x", 20<<10) + `"}`
	is.Equal(requestSpec{"museum", "guide", "key-3", "", body}.send(e).Code, http.StatusOK)
	busy, runner := newServer(time.Minute, func(s *Server) {
		s.MaxBodyBytes, s.Bodies = 64<<10, exchange.NewMemory(64<<10)
		is.NoErr(s.Bodies.Reserve().Grow(80 << 10)) // of another request
	})
	w := requestSpec{"museum", "guide", "key-3", "", body}.send(busy)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), "1")
	is.Equal(len(runner.got), 0)
}

// TestStreamHasAnEnd guards against a stream whose caller can't tell a complete answer from a truncated one: the end
// event must follow the tokens.
func TestStreamHasAnEnd(t *testing.T) {
	is := is.New(t)
	e, _ := newServer(time.Hour)
	w := requestSpec{"hostel", "guide", "key-1", "", `{"input":"x","stream":true}`}.send(e)
	is.Equal(w.Code, 200)
	is.True(strings.HasPrefix(w.Body.String(), "event: token\ndata: {\"offset\":0,\"text\":\"a\"}\n\nevent: end\n"))
}

// TestEntries guards against callers that are sent to an instance that is draining, silent or has no address for
// callers, and against stale entries after the lease of the answering instance expired.
func TestEntries(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	info := func(id, zone string, load float64) wire.InstanceInfo {
		return wire.InstanceInfo{ID: id, Zone: zone, CallerAddress: id, Load: load}
	}
	v := &control.View{Self: info("a", "z1", 0), LeaseUntil: now.Add(time.Second)}
	draining, silent := info("c", "z1", 0), info("d", "z1", 0)
	draining.Draining, silent.Silent = true, true
	for _, i := range []wire.InstanceInfo{info("b", "z2", 0.5), draining, silent, {ID: "e"}} {
		v.Instances = v.Instances.With(i.ID, i)
	}
	got := Entries(v, "", now)
	is.Equal(len(got.Entries), 2)
	weighted := Entries(v, "z1", now).Entries
	for _, e := range weighted {
		is.Equal(e.Weight, map[string]float64{"a": 1, "b": 0.125}[e.Instance])
	}
	b, _ := v.Instances.Get("b")
	b.Capacity, v.Self.Capacity = 3, 1
	capable := &control.View{Self: v.Self, LeaseUntil: v.LeaseUntil, Instances: v.Instances.With("b", b)}
	for _, e := range Entries(capable, "z1", now).Entries {
		is.Equal(e.Weight, map[string]float64{"a": 0.5, "b": 1.5 * 0.125}[e.Instance])
	}
	afterLease := now.Add(time.Hour)
	is.Equal(len(Entries(v, "", afterLease).Entries), 0) // the instances reported by the leader may be out of date
	v.Connected = map[string]bool{"b": true}
	is.Equal(Entries(v, "", afterLease).Entries[0].Instance, "b")
}
