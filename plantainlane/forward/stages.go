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
)

// Dispatcher has pieces made.
type Dispatcher interface {
	Run(ctx context.Context, service string, o batch.Job) batch.Outcome
	Release(service string, handles []string)
	// WaitTimes is how long the queue of a service is, as far as it is known.
	WaitTimes(service string) batch.WaitTimes
}

// stageError tells why a stage was not made.
type stageError struct {
	stage   int
	outcome batch.Outcome
}

func (e *stageError) Error() string { return "stage not made: " + string(e.outcome.Reason) }

// restartLimit is the number of times that stages are made anew because a result was gone.
const restartLimit = 2

// stageRun makes the stages of one request.
type stageRun struct {
	dispatcher Dispatcher
	site       *site.Site
	route      *site.Route
	call       *Call
	// zone in which the request will run.
	zone     string
	received time.Time
	deadline time.Time
	priority int

	mu sync.Mutex
	// handles of the results by stage; nil once given up.
	handles [][]string
	// madeMs holds when each stage was made, in milliseconds since the request was received; 0 if it was not.
	madeMs []int64
	// zones of the results by stage.
	zones []string
	// followers counts the stages still to be made that need the results of each stage.
	followers []int
	ready     []chan struct{}
}

// makeStages has the stages of a request made and returns the handles that the request needs, in the order of the
// stages.
func (x *stageRun) makeStages(ctx context.Context) ([]string, error) {
	for restart := 0; ; restart++ {
		err := x.makeOnce(ctx)
		var failed *stageError
		if errors.As(err, &failed) && failed.outcome.Reason == batch.ReasonGone && restart < restartLimit {
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

func (x *stageRun) makeOnce(ctx context.Context) error {
	n := len(x.route.Stages)
	x.handles = make([][]string, n)
	x.ready = make([]chan struct{}, n)
	x.madeMs, x.zones = make([]int64, n), make([]string, n)
	x.countFollowers()
	for i := range x.ready {
		x.ready[i] = make(chan struct{})
	}
	g, ctx := errgroup.WithContext(ctx)
	for i := range x.route.Stages {
		g.Go(func() error { return x.makeStage(ctx, i) })
	}
	return g.Wait()
}

func (x *stageRun) pieces(stage int) int {
	if stage < len(x.call.Pieces) {
		return x.call.Pieces[stage]
	}
	return 0
}

func (x *stageRun) makeStage(ctx context.Context, i int) error {
	stage := &x.route.Stages[i]
	if x.pieces(i) == 0 {
		close(x.ready[i])
		return nil
	}
	o := batch.Job{
		Request: x.call.ID, Stage: i, Pieces: x.pieces(i), Bytes: stage.Bytes, Priority: x.priority,
	}
	for _, before := range stage.After {
		o.HoldsMemory = o.HoldsMemory || x.isLarge(before)
		select {
		case <-x.ready[before]:
		case <-ctx.Done():
			return ctx.Err()
		}
		o.Inputs = append(o.Inputs, x.handles[before]...)
	}
	if len(stage.After) == 0 {
		o.Key = x.call.PieceKey
	}
	o.Zone, o.CrossBytes = x.place(i)
	rest, next := x.after(i)
	o.Due = x.received.Add(time.Duration(aimPart*float64(x.route.TargetLatency)) - rest)
	o.Deadline = x.deadline.Add(-rest)
	o.NextServices = next
	once := sync.OnceFunc(func() { x.followed(stage.After) })
	if len(stage.After) > 0 {
		o.OnStarted = func() {
			if x.isBacklogged(stage.After) {
				once()
			}
		}
	}
	out := x.dispatcher.Run(ctx, stage.Service, o)
	if out.Reason != "" {
		return &stageError{stage: i, outcome: out}
	}
	x.handles[i], x.zones[i] = out.Handles, out.Zone
	x.madeMs[i] = time.Since(x.received).Milliseconds()
	close(x.ready[i])
	once()
	return nil
}

// largePart is the part of an upstream's room from which the results of a full call take much of it.
const largePart = 0.25

// isLarge tells whether the results of a stage take much of their upstreams' room.
func (x *stageRun) isLarge(stage int) bool {
	b := x.batch(stage)
	if b == nil || b.MemoryBytes <= 0 {
		return false
	}
	return float64(b.MaxPieces*x.route.Stages[stage].Bytes) > largePart*float64(b.MemoryBytes)
}

// place returns the zone in which the pieces of a stage are best made, and the bytes that cross zones otherwise: near
// the results that they need, or near the request if their own results are larger.
func (x *stageRun) place(stage int) (zone string, crossBytes int) {
	s := &x.route.Stages[stage]
	if slices.Contains(x.route.FinalStages(), stage) {
		zone, crossBytes = x.zone, x.pieces(stage)*s.Bytes
	}
	for _, before := range s.After {
		in := x.pieces(stage) * x.pieces(before) * x.route.Stages[before].Bytes
		if in > crossBytes {
			zone, crossBytes = x.zones[before], in
		}
	}
	return zone, crossBytes
}

// isBacklogged tells whether pieces wait for room at the services of some stages. Results are then given up as soon as
// they were read, though a piece that needs them might have to be made again.
func (x *stageRun) isBacklogged(stages []int) bool {
	return slices.ContainsFunc(stages, func(i int) bool { return x.dispatcher.WaitTimes(x.route.Stages[i].Service).All > 0 })
}

// followed notes that a stage which needs the results of others was made. Results that no further stage needs are
// given up.
func (x *stageRun) followed(before []int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, i := range before {
		x.followers[i]--
		if x.followers[i] == 0 && len(x.handles[i]) > 0 {
			x.dispatcher.Release(x.route.Stages[i].Service, x.handles[i])
			x.handles[i] = nil
		}
	}
}

// countFollowers counts the stages to be made that need the results of each stage.
func (x *stageRun) countFollowers() {
	x.followers = make([]int, len(x.route.Stages))
	for j, s := range x.route.Stages {
		if x.pieces(j) == 0 {
			continue
		}
		for _, i := range s.After {
			x.followers[i]++
		}
	}
}

// aimPart is the part of a route's aim that its stages are planned for.
const aimPart = 0.9

// runTime is the time that a request needs after its stages until its first event.
const runTime = 100 * time.Millisecond

// after returns the least time that a request needs once a stage is made, for the calls of the stages that follow and
// its own run, and the services of these stages, one after the other.
func (x *stageRun) after(stage int) (least time.Duration, services []string) {
	least = runTime
	for j := stage + 1; j < len(x.route.Stages); j++ {
		if x.pieces(j) == 0 || !slices.Contains(x.route.Stages[j].After, stage) {
			continue
		}
		rest, next := x.after(j)
		if whole := x.callTime(j) + rest; whole > least {
			least, services = whole, append([]string{x.route.Stages[j].Service}, next...)
		}
	}
	return least, services
}

// callTime is the usual time of a call with the pieces of a stage; 0 if it is not known.
func (x *stageRun) callTime(stage int) time.Duration {
	b := x.batch(stage)
	if b == nil {
		return 0
	}
	return b.CallTime + time.Duration(x.pieces(stage))*b.PieceTime
}

// batch describes the calls of a stage's service; nil if they are not known.
func (x *stageRun) batch(stage int) *site.Batch {
	v := x.site.Services[x.route.Stages[stage].Service]
	if v == nil {
		return nil
	}
	return v.Batch
}

// release gives up all results.
func (x *stageRun) release() {
	for i, handles := range x.handles {
		if len(handles) > 0 {
			x.dispatcher.Release(x.route.Stages[i].Service, handles)
		}
	}
	x.handles = nil
}
