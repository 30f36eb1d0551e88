package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// minRounds is the number of rounds from which a part can be to blame, see finding.
	minRounds = 3
	// maxExtraRounds is the number of further rounds that each make up for a tenfold larger chance: content that is not to
	// blame is answered between them.
	maxExtraRounds = 2
	// nearlyAll and mostCrashes are shares of a service's crashes, see maxChance.
	nearlyAll   = 0.9
	mostCrashes = 0.5
	// answerTime is how long instances must have been asked about a part before it is blamed, so that they could have said that
	// it was answered.
	answerTime = 300 * time.Millisecond
	// minRoundGap is the least time between two rounds: ends within it may have one cause.
	minRoundGap = 250 * time.Millisecond
	// minDrawGap is the least time between two crashes that count as two draws, see suffices. With a gap of 0 one more of 4,000
	// simulated histories blames a sound part: upstreams that end together then count as many draws.
	minDrawGap = 50 * time.Millisecond
	// maxEvidence is the number of upstreams that an entry names.
	maxEvidence = 8
)

// finding is the evidence against one part: the crashes under it since a request with it was last answered whole.
type finding struct {
	part string
	// crashes are by time. sends are their sends with the part.
	crashes []*crash
	sends   []send
	// rounds is the number of crashes before each of which, but the first, the service had answered other requests since the
	// one before, at least in part. Crashes without that may have a cause that all requests share.
	rounds    int
	lastRound time.Time
	// draws is the number of crashes that are at least minDrawGap apart, whether others were answered between or not.
	draws int
}

// Blame returns new entries for the parts that are to blame. known are the entries that exist; a crash from before the end
// of an entry is no evidence against the entry's parts again.
func (d *Detector) Blame(now time.Time, known []wire.QuarantineEntry) []wire.QuarantineEntry {
	out := d.repeated(now, known)
	out = append(out, d.provenByTrial(now, slices.Concat(known, out))...)
	byService := make(map[string][]*crash)
	for _, c := range d.crashes {
		byService[c.service] = append(byService[c.service], c)
	}
	for service, crashes := range byService {
		known := slices.Concat(known, out)
		left := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return isExplained(c, known) })
		for {
			guilty := d.guiltyIn(now, service, left, crashes)
			if len(guilty) == 0 {
				break
			}
			f := guilty[0]
			out = append(out, newEntry(now, service, f, guilty))
			left = slices.DeleteFunc(left, func(c *crash) bool { return slices.Contains(f.crashes, c) })
		}
	}
	return out
}

// repeated returns the entries to set because of a single crash, since its content is known: it matches an entry that has
// ended, and no request with its parts was answered since, or one that refuses requests of another workspace.
func (d *Detector) repeated(now time.Time, known []wire.QuarantineEntry) []wire.QuarantineEntry {
	var out []wire.QuarantineEntry
	for i := range known {
		e := &known[i]
		isCovered := slices.ContainsFunc(known, func(o wire.QuarantineEntry) bool {
			return o.Workspace == "" && IsActive(&o, now) && Covers(&o, e)
		})
		if isCovered || d.isSoundSince(now, e) {
			continue
		}
		for _, c := range d.crashes {
			if s := c.repeats(now, e); s != nil {
				out = append(out, renewed(now, e, s.workspace, c.upstream))
			}
		}
	}
	return out
}

// isSoundSince reports whether a request with a part of an entry was answered since evidence against it counts again, or
// whether that isn't known yet.
func (d *Detector) isSoundSince(now time.Time, e *wire.QuarantineEntry) bool {
	return slices.ContainsFunc(e.Parts, func(p string) bool {
		key := servicePart{e.Service, p}
		askedAt := d.askedAt[key]
		return askedAt.IsZero() || now.Sub(askedAt) < answerTime || d.servedAt[key].After(evidenceFrom(e, now))
	})
}

// repeats returns a send under which a crash has happened and that an entry doesn't refuse though it has its parts; nil if
// there is none.
func (c *crash) repeats(now time.Time, e *wire.QuarantineEntry) *send {
	if c.service != e.Service || !c.at.After(evidenceFrom(e, now)) {
		return nil
	}
	for _, s := range c.suspects() {
		isRefused := IsActive(e, now) && (e.Workspace == "" || e.Workspace == s.workspace)
		if !isRefused && isSubset(e.Parts, s.parts) {
			return &s
		}
	}
	return nil
}

