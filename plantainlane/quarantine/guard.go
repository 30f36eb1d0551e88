package quarantine

import (
	"context"
	"expvar"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"plantainlane/wire"
)

const (
	// maxBroken bounds the broken sends that an instance keeps for the leader; the oldest are dropped first.
	maxBroken = 64
	// resendCrashes is the number of crashes under a suspect part from which a request with it isn't sent again.
	resendCrashes = 2
)

// Request is what a Guard knows of a request.
type Request struct {
	// ID of the request.
	ID        string
	Service   string
	Workspace string
	// Parts are those of its content that other requests may share, as returned by the function Parts.
	Parts []string
	// Exact tells it from all but its own repeats; nil if nothing does.
	Exact *Exact
}

// exactID returns the ID of the request as a whole; empty if there is none.
func (r *Request) exactID() string {
	if r.Exact == nil {
		return ""
	}
	return r.Exact.ID()
}

// Checker tells whether the process of an upstream has ended. It is safe for concurrent use.
type Checker interface {
	// HasEnded reports whether a process has ended, as far as can be told in a short time. It returns false when ctx ends.
	HasEnded(ctx context.Context, p Process) bool
}

// Send is one send of a request.
type Send struct {
	// ID is unique among the sends to an upstream.
	ID string
	// Begun is set if the upstream had begun to answer.
	Begun bool
	// Trial is the number of the trial that it was; 0 if it was none.
	Trial int
}

// Asker asks the leader for trials. It is safe for concurrent use.
type Asker interface {
	// AskTrial sends a query to the leader. It returns false if there is no answer before ctx ends. ctx must have a deadline.
	AskTrial(ctx context.Context, q wire.TrialQuery) (wire.TrialAnswer, bool)
}

// Process is the process of an upstream to which a request was sent.
type Process struct {
	Upstream    string
	Incarnation int
	// Address is its host and port.
	Address string
}

// Guard holds what one instance knows of the quarantine, and what it has to report to the leader. It is safe for concurrent
// use. A nil Guard refuses nothing and records nothing.
type Guard struct {
	// ctx ends the checks of processes.
	ctx     context.Context
	checker Checker
	// asker may be nil; the guard then goes by its own evidence, see tryAlone.
	asker Asker
	// checks shares one check of a process among the sends that broke with it.
	checks singleflight.Group
	// wake is called when there is something to report. It must not block.
	wake func()
	// Refused counts the requests refused, Broken the sends that broke with their upstream's process.
	Refused, Broken expvar.Int

	// known holds the quarantine as of the last update. It is never changed once published.
	known atomic.Pointer[knowledge]

	mu      sync.Mutex
	broken  []*brokenSend
	served  servedParts
	watched map[servicePart]*watch
	// answers counts the requests that each service has answered since that was last reported, or since it became suspect.
	answers map[string]int
	// alone holds the trials that this instance has allowed itself while no leader answered.
	alone   map[servicePart]aloneTrials
	changed bool
	// unconfirmed is the number of broken sends that no leader has confirmed. It is read without mu.
	unconfirmed atomic.Int64
}

// knowledge is an update of the leader, with indexes.
type knowledge struct {
	update wire.QuarantineUpdate
	// byPart holds the entries by the first of their parts, suspects the number of crashes under each suspect part.
	byPart   map[servicePart][]*wire.QuarantineEntry
	suspects map[servicePart]int
	// outlines are those of the requests that entries or suspects stand for as a whole.
	outlines map[servicePart]bool
	// replaced is closed when another update was learned.
	replaced chan struct{}
}

// brokenSend is a send that broke, until it is no evidence any more.
type brokenSend struct {
	wire.BrokenSend
	at time.Time
	// sequence is the number of the first lease request that reported the send; 0 until one has.
	sequence  int
	confirmed bool
}

// watch is what was reported of a suspect part.
type watch struct {
	// since is when another crash made the part suspect. The first answer after it is reported at once, others with the next
	// lease request.
	since   time.Time
	crashes int
	// reported is the newest answer that was reported, by the lease request with the number sequence.
	reported time.Time
	sequence int
	// turn holds a value while one request asks for a trial, so that one instance asks for one at a time.
	turn chan struct{}
}

// NewGuard returns a Guard that knows no entries. It calls wake, on any goroutine, when there is something to report; wake
// must not block. Its goroutines end with ctx.
func NewGuard(ctx context.Context, c Checker, wake func()) *Guard {
	g := &Guard{ctx: ctx, checker: c, wake: wake, watched: make(map[servicePart]*watch), answers: make(map[string]int)}
	g.alone = make(map[servicePart]aloneTrials)
	g.known.Store(&knowledge{replaced: make(chan struct{})})
	return g
}

