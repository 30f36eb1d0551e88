package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// noUpstreams knows no upstreams.
type noUpstreams struct{}

func (noUpstreams) RenewedAt(string, int) time.Time { return time.Time{} }
func (noUpstreams) IsLeaving(string, int) bool      { return false }

// trials is a Detector with a clock, and the upstreams that have ended.
type trials struct {
	*Detector
	now           time.Time
	number, ended int
	entries       []wire.QuarantineEntry
}

func newTrials() *trials {
	return &trials{Detector: NewDetector(noUpstreams{}), now: time.Unix(1_000_000, 0)}
}

// exact returns the part of a request as a whole.
func exact(name string) string { return (&Exact{Head: []string{"GET", "/" + name}}).ID() }

// end ends an upstream under requests; the first one's send is the trial with a number, 0 for none.
func (s *trials) end(trial int, requests ...string) {
	s.ended++
	for i, r := range requests {
		b := wire.BrokenSend{
			Upstream: fmt.Sprint("u", s.ended), Incarnation: 1, Service: "s", Send: fmt.Sprint(s.ended, r, i), Workspace: "w",
			Parts: []string{exact(r)}, Begun: i%2 == 1,
		}
		if i == 0 {
			b.Trial = trial
		}
		s.Report(s.now, []wire.BrokenSend{b}, nil)
	}
}

// answer reports that requests were answered, and as many others.
func (s *trials) answer(requests ...string) {
	served := []wire.ServedPart{{Service: "s", Answers: 1}}
	for _, r := range requests {
		served = append(served, wire.ServedPart{Service: "s", Part: exact(r)})
	}
	s.Report(s.now, nil, served)
}

// try asks for a trial, and returns its number, and whether the request may be sent without one. Requests in quarantine don't
// ask.
func (s *trials) try(request string) (number int, isFree bool) {
	if slices.ContainsFunc(s.entries, func(e wire.QuarantineEntry) bool { return slices.Contains(e.Parts, exact(request)) }) {
		return 0, false
	}
	a := s.Trial(s.now, wire.TrialQuery{Service: "s", Part: exact(request)}, s.number+1)
	s.number = max(s.number, a.Trial)
	return a.Trial, !a.Suspect
}

// wait lets time pass while others are answered or not.
func (s *trials) wait(length time.Duration, othersAnswered bool) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(answerBucket) {
		if othersAnswered {
			s.answer()
		}
		s.entries = append(s.entries, s.Blame(s.now, s.entries)...)
	}
}

// TestRequestEndsMoreThanAFewUpstreams guards against a request that is sent on after it has ended upstreams at two instances at
// nearly the same moment, whether others are answered or the whole service is gone for a while.
func TestRequestEndsMoreThanAFewUpstreams(t *testing.T) {
	is := is.New(t)
	s := newTrials()
	for range 4 {
		s.end(0, "bad", "sound")
		s.now = s.now.Add(20 * time.Millisecond)
	}
	s.wait(2500*time.Millisecond, false) // all are gone
	is.Equal(len(s.entries), 0)
	sends := 0
	for range 200 { // once they are back, it comes every 50 ms at each of ten instances
		for range 10 {
			if number, isFree := s.try("bad"); number != 0 || isFree {
				sends++
				s.now = s.now.Add(60 * time.Millisecond)
				s.end(number, "bad")
			}
		}
		s.wait(50*time.Millisecond, true)
	}
	is.Equal(sends, minFailed)
	is.Equal(len(s.entries), 1)
	is.Equal(s.entries[0].Parts, []string{exact("bad")})
	is.Equal(s.entries[0].Workspace, "w")
}

// TestOutageBlamesEqualRequests guards against a sound request that all callers send, and that is refused because upstreams ended
// for another reason while it ran: all at once, a rack, or each of them again and again.
func TestOutageBlamesEqualRequests(t *testing.T) {
	is := is.New(t)
	for name, ends := range map[string]int{"all": 9, "a rack": 3} {
		t.Log(name)
		s := newTrials()
		for range ends {
			s.end(0, "poll", "other")
		}
		s.wait(3*time.Second, name == "a rack")
		number, isFree := s.try("poll")
		is.True(number != 0 && !isFree)
		s.now = s.now.Add(20 * time.Millisecond)
		s.answer("poll")
		_, isFree = s.try("poll")
		is.True(isFree) // from the first answer on
		s.wait(time.Minute, true)
		is.Equal(len(s.entries), 0)
	}
	s := newTrials() // a bad release: whatever runs, the upstream ends
	tried := 0
	for i := range 60 {
		number, isFree := s.try("poll")
		switch {
		case number != 0:
			tried++
			s.end(number, "poll", fmt.Sprint("unique", i))
		case isFree:
			s.end(0, "poll", fmt.Sprint("unique", i))
		default:
			s.end(0, fmt.Sprint("unique", i))
		}
		s.wait(time.Second, false)
	}
	is.Equal(len(s.entries), 0)
	is.True(tried <= 4)
}

