package report

import (
	"plantainlane/standin/scenario"
)

// Report is the figures of one run under one policy.
type Report struct {
	Policy   string `json:"policy"`
	Scenario string `json:"scenario"`
	Seed     int    `json:"seed"`
	// Measured is the part of the run whose arrivals count in groups: all after the warm-up.
	Measured scenario.Window `json:"measured"`
	Overall  Group           `json:"overall"`
	// Workspaces are in the scenario's order.
	Workspaces []Group `json:"workspaces"`
	// Seconds are by arrival, from the start of the run.
	Seconds    []Second    `json:"seconds"`
	Executions Executions  `json:"executions"`
	Cost       []CostLine  `json:"cost"`
	Faults     []FaultLine `json:"faults"`
	Verdicts   []Verdict   `json:"verdicts"`
}

// Group counts requests by outcome.
type Group struct {
	Workspace string `json:"workspace,omitempty"`
	Offered   int    `json:"offered"`
	Whole     int    `json:"whole"`
	Late      int    `json:"late"`
	Wrong     int    `json:"wrong"`
	Refused   int    `json:"refused"`
	Failed    int    `json:"failed"`
	Lost      int    `json:"lost"`
	Unsent    int    `json:"unsent"`
	// Sends counts requests sent, repeated ones too.
	Sends int `json:"sends"`
	// Attainment is Whole over Offered.
	Attainment float64 `json:"attainment"`
	// GoodputPerSecond is Whole over the measured time.
	GoodputPerSecond float64 `json:"goodputPerSecond"`
	// LatencyMs is of whole and late answers, from the scheduled arrival.
	LatencyMs Quantiles `json:"latencyMs"`
	// FirstTokenMs is of streams, from the scheduled arrival.
	FirstTokenMs Quantiles `json:"firstTokenMs"`
	// TokenGapMs is of streams.
	TokenGapMs Quantiles `json:"tokenGapMs"`
	// Problems are the last problems of requests that ended with one.
	Problems []ProblemCount `json:"problems"`
}

// ProblemCount counts the last answers of one kind among requests that were not answered whole.
type ProblemCount struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Count  int    `json:"count"`
}

// Quantiles are of a distribution, in the unit that the field names.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Second is the requests that arrived in one second.
type Second struct {
	Offered int `json:"offered"`
	Whole   int `json:"whole"`
	// P50Ms and P99Ms are the latency of whole and late answers.
	P50Ms float64 `json:"p50Ms"`
	P99Ms float64 `json:"p99Ms"`
}

// Executions compares what callers were told with what fakes ran.
type Executions struct {
	// Calls counts calls that ran or were refused at fakes.
	Calls int `json:"calls"`
	// Ran counts calls that ran.
	Ran int `json:"ran"`
	// First counts pairs of request and stage that ran at least once.
	First int `json:"first"`
	// Amplification is Ran over First.
	Amplification float64 `json:"amplification"`
	// Keys counts non-idempotent requests that ran at a non-idempotent stage.
	Keys int `json:"keys"`
	// MaxPerKey is the most executions of one non-idempotent stage for one request.
	MaxPerKey int `json:"maxPerKey"`
	// DoubledKeys counts requests whose non-idempotent stage ran more than once.
	DoubledKeys int `json:"doubledKeys"`
	// FalseNotRun counts answers that said not run, of requests that had started to run.
	FalseNotRun int `json:"falseNotRun"`
	// NotRunBesideOther counts answers that said not run of one send while another send of the same
	// request had started to run. They are not in FalseNotRun.
	NotRunBesideOther int `json:"notRunBesideOther"`
	// Dropped counts executions that the ledgers don't hold one by one; figures by key are partial if
	// it is not 0.
	Dropped int `json:"dropped"`
	// Unreadable are ledgers that could not be read; all figures here are partial if there are any.
	Unreadable []string `json:"unreadable"`
}

// CostLine compares the cost of a workspace at one kind of stage.
type CostLine struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Path      string `json:"path"`
	// Ledger is what the fakes counted.
	Ledger float64 `json:"ledger"`
	// Charged is what the system charged, useful and wasted; only set if the operator was asked.
	Charged float64 `json:"charged"`
	Useful  float64 `json:"useful"`
	Wasted  float64 `json:"wasted"`
	// Difference is Charged less Ledger.
	Difference float64 `json:"difference"`
}

// FaultLine is a fault order or mark as it happened.
type FaultLine struct {
	AtMs int    `json:"atMs"`
	What string `json:"what"`
}

// Verdict is a target beside what was measured.
type Verdict struct {
	Target scenario.Target `json:"target"`
	Value  float64         `json:"value"`
	Met    bool            `json:"met"`
	// Partial says why the value is not of the whole run; the target is not met then.
	Partial string `json:"partial,omitempty"`
}
