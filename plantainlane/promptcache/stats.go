package promptcache

import "time"

// Stats is what an instance's decisions did. The tokens are estimates.
type Stats struct {
	// Decisions is the number of decisions, Kept those for an upstream that has to read less than the one that would have
	// been chosen by load alone, and Waited those of them with a longer wait.
	Decisions int64 `json:"decisions"`
	Kept      int64 `json:"kept"`
	Waited    int64 `json:"waited"`
	// SavedTokens is the sum of Choice.SavedTokens, and ExtraWaitMs that of Choice.ExtraWait in milliseconds.
	SavedTokens int64   `json:"savedTokens"`
	ExtraWaitMs float64 `json:"extraWaitMs"`
	// ReadTokens is what upstreams had to read of the prompts sent.
	ReadTokens int64 `json:"readTokens"`
	// Services holds the estimates for each service.
	Services map[string]ServiceStats `json:"services"`
}

// ServiceStats is what an instance knows of the engines of a service.
type ServiceStats struct {
	// TokensPerMs is the measured speed of reading.
	TokensPerMs float64 `json:"tokensPerMs"`
	// Prefixes and Upstreams are the numbers of those that are known.
	Prefixes  int `json:"prefixes"`
	Upstreams int `json:"upstreams"`
}

// add counts a decision.
func (s *Stats) add(c *Choice) {
	s.Decisions++
	if c.SavedTokens > 0 {
		s.Kept++
		s.SavedTokens += int64(c.SavedTokens)
		if c.ExtraWait >= time.Millisecond {
			s.Waited++
			s.ExtraWaitMs += float64(c.ExtraWait) / float64(time.Millisecond)
		}
	}
}

// Stats returns the sums since the start and the current estimates.
func (e *Estimator) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Services = make(map[string]ServiceStats, len(e.services))
	for name, s := range e.services {
		out.Services[name] = ServiceStats{
			TokensPerMs: 1 / (s.speed.perToken() * 1000), Prefixes: len(s.young) + len(s.old), Upstreams: len(s.caches),
		}
	}
	return out
}
