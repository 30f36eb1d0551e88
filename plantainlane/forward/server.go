package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/inbound"
	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/promptcache"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/quota"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
)

// Views provides the current control state. It is safe for concurrent use.
type Views interface {
	// Site returns the site configuration in force, nil until one is known, and what is known about its age.
	Site() (*site.Site, site.Freshness)
	// SiteKnown returns a channel that is closed once there is a site configuration.
	SiteKnown() <-chan struct{}
	// Upstreams returns the known state of all upstreams.
	Upstreams() roster.View
}

// Observer counts the outcomes of requests. It is safe for concurrent use.
type Observer interface {
	// Forwarded records the end of a request. The route is the name of its route, empty if none matched. The outcome is
	// answered, failed, callerLost, refused or brokenOff. Took is the time since the request was received.
	Forwarded(route, outcome string, took time.Duration)
}

// Server is the HTTP handler that accepts callers' requests and forwards them.
type Server struct {
	Codec      HeaderCodec
	Views      Views
	Picker     Picker
	Client     *quota.Client
	Dispatcher Dispatcher
	// Bodies bounds the memory for the bodies of all requests.
	Bodies *exchange.Memory
	Budget *Budget
	// Guard refuses requests whose content ends upstreams; nil refuses none.
	Guard *quarantine.Guard
	// Observer may be nil.
	Observer Observer
	// Prompts weighs kept prompts against waiting; nil for a fixed slack.
	Prompts *promptcache.Estimator
	// Zone is the availability zone of the instance.
	Zone string
	// Drain returns the zero value unless the instance drains. It may be nil.
	Drain func() Drain
	// durations are the times of requests from their receipt on, sendDurations those from their first send on.
	durations, sendDurations durations
	backlogs                 backlogs
	startup                  startup
	placements               placements
	underWay                 upstreamLoads
	deliveries               deliveries
	// OnTimeLines samples the log lines on requests that were answered on time by their first send; nil logs all.
	OnTimeLines *logs.Sampler
	// RefusedLines samples the log lines on requests that were refused and on sends that didn't run; nil logs all.
	RefusedLines *logs.Sampler
}

const (
	// answerMargin is the time between a request's deadline and the caller's timeout.
	answerMargin = 20 * time.Millisecond
	// firstEventMargin is the time between the deadline for the first event and the caller's timeout for it.
	firstEventMargin = 200 * time.Millisecond
	// maxBodyBytes bounds the body of an answer that is read whole before it is forwarded, or skipped.
	maxBodyBytes = 16 << 20
	// maxSkippedBytes bounds the body of a refusal, which is read only to use the connection again.
	maxSkippedBytes = 64 << 10
	// shortRetryAfter is the least time after which callers of a busy service may retry.
	shortRetryAfter = 150 * time.Millisecond
	// longRetryAfter is the time after which callers may retry while the instance has no configuration.
	longRetryAfter = 600 * time.Millisecond
	// evacuatedRetryAfter is the time after which callers may retry a service whose upstreams are all in evacuated zones. An
	// evacuation usually lasts much longer.
	evacuatedRetryAfter = 2 * time.Second
)

