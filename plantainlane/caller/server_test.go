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
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

type fixedView struct{ view *control.View }

func (f fixedView) View() *control.View { return f.view }

// recordingRunner answers every request and keeps it.
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

type noFinder struct{}

func (noFinder) Find(context.Context, string, string) (*wire.PipelineAnswer, bool) { return nil, false }

func contract(workspace, key string) wire.Contract {
	return wire.Contract{
		Workspace: workspace, Keys: []wire.ContractKey{{ID: "k", Sha256: credential.Hash(key)}},
		Pipelines: []string{"guide", "buy"}, Models: []string{"phrase"},
		DefaultDeadlineMs: 1000, MaxDeadlineMs: 5000, MaxBodyBytes: 200,
	}
}

func newServer(lease time.Duration) (*echo.Echo, *recordingRunner) {
	set := wire.Declarations{
		Contracts: []wire.Contract{contract("hostel", "key-1"), contract("school", "key-2")},
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
		IDs: NewIDs("a-1", 7), KeepFor: time.Second, MaxBodyBytes: 1000,
	}
	e := echo.New()
	s.Register(e)
	return e, runner
}

type ask struct {
	workspace, pipeline, key, idempotency, body string
}

func (a ask) send(e *echo.Echo) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "/v1/workspaces/"+a.workspace+"/pipelines/"+a.pipeline+"/requests", strings.NewReader(a.body))
	if a.key != "" {
		req.Header.Set("Authorization", "Bearer "+a.key)
	}
	if a.idempotency != "" {
		req.Header.Set(keyHeader, a.idempotency)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	return w
}

func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	good := `{"input":"x"}`
	tests := map[string]struct {
		ask    ask
		status int
	}{
		"unknown workspace":      {ask{"nobody", "guide", "key-1", "", good}, 404},
		"no key":                 {ask{"hostel", "guide", "", "", good}, 401},
		"bad key":                {ask{"hostel", "guide", "key-x", "", good}, 401},
		"other workspace's key":  {ask{"hostel", "guide", "key-2", "", good}, 401},
		"unknown pipeline":       {ask{"hostel", "nothing", "key-1", "", good}, 404},
		"pipeline not allowed":   {ask{"hostel", "other", "key-1", "", good}, 403},
		"malformed body":         {ask{"hostel", "guide", "key-1", "", `{"input":`}, 400},
		"empty body":             {ask{"hostel", "guide", "key-1", "", ``}, 400},
		"trailing text":          {ask{"hostel", "guide", "key-1", "", good + good}, 400},
		"unknown field":          {ask{"hostel", "guide", "key-1", "", `{"input":"x","surplus":1}`}, 400},
		"no input":               {ask{"hostel", "guide", "key-1", "", `{}`}, 400},
		"negative deadline":      {ask{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":-1}`}, 400},
		"absurd deadline":        {ask{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":9000000}`}, 400},
		"deadline over integer":  {ask{"hostel", "guide", "key-1", "", `{"input":"x","deadlineMs":1e300}`}, 400},
		"no tokens":              {ask{"hostel", "guide", "key-1", "", `{"input":"x","maxTokens":0}`}, 400},
		"model not allowed":      {ask{"hostel", "guide", "key-1", "", `{"input":"x","model":"big"}`}, 403},
		"body over the contract": {ask{"hostel", "guide", "key-1", "", `{"input":"` + strings.Repeat("x", 300) + `"}`}, 413},
		"no idempotency key":     {ask{"hostel", "buy", "key-1", "", good}, 400},
		"long idempotency key":   {ask{"hostel", "buy", "key-1", strings.Repeat("x", 129), good}, 400},
		"odd idempotency key":    {ask{"hostel", "buy", "key-1", "a b", good}, 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, runner := newServer(time.Hour)
			w := tt.ask.send(e)
			is.Equal(w.Code, tt.status)
			var p wire.Problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			is.Equal(p.Execution, "notRun")
			is.Equal(len(runner.got), 0)
			is.True(!strings.Contains(w.Body.String(), "key-"))
		})
	}
}

func TestRequestIsRunUnderItsContract(t *testing.T) {
	is := is.New(t)
	e, runner := newServer(time.Hour)
	w := ask{"hostel", "buy", "key-1", "order-1", `{"input":"x","deadlineMs":2000}`}.send(e)
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

func TestLapsedLeaseRefusesNewWork(t *testing.T) {
	is := is.New(t)
	e, runner := newServer(-time.Second)
	w := ask{"hostel", "guide", "key-1", "", `{"input":"x"}`}.send(e)
	is.Equal(w.Code, 503)
	is.Equal(len(runner.got), 0)
}

func TestStreamHasAnEnd(t *testing.T) {
	is := is.New(t)
	e, _ := newServer(time.Hour)
	w := ask{"hostel", "guide", "key-1", "", `{"input":"x","stream":true}`}.send(e)
	is.Equal(w.Code, 200)
	is.True(strings.HasPrefix(w.Body.String(), "event: token\ndata: {\"offset\":0,\"text\":\"a\"}\n\nevent: end\n"))
}

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
	near := Entries(v, "z1", now).Entries
	for _, e := range near {
		is.Equal(e.Weight, map[string]float64{"a": 1, "b": 0.125}[e.Instance])
	}
	lapsed := now.Add(time.Hour)
	is.Equal(len(Entries(v, "", lapsed).Entries), 0) // what the leader said is old
	v.Connected = map[string]bool{"b": true}
	is.Equal(Entries(v, "", lapsed).Entries[0].Instance, "b")
}
