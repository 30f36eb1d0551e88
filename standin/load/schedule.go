package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"plantainlane/standin/chain"
	"plantainlane/standin/scenario"
	"plantainlane/wire"
)

// Request is one request of a schedule.
type Request struct {
	// ID is unique over all runs. Requests that are not idempotent use it as their idempotency key.
	ID string
	// Arrival is the scheduled time of the first send, from the start of the run.
	Arrival   time.Duration
	Workspace string
	// Key is the workspace's credential.
	Key      string
	Flow     scenario.Flow
	Pipeline wire.Pipeline
	// Idempotent is set if every stage of the pipeline is idempotent.
	Idempotent bool
	// LoseAnswer makes the client discard the answer to the first send.
	LoseAnswer bool
	// Input is the input of the pipeline, and so of its first stage.
	Input json.RawMessage
	// InputDigests are the digests of the input of each stage, in the order of the stages.
	InputDigests []string
	// Want is the expected output of the last stage.
	Want chain.Output
}

// Deadline returns the request's deadline as a duration from its arrival.
func (r *Request) Deadline() time.Duration {
	return time.Duration(r.Flow.DeadlineMs) * time.Millisecond
}

// streams reports whether the last stage generates tokens.
func (r *Request) streams() bool { return r.Pipeline.Stages[len(r.Pipeline.Stages)-1].Streams }

// Schedule returns the first limit requests of a scenario in order of arrival. Arrivals and LoseAnswer depend only on
// the scenario and its seed. The nonce is part of each ID, so that inputs and idempotency keys differ between runs.
func Schedule(s *scenario.Scenario, nonce string, limit int) ([]*Request, error) {
	var requests []*Request
	for workspaceIndex, w := range s.Workspaces {
		for flowIndex, f := range w.Flows {
			// Each flow draws from its own sequence, so that a change of one flow doesn't change the others.
			r := rand.New(rand.NewPCG(uint64(s.Seed), uint64(workspaceIndex*1000+flowIndex+1)))
			for i, at := range arrivals(r, s, f) {
				id := fmt.Sprintf("%s-%s-%d-%d", nonce, w.Name, flowIndex, i)
				req, err := newRequest(s, w, f, id)
				if err != nil {
					return nil, err
				}
				req.Arrival = at
				req.LoseAnswer = r.Float64() < f.LostAnswerShare
				requests = append(requests, req)
			}
		}
	}
	slices.SortStableFunc(requests, func(a, b *Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return requests[:min(limit, len(requests))], nil
}

// arrivals returns the arrival times of a flow: a Poisson process whose rate varies with phases and bursts. It draws
// arrivals at the highest rate and keeps each with the probability of the rate at its time over the highest rate
// (thinning).
func arrivals(r *rand.Rand, s *scenario.Scenario, f scenario.Flow) []time.Duration {
	maxFactor := max(s.Burst.Factor, 1)
	maxPhaseFactor := 1.0
	for _, p := range f.Phases {
		maxPhaseFactor = max(maxPhaseFactor, p.Factor)
	}
	maxFactor *= maxPhaseFactor
	var times []time.Duration
	meanGap := float64(time.Second) / (f.PerSecond * maxFactor)
	for at := r.ExpFloat64() * meanGap; at < float64(s.Duration()); at += r.ExpFloat64() * meanGap {
		t := time.Duration(at)
		if r.Float64()*maxFactor < factorAt(s, f, t) {
			times = append(times, t)
		}
	}
	return times
}

// factorAt returns the factor of a flow's mean rate at a time: that of its phase times that of a burst.
func factorAt(s *scenario.Scenario, f scenario.Flow, at time.Duration) float64 {
	ms := int(at.Milliseconds())
	factor := 1.0
	for _, p := range f.Phases {
		if ms >= p.FromMs && ms < p.ToMs {
			factor = p.Factor
		}
	}
	if s.Burst.EveryMs > 0 && ms%s.Burst.EveryMs < s.Burst.LengthMs {
		factor *= s.Burst.Factor
	}
	return factor
}

// requestInput is the input of the first stage. The ID makes the input of each request different.
type requestInput struct {
	Request string `json:"request"`
	Text    string `json:"text"`
}

// newRequest returns a request of a flow with its expected output, for which it derives the output of each stage from
// the input of the stage.
func newRequest(s *scenario.Scenario, w scenario.Workspace, f scenario.Flow, id string) (*Request, error) {
	p := s.Pipelines[f.Pipeline]
	body, err := json.Marshal(requestInput{Request: id, Text: "where is the pharmacy"})
	if err != nil {
		return nil, err
	}
	req := &Request{
		ID: id, Workspace: w.Name, Key: w.Key, Flow: f, Pipeline: p, Idempotent: scenario.Idempotent(p), Input: body,
	}
	for _, stage := range p.Stages {
		digest, err := chain.InputDigest(body)
		if err != nil {
			return nil, err
		}
		req.InputDigests = append(req.InputDigests, digest)
		req.Want = chain.Derive(stage.Path, digest)
		if body, err = json.Marshal(req.Want); err != nil {
			return nil, err
		}
	}
	return req, nil
}
