package quarantine

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"plantainlane/plantainlane/expiry"
	"plantainlane/wire"
)

const (
	// askTimeout is how long an instance waits for the leader's answer to a query for a trial.
	askTimeout = 300 * time.Millisecond
	// maxTryWait is how long a request may wait for a trial, or for the end of one. It is a quarter of the time left at most,
	// so that a request that is sent then can be answered, and one that isn't can come back.
	maxTryWait = time.Second
	// heldRetryAfter is the time after which the caller of a request without a trial may come back.
	heldRetryAfter = 500 * time.Millisecond
	// aloneNumber is the number of trials without a leader.
	aloneNumber = -1
)

// Trial allows one send of a request. The zero Trial is none.
type Trial struct {
	// Number of the trial; 0 if there is none, negative if no leader has given it.
	Number int
	until  time.Time
}

// IsValid reports whether the trial can be used at the time now.
func (t Trial) IsValid(now time.Time) bool { return t.Number != 0 && !expiry.IsPast(now, t.until) }

// Held reports that a request isn't sent now, since the same one has crashed upstreams and no trial was to be had.
type Held struct {
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

// Error returns the reason.
func (h *Held) Error() string {
	return "the same request has crashed upstreams, and is sent only on trial until it was answered"
}

// WithAsker has the guard ask for trials.
func (g *Guard) WithAsker(a Asker) *Guard {
	g.asker = a
	return g
}

// NeedsTrial reports whether a request may be sent only as a trial.
func (g *Guard) NeedsTrial(r Request) bool {
	if g == nil {
		return false
	}
	return g.suspectOf(&r) != servicePart{}
}

// suspectOf returns the part that stands for a request as a whole if the request may be sent only as a trial, else the zero
// value. An instance that hasn't got the leader's answer to its reports goes by these.
func (g *Guard) suspectOf(r *Request) servicePart {
	k := g.known.Load()
	if id := k.exactID(r); id != "" {
		if key := (servicePart{r.Service, id}); k.suspects[key] >= trialCrashes {
			return key
		}
	}
	if g.unconfirmed.Load() >= trialCrashes && g.isOwnSuspect(r) {
		return servicePart{r.Service, r.Exact.ID()}
	}
	return servicePart{}
}

// isOwnSuspect reports whether several processes have ended under a request at this instance since it was last answered, as far
// as no leader has confirmed that it knows.
func (g *Guard) isOwnSuspect(r *Request) bool {
	if r.Exact == nil {
		return false
	}
	outline := r.Exact.outline()
	g.mu.Lock()
	defer g.mu.Unlock()
	ended := make(map[process]bool)
	for _, b := range g.broken {
		if b.confirmed || b.Service != r.Service || len(b.Parts) == 0 || outlineOf(b.Parts[0]) != outline || b.Parts[0] != r.Exact.ID() {
			continue
		}
		if b.at.After(g.served.at(servicePart{r.Service, b.Parts[0]})) {
			ended[process{b.Upstream, b.Incarnation}] = true
		}
	}
	return len(ended) >= trialCrashes
}

// aloneTrials counts the trials of a request that an instance allows itself while no leader answers.
type aloneTrials struct {
	count int
	last  time.Time
}

// tryAlone allows one send of a request without the leader, or returns the time until the next one. The pauses are those of the
// leader, so that an instance that is cut off for long ends few upstreams. A request that only the leader suspected waits for the
// leader: otherwise each instance would try it.
func (g *Guard) tryAlone(now time.Time, key servicePart) (Trial, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if k := g.known.Load(); k.suspects[key] >= trialCrashes {
		return Trial{}, trialWait
	}
	t := g.alone[key]
	if t.count > 0 {
		if wait := PauseAfter(t.count) - now.Sub(t.last); wait > 0 {
			return Trial{}, wait
		}
	}
	if t.count == 0 && len(g.alone) >= maxBroken {
		return Trial{}, firstTrialPause
	}
	g.alone[key] = aloneTrials{count: t.count + 1, last: now}
	return Trial{Number: aloneNumber, until: now.Add(trialValidity)}, 0
}

// Try returns when a request may be sent, with a trial if it needs one. It returns a *Held if it may not be sent in the time
// that it can wait until its deadline.
func (g *Guard) Try(ctx context.Context, r Request, deadline time.Time) (Trial, error) {
	if g == nil {
		return Trial{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxTryWait, time.Until(deadline)/4))
	defer cancel()
	for {
		replaced := g.known.Load().replaced
		key := g.suspectOf(&r)
		if key == (servicePart{}) {
			return Trial{}, nil
		}
		t, wait := g.askInTurn(ctx, key)
		if t.Number != 0 {
			klog.InfoS("request is sent on trial", "request", r.ID, "service", r.Service, "content", key.part, "trial", t.Number)
			return t, nil
		}
		if wait == 0 && ctx.Err() == nil {
			return Trial{}, nil
		}
		select {
		case <-ctx.Done():
			return Trial{}, &Held{RetryAfter: heldRetryAfter}
		case <-replaced:
		case <-time.After(wait):
		}
	}
}

// askInTurn asks the leader for a trial, one request at a time. It returns the trial, or the time after which to ask again; 0
// if the request needs none.
func (g *Guard) askInTurn(ctx context.Context, key servicePart) (Trial, time.Duration) {
	if turn := g.turnOf(key); turn != nil {
		select {
		case turn <- struct{}{}:
			defer func() { <-turn }()
		default:
			return Trial{}, trialWait
		}
	}
	if g.asker == nil {
		return g.tryAlone(time.Now(), key)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	askedAt := time.Now()
	a, ok := g.asker.AskTrial(askCtx, wire.TrialQuery{Service: key.service, Part: key.part})
	switch {
	case !ok:
		return g.tryAlone(time.Now(), key)
	case !a.Suspect:
		return Trial{}, 0
	case a.Trial == 0:
		return Trial{}, max(time.Duration(a.WaitMs)*time.Millisecond, time.Millisecond)
	}
	// Its time counts from when it was asked for: the answer may have been delayed.
	return Trial{Number: a.Trial, until: askedAt.Add(time.Duration(a.ValidMs) * time.Millisecond)}, 0
}

// turnOf returns what one request at a time holds while it asks for a trial; nil if the leader doesn't suspect the request.
func (g *Guard) turnOf(key servicePart) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.watched[key]; w != nil {
		return w.turn
	}
	return nil
}

// Return tells the leader that a trial was not used. It returns at once.
func (g *Guard) Return(r Request, t Trial) {
	if g == nil || t.Number <= 0 || g.asker == nil {
		return
	}
	query := wire.TrialQuery{Service: r.Service, Part: r.exactID(), Returned: t.Number}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, askTimeout)
		defer cancel()
		if _, ok := g.asker.AskTrial(ctx, query); !ok {
			klog.V(1).InfoS("unused trial not returned, it lapses", "trial", query.Returned)
		}
	}()
}
