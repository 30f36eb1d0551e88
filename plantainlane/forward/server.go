package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/batch"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/logs"
	"plantainlane/plantainlane/roster"
	"plantainlane/plantainlane/site"
)

// Views gives the newest control state. It is safe for concurrent use.
type Views interface {
	// Site in force; nil while none is known.
	Site() *site.Site
	// Upstreams known.
	Upstreams() roster.View
}

// Observer counts what became of requests. It is safe for concurrent use.
type Observer interface {
	// Forwarded tells the end of a request on a route.
	Forwarded(route, outcome string, took time.Duration)
}

// Server takes callers' requests and forwards them.
type Server struct {
	Codec      HeaderCodec
	Views      Views
	Picker     Picker
	Pool       *exchange.Pool
	Dispatcher Dispatcher
	Budget     *Budget
	Observer   Observer
	// Zone of the instance.
	Zone string
	// OnTimeLines bounds the log lines on requests that were answered in time at the first try; nil for all.
	OnTimeLines *logs.Sampler
}

const (
	// answerMargin is how long before a caller's time is over its final answer is given.
	answerMargin = 20 * time.Millisecond
	// firstMargin is how long before a caller gives up on a stream its first event should be there.
	firstMargin = 200 * time.Millisecond
	// maxBodyBytes bounds an answer that is read whole before it is passed on.
	maxBodyBytes = 16 << 20
	// shortPause and longPause bound the time after which callers of a busy service are told to come back.
	shortPause = 150 * time.Millisecond
	longPause  = 600 * time.Millisecond
)

// request is one request on its way.
type request struct {
	server   *Server
	site     *site.Site
	route    *site.Route
	call     Call
	service  string
	received time.Time
	deadline time.Time
	priority int
	// workspace of the caller; empty on a route that needs no key.
	workspace string
	method    string
	target    string
	host      string
	header    http.Header
	body      []byte
	writer    http.ResponseWriter
	control   *http.ResponseController
	stages    *stageRun
	inputs    []string

	homes homes
	// madeMs holds when each stage was made, in milliseconds since the request was received.
	madeMs []int64
	// tried holds the upstreams that are not to be chosen again.
	tried []string
	// sends counts the sends, runs those that may have run.
	sends, runs int
	// arrived tells that an upstream may have seen the request.
	arrived bool
	// started tells that the head of an answer was passed on.
	started bool
	// events counts the events passed on; lastEvent is the ID of the last one, passed on at lastAt.
	events    int
	lastEvent string
	lastAt    time.Time
	// firstAfter is the time from the receipt until the first event was passed on, and longestGap the longest pause
	// between two events.
	firstAfter, longestGap time.Duration
	upstream               string
}

// ServeHTTP takes one request of a caller.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{server: s, received: time.Now(), writer: w, control: http.NewResponseController(w)}
	if refusal := q.admit(r); refusal != nil {
		q.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.run(ctx)
}

// admit reads and checks a request. It returns the refusal of one that is not forwarded.
func (q *request) admit(r *http.Request) *Refusal {
	s := q.server
	q.site = s.Views.Site()
	if q.site == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: "no configuration yet", RetryAfter: longPause}
	}
	q.route = q.site.Route(r.Host, r.URL.EscapedPath())
	if q.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no route"}
	}
	var err error
	if q.call, err = s.Codec.ReadCall(r.Header); err != nil {
		return &Refusal{Status: http.StatusBadRequest, Reason: err.Error()}
	}
	q.priority = q.route.Priority
	if refusal := q.admitKey(); refusal != nil {
		return refusal
	}
	if q.body, err = io.ReadAll(http.MaxBytesReader(q.writer, r.Body, int64(q.site.Limits.BodyBytes))); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
		}
		return &Refusal{Status: http.StatusBadRequest, Reason: "body not read"}
	}
	q.method, q.target, q.host, q.header = r.Method, r.URL.RequestURI(), r.Host, r.Header
	if r.RequestURI != "" && r.RequestURI[0] == '/' {
		q.target = r.RequestURI
	}
	patience := q.route.Timeout
	if q.call.Timeout > 0 {
		patience = min(patience, q.call.Timeout)
	}
	q.deadline = q.received.Add(patience - answerMargin)
	q.lastEvent = q.call.ResumeAfter
	q.service = q.route.Service(rand.Float64())
	s.Budget.Request(q.service, q.received)
	q.homes = homesOf(s.Views.Upstreams(), q.service, q.route.Stages, q.call.Parts)
	return nil
}