// request is the state of one caller's request.
type request struct {
	server *Server
	site   *site.Site
	route  *site.Route
	call   Call
	// service is the service that the request is sent to.
	service string
	// content is what the quarantine knows the request by.
	content quarantine.Request
	// trial allows the next send if the request may be sent only on trial. trialFailed is set once a send on trial broke.
	trial       quarantine.Trial
	trialFailed bool
	received    time.Time
	// deadline is when the caller must have the answer, answerMargin before its timeout.
	deadline time.Time
	priority int
	// workspace of the caller; empty if the request needs no key.
	workspace string
	method    string
	// target is the request target of the request line: path and query.
	target string
	host   string
	header http.Header
	body   []byte
	// bodyMemory is for the body, answerMemory for the answer that was read last.
	bodyMemory, answerMemory *exchange.Reservation
	// unread holds what the caller hasn't read of a stream; nil unless the answer is one.
	unread *inbound.Stream
	// isCallerLost is set once nothing more can be written to the caller.
	isCallerLost bool
	writer       http.ResponseWriter
	control      *http.ResponseController
	incoming     *http.Request
	// stages holds the results of the stages until they are released; nil otherwise.
	stages *stageRun
	// inputs are the handles of the stage results that the request needs.
	inputs []string

	affinity affinity
	// sending is what Server.Prompts knows of the last send; nil without a plan.
	sending *promptcache.Sending
	// stagesMs is when each stage was completed, in milliseconds since the request was received.
	stagesMs []int64
	// tried lists the IDs of the upstreams of all sends, which are not chosen again.
	tried []string
	// sends is the number of sends, runs the number of sends that ran or may have run.
	sends, runs int
	// firstSentAt is when the first send began.
	firstSentAt time.Time
	// connected is set once the request had a connection to an upstream. Further sends then count as retries.
	connected bool
	// headSent is set once the head of an answer was sent to the caller, with the status statusSent.
	headSent   bool
	statusSent int
	// events is the number of events forwarded.
	events int
	// lastEvent is the ID of the last event that the caller has, either forwarded or stated in the call.
	lastEvent string
	// isInDoubt is set if the last event may be a part of one, so that nothing may follow it.
	isInDoubt bool
	// lastEventAt is when the last event was forwarded.
	lastEventAt time.Time
	// firstEventAfter is the time from the receipt of the request until its first event was forwarded, and longestGap
	// the longest gap between two events.
	firstEventAfter, longestGap time.Duration
	// upstream is the ID of the upstream of the last send.
	upstream string
	// restsUntil is when the limit of an upstream allows a request again, if no other upstream could be chosen; zero
	// otherwise.
	restsUntil time.Time
	// waited is the time that the request waited for upstreams to rest.
	waited time.Duration
}

// ServeHTTP forwards one request of a caller and answers it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{
		server: s, received: time.Now(), writer: w, control: http.NewResponseController(w), incoming: r,
		bodyMemory: s.Bodies.Reserve(), answerMemory: s.Client.Pool.Memory.Reserve(),
	}
	defer q.bodyMemory.Release()
	defer q.answerMemory.Release()
	if refusal := q.admit(r); refusal != nil {
		q.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.run(ctx)
}

// run runs the stages, sends the request and forwards the answer. If results of the stages are gone before the request
// could use them, run starts again with the stages, at most maxRestarts times.
func (q *request) run(ctx context.Context) {
	if q.refuseEvacuated() || q.refuseUnservable() {
		return
	}
	for restart := 0; ; restart++ {
		// Stages are not run for a request that then isn't sent.
		if refusal := q.obtainTrial(ctx); refusal != nil {
			q.refuseUnlessRun(*refusal)
			return
		}
		if err := q.runStages(ctx); err != nil {
			q.returnTrial()
			q.refuseWithoutStages(ctx, err)
			return
		}
		rerunStages := q.sendUntilAnswered(ctx)
		q.releaseStages()
		if !rerunStages || restart >= maxRestarts {
			if rerunStages {
				q.refuseUnlessRun(Refusal{Status: http.StatusServiceUnavailable, Reason: "stage results no longer exist", RetryAfter: shortRetryAfter})
			}
			return
		}
	}
}

// runStages runs the stages of the request and sets its inputs.
func (q *request) runStages(ctx context.Context) error {
	if len(q.route.Stages) == 0 {
		return nil
	}
	s := q.server
	zone := q.affinity.zone
	if zone == "" {
		zone = s.Zone
	}
	q.stages = &stageRun{
		dispatcher: s.Dispatcher, site: q.site, route: q.route, call: &q.call, zone: zone,
		received: q.received, deadline: q.firstEventDeadline(), priority: q.priority,
	}
	var err error
	q.inputs, err = q.stages.run(ctx)
	q.stagesMs = q.stages.completedMs
	return err
}

// firstEventDeadline returns the time until which the caller must have the first event of a stream, or its answer if
// the route has no timeout for the first event.
func (q *request) firstEventDeadline() time.Time {
	if q.route.FirstEventTimeout == 0 {
		return q.deadline
	}
	return earlier(q.received.Add(q.route.FirstEventTimeout-firstEventMargin), q.deadline)
}