// TestReleaseThatCrashesBlamesEqualRequests guards against a sound request that comes all the time and is refused because a
// release ends each upstream some time after it has started, whatever it runs: in 300 histories of a minute, 30 if it is to be short.
func TestReleaseThatCrashesBlamesEqualRequests(t *testing.T) {
	is := is.New(t)
	const upstreams, runTime = 4, 2 // of a request, in steps of answerBucket
	histories := uint64(300)
	if testing.Short() {
		histories = 30
	}
	for seed := range histories {
		random := rand.New(rand.NewPCG(45, seed))
		s := newTrials()
		began, number, at := -runTime, 0, 0 // of the poll that runs, and its upstream
		for step := range 60 * 20 {
			if step == began+runTime {
				s.answer("poll")
			}
			if n, isFree := s.try("poll"); began+runTime < step && (n != 0 || isFree) {
				began, number, at = step, n, random.IntN(upstreams)
			}
			isRunning := step < began+runTime
			if random.IntN(10) == 0 { // two upstreams a second
				if isRunning && at == random.IntN(upstreams) {
					s.end(number, "poll", fmt.Sprint("unique", step))
					began = step - runTime - 1
				} else {
					s.end(0, fmt.Sprint("unique", step))
				}
			}
			s.now = s.now.Add(answerBucket)
			s.answer()
			if step%8 == 0 {
				s.entries = append(s.entries, s.Blame(s.now, s.entries)...)
			}
		}
		is.Equal(len(s.entries), 0)
	}
}

// TestTrialOfOneRequestEndsAnother guards against two suspect requests of a service that run at the same time, so that the sound
// one ends with the other's upstream, and against a trial that bars all others after its instance has gone.
func TestTrialOfOneRequestEndsAnother(t *testing.T) {
	is := is.New(t)
	s := newTrials()
	for range 3 {
		s.end(0, "bad", "sound")
	}
	bad, _ := s.try("bad")
	is.True(bad != 0)
	sound, isFree := s.try("sound")
	is.True(sound == 0 && !isFree)
	// The trial comes back unused.
	s.Trial(s.now, wire.TrialQuery{Service: "s", Part: exact("bad"), Returned: bad}, 0)
	sound, _ = s.try("sound")
	is.True(sound != 0)
	// Its instance is gone.
	s.wait(trialLapse, false)
	bad, _ = s.try("bad")
	is.Equal(bad, 0)
	s.wait(100*time.Millisecond, false)
	bad, _ = s.try("bad")
	is.True(bad != 0)
}

// TestSeveralBadRequestsHideEachOther guards against requests that are not blamed because others end upstreams too.
func TestSeveralBadRequestsHideEachOther(t *testing.T) {
	is := is.New(t)
	s := newTrials()
	names := []string{"a", "b", "c", "d", "e"}
	for range 3 {
		for _, name := range names {
			s.end(0, name)
			s.wait(50*time.Millisecond, true)
		}
	}
	sends := 0
	for range 200 {
		for _, name := range names {
			if number, isFree := s.try(name); number != 0 || isFree {
				sends++
				s.end(number, name)
			}
		}
		s.wait(50*time.Millisecond, true)
	}
	is.Equal(len(s.entries), len(names))
	is.Equal(sends, len(names)*minFailed)
}

// TestBadRequestsFillDetector guards against a leader whose memory or messages grow with the number of requests that end upstreams.
func TestBadRequestsFillDetector(t *testing.T) {
	is := is.New(t)
	s := newTrials()
	for i := range 10_000 {
		s.end(0, fmt.Sprint("bad", i/2))
		s.try(fmt.Sprint("bad", i/2))
		s.now = s.now.Add(trialLapse)
		s.TakeChanged(s.now)
	}
	is.True(len(s.crashes) <= maxCrashes)
	is.True(len(s.trials) <= 2)
	is.True(len(s.Suspects(s.now)) <= maxTried+maxSuspects)
}

