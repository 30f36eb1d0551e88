// Package scenario describes a run of load: who asks for what and how often, which faults are set
// when, and what the run should show.
package scenario

import (
	"time"

	"plantainlane/wire"
)

// Scenario is one run of load. Times count from its start.
type Scenario struct {
	// Name is printed with results.
	Name string `json:"name"`
	// Seed determines arrivals, inputs and clients' choices.
	Seed int `json:"seed"`
	// DurationMs is how long requests arrive.
	DurationMs int `json:"durationMs"`
	// WarmUpMs is the part at the start that no attainment counts.
	WarmUpMs int `json:"warmUpMs"`
	// Entries are the caller listeners to ask for entries.
	Entries []string `json:"entries"`
	// Fakes are the admin addresses of the fakes.
	Fakes []string `json:"fakes"`
	// Operator is an operator listener to read cost from; empty reads none.
	Operator string `json:"operator"`
	// OperatorCredential is presented there.
	OperatorCredential string `json:"operatorCredential"`
	// Declarations are files with the pipelines, relative to the scenario's file.
	Declarations []string `json:"declarations"`
	// Workspaces are the callers.
	Workspaces []Workspace `json:"workspaces"`
	// Burst repeats over the whole run.
	Burst Burst `json:"burst"`
	// Faults are set at their times, in order.
	Faults []Fault `json:"faults"`
	// Marks are printed at their times, for a script to act on.
	Marks []Mark `json:"marks"`
	// Targets are what the run should show.
	Targets []Target `json:"targets"`
	// Pipelines are read from Declarations, by name.
	Pipelines map[string]wire.Pipeline `json:"-"`
}

// Workspace is a caller with its key and flows of requests.
type Workspace struct {
	Name  string `json:"name"`
	Key   string `json:"key"`
	Flows []Flow `json:"flows"`
}

// Flow is a Poisson flow of requests on one pipeline.
type Flow struct {
	// Pipeline is the pipeline's name.
	Pipeline string `json:"pipeline"`
	// PerSecond is the mean rate of arrivals.
	PerSecond float64 `json:"perSecond"`
	// DeadlineMs is each request's deadline, counted from its arrival.
	DeadlineMs int `json:"deadlineMs"`
	// Stream asks for streamed events.
	Stream bool `json:"stream"`
	// MaxTokens bounds generated tokens, if more than 0.
	MaxTokens int `json:"maxTokens"`
	// MeanTokens is the mean length of streams that the fakes are set to, so that a stream that misses
	// its last tokens is found out; 0 does not check that.
	MeanTokens int `json:"meanTokens"`
	// Model is the model generating stages use.
	Model string `json:"model"`
	// LostAnswerShare is the share of requests whose first answer the client drops: it closes the
	// connection after LostAfterMs and sends again under the same key to another entry.
	LostAnswerShare float64 `json:"lostAnswerShare"`
	// LostAfterMs is when the connection of such a request is closed.
	LostAfterMs int `json:"lostAfterMs"`
	// SendTimeoutMs is when a client gives a send up as silent and asks another entry; 0 waits for the
	// deadline.
	SendTimeoutMs int `json:"sendTimeoutMs"`
	// Sends is how often a request is sent at most. Only sends whose outcome is unknown are repeated,
	// with the same key where the pipeline is not idempotent.
	Sends int `json:"sends"`
	// Phases change the rate for a time.
	Phases []Phase `json:"phases"`
}

// Phase multiplies the rate of a flow from one time to another.
type Phase struct {
	FromMs int     `json:"fromMs"`
	ToMs   int     `json:"toMs"`
	Factor float64 `json:"factor"`
}

// Burst multiplies all rates by Factor for LengthMs every EveryMs.
type Burst struct {
	EveryMs  int     `json:"everyMs"`
	LengthMs int     `json:"lengthMs"`
	Factor   float64 `json:"factor"`
}

// Fault is a fault order at a time.
type Fault struct {
	AtMs int `json:"atMs"`
	// Fakes is the admin address to post the order to.
	Fakes string          `json:"fakes"`
	Order wire.FaultOrder `json:"order"`
}

// Mark is a line printed at a time.
type Mark struct {
	AtMs int    `json:"atMs"`
	Name string `json:"name"`
}

// Window is a part of the run. A zero ToMs is the end of arrivals.
type Window struct {
	FromMs int `json:"fromMs"`
	ToMs   int `json:"toMs"`
}

// Target bounds one figure of the run.
type Target struct {
	// Metric names the figure.
	Metric Metric `json:"metric"`
	// Workspaces are those whose requests count; empty for all.
	Workspaces []string `json:"workspaces"`
	// Window is the part of the run whose arrivals count; the zero value is all after the warm-up.
	Window Window `json:"window"`
	// Reference is what attainmentRatio and recoveryMs compare with.
	Reference Window `json:"reference"`
	// CapacityPerSecond is what goodputOfCapacity divides by.
	CapacityPerSecond float64 `json:"capacityPerSecond"`
	// AtLeast is the least value that meets the target.
	AtLeast *float64 `json:"atLeast"`
	// AtMost is the greatest value that meets the target.
	AtMost *float64 `json:"atMost"`
}

// Metric names a figure.
type Metric string

// Figures that targets bound.
const (
	// Attainment is the share of requests answered whole within their deadline.
	Attainment Metric = "attainment"
	// AttainmentRatio is the attainment of the window over that of the reference.
	AttainmentRatio Metric = "attainmentRatio"
	// RecoveryMs is how long after the window's start the last second ends whose attainment is under
	// 0.99 of the reference's.
	RecoveryMs Metric = "recoveryMs"
	// GoodputOfCapacity is whole answers in time a second over the capacity.
	GoodputOfCapacity Metric = "goodputOfCapacity"
	// Amplification is executions at fakes over first executions.
	Amplification Metric = "amplification"
	// ExecutionsPerKey is the most executions of one non-idempotent request at one stage.
	ExecutionsPerKey Metric = "executionsPerKey"
	// FalseNotRun counts answers that said not run of work that ran.
	FalseNotRun Metric = "falseNotRun"
	// WrongAnswers counts answers given as whole that were another's or incomplete.
	WrongAnswers Metric = "wrongAnswers"
	// CostDifference is the largest difference between cost charged and the fakes' ledgers.
	CostDifference Metric = "costDifference"
)

// Duration returns how long requests arrive.
func (s *Scenario) Duration() time.Duration { return time.Duration(s.DurationMs) * time.Millisecond }

// Idempotent reports whether every stage of a pipeline may be repeated.
func Idempotent(p wire.Pipeline) bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}
