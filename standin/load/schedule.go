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
	// ID is unique over runs; non-idempotent requests use it as their key.
	ID string
	// Arrival is when it arrives, from the start of the run.
	Arrival   time.Duration
	Workspace string
	Key       string
	Flow      scenario.Flow
	Pipeline  wire.Pipeline
	// Idempotent reports whether every stage may be repeated.
	Idempotent bool
	// LoseAnswer makes the client drop its first answer.
	LoseAnswer bool
	Input      json.RawMessage
	// InputDigests are the digests of the input of each stage, in the order of the stages.
	InputDigests []string
	// Want is the output of the last stage.
	Want chain.Output
}

// Deadline returns how long after its arrival the request's answer is in time.
func (r *Request) Deadline() time.Duration {
	return time.Duration(r.Flow.DeadlineMs) * time.Millisecond
}

// streams reports whether the last stage generates tokens.
func (r *Request) streams() bool { return r.Pipeline.Stages[len(r.Pipeline.Stages)-1].Streams }

// Schedule returns the arrivals of a scenario in order, at most limit. The nonce makes inputs and
// keys differ between runs; arrivals depend on the seed alone.
func Schedule(s *scenario.Scenario, nonce string, limit int) ([]*Request, error) {
	var all []*Request
	for wi, w := range s.Workspaces {
		for fi, f := range w.Flows {
			r := rand.New(rand.NewPCG(uint64(s.Seed), uint64(wi*1000+fi+1)))
			for i, at := range arrivals(r, s, f) {
				id := fmt.Sprintf("%s-%s-%d-%d", nonce, w.Name, fi, i)
				req, err := newRequest(s, w, f, id)
				if err != nil {
					return nil, err
				}
				req.Arrival = at
				req.LoseAnswer = r.Float64() < f.LostAnswerShare
				all = append(all, req)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return all[:min(limit, len(all))], nil
}

// arrivals draws a Poisson process of varying rate, by thinning one of the greatest rate.
func arrivals(r *rand.Rand, s *scenario.Scenario, f scenario.Flow) []time.Duration {
	greatest := max(s.Burst.Factor, 1)
	top := 1.0
	for _, p := range f.Phases {
		top = max(top, p.Factor)
	}
	greatest *= top
	var times []time.Duration
	gap := float64(time.Second) / (f.PerSecond * greatest)
	for at := r.ExpFloat64() * gap; at < float64(s.Duration()); at += r.ExpFloat64() * gap {
		t := time.Duration(at)
		if r.Float64()*greatest < factorAt(s, f, t) {
			times = append(times, t)
		}
	}
	return times
}

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

type input struct {
	Request string `json:"request"`
	Text    string `json:"text"`
}

func newRequest(s *scenario.Scenario, w scenario.Workspace, f scenario.Flow, id string) (*Request, error) {
	p := s.Pipelines[f.Pipeline]
	body, err := json.Marshal(input{Request: id, Text: "where is the pharmacy"})
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