// Refusal returns the entry that refuses a request; nil if there is none. It counts the request as refused if there is one.
func (g *Guard) Refusal(now time.Time, r Request) *wire.QuarantineEntry {
	if g == nil {
		return nil
	}
	k := g.known.Load()
	if len(k.byPart) == 0 {
		return nil
	}
	parts := k.partsOf(&r)
	for _, p := range parts {
		for _, e := range k.byPart[servicePart{r.Service, p}] {
			if IsActive(e, now) && (e.Workspace == "" || e.Workspace == r.Workspace) && isSubset(e.Parts, parts) {
				g.Refused.Add(1)
				return e
			}
		}
	}
	return nil
}

// partsOf returns the parts of a request, with the one that stands for it as a whole if a request with its outline is known.
func (k *knowledge) partsOf(r *Request) []string {
	if id := k.exactID(r); id != "" {
		return append([]string{id}, r.Parts...)
	}
	return r.Parts
}

// exactID returns the ID of a request as a whole if a request with its outline is known; otherwise it is empty, and the
// request's body isn't read.
func (k *knowledge) exactID(r *Request) string {
	if len(k.outlines) == 0 || r.Exact == nil || !k.outlines[servicePart{r.Service, r.Exact.outline()}] {
		return ""
	}
	return r.Exact.ID()
}

// MayCrashAgain reports whether a request whose upstream has ended must not be sent to another one: several upstreams have
// ended under one of its parts, and no request with it was answered since.
func (g *Guard) MayCrashAgain(r Request) bool {
	if g == nil {
		return false
	}
	k := g.known.Load()
	return slices.ContainsFunc(k.partsOf(&r), func(p string) bool { return k.suspects[servicePart{r.Service, p}] >= resendCrashes })
}

// Broke records that the connection to a process broke before a request was answered whole. Broke returns at once; what it
// records counts only if the process turns out to have ended. Otherwise a trial is given back: it has told nothing.
func (g *Guard) Broke(p Process, r Request, s Send) {
	if g == nil {
		return
	}
	at := time.Now()
	r.exactID() // while the request's goroutine may use the body
	go func() {
		if g.hasEnded(p) {
			g.Ended(at, p, r, s)
		} else {
			g.Return(r, Trial{Number: s.Trial})
		}
	}()
}

// Ended records that a process ended at a time and a send broke with it, see Broke.
func (g *Guard) Ended(at time.Time, p Process, r Request, s Send) {
	klog.InfoS("upstream ended under a request", "upstream", p.Upstream, "service", r.Service, "request", r.ID,
		"workspace", r.Workspace, "parts", r.Parts, "content", r.exactID(), "begun", s.Begun, "trial", s.Trial)
	g.Broken.Add(1)
	parts := append([]string{}, r.Parts...)
	if id := r.exactID(); id != "" {
		parts = append([]string{id}, r.Parts...)
	}
	g.addBroken(&brokenSend{at: at, BrokenSend: wire.BrokenSend{
		Upstream: p.Upstream, Incarnation: p.Incarnation, Service: r.Service, Send: s.ID, Workspace: r.Workspace,
		Parts: parts, Begun: s.Begun, Trial: s.Trial,
	}})
}

// hasEnded reports whether a process has ended.
func (g *Guard) hasEnded(p Process) bool {
	key := p.Address + "/" + strconv.Itoa(p.Incarnation)
	ended, _, _ := g.checks.Do(key, func() (any, error) { return g.checker.HasEnded(g.ctx, p), nil })
	return ended.(bool)
}

// addBroken adds a send to those that are reported.
func (g *Guard) addBroken(b *brokenSend) {
	g.mu.Lock()
	g.broken = append(g.broken, b)
	g.broken = g.broken[max(0, len(g.broken)-maxBroken):]
	g.countUnconfirmed()
	g.changed = true
	g.mu.Unlock()
	g.wake()
}

// Served records that a request was answered whole.
func (g *Guard) Served(now time.Time, r Request) {
	if g == nil {
		return
	}
	g.recordServed(now, r.Service, g.servedParts(&r), true)
}

// servedParts returns the parts of a request that was answered: also the one that stands for it as a whole, if that is of interest
// to the leader or, while no leader confirms, to this instance.
func (g *Guard) servedParts(r *Request) []string {
	if g.unconfirmed.Load() >= trialCrashes && g.isOwnSuspect(r) {
		return append([]string{r.exactID()}, r.Parts...)
	}
	return g.known.Load().partsOf(r)
}

