// Package scenario reads the description of a run of load: which workspaces send which requests at which rate, which
// faults are set at which times, and which targets the run should meet.
package scenario

import (
	"time"

	"plantainlane/wire"
)

// Scenario describes one run of load. Times count from the start of the run.
type Scenario struct {
	// Name is printed in reports.
	Name string `json:"name"`
	// Seed determines the arrivals, the requests whose first answer is discarded, and the selection of entries. Inputs
	// differ between runs with the same seed.
	Seed int `json:"seed"`
	// DurationMs is the length of time in which requests arrive.
	DurationMs int `json:"durationMs"`
	// WarmUpMs is the length of the start of the run whose requests don't count in the report's groups.
	WarmUpMs int `json:"warmUpMs"`
	// Entries are the addresses of caller listeners at which the list of entries is read.
	Entries []string `json:"entries"`
	// Fakes are the admin addresses of the processes of fakes.
	Fakes []string `json:"fakes"`
	// Operator is the address of an operator listener at which cost is read; if it is empty, cost is not read.
	Operator string `json:"operator"`
	// OperatorCredential is the credential for the operator listener.
	OperatorCredential string `json:"operatorCredential"`
	// Declarations are files or folders that declare the pipelines, relative to the scenario's folder.
	Declarations []string `json:"declarations"`
	// Workspaces are the workspaces that send requests.
	Workspaces []Workspace `json:"workspaces"`
	// Burst is a periodic increase of all rates over the whole run.
	Burst Burst `json:"burst"`
	// Faults are set at their times.
	Faults []Fault `json:"faults"`
	// Marks are lines printed at their times, so that a script can act then, such as stop a process.
	Marks []Mark `json:"marks"`
	// Targets are the bounds that figures of the run should meet.
	Targets []Target `json:"targets"`
	// Pipelines are the pipelines in Declarations, by name.
	Pipelines map[string]wire.Pipeline `json:"-"`
}

// Workspace is a workspace and its flows of requests.
type Workspace struct {
	Name string `json:"name"`
	// Key is the credential of the workspace.
	Key   string `json:"key"`
	Flows []Flow `json:"flows"`
}

// Flow is a stream of requests to one pipeline whose arrivals are a Poisson process.
type Flow struct {
	// Pipeline is the name of the pipeline.
	Pipeline string `json:"pipeline"`
	// PerSecond is the mean rate of arrivals outside phases and bursts.
	PerSecond float64 `json:"perSecond"`
	// DeadlineMs is the deadline of each request, from its arrival.
	DeadlineMs int `json:"deadlineMs"`
	// Stream requests the answer as a stream of events.
	Stream bool `json:"stream"`
	// MaxTokens is the maximum number of generated tokens that requests state; 0 states none.
	MaxTokens int `json:"maxTokens"`
	// MeanTokens is the mean number of tokens of a stream that the fakes are set to. The expected length of each stream
	// follows from it, so that a stream without its last tokens is detected; 0 skips that check.
	MeanTokens int `json:"meanTokens"`
	// Model is the model that requests state for stages that generate tokens; empty states none.
	Model string `json:"model"`
	// LostAnswerShare is the fraction of requests whose first answer the client discards: it closes the connection
	// after LostAfterMs and, if Sends allows it, sends the request again to another entry. A request that is not
	// idempotent keeps its idempotency key.
	LostAnswerShare float64 `json:"lostAnswerShare"`
	// LostAfterMs is the time from a send whose answer is discarded until its connection is closed; 0 closes it shortly
	// after the deadline, when the request is no longer sent again.
	LostAfterMs int `json:"lostAfterMs"`
	// SendTimeoutMs is how long a client waits for the answer to one send before it sends the request to another entry;
	// 0 waits until shortly after the deadline.
	SendTimeoutMs int `json:"sendTimeoutMs"`
	// Sends is the maximum number of sends of one request. A request is sent again only while its outcome is unknown
	// and its deadline has not passed, with the same idempotency key if the pipeline is not idempotent.
	Sends int `json:"sends"`
	// Phases change the rate of the flow for a time. Where phases overlap, the last one applies.
	Phases []Phase `json:"phases"`
}

