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
	changed bool
}

// knowledge is an update of the leader, with indexes.
type knowledge struct {
	update wire.QuarantineUpdate
	// byPart holds the entries by the first of their parts, suspects the number of crashes under each suspect part.
	byPart   map[servicePart][]*wire.QuarantineEntry
	suspects map[servicePart]int
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
}

// NewGuard returns a Guard that knows no entries. It calls wake, on any goroutine, when there is something to report; wake
// must not block. Its goroutines end with ctx.
func NewGuard(ctx context.Context, c Checker, wake func()) *Guard {
	g := &Guard{ctx: ctx, checker: c, wake: wake, watched: make(map[servicePart]*watch), answers: make(map[string]int)}
	g.known.Store(&knowledge{})
	return g
}

// Refusal returns the entry that refuses a request; nil if there is none. It counts the request as refused if there is one.
func (g *Guard) Refusal(now time.Time, r Request) *wire.QuarantineEntry {
	if g == nil || len(r.Parts) == 0 {
		return nil
	}
	byPart := g.known.Load().byPart
	if len(byPart) == 0 {
		return nil
	}
	for _, p := range r.Parts {
		for _, e := range byPart[servicePart{r.Service, p}] {
			if IsActive(e, now) && (e.Workspace == "" || e.Workspace == r.Workspace) && isSubset(e.Parts, r.Parts) {
				g.Refused.Add(1)
				return e
			}
		}
	}
	return nil
}

// MayCrashAgain reports whether a request whose upstream has ended must not be sent to another one: several upstreams have
// ended under one of its parts, and no request with it was answered since.
func (g *Guard) MayCrashAgain(r Request) bool {
	if g == nil {
		return false
	}
	suspects := g.known.Load().suspects
	return slices.ContainsFunc(r.Parts, func(p string) bool { return suspects[servicePart{r.Service, p}] >= resendCrashes })
}

// Broke records that the connection to a process broke before a request was answered whole. send identifies the send, begun
// says whether the process had begun to answer. Broke returns at once; what it records counts only if the process turns out
// to have ended.
func (g *Guard) Broke(p Process, r Request, send string, begun bool) {
	if g == nil {
		return
	}
	at := time.Now()
	r.exactID() // while the request's goroutine may use the body
	go func() {
		if g.hasEnded(p) {
			g.Ended(at, p, r, send, begun)
		}
	}()
}

// Ended records that a process ended at a time and a send broke with it, see Broke.
func (g *Guard) Ended(at time.Time, p Process, r Request, send string, begun bool) {
	klog.InfoS("upstream ended under a request", "upstream", p.Upstream, "service", r.Service, "request", r.ID,
		"workspace", r.Workspace, "parts", r.Parts, "content", r.exactID(), "begun", begun)
	g.Broken.Add(1)
	g.addBroken(&brokenSend{at: at, BrokenSend: wire.BrokenSend{
		Upstream: p.Upstream, Incarnation: p.Incarnation, Service: r.Service, Send: send, Workspace: r.Workspace,
		Parts: append([]string{}, r.Parts...), Begun: begun,
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
	g.changed = true
	g.mu.Unlock()
	g.wake()
}

// Served records that a request was answered whole.
func (g *Guard) Served(now time.Time, r Request) {
	if g == nil {
		return
	}
	g.mu.Lock()
	wakes := false
	g.answers[r.Service]++
	g.served.put(servicePart{r.Service, anyPart}, now)
	for _, p := range r.Parts {
		key := servicePart{r.Service, p}
		g.served.put(key, now)
		if w := g.watched[key]; w != nil && w.reported.Before(w.since) {
			g.changed, wakes = true, true
		}
	}
	g.mu.Unlock()
	if wakes {
		g.wake()
	}
}

// Learn replaces what is known by an update of the leader. An older version of the entries changes nothing.
func (g *Guard) Learn(now time.Time, u wire.QuarantineUpdate) {
	old := g.known.Load()
	if u.Version < old.update.Version {
		return
	}
	k := &knowledge{update: u, byPart: make(map[servicePart][]*wire.QuarantineEntry), suspects: make(map[servicePart]int)}
	for i := range u.Entries {
		if e := &u.Entries[i]; len(e.Parts) > 0 {
			key := servicePart{e.Service, e.Parts[0]}
			k.byPart[key] = append(k.byPart[key], e)
		}
	}
	for _, s := range u.Suspects {
		k.suspects[servicePart{s.Service, s.Part}] = s.Crashes
	}
	g.known.Store(k)
	if u.Version != old.update.Version {
		klog.InfoS("quarantine in force", "version", u.Version, "entries", len(u.Entries))
	}
	g.watch(now, k.suspects)
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
			w = &watch{}
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
