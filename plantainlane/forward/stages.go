package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/site"
	"plantainlane/wire"
)

// Dispatcher queues the pieces of stages and runs them in batches. It is safe for concurrent use.
type Dispatcher interface {
	// Run runs the pieces of a job and waits for their results until ctx ends.
	Run(ctx context.Context, service string, job batch.Job) batch.Outcome
	// Release tells the owner of the queue that results of a service, most of which are in a zone, are no longer needed.
	Release(service, zone string, handles []string)
	// WaitTimes returns the last published wait times of a service's queue for a zone; zero if none are known.
	WaitTimes(service, zone string) batch.WaitTimes
	// Reported records the load that an upstream reported to this instance, for the other instances.
	Reported(upstream string, load wire.UpstreamLoad)
}

// stageError reports a stage that was not completed.
type stageError struct {
	stage   int
	outcome batch.Outcome
}

func (e *stageError) Error() string { return "stage not made: " + string(e.outcome.Reason) }

// maxRestarts bounds how often all stages are run again because a result was gone. The bound applies separately to
// results gone for another stage (stageRun.run) and to results gone for the request itself (request.run).
const maxRestarts = 2

// stageRun runs the stages of one request.
type stageRun struct {
	dispatcher Dispatcher
	site       *site.Site
	route      *site.Route
	call       *Call
	// zone in which the request is expected to run.
	zone     string
	received time.Time
	// deadline for the request's answer, or for its first event if the route has a FirstEventTimeout.
	deadline time.Time
	priority int

	// mu guards generation and consumers, and the release of handles while stages are running.
	mu sync.Mutex
	// generation counts the starts of the stages and the releases of all results. Reports on inputs that belong to an
	// earlier generation are ignored.
	generation int
	// handles of the results of each stage; nil once released.
	handles [][]string
	// completedMs is when each stage was completed, in milliseconds since the request was received; 0 if it was not.
	completedMs []int64
	// zones of the results of each stage.
	zones []string
	// consumers is the number of stages that still need the results of each stage.
	consumers []int
	// ready holds a channel for each stage, closed when the stage is completed or skipped.
	ready []chan struct{}
}

// run runs the stages and returns the handles of the results that the request itself needs, in the order of the
// stages. If a result is gone before it was used, run starts again with the first stage.
func (x *stageRun) run(ctx context.Context) ([]string, error) {
	for restart := 0; ; restart++ {
		err := x.runOnce(ctx)
		var failed *stageError
		if errors.As(err, &failed) && failed.outcome.Reason == batch.ReasonGone && restart < maxRestarts {
			x.release()
			continue
		}
		if err != nil {
			x.release()
			return nil, err
		}
		var inputs []string
		for _, i := range x.route.FinalStages() {
			inputs = append(inputs, x.handles[i]...)
		}
		return inputs, nil
	}
}

// runOnce runs all stages, each as soon as the stages that it depends on are completed.
func (x *stageRun) runOnce(ctx context.Context) error {
	generation := x.start()
	g, ctx := errgroup.WithContext(ctx)
	for i := range x.route.Stages {
		g.Go(func() error { return x.runStage(ctx, i, generation) })
	}
	return g.Wait()
}

// start prepares the stages to be run, and returns the new generation.
func (x *stageRun) start() (generation int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.generation++
	n := len(x.route.Stages)
	x.handles = make([][]string, n)
	x.ready = make([]chan struct{}, n)
	x.completedMs, x.zones = make([]int64, n), make([]string, n)
	x.countConsumers()
	for i := range x.ready {
		x.ready[i] = make(chan struct{})
	}
	return x.generation
}

// pieces returns the number of pieces of a stage; 0 if the request skips the stage.
func (x *stageRun) pieces(stage int) int {
	if stage < len(x.call.Pieces) {
		return x.call.Pieces[stage]
	}
	return 0
}

// runStage waits for the stages that stage i depends on, then runs its pieces.
func (x *stageRun) runStage(ctx context.Context, i, generation int) error {
	stage := &x.route.Stages[i]
	if x.pieces(i) == 0 {
		close(x.ready[i])
		return nil
	}
	job := batch.Job{
		Request: x.call.ID, Stage: i, Pieces: x.pieces(i), Bytes: stage.Bytes, Priority: x.priority,
	}
	for _, dep := range stage.After {
		job.HoldsMemory = job.HoldsMemory || x.hasLargeResults(dep)
		select {
		case <-x.ready[dep]:
		case <-ctx.Done():
			return ctx.Err()
		}
		job.Inputs = append(job.Inputs, x.handles[dep]...)
	}
	if len(stage.After) == 0 {
		job.Key = x.call.PieceKey
	}
	job.Zone, job.CrossBytes = x.preferredZone(i)
	remaining, next := x.remainingTime(i)
	job.Due = x.received.Add(time.Duration(targetFraction*float64(x.route.TargetLatency)) - remaining)
	job.Deadline = x.deadline.Add(-remaining)
	job.NextServices = next
	consumeInputs := sync.OnceFunc(func() { x.consumeResults(stage.After, generation) })
	if len(stage.After) > 0 {
		inputs := x.queuesOf(stage.After)
		job.OnInputsRead = func() {
			if x.isBacklogged(inputs) {
				consumeInputs()
			}
		}
	}
	out := x.dispatcher.Run(ctx, stage.Service, job)
	if out.Reason != "" {
		return &stageError{stage: i, outcome: out}
	}
	x.handles[i], x.zones[i] = out.Handles, out.Zone
	x.completedMs[i] = time.Since(x.received).Milliseconds()
	close(x.ready[i])
	consumeInputs()
	return nil
}

// largeFraction is the fraction of an upstream's result memory above which the results of a full call are large.
const largeFraction = 0.25

