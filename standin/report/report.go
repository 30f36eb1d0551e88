package report

import (
	"plantainlane/standin/scenario"
)

// Report holds the figures of one run under one policy.
type Report struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     int    `json:"seed"`
	// Measured is the part of the run whose arrivals count in Overall and Workspaces: all after the warm-up.
	Measured scenario.Window `json:"measured"`
	// Overall counts the requests of all workspaces.
	Overall Group `json:"overall"`
	// Workspaces count the requests of each workspace, in the scenario's order.
	Workspaces []Group `json:"workspaces"`
	// Seconds count requests by the second of their arrival, from the start of the run, warm-up included.
	Seconds    []Second    `json:"seconds"`
	Executions Executions  `json:"executions"`
	Cost       []CostLine  `json:"cost"`
	Faults     []FaultLine `json:"faults"`
	// Verdicts are on the targets of the scenario, in their order.
	Verdicts []Verdict `json:"verdicts"`
}

// Group counts the requests of one workspace, or of all, by outcome.
type Group struct {
	// Workspace is empty in the group of all requests.
	Workspace string `json:"workspace,omitempty"`
	// Offered counts requests that arrived. The fields from Whole to Unsent count those with that load.Result, and sum
	// up to Offered.
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
	Late    int `json:"late"`
	Wrong   int `json:"wrong"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	Lost    int `json:"lost"`
	Unsent  int `json:"unsent"`
	// Sends counts sends, including those after the first of a request.
	Sends int `json:"sends"`
	// Attainment is Whole over Offered.
	Attainment float64 `json:"attainment"`
	// GoodputPerSecond is Whole over the length of the measured part of the run in seconds.
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	// LatencyMs is the time from the scheduled arrival to a complete answer, also a late one.
	LatencyMs Quantiles `json:"latencyMs"`
	// FirstTokenMs is the time from the scheduled arrival to the first token of a stream.
	FirstTokenMs Quantiles `json:"firstTokenMs"`
	// TokenGapMs is the time between successive tokens of a stream.
	TokenGapMs Quantiles `json:"tokenGapMs"`
	// Problems count the last answers of requests without a complete answer, the most frequent first.
	Problems []ProblemCount `json:"problems"`
}

// ProblemCount counts the requests without a complete answer whose last answer had this status and problem type.
type ProblemCount struct {
	// Status is the HTTP status, 0 if there was no answer.
	Status int `json:"status"`
	// Type is the problem's type, empty if there was none.
	Type  string `json:"type"`
	Count int    `json:"count"`
}

// Quantiles describe a distribution. The unit of the values is in the name of the field that holds them; Count is the
// number of values.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Second holds the figures of the requests that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
	// P50Ms and P99Ms are quantiles of the latency of complete answers, also late ones.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Executions compares the answers that callers received with the executions that fakes counted.
type Executions struct {
	// Calls counts the calls that fakes received, both executed and refused.
	Calls int `json:"calls"`
	// Ran counts the calls that fakes executed.
	Ran int `json:"ran"`
	// First counts the pairs of request and stage that were executed at least once.
	First int `json:"first"`
	// Amplification is the number of executions of these pairs, by the rows of the ledgers, over First.
	Amplification float64 `json:"amplification"`
	// Keys counts the pairs of request and non-idempotent stage that were executed at least once.
	Keys int `json:"keys"`
	// MaxPerKey is the most executions of one non-idempotent stage for one request.
	MaxPerKey int `json:"maxPerKey"`
	// DoubledKeys counts the pairs of request and non-idempotent stage that were executed more than once.
	DoubledKeys int `json:"doubledKeys"`
	// FalseNotRun counts answers which stated "not run" although the send that they answer had started to run.
	FalseNotRun int `json:"falseNotRun"`
	// NotRunBesideOther counts answers which stated "not run" of their own send while another send of the same request
	// had started to run. They are not in FalseNotRun.
	NotRunBesideOther int `json:"notRunBesideOther"`
	// Dropped counts executions that the ledgers no longer hold as single rows. If it is not 0, all figures but Calls
	// and Ran are partial.
	Dropped int `json:"dropped"`
	// Unreadable are the admin addresses whose ledger could not be read. If there are any, all figures here are partial.
	Unreadable []string `json:"unreadable"`
}

// CostLine compares the cost of a workspace at one path of a service, in cost units.
type CostLine struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Path      string `json:"path"`
	// Ledger is the cost that the fakes counted.
	Ledger float64 `json:"ledger"`
	// Charged is the cost that the system charged, Useful plus Wasted. These fields and Difference are only set if the
	// totals of the system were read.
	Charged float64 `json:"charged"`
	Useful  float64 `json:"useful"`
	Wasted  float64 `json:"wasted"`
	// Difference is Charged less Ledger.
	Difference float64 `json:"difference"`
}

// FaultLine is a fault that was set, or a mark that was printed, at a time of the run.
type FaultLine struct {
	AtMs int `json:"atMs"`
	// What is the fault as JSON, the reason why it was not set, or the name of the mark.
	What string `json:"what"`
}

// Verdict is the measured value of a target and whether it meets the target.
type Verdict struct {
	Target scenario.Target `json:"target"`
	Value  float64         `json:"value"`
	Met    bool            `json:"met"`
	// Partial is the reason why the value does not cover the whole run, if so; the target is not met then.
	Partial string `json:"partial,omitempty"`
}