// recordServed records that a request with parts was answered, and counts it if that was a success.
func (g *Guard) recordServed(now time.Time, service string, parts []string, isSuccess bool) {
	g.mu.Lock()
	wakes := false
	if isSuccess {
		g.answers[service]++
		wakes = g.putServed(servicePart{service, anyPart}, now)
	}
	for _, p := range parts {
		wakes = g.putServed(servicePart{service, p}, now) || wakes
	}
	g.mu.Unlock()
	if wakes {
		g.wake()
	}
}

// putServed records that a part was answered, under mu. It reports whether the leader is to be told at once.
func (g *Guard) putServed(key servicePart, now time.Time) bool {
	g.served.put(key, now)
	w := g.watched[key]
	if w == nil || !w.reported.Before(w.since) {
		return false
	}
	g.changed = true
	return true
}

// Survived records that an upstream has answered a request whole, though not with a success: the request doesn't crash it.
func (g *Guard) Survived(now time.Time, r Request) {
	if g == nil {
		return
	}
	if parts := g.servedParts(&r); len(parts) > len(r.Parts) {
		g.recordServed(now, r.Service, parts[:1], false)
	}
}

// Learn replaces what is known by an update of the leader. An older version of the entries changes nothing.
func (g *Guard) Learn(now time.Time, u wire.QuarantineUpdate) {
	old := g.known.Load()
	if u.Version < old.update.Version {
		return
	}
	k := newKnowledge(u)
	g.known.Store(k)
	close(old.replaced)
	if u.Version != old.update.Version {
		klog.InfoS("quarantine in force", "version", u.Version, "entries", len(u.Entries))
	}
	g.watch(now, k.suspects)
}

// newKnowledge returns an update of the leader with its indexes.
func newKnowledge(u wire.QuarantineUpdate) *knowledge {
	k := &knowledge{
		update: u, byPart: make(map[servicePart][]*wire.QuarantineEntry), suspects: make(map[servicePart]int),
		outlines: make(map[servicePart]bool), replaced: make(chan struct{}),
	}
	for i := range u.Entries {
		e := &u.Entries[i]
		for _, p := range e.Parts {
			k.addOutline(e.Service, p)
		}
		if len(e.Parts) > 0 {
			key := servicePart{e.Service, e.Parts[0]}
			k.byPart[key] = append(k.byPart[key], e)
		}
	}
	for _, s := range u.Suspects {
		k.suspects[servicePart{s.Service, s.Part}] = s.Crashes
		k.addOutline(s.Service, s.Part)
	}
	return k
}

// addOutline adds the outline of a part that stands for a request as a whole.
func (k *knowledge) addOutline(service, part string) {
	if isExact(part) {
		k.outlines[servicePart{service, outlineOf(part)}] = true
	}
}

// watch replaces the suspect parts whose answers are reported.
func (g *Guard) watch(now time.Time, suspects map[servicePart]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key := range g.watched {
		if _, ok := suspects[key]; !ok {
			delete(g.watched, key)
		}
	}
	for key, crashes := range suspects {
		w := g.watched[key]
		if w == nil {
			w = &watch{turn: make(chan struct{}, 1)}
			g.watched[key] = w
			if key.part == anyPart {
				delete(g.answers, key.service)
			}
		}
		if crashes > w.crashes {
			w.since = now
			g.changed = g.changed || g.served.at(key).After(w.reported)
		}
		w.crashes = crashes
	}
}

// Known returns the quarantine as of the last update of the leader. It must not be modified.
func (g *Guard) Known() wire.QuarantineUpdate {
	if g == nil {
		return wire.QuarantineUpdate{}
	}
	return g.known.Load().update
}

// Stats is the state of a Guard for metrics.
type Stats struct {
	// Refused is the number of requests refused, Broken the number of sends that broke with their upstream's process.
	Refused int64 `json:"refused"`
	Broken  int64 `json:"broken"`
	// Entries is the number of entries that refuse requests, Suspects the number of suspect parts.
	Entries  int `json:"entries"`
	Suspects int `json:"suspects"`
	// Version is the version of the entries.
	Version int `json:"version"`
}

// Stats returns the state at the time now.
func (g *Guard) Stats(now time.Time) Stats {
	u := g.Known()
	s := Stats{Refused: g.Refused.Value(), Broken: g.Broken.Value(), Suspects: len(u.Suspects), Version: u.Version}
	for i := range u.Entries {
		if IsActive(&u.Entries[i], now) {
			s.Entries++
		}
	}
	return s
}