// hasLargeResults reports whether the results of one full call of a stage take more than largeFraction of the
// upstream's result memory. It returns false if the memory is unlimited or the service's batch specification is not
// known.
func (x *stageRun) hasLargeResults(stage int) bool {
	b := x.batchSpec(stage)
	if b == nil || b.MemoryBytes <= 0 {
		return false
	}
	return float64(b.MaxPieces*x.route.Stages[stage].Bytes) > largeFraction*float64(b.MemoryBytes)
}

// preferredZone returns the zone in which the pieces of a stage should run, and the bytes that are transferred between
// zones if the pieces run in another zone. The zone is that of the largest results that the pieces need, or the zone of
// the request if the request needs the stage's own results and they are at least as large.
func (x *stageRun) preferredZone(stage int) (zone string, crossBytes int) {
	s := &x.route.Stages[stage]
	if slices.Contains(x.route.FinalStages(), stage) {
		zone, crossBytes = x.zone, x.pieces(stage)*s.Bytes
	}
	for _, dep := range s.After {
		in := x.pieces(stage) * x.pieces(dep) * x.route.Stages[dep].Bytes
		if in > crossBytes {
			zone, crossBytes = x.zones[dep], in
		}
	}
	return zone, crossBytes
}

// stageQueue is the queue that made the results of a stage: that of a service for a zone.
type stageQueue struct{ service, zone string }

// queuesOf returns the queues of stages that are completed.
func (x *stageRun) queuesOf(stages []int) []stageQueue {
	queues := make([]stageQueue, 0, len(stages))
	for _, i := range stages {
		queues = append(queues, stageQueue{x.route.Stages[i].Service, x.zones[i]})
	}
	return queues
}

// isBacklogged reports whether pieces wait in any of the given queues. Results of these are then released as soon as they have
// been read, to free result memory earlier, although a piece that needs them may have to be run again.
func (x *stageRun) isBacklogged(queues []stageQueue) bool {
	return slices.ContainsFunc(queues, func(q stageQueue) bool { return x.dispatcher.WaitTimes(q.service, q.zone).All > 0 })
}

// consumeResults records that one more stage no longer needs the results of the stages in deps. It releases the
// results that no other stage needs. It does nothing for an earlier generation, since the owner of a queue may report
// that inputs were read when the request has already ended or runs its stages again.
func (x *stageRun) consumeResults(deps []int, generation int) {
	var unneeded []stageResults
	x.mu.Lock()
	if generation == x.generation {
		for _, i := range deps {
			x.consumers[i]--
			if x.consumers[i] == 0 {
				unneeded = append(unneeded, x.takeResults(i))
			}
		}
	}
	x.mu.Unlock()
	x.releaseResults(unneeded)
}

// stageResults are results of a stage, with the queue that made them.
type stageResults struct {
	queue   stageQueue
	handles []string
}

// takeResults removes and returns the results of a stage. The caller must hold x.mu.
func (x *stageRun) takeResults(stage int) stageResults {
	r := stageResults{stageQueue{x.route.Stages[stage].Service, x.zones[stage]}, x.handles[stage]}
	x.handles[stage] = nil
	return r
}

// releaseResults releases results. The caller must not hold x.mu, as the queue's owner may be waiting for it.
func (x *stageRun) releaseResults(results []stageResults) {
	for _, r := range results {
		if len(r.handles) > 0 {
			x.dispatcher.Release(r.queue.service, r.queue.zone, r.handles)
		}
	}
}

// countConsumers sets the number of stages that need the results of each stage. Skipped stages don't count.
func (x *stageRun) countConsumers() {
	x.consumers = make([]int, len(x.route.Stages))
	for j, s := range x.route.Stages {
		if x.pieces(j) == 0 {
			continue
		}
		for _, i := range s.After {
			x.consumers[i]++
		}
	}
}

// targetFraction is the fraction of a route's target latency at which the first event is planned when the due times of
// the stages are computed.
const targetFraction = 0.9

// timeToFirstEvent is the assumed time from the completion of the last stage to the request's first event.
const timeToFirstEvent = 100 * time.Millisecond

// remainingTime returns the time that a request needs after a stage is completed if it waits in no queue: the longest
// chain of calls of the stages that depend on the stage, and timeToFirstEvent. It also returns the services of this
// chain in order.
func (x *stageRun) remainingTime(stage int) (remaining time.Duration, services []string) {
	remaining = timeToFirstEvent
	for j := stage + 1; j < len(x.route.Stages); j++ {
		if x.pieces(j) == 0 || !slices.Contains(x.route.Stages[j].After, stage) {
			continue
		}
		rest, next := x.remainingTime(j)
		if chain := x.typicalCallTime(j) + rest; chain > remaining {
			remaining, services = chain, append([]string{x.route.Stages[j].Service}, next...)
		}
	}
	return remaining, services
}

// typicalCallTime returns the typical time of a call with the pieces of a stage; 0 if not known.
func (x *stageRun) typicalCallTime(stage int) time.Duration {
	b := x.batchSpec(stage)
	if b == nil {
		return 0
	}
	return b.CallTime + time.Duration(x.pieces(stage))*b.PieceTime
}

// batchSpec returns the batch specification of a stage's service; nil if not known.
func (x *stageRun) batchSpec(stage int) *site.Batch {
	v := x.site.Services[x.route.Stages[stage].Service]
	if v == nil {
		return nil
	}
	return v.Batch
}

// release releases all results that are left. No stage may be running.
func (x *stageRun) release() {
	var unneeded []stageResults
	x.mu.Lock()
	x.generation++
	for i := range x.handles {
		unneeded = append(unneeded, x.takeResults(i))
	}
	x.handles = nil
	x.mu.Unlock()
	x.releaseResults(unneeded)
}
