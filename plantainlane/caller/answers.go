package caller

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"plantainlane/wire"
)

// Values of wire.PipelineAnswer.Status. A failed request has its execution (pipeline.NotRun, Unknown or Ran) as status.
const (
	StatusRunning  = "running"
	StatusComplete = "complete"
)

// IDs generates request IDs. An ID contains the instance that runs the request, its incarnation and a counter, so that
// it is unique and InstanceOf can find the instance.
type IDs struct {
	prefix string
	last   atomic.Int64
}

// Format of a request ID: instance, incarnation and counter, separated by idSeparator, numbers in base idBase.
const (
	idSeparator = "-"
	idBase      = 36
)

// NewIDs returns a generator of IDs for one incarnation of an instance.
func NewIDs(instance string, incarnation int) *IDs {
	return &IDs{prefix: instance + idSeparator + strconv.FormatInt(int64(incarnation), idBase) + idSeparator}
}

// Next returns a new ID. It is safe for concurrent use.
func (i *IDs) Next() string {
	return i.prefix + strconv.FormatInt(i.last.Add(1), idBase)
}

// InstanceOf returns the ID of the instance that runs the request with the given ID; empty for a malformed ID.
func InstanceOf(id string) string {
	for range 2 {
		cut := strings.LastIndex(id, idSeparator)
		if cut < 0 {
			return ""
		}
		id = id[:cut]
	}
	return id
}

// maxAnswers is the number of outcomes that an instance keeps for callers that query them later.
const maxAnswers = 4096

// Answers holds the outcomes of the last maxAnswers requests of this instance. The outcome of a request without an
// answer has only its status. Answers is safe for concurrent use.
type Answers struct {
	mu sync.Mutex
	// answers holds the outcomes by request ID.
	answers map[string]wire.PipelineAnswer
	// workspaces holds the workspace of each request ID.
	workspaces map[string]string
	// ids holds the request IDs, oldest first, for eviction.
	ids []string
}

// NewAnswers returns empty Answers.
func NewAnswers() *Answers {
	return &Answers{answers: make(map[string]wire.PipelineAnswer), workspaces: make(map[string]string)}
}

// Start records a request that started.
func (a *Answers) Start(workspace, id string) {
	a.put(workspace, id, wire.PipelineAnswer{RequestID: id, Status: StatusRunning})
}

// Fail records a request that failed. execution is pipeline.NotRun, Unknown or Ran.
func (a *Answers) Fail(workspace, id, execution string) {
	a.put(workspace, id, wire.PipelineAnswer{RequestID: id, Status: execution})
}

// Finish records the answer of a request that completed.
func (a *Answers) Finish(workspace, id string, answer *wire.PipelineAnswer) {
	a.put(workspace, id, *answer)
}

// Get returns the outcome of a request. It returns false if the outcome isn't held or the request belongs to another
// workspace.
func (a *Answers) Get(workspace, id string) (wire.PipelineAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.workspaces[id] != workspace {
		return wire.PipelineAnswer{}, false
	}
	answer, ok := a.answers[id]
	return answer, ok
}

// put stores an outcome and evicts the oldest ones above maxAnswers.
func (a *Answers) put(workspace, id string, answer wire.PipelineAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.answers[id]; !ok {
		a.ids = append(a.ids, id)
	}
	a.answers[id], a.workspaces[id] = answer, workspace
	for len(a.ids) > maxAnswers {
		delete(a.answers, a.ids[0])
		delete(a.workspaces, a.ids[0])
		a.ids = a.ids[1:]
	}
}