// renewed returns the entry in place of another one whose content has crashed one more upstream, for a workspace.
func renewed(now time.Time, e *wire.QuarantineEntry, workspace, upstream string) wire.QuarantineEntry {
	if workspace != e.Workspace {
		workspace = ""
	}
	again := NewEntry(now, e.Service, workspace, e.Parts, DefaultPeriod)
	again.Upstreams = append(slices.Clone(e.Upstreams), upstream)
	again.Upstreams = again.Upstreams[max(0, len(again.Upstreams)-maxEvidence):]
	again.Reason = "crashed an upstream again"
	return again
}

// evidenceFrom returns the time after which a crash is evidence against an entry's parts again.
func evidenceFrom(e *wire.QuarantineEntry, now time.Time) time.Time {
	if IsActive(e, now) {
		return time.UnixMilli(int64(e.SinceMs))
	}
	return time.UnixMilli(int64(e.UntilMs))
}

// isExplained reports whether a crash has an entry's content and is from before the end of the entry.
func isExplained(c *crash, known []wire.QuarantineEntry) bool {
	return slices.ContainsFunc(known, func(e wire.QuarantineEntry) bool {
		return e.Service == c.service && c.at.UnixMilli() <= int64(e.UntilMs) && slices.ContainsFunc(c.suspects(), func(s send) bool {
			return isSubset(e.Parts, s.parts) && (e.Workspace == "" || e.Workspace == s.workspace)
		})
	})
}