// Phase multiplies the rate of a flow by Factor from FromMs until before ToMs.
type Phase struct {
	FromMs int     `json:"fromMs"`
	ToMs   int     `json:"toMs"`
	Factor float64 `json:"factor"`
}

// Burst multiplies all rates by Factor in the first LengthMs of every EveryMs. There are no bursts if EveryMs is 0.
type Burst struct {
	EveryMs  int     `json:"everyMs"`
	LengthMs int     `json:"lengthMs"`
	Factor   float64 `json:"factor"`
}

// Fault is a fault order that is posted at a time. It replaces the previous fault of the fakes that the order selects.
type Fault struct {
	AtMs int `json:"atMs"`
	// Fakes is the admin address that the order is posted to, one of Scenario.Fakes.
	Fakes string          `json:"fakes"`
	Order wire.FaultOrder `json:"order"`
}

// Mark is a name that is printed at a time.
type Mark struct {
	AtMs int    `json:"atMs"`
	Name string `json:"name"`
}

// Window is the part of the run from FromMs until before ToMs. A ToMs of 0 is the end of arrivals.
type Window struct {
	FromMs int `json:"fromMs"`
	ToMs   int `json:"toMs"`
}

// Target sets bounds on one figure of the run.
type Target struct {
	// Metric names the figure.
	Metric Metric `json:"metric"`
	// Workspaces are the workspaces whose requests count; empty means all.
	Workspaces []string `json:"workspaces"`
	// Window is the part of the run whose arrivals count; the zero value is the run after the warm-up.
	Window Window `json:"window"`
	// Reference is the part of the run that attainmentRatio and recoveryMs compare the window with; the zero value is
	// the whole run, the warm-up included.
	Reference Window `json:"reference"`
	// CapacityPerSecond is the number of requests per second that the fakes can answer; goodputOfCapacity divides by it.
	CapacityPerSecond float64 `json:"capacityPerSecond"`
	// AtLeast is the lower bound, nil if there is none.
	AtLeast *float64 `json:"atLeast"`
	// AtMost is the upper bound, nil if there is none.
	AtMost *float64 `json:"atMost"`
}

// Metric is the name of a figure that targets can bound.
type Metric string

// Figures that targets can bound.
const (
	// Attainment is the fraction of requests answered completely within their deadline.
	Attainment Metric = "attainment"
	// AttainmentRatio is the attainment in the window over the attainment in the reference.
	AttainmentRatio Metric = "attainmentRatio"
	// RecoveryMs is the time from the start of the window to the end of its last second whose attainment is below 0.99
	// of the reference's.
	RecoveryMs Metric = "recoveryMs"
	// GoodputOfCapacity is the complete answers within the deadline per second, over CapacityPerSecond.
	GoodputOfCapacity Metric = "goodputOfCapacity"
	// Amplification is the number of executions at fakes over the number of pairs of request and stage executed.
	Amplification Metric = "amplification"
	// ExecutionsPerKey is the maximum number of executions of one request at one non-idempotent stage.
	ExecutionsPerKey Metric = "executionsPerKey"
	// FalseNotRun counts answers which stated "not run" although the work had started.
	FalseNotRun Metric = "falseNotRun"
	// WrongAnswers counts answers marked as complete that were incomplete or belonged to another request.
	WrongAnswers Metric = "wrongAnswers"
	// CostDifference is the largest absolute difference between the charged cost and the fakes' ledgers.
	CostDifference Metric = "costDifference"
)

// Duration returns the length of time in which requests arrive.
func (s *Scenario) Duration() time.Duration { return time.Duration(s.DurationMs) * time.Millisecond }

// Idempotent reports whether every stage of a pipeline is idempotent.
func Idempotent(p wire.Pipeline) bool {
	for _, s := range p.Stages {
		if !s.Idempotent {
			return false
		}
	}
	return true
}