// fixedAsker answers all queries for trials in one way.
type fixedAsker struct {
	answer wire.TrialAnswer
	ok     bool
	asked  int
}

func (a *fixedAsker) AskTrial(context.Context, wire.TrialQuery) (wire.TrialAnswer, bool) {
	a.asked++
	return a.answer, a.ok
}

// TestSoundRequestsWaitForHash guards against requests whose bodies are read, or that ask the leader, though no request with
// their method, path and caller is suspect.
func TestSoundRequestsWaitForHash(t *testing.T) {
	is := is.New(t)
	asker := &fixedAsker{answer: wire.TrialAnswer{Suspect: true, Trial: 7, ValidMs: 1000}, ok: true}
	g := NewGuard(t.Context(), &endedProcesses{}, func() {}).WithAsker(asker)
	g.Learn(time.Now(), wire.QuarantineUpdate{Version: 1, Suspects: []wire.SuspectPart{{Service: "s", Part: exact("bad"), Crashes: 2}}})
	request := func(path, body string) Request {
		return Request{Service: "s", Exact: &Exact{Head: []string{"GET", path}, Body: []byte(body)}}
	}
	deadline := time.Now().Add(time.Second)
	for _, r := range []Request{request("/other", ""), request("/bad", "other body")} {
		trial, err := g.Try(t.Context(), r, deadline)
		is.NoErr(err)
		is.Equal(trial.Number, 0)
		is.Equal(g.Refusal(time.Now(), r), nil)
		g.Served(time.Now(), r)
		is.Equal(r.Exact.id != "", len(r.Exact.Body) > 0) // only the second one's was read
	}
	is.Equal(asker.asked, 0)
	trial, err := g.Try(t.Context(), request("/bad", ""), deadline)
	is.NoErr(err)
	is.Equal(trial.Number, 7)
	asker.answer = wire.TrialAnswer{Suspect: true, WaitMs: 10}
	began := time.Now()
	_, err = g.Try(t.Context(), request("/bad", ""), began.Add(400*time.Millisecond))
	is.True(err != nil)
	is.True(time.Since(began) < 200*time.Millisecond) // a quarter of the time left, and a margin for the machine
}

// TestInstanceWithoutLeaderSendsOn guards against an instance that is cut off from the leader and gives a request to one
// upstream after the other, or that refuses a sound one for as long as it is cut off.
func TestInstanceWithoutLeaderSendsOn(t *testing.T) {
	is := is.New(t)
	g := NewGuard(t.Context(), &endedProcesses{}, func() {}).WithAsker(&fixedAsker{})
	r := Request{Service: "s", Exact: &Exact{Head: []string{"GET", "/poll"}}}
	sends := 0
	for range 20 {
		if _, err := g.Try(t.Context(), r, time.Now().Add(200*time.Millisecond)); err == nil {
			sends++
			g.Ended(time.Now(), Process{Upstream: fmt.Sprint("u", sends), Incarnation: 1}, r, Send{ID: fmt.Sprint(sends)})
		}
	}
	is.True(sends <= 2+trialCrashes)
	time.Sleep(firstTrialPause)
	trial, err := g.Try(t.Context(), r, time.Now().Add(time.Second))
	if err == nil {
		is.True(trial.Number < 0)
		g.Served(time.Now(), r)
		is.True(!g.NeedsTrial(r))
	}
	g.Report(time.Now(), 1)
	g.Confirm(1)
	is.True(!g.NeedsTrial(r)) // the leader has the evidence now, and says what is suspect
}

// BenchmarkOutage measures a look of the leader at its evidence after an outage: as many crashes as it keeps, each under as many
// different requests as it keeps.
func BenchmarkOutage(b *testing.B) {
	s := newTrials()
	for i := range maxCrashes {
		requests := make([]string, maxSends)
		for j := range requests {
			requests[j] = fmt.Sprint(i, "-", j)
		}
		s.end(0, requests...)
	}
	b.ResetTimer()
	for b.Loop() {
		s.Suspects(s.now)
		s.Blame(s.now, nil)
	}
}