// suspects returns the sends of a crash that had not been answered in part; all if there is none.
func (c *crash) suspects() []send {
	var out []send
	for _, s := range c.sends {
		if !s.begun {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return c.sends
	}
	return out
}

// guiltyIn returns the findings that suffice to blame their parts, the most specific first. crashes are the service's
// crashes that no entry explains, all includes the explained ones.
func (d *Detector) guiltyIn(now time.Time, service string, crashes, all []*crash) []*finding {
	var out []*finding
	for _, f := range d.findings(service, crashes) {
		askedAt := d.askedAt[servicePart{service, f.part}]
		if !askedAt.IsZero() && now.Sub(askedAt) >= answerTime && d.suffices(f, all) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *finding) int {
		return cmp.Or(cmp.Compare(len(a.sends), len(b.sends)), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return out
}

// findings returns the evidence against each part with at least minRounds of the crashes.
func (d *Detector) findings(service string, crashes []*crash) []*finding {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	byPart := make(map[string][]*crash)
	for _, c := range sorted {
		for p := range c.suspectParts() {
			if c.at.After(d.servedAt[servicePart{service, p}]) {
				byPart[p] = append(byPart[p], c)
			}
		}
	}
	var out []*finding
	for p, list := range byPart {
		if len(list) >= minRounds {
			out = append(out, d.newFinding(service, p, list))
		}
	}
	return out
}

// newFinding returns the evidence against a part: crashes with it, by time.
func (d *Detector) newFinding(service, part string, crashes []*crash) *finding {
	f := &finding{part: part, crashes: crashes}
	var lastDraw time.Time
	for _, c := range crashes {
		if c.at.Sub(lastDraw) >= minDrawGap {
			f.draws, lastDraw = f.draws+1, c.at
		}
		f.sends = append(f.sends, c.sendsWith(part)...)
		isLater := c.at.Sub(f.lastRound) >= minRoundGap
		if f.rounds == 0 || isLater && (d.answersBetween(service, f.lastRound, c.at) > 0 || c.hasBegunWithout(part)) {
			f.rounds, f.lastRound = f.rounds+1, c.at
		}
	}
	return f
}

// suspectParts returns the parts under which a crash may have happened: those of suspect sends that no send has which had been
// answered in part. Requests as a whole are left out: trials tell whether they are to blame.
func (c *crash) suspectParts() map[string]bool {
	out := make(map[string]bool)
	suspects := c.suspects()
	for _, s := range suspects {
		for _, p := range s.parts {
			if !isExact(p) {
				out[p] = true
			}
		}
	}
	if len(suspects) == len(c.sends) {
		return out
	}
	for _, s := range c.sends {
		for _, p := range s.parts {
			if s.begun {
				delete(out, p)
			}
		}
	}
	return out
}

// sendsWith returns the sends of a crash with a part.
func (c *crash) sendsWith(part string) []send {
	return slices.DeleteFunc(slices.Clone(c.sends), func(s send) bool { return !slices.Contains(s.parts, part) })
}

// countWith returns the number of sends with a part.
func countWith(sends []send, part string) int {
	n := 0
	for _, s := range sends {
		if slices.Contains(s.parts, part) {
			n++
		}
	}
	return n
}

// hasBegunWithout reports whether a send of a crash without a part had been answered in part.
func (c *crash) hasBegunWithout(part string) bool {
	return slices.ContainsFunc(c.sends, func(s send) bool { return s.begun && !slices.Contains(s.parts, part) })
}

// suffices reports whether the evidence suffices to blame the part. all are the crashes of the service. Crashes in one round
// may have one cause, but which requests had not been answered in part is drawn anew at each upstream, so that each draw
// makes chance less likely.
func (d *Detector) suffices(f *finding, all []*crash) bool {
	if f.rounds < minRounds {
		return false
	}
	share := float64(len(f.crashes)) / float64(len(f.meanwhile(all)))
	return math.Pow(d.chanceOfBreak(f, all), float64(f.draws)) <= maxChance(share, f.rounds)
}

// maxChance returns the largest probability of the evidence against a part, if it were not to blame, with which it is blamed.
// It falls with the share of the crashes meanwhile that were under the part, since the others show that there is another
// cause.
func maxChance(share float64, rounds int) float64 {
	chance := 1e-6
	switch {
	case share > nearlyAll:
		chance = 1e-4
	case share > mostCrashes:
		chance = 1e-5
	}
	return chance * math.Pow(10, float64(min(rounds-minRounds, maxExtraRounds)))
}

// meanwhile returns those of the crashes that happened from the first to the last one under the part.
func (f *finding) meanwhile(all []*crash) []*crash {
	first, last := f.crashes[0].at, f.crashes[len(f.crashes)-1].at
	return slices.DeleteFunc(slices.Clone(all), func(c *crash) bool { return c.at.Before(first) || c.at.After(last) })
}

// chanceOfBreak returns the probability with which a request without the part broke where those with the part did, before it
// was answered in part, from the first to the last crash under the part.
func (d *Detector) chanceOfBreak(f *finding, all []*crash) float64 {
	first, last := f.crashes[0], f.crashes[len(f.crashes)-1]
	broken, begun := 0, d.answersBetween(first.service, first.at, last.at)
	for _, c := range f.meanwhile(all) {
		suspects := c.suspects()
		others := len(c.sends) - countWith(c.sends, f.part)
		suspectOthers := len(suspects) - countWith(suspects, f.part)
		broken += suspectOthers
		begun += others - suspectOthers
	}
	// One more of each, since few requests tell little.
	return float64(broken+1) / float64(broken+begun+2)
}

// newEntry returns the entry for a part that is to blame. It has all parts that can't be told apart from that part: those
// that are to blame by themselves and were in each of its sends. It is for one workspace if only one has sent the part.
func newEntry(now time.Time, service string, f *finding, guilty []*finding) wire.QuarantineEntry {
	parts := []string{f.part}
	for _, other := range guilty {
		isInAll := !slices.ContainsFunc(f.sends, func(s send) bool { return !slices.Contains(s.parts, other.part) })
		if other != f && isInAll {
			parts = append(parts, other.part)
		}
	}
	workspace := f.sends[0].workspace
	if slices.ContainsFunc(f.sends, func(s send) bool { return s.workspace != workspace }) {
		workspace = ""
	}
	e := NewEntry(now, service, workspace, parts, DefaultPeriod)
	for _, c := range f.crashes[max(0, len(f.crashes)-maxEvidence):] {
		e.Upstreams = append(e.Upstreams, c.upstream)
	}
	e.Reason = "upstreams crashed one after the other while requests with these parts ran, and none was answered"
	return e
}

// Narrowed returns the entries to set in place of known ones because requests with some of their parts were answered since:
// those parts aren't to blame.
func (d *Detector) Narrowed(now time.Time, known []wire.QuarantineEntry) []wire.QuarantineEntry {
	var out []wire.QuarantineEntry
	for i := range known {
		e := &known[i]
		if !IsActive(e, now) || e.SetBy != "" {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(e.Parts), func(p string) bool {
			return d.servedAt[servicePart{e.Service, p}].UnixMilli() > int64(e.SinceMs)
		})
		if len(left) == 0 || len(left) == len(e.Parts) {
			continue
		}
		narrowed := NewEntry(now, e.Service, e.Workspace, left, DefaultPeriod)
		narrowed.Upstreams, narrowed.Reason = e.Upstreams, e.Reason
		out = append(out, narrowed)
	}
	return out
}
