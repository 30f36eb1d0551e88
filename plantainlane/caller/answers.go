package caller

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"plantainlane/wire"
)

// Status of a request, as wire.PipelineAnswer carries it.
const (
	StatusRunning  = "running"
	StatusComplete = "complete"
)

// IDs makes request IDs that name the instance that runs the request.
type IDs struct {
	prefix string
	last   atomic.Int64
}

const (
	idSeparator = "-"
	idBase      = 36
)

// NewIDs returns a source of IDs for one incarnation of an instance.
func NewIDs(instance string, incarnation int) *IDs {
	return &IDs{prefix: instance + idSeparator + strconv.FormatInt(int64(incarnation), idBase) + idSeparator}
}

// Next returns an ID that no other call returned.
func (i *IDs) Next() string {
	return i.prefix + strconv.FormatInt(i.last.Add(1), idBase)
}

// InstanceOf returns the instance that runs a request; empty for a malformed ID.
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

// maxAnswers is the number of outcomes kept for follow-up.
const maxAnswers = 4096

// Answers keeps the newest outcomes of this instance's requests. Several goroutines may use it.
type Answers struct {
	mu    sync.Mutex
	rows  map[string]wire.PipelineAnswer
	owner map[string]string
	order []string
}

// NewAnswers returns an empty set.
func NewAnswers() *Answers {
	return &Answers{rows: make(map[string]wire.PipelineAnswer), owner: make(map[string]string)}
}

// Start notes a request under way.
func (a *Answers) Start(workspace, id string) {
	a.put(workspace, id, wire.PipelineAnswer{RequestID: id, Status: StatusRunning})
}

// Fail notes what is known of a request that was not answered.
func (a *Answers) Fail(workspace, id, execution string) {
	a.put(workspace, id, wire.PipelineAnswer{RequestID: id, Status: execution})
}

// Finish notes the answer of a request.
func (a *Answers) Finish(workspace, id string, answer *wire.PipelineAnswer) {
	a.put(workspace, id, *answer)
}

// Get returns the outcome of a request of a workspace.
func (a *Answers) Get(workspace, id string) (wire.PipelineAnswer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owner[id] != workspace {
		return wire.PipelineAnswer{}, false
	}
	row, ok := a.rows[id]
	return row, ok
}

func (a *Answers) put(workspace, id string, row wire.PipelineAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.rows[id]; !ok {
		a.order = append(a.order, id)
	}
	a.rows[id], a.owner[id] = row, workspace
	for len(a.order) > maxAnswers {
		delete(a.rows, a.order[0])
		delete(a.owner, a.order[0])
		a.order = a.order[1:]
	}
}
