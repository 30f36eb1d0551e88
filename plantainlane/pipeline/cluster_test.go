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

// cluster simulates the replicated state and the upstreams that the instances of a test share. It is also the
// UpstreamClient and the Recorder of the instances.
type cluster struct {
	mu    sync.Mutex
	state *state.State
	// ran counts executions on upstreams by stage path.
	ran map[string]int
	// calls counts calls by upstream address.
	calls map[string]int
	// respond returns the outcome of a call. It calls run if the work is to count as executed.
	respond func(ctx context.Context, call upstream.Call, run func()) (upstream.Answer, error)
	events  []wire.Event
}

func newCluster() *cluster {
	cl := &cluster{state: &state.State{}, ran: map[string]int{}, calls: map[string]int{}}
	cl.respond = func(_ context.Context, call upstream.Call, run func()) (upstream.Answer, error) {
		run()
		return answerTo(call), nil
	}
	return cl
}

// answerTo returns an answer that differs for each attempt and reports a cost of 2 units.
func answerTo(call upstream.Call) upstream.Answer {
	out, _ := json.Marshal(call.Path + ":" + call.Attempt)
	return upstream.Answer{Output: out, Cost: 2, Reported: true}
}

func (cl *cluster) Do(ctx context.Context, call upstream.Call) (upstream.Answer, error) {
	cl.mu.Lock()
	cl.calls[call.Address]++
	cl.mu.Unlock()
	return cl.respond(ctx, call, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.ran[call.Path]++
	})
}

// Stream sends no tokens: tests of streams use engineCluster.
func (cl *cluster) Stream(context.Context, upstream.Call, func(upstream.Token) error) (upstream.End, error) {
	return upstream.End{}, nil
}

func (cl *cluster) Record(_ time.Time, e wire.Event) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.events = append(cl.events, e)
}

// apply applies a command to the replicated state, as if it were committed.
func (cl *cluster) apply(cmd wire.Command) wire.ProposeAnswer {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out, err := cl.state.Apply(cmd)
	if err != nil {
		return wire.ProposeAnswer{Refusal: err.Error()}
	}
	return wire.ProposeAnswer{Committed: true, Claim: out.Claim}
}

// committer is the Committer of an instance. The hook before, if set, reports whether a command is delivered, and the
// hook after whether the answer is. If either is lost, Propose blocks until its context ends and returns no answer.
type committer struct {
	cluster *cluster
	before  func(cmd wire.Command) bool
	after   func(cmd wire.Command) bool
}

func (c *committer) Propose(ctx context.Context, cmd wire.Command) wire.ProposeAnswer {
	if c.before != nil && !c.before(cmd) {
		<-ctx.Done()
		return wire.ProposeAnswer{}
	}
	a := c.cluster.apply(cmd)
	if c.after != nil && !c.after(cmd) {
		<-ctx.Done()
		return wire.ProposeAnswer{}
	}
	return a
}

// instance is an instance of a cluster. kill cancels its background context, as when its process is killed.
type instance struct {
	*Runner
	committer *committer
	kill      context.CancelFunc
	ledger    *cost.Ledger
}

var contract = wire.Contract{
	Workspace: "w", Rate: wire.Rate{PerSecond: 10000, Burst: 10000}, Concurrency: 1000,
	Tokens: wire.Rate{PerSecond: 1e6, Burst: 1e6}, MaxResultBytes: 1000, Priority: 5,
}

// pipelineOf returns a pipeline whose stages all run on service s.
func pipelineOf(stages ...wire.Stage) *wire.Pipeline {
	for i := range stages {
		stages[i].Service, stages[i].CostUnits, stages[i].DeadlineShare = "s", 2, 0.3
		stages[i].Path = "/" + stages[i].Name
	}
	return &wire.Pipeline{Name: "p", Stages: stages}
}

// newInstance registers an instance that knows the given number of upstreams of service s. The instance holds a grant
// of the whole contract for a day, so that limits play no part in the tests.
func (cl *cluster) newInstance(t *testing.T, id string, upstreams int, policy wire.UpstreamPolicy) *instance {
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
	cl.apply(wire.Command{Register: &wire.InstanceInfo{ID: id, Incarnation: 1}})
	c := &committer{cluster: cl}
	ledger := cost.New()
	return &instance{
		Runner: &Runner{
			Instance: id, Incarnation: 1, Picker: services, Client: cl, Committer: c, Recorder: cl, Observer: metric.New(),
			Admission: limiter, Services: services, Ledger: ledger, Background: background,
		},
		committer: c, kill: kill, ledger: ledger,
	}
}

// requests is the number of requests made by newRequest, for unique IDs.
var requests int

// newRequest returns a request that starts now. The deadline is relative to now.
func newRequest(p *wire.Pipeline, key string, deadline time.Duration) *Request {
	requests++
	return &Request{
		ID: fmt.Sprint("r", requests), Contract: &contract, Pipeline: p, Key: key, Digest: "d",
		Input: json.RawMessage(`"in"`), Started: time.Now(), Deadline: time.Now().Add(deadline),
	}
}
