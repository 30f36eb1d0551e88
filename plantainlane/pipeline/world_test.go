package pipeline

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"plantainlane/plantainlane/cost"
	"plantainlane/plantainlane/limit"
	"plantainlane/plantainlane/metric"
	"plantainlane/plantainlane/route"
	"plantainlane/plantainlane/state"
	"plantainlane/plantainlane/upstream"
	"plantainlane/wire"
)

// world is the replicated state, the upstreams and the instances of a test.
type world struct {
	mu    sync.Mutex
	state *state.State
	// ran counts executions on upstreams by stage path and input.
	ran map[string]int
	// calls counts calls by upstream address.
	calls map[string]int
	// respond answers a call. Run counts an execution.
	respond func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error)
	events  []wire.Event
}

func newWorld() *world {
	w := &world{state: &state.State{}, ran: map[string]int{}, calls: map[string]int{}}
	w.respond = func(_ context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
		run()
		return answerTo(call), nil
	}
	return w
}

func answerTo(call upstream.Call) upstream.Answer {
	out, _ := json.Marshal(call.Path + ":" + call.Attempt)
	return upstream.Answer{Output: out, Cost: 2, Reported: true}
}

func (w *world) Do(ctx context.Context, call upstream.Call) (upstream.Answer, error) {
	w.mu.Lock()
	w.calls[call.Address]++
	w.mu.Unlock()
	return w.respond(ctx, call, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.ran[call.Path]++
	})
}

func (w *world) Stream(context.Context, upstream.Call, func(upstream.Token) error) (upstream.End, error) {
	return upstream.End{}, nil
}

func (w *world) Record(_ time.Time, e wire.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

func (w *world) apply(cmd wire.Command) wire.ProposeAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	out, err := w.state.Apply(cmd)
	if err != nil {
		return wire.ProposeAnswer{Refusal: err.Error()}
	}
	return wire.ProposeAnswer{Committed: true, Claim: out.Claim}
}

// committer is one instance's way to the control log. Before and after are called around each commit and
// report whether the command, or the answer to it, gets through.
type committer struct {
	world  *world
	before func(cmd wire.Command) bool
	after  func(cmd wire.Command) bool
}

func (c *committer) Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer {
	if c.before != nil && !c.before(cmd) {
		<-ctx.Done()
		return wire.ProposeAnswer{}
	}
	a := c.world.apply(cmd)
	if c.after != nil && !c.after(cmd) {
		<-ctx.Done()
		return wire.ProposeAnswer{}
	}
	return a
}

// entry is one instance of a world.
type entry struct {
	*Runner
	committer *committer
	kill      context.CancelFunc
	ledger    *cost.Ledger
}

var contract = wire.Contract{
	Workspace: "w", Rate: wire.Rate{PerSecond: 10000, Burst: 10000}, Concurrency: 1000,
	Tokens: wire.Rate{PerSecond: 1e6, Burst: 1e6}, MaxResultBytes: 1000, Priority: 5,
}

func pipelineOf(stages ...wire.Stage) *wire.Pipeline {
	for i := range stages {
		stages[i].Service, stages[i].CostUnits, stages[i].DeadlineShare = "s", 2, 0.3
		stages[i].Path = "/" + stages[i].Name
	}
	return &wire.Pipeline{Name: "p", Stages: stages}
}

// newEntry starts an instance that knows the given number of upstreams of service s.
func (w *world) newEntry(t *testing.T, id string, upstreams int, policy wire.UpstreamPolicy) *entry {
	now := time.Now()
	background, kill := context.WithCancel(context.Background())
	t.Cleanup(kill)
	policy.Service = "s"
	services := NewServices(route.New(now.Add(-time.Hour), "r", "z"), func() int { return 1 })
	services.SetPolicies([]wire.UpstreamPolicy{policy})
	for i := range upstreams {
		services.Apply(now.Add(-time.Hour), wire.Announcement{
			ID: fmt.Sprint("u", i), Address: fmt.Sprint("u", i), Service: "s", Region: "r", Zone: "z",
			Capacity: 100, Incarnation: 1, Sequence: 1,
		})
	}
	services.Review(now)
	limiter := limit.New(now.Add(-time.Hour))
	limiter.SetContracts(now.Add(-time.Hour), state.Config{}.With(wire.Declarations{Contracts: []wire.Contract{contract}}, nil, 1).Contracts)
	request := limiter.GrantRequest(now.Add(-time.Hour), "leader", id, 1)
	limiter.ApplyGrant(now.Add(-time.Hour), wire.GrantAnswer{Sequence: request.Sequence, DurationMs: 24 * 3600_000, Grants: []wire.Grant{{
		Workspace: "w", Requests: contract.Rate, Tokens: contract.Tokens, Concurrency: contract.Concurrency,
	}}})
	w.apply(wire.Command{Register: &wire.InstanceInfo{ID: id, Incarnation: 1}})
	c := &committer{world: w}
	ledger := cost.New()
	return &entry{
		Runner: &Runner{
			Instance: id, Incarnation: 1, Picker: services, Caller: w, Committer: c, Recorder: w, Observer: metric.New(),
			Admission: limiter, Services: services, Ledger: ledger, Background: background,
		},
		committer: c, kill: kill, ledger: ledger,
	}
}

var requests int

func newRequest(p *wire.Pipeline, key string, deadline time.Duration) *Request {
	requests++
	return &Request{
		ID: fmt.Sprint("r", requests), Contract: &contract, Pipeline: p, Key: key, Digest: "d",
		Input: json.RawMessage(`"in"`), Started: time.Now(), Deadline: time.Now().Add(deadline),
	}
}