func (q *request) admitKey() *Refusal {
	if q.route.Public || !q.site.HasWorkspaces {
		return nil
	}
	w := q.site.Workspace(q.call.Key)
	if w == nil {
		return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown key"}
	}
	q.workspace = w.Name
	if w.HasPriority {
		q.priority = w.Priority
	}
	return nil
}

// run has the stages made, sends the request and passes the answer on.
func (q *request) run(ctx context.Context) {
	for restart := 0; ; restart++ {
		if err := q.makeStages(ctx); err != nil {
			q.endWithoutStages(ctx, err)
			return
		}
		again := q.attempts(ctx)
		q.releaseStages()
		if !again || restart >= restartLimit {
			if again {
				q.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: "results gone", RetryAfter: shortPause})
			}
			return
		}
	}
}

func (q *request) makeStages(ctx context.Context) error {
	if len(q.route.Stages) == 0 {
		return nil
	}
	s := q.server
	zone := q.homes.zone
	if zone == "" {
		zone = s.Zone
	}
	q.stages = &stageRun{
		dispatcher: s.Dispatcher, site: q.site, route: q.route, call: &q.call, zone: zone,
		received: q.received, deadline: q.firstBy(), priority: q.priority,
	}
	var err error
	q.inputs, err = q.stages.makeStages(ctx)
	q.madeMs = q.stages.madeMs
	return err
}

// firstBy is until when the caller waits for the beginning of its answer.
func (q *request) firstBy() time.Time {
	if q.route.FirstEventTimeout == 0 {
		return q.deadline
	}
	return earlier(q.received.Add(q.route.FirstEventTimeout-firstMargin), q.deadline)
}

func (q *request) releaseStages() {
	if q.stages != nil {
		q.stages.release()
		q.stages = nil
	}
}

// endWithoutStages answers a request whose stages were not made. It has not run.
func (q *request) endWithoutStages(ctx context.Context, err error) {
	refusal := Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: shortPause}
	var failed *stageError
	if errors.As(err, &failed) {
		refusal.RetryAfter = max(failed.outcome.RetryAfter, shortPause)
		if failed.outcome.Reason == batch.ReasonCancelled && ctx.Err() != nil {
			refusal.Reason = "stages not made in time"
		}
	}
	q.refuse(refusal)
}

// refuse gives an answer of the instance itself, unless an answer has begun: that is broken off.
func (q *request) refuse(r Refusal) {
	if q.started {
		q.abort(r.Reason)
		return
	}
	q.note("refused", r.Status, r.Reason)
	q.server.Codec.Refuse(q.writer, q.call.ID, r)
}

// abort breaks an answer off that has begun, so that it doesn't look whole. What was passed on until then arrives.
func (q *request) abort(reason string) {
	q.note("brokenOff", 0, reason)
	if err := q.control.Flush(); err != nil {
		klog.V(1).InfoS("rest not flushed", "request", q.call.ID, "err", err)
	}
	panic(http.ErrAbortHandler)
}

// note logs and counts the end of a request.
func (q *request) note(outcome string, status int, reason string) {
	took := time.Since(q.received)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	if q.server.Observer != nil {
		q.server.Observer.Forwarded(name, outcome, took)
	}
	log, leftOut := true, 0
	if q.isUsual(outcome, took) && q.server.OnTimeLines != nil {
		log, leftOut = q.server.OnTimeLines.Allow(time.Now())
	}
	if !log {
		return
	}
	version := 0
	if q.site != nil {
		version = q.site.Version
	}
	klog.InfoS("request ended", "request", q.call.ID, "outcome", outcome, "status", status, "reason", reason,
		"route", name, "workspace", q.workspace, "upstream", q.upstream, "home", q.homes.first(), "sends", q.sends, "runs", q.runs,
		"events", q.events, "firstMs", q.firstAfter.Milliseconds(), "gapMs", q.longestGap.Milliseconds(),
		"stagesMs", q.madeMs, "ms", took.Milliseconds(), "version", version, "leftOut", leftOut)
}

// isUsual tells whether a request was answered in time at the first try.
func (q *request) isUsual(outcome string, took time.Duration) bool {
	if q.route == nil || outcome != "answered" || q.sends != 1 {
		return false
	}
	if q.route.Stream {
		return q.firstAfter <= q.route.TargetLatency && q.longestGap <= q.route.TargetGap
	}
	return took <= q.route.TargetLatency
}
