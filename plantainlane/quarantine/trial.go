package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// trialCrashes is the number of crashes under one and the same request, and no answer to it since, from which it is sent
	// only as a trial.
	trialCrashes = 2
	// minCrashes is the number of crashes from which such a request can be to blame, minFailed the number of these that are
	// failed trials.
	minCrashes = 3
	minFailed  = 2
	// maxTrialChance is the largest probability of the crashes under such a request, if it were not to blame, with which it is
	// blamed.
	maxTrialChance = 1e-6
	// trialValidity is how long after its query a trial can be used.
	trialValidity = 2 * time.Second
	// trialLapse is the time after which a trial whose end isn't known no longer bars the next one. It leaves a send that began
	// at the end of trialValidity the time to end its upstream, and its instance the time to see and report that.
	trialLapse = trialValidity + 3*time.Second
	// trialWait is the time after which an instance asks again while another trial of the service is under way.
	trialWait = 50 * time.Millisecond
	// firstTrialPause is the time from a first failed trial until the next one. Each further one multiplies it by
	// trialPauseFactor, up to maxTrialPause.
	firstTrialPause  = 500 * time.Millisecond
	trialPauseFactor = 8
	maxTrialPause    = time.Hour
	// maxTried bounds the requests that instances are told to send as trials only.
	maxTried = 32
)

// trial is the permission to send a suspect request once.
type trial struct {
	servicePart
	number  int
	granted time.Time
}

// exactCrashes returns the crashes under one and the same request since it was last answered, by time.
func (d *Detector) exactCrashes(key servicePart) []*crash {
	var out []*crash
	for _, c := range d.crashes {
		isUnder := c.service == key.service && c.at.After(d.servedAt[key])
		if isUnder && slices.ContainsFunc(c.sends, func(s send) bool { return s.exact() == key.part }) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// failedTrials returns those of the crashes under a request that were under a trial of it.
func failedTrials(crashes []*crash, part string) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		return !slices.ContainsFunc(c.sends, func(s send) bool { return s.trial != 0 && s.exact() == part })
	})
}

// Trial answers a query. At any time, one request of each service has a trial, so that no trial ends under another one's
// request. number is that of the next trial.
func (d *Detector) Trial(now time.Time, q wire.TrialQuery, number int) wire.TrialAnswer {
	key := servicePart{q.Service, q.Part}
	if q.Returned != 0 {
		d.trials = slices.DeleteFunc(d.trials, func(t trial) bool { return t.servicePart == key && t.number == q.Returned })
		return wire.TrialAnswer{}
	}
	crashes := d.exactCrashes(key)
	if len(crashes) < trialCrashes {
		return wire.TrialAnswer{}
	}
	d.endTrials(now)
	wait := trialWait
	if !slices.ContainsFunc(d.trials, func(t trial) bool { return t.service == key.service }) {
		failed := failedTrials(crashes, key.part)
		next := crashes[len(crashes)-1].at
		if len(failed) > 0 {
			next = failed[len(failed)-1].at.Add(PauseAfter(len(failed)))
		}
		if wait = next.Sub(now); wait <= 0 {
			d.trials = append(d.trials, trial{servicePart: key, number: number, granted: now})
			return wire.TrialAnswer{Suspect: true, Trial: number, ValidMs: int(trialValidity / time.Millisecond)}
		}
	}
	return wire.TrialAnswer{Suspect: true, WaitMs: int(wait/time.Millisecond) + 1}
}

// PauseAfter returns the time from the last one of a number of failed trials until the next one.
func PauseAfter(failed int) time.Duration {
	pause := firstTrialPause
	for range failed - 1 {
		pause = min(pause*trialPauseFactor, maxTrialPause)
	}
	return pause
}

// endTrials forgets the trials that are over: the request was answered or has crashed its upstream, or nothing was heard for
// trialLapse.
func (d *Detector) endTrials(now time.Time) {
	d.trials = slices.DeleteFunc(d.trials, func(t trial) bool {
		hasFailed := slices.ContainsFunc(d.crashes, func(c *crash) bool {
			return slices.ContainsFunc(c.sends, func(s send) bool { return s.trial == t.number })
		})
		return hasFailed || d.servedAt[t.servicePart].After(t.granted) || now.Sub(t.granted) > trialLapse
	})
}