// releaseStages releases the results of the stages if that was not done before.
func (q *request) releaseStages() {
	if q.stages != nil {
		q.stages.release()
		q.stages = nil
	}
}

// refuseWithoutStages refuses a request whose stages were not completed.
func (q *request) refuseWithoutStages(ctx context.Context, err error) {
	refusal := Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: shortRetryAfter}
	var failed *stageError
	if errors.As(err, &failed) {
		refusal.RetryAfter = max(failed.outcome.RetryAfter, shortRetryAfter)
		if failed.outcome.Reason == batch.ReasonCancelled && ctx.Err() != nil {
			refusal.Reason = "stages not completed before the request was cancelled or timed out"
		}
	}
	q.refuseUnlessRun(refusal)
}

// refuseUnlessRun refuses a request as not run, or with a status that promises nothing if a send may have run.
func (q *request) refuseUnlessRun(r Refusal) {
	if !q.hasNotRun() {
		r = Refusal{Status: http.StatusBadGateway, Reason: r.Reason + " after the request may have run"}
	}
	q.refuse(r)
}

// refuse answers the request by the instance itself, or aborts the answer if its head was sent already.
func (q *request) refuse(r Refusal) {
	if q.headSent {
		q.abort(r.Reason)
		return
	}
	q.recordEnd("refused", r.Status, r.Reason)
	q.server.Codec.Refuse(q.writer, q.call.ID, r)
}

// abort truncates an answer whose head was sent, so that the caller doesn't take it for complete. Bytes that were
// written before are flushed first. It doesn't return: http.ErrAbortHandler makes net/http close the connection.
func (q *request) abort(reason string) {
	q.recordEnd("brokenOff", 0, reason)
	if err := errors.CombineErrors(q.control.Flush(), q.unread.Drain()); err != nil {
		klog.V(1).InfoS("answer not flushed before its connection is closed", "request", q.call.ID, "err", err)
	}
	panic(http.ErrAbortHandler)
}

// recordEnd counts the end of a request and logs it, unless the line is left out by sampling.
func (q *request) recordEnd(outcome string, status int, reason string) {
	took := time.Since(q.received)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	if outcome == "answered" {
		q.server.durations.observe(name, took)
		q.server.sendDurations.observe(name, time.Since(q.firstSentAt))
	}
	if q.server.Observer != nil {
		q.server.Observer.Forwarded(name, outcome, took)
	}
	var lines *logs.Sampler
	switch {
	case q.isOnTime(outcome, took):
		lines = q.server.OnTimeLines
	case outcome == "refused":
		lines = q.server.RefusedLines
	}
	log, leftOut := lines.Allow(time.Now())
	if !log {
		return
	}
	version := 0
	if q.site != nil {
		version = q.site.Version
	}
	choice := q.affinity.plan.Choice()
	// "home" is the most preferred upstream, "leftOut" the number of lines left out by sampling since the last one.
	klog.InfoS("request ended", "request", q.call.ID, "outcome", outcome, "status", status, "reason", reason,
		"route", name, "workspace", q.workspace, "upstream", q.upstream, "home", q.affinity.first(),
		"savedTokens", choice.SavedTokens, "readTokens", choice.ReadTokens, "extraWaitMs", choice.ExtraWait.Milliseconds(), "sends", q.sends, "runs", q.runs,
		"events", q.events, "firstMs", q.firstEventAfter.Milliseconds(), "gapMs", q.longestGap.Milliseconds(),
		"stagesMs", q.stagesMs, "waitedMs", q.waited.Milliseconds(), "ms", took.Milliseconds(), "version", version, "leftOut", leftOut)
}

// isOnTime reports whether a request was answered by its first send and within the targets of its route.
func (q *request) isOnTime(outcome string, took time.Duration) bool {
	if q.route == nil || outcome != "answered" || q.sends != 1 {
		return false
	}
	if q.route.Stream {
		return q.firstEventAfter <= q.route.TargetLatency && q.longestGap <= q.route.TargetGap
	}
	return took <= q.route.TargetLatency
}