// tried returns the requests that are sent as trials only, with the number of crashes, those with most first.
func (d *Detector) tried() []wire.SuspectPart {
	var out []wire.SuspectPart
	for key, n := range d.suspectRequests() {
		out = append(out, wire.SuspectPart{Service: key.service, Part: key.part, Crashes: n})
	}
	sortSuspects(out)
	return out[:min(len(out), maxTried)]
}

// sortSuspects sorts parts by the number of crashes, those with most first.
func sortSuspects(parts []wire.SuspectPart) {
	slices.SortFunc(parts, func(a, b wire.SuspectPart) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Part, b.Part))
	})
}

// suspectRequests returns the requests that are sent as trials only, with the number of crashes since each was last answered. It goes
// once over all sends, since an outage leaves thousands, most of different requests.
func (d *Detector) suspectRequests() map[servicePart]int {
	counts := make(map[servicePart]int)
	for _, c := range d.crashes {
		seen := make(map[string]bool)
		for i := range c.sends {
			id := c.sends[i].exact()
			if key := (servicePart{c.service, id}); id != "" && !seen[id] && c.at.After(d.servedAt[key]) {
				counts[key]++
			}
			seen[id] = true
		}
	}
	maps.DeleteFunc(counts, func(_ servicePart, n int) bool { return n < trialCrashes })
	return counts
}

// provenByTrial returns entries for the requests that are to blame by themselves: they have crashed enough upstreams, enough of
// these in trials, the service has answered others since the first failed trial, and as many breaks in a row are unlikely at the rate
// at which others broke meanwhile. An outage that ends upstreams whatever they run fails the last two. One that ends some of them now
// and then can end one under a trial: each time that it did so under none of these requests asks for one more.
func (d *Detector) provenByTrial(now time.Time, known []wire.QuarantineEntry) []wire.QuarantineEntry {
	var out []wire.QuarantineEntry
	suspects := d.suspectRequests()
	for key := range suspects {
		crashes := slices.DeleteFunc(d.exactCrashes(key), func(c *crash) bool { return isExplained(c, known) })
		failed := failedTrials(crashes, key.part)
		if len(crashes) < minCrashes || len(failed) < minFailed {
			continue
		}
		others := d.crashesOfOthers(key.service, crashes[0].at, suspects, known)
		if len(failed) < minFailed+rounds(others) || d.answersBetween(key.service, failed[0].at, now) == 0 {
			continue
		}
		answered := d.answersBetween(key.service, crashes[0].at, now)
		if math.Pow(breakRate(others, answered), float64(len(crashes))) > maxTrialChance {
			continue
		}
		f := &finding{part: key.part, crashes: crashes}
		for _, c := range crashes {
			f.sends = append(f.sends, c.sendsWith(key.part)...)
		}
		e := newEntry(now, key.service, f, nil)
		e.Reason = "upstreams crashed one after the other under this request, also when it was sent on trial, and others were answered"
		out = append(out, e)
	}
	return out
}

// crashesOfOthers returns the crashes of a service from a time on, by time, that were under none of the suspect requests, and not
// under the content of a known entry.
func (d *Detector) crashesOfOthers(service string, from time.Time, suspects map[servicePart]int, known []wire.QuarantineEntry) []*crash {
	var out []*crash
	for _, c := range d.crashes {
		isListed := slices.ContainsFunc(c.sends, func(s send) bool { return suspects[servicePart{service, s.exact()}] > 0 })
		if c.service == service && !c.at.Before(from) && !isListed && !isExplained(c, known) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// rounds returns the number of crashes that are minRoundGap apart: those within it may have one cause.
func rounds(crashes []*crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) >= minRoundGap {
			n, last = n+1, c.at
		}
	}
	return n
}

// breakRate returns the share of requests that broke with their upstreams, of those that broke or were answered.
func breakRate(crashes []*crash, answered int) float64 {
	broken := 0
	for _, c := range crashes {
		broken += len(c.suspects())
	}
	// One more of each, since few requests tell little.
	return float64(broken+1) / float64(broken+answered+2)
}
