package quarantine

import (
	"maps"
	"slices"
	"time"

	"plantainlane/wire"
)

const (
	// evidenceWindow is how long a crash or a broken send is evidence.
	evidenceWindow = 5 * time.Minute
	// maxCrashes bounds the crashes that a Detector knows, and maxSends the sends of each; the oldest are forgotten first.
	maxCrashes = 128
	maxSends   = 64
	// answerBucket is the span of time whose answers of a service are counted together.
	answerBucket = 50 * time.Millisecond
	// maxSuspects bounds the parts that instances are asked about.
	maxSuspects = 32
	// survivalTime is how long after a break an announcement of the same process shows that it did not end. An earlier one
	// may have been under way.
	survivalTime = 1500 * time.Millisecond
)

// Upstreams tells what is known of the processes of upstreams.
type Upstreams interface {
	// RenewedAt returns when the newest announcement of an upstream was received if it is of this incarnation; the zero time
	// otherwise.
	RenewedAt(upstream string, incarnation int) time.Time
	// IsLeaving reports whether an upstream has announced, in this incarnation, that it is leaving.
	IsLeaving(upstream string, incarnation int) bool
}

// process is one process of an upstream.
type process struct {
	upstream    string
	incarnation int
}

// send is a send that broke.
type send struct {
	id        string
	workspace string
	parts     []string
	begun     bool
	// trial is the number of the trial that it was; 0 if it was none.
	trial int
}

// exact returns the part that stands for the request as a whole; empty if there is none. It is the first one.
func (s *send) exact() string {
	if len(s.parts) > 0 && isExact(s.parts[0]) {
		return s.parts[0]
	}
	return ""
}

// crash is the end of a process under the sends that broke with it.
type crash struct {
	process
	service string
	at      time.Time
	sends   []send
}

// anyPart stands for a request of any content.
const anyPart = ""

// servicePart is a part of the content of requests to a service.
type servicePart struct {
	service, part string
}

// answerCounts holds the number of requests of any content that a service answered, by the time of the answers in units of
// answerBucket since 1970.
type answerCounts map[int64]int

// bucketOf returns the bucket of a time.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(answerBucket) }

// Detector derives from the reports of all instances which parts are to blame for crashes. Only the leader has one. It must
// be used by one goroutine only.
type Detector struct {
	upstreams Upstreams
	// crashes holds the known crashes, oldest report first.
	crashes []*crash
	// servedAt holds when a request with a part of a known crash was last answered whole.
	servedAt map[servicePart]time.Time
	// answered holds the answers of services with known crashes.
	answered map[string]answerCounts
	// askedAt holds since when instances have been asked about parts of known crashes.
	askedAt map[servicePart]time.Time
	// trials holds the trials under way.
	trials  []trial
	changed bool
	// triedChanged is set when instances should be told at once which requests are sent as trials only.
	triedChanged bool
}

// NewDetector returns a Detector that knows no crashes.
func NewDetector(u Upstreams) *Detector {
	return &Detector{
		upstreams: u, servedAt: make(map[servicePart]time.Time), answered: make(map[string]answerCounts), askedAt: make(map[servicePart]time.Time),
	}
}

// Report adds what an instance reports. Reports that were added before change nothing.
func (d *Detector) Report(now time.Time, broken []wire.BrokenSend, served []wire.ServedPart) {
	for i := range broken {
		d.addBroken(now, &broken[i])
	}
	for _, s := range served {
		key := servicePart{s.Service, s.Part}
		at := now.Add(-time.Duration(s.AgoMs) * time.Millisecond)
		if key.part == anyPart {
			d.addAnswers(key.service, at, s.Answers)
		} else if at.After(d.servedAt[key]) && d.isKnown(key) {
			d.servedAt[key] = at
			d.changed = true
			d.triedChanged = d.triedChanged || isExact(key.part)
		}
	}
}

// addAnswers records answers of a service, the last one at a time, if it has a known crash.
func (d *Detector) addAnswers(service string, at time.Time, count int) {
	if !d.hasCrashes(service) {
		return
	}
	if d.answered[service] == nil {
		d.answered[service] = make(answerCounts)
	}
	d.answered[service][bucketOf(at)] += max(count, 1)
	d.changed = true
}

// hasCrashes reports whether a crash of a service is known.
func (d *Detector) hasCrashes(service string) bool {
	return slices.ContainsFunc(d.crashes, func(c *crash) bool { return c.service == service })
}

// answersBetween returns the number of requests that a service answered between two times, those in the buckets of the times
// left out.
func (d *Detector) answersBetween(service string, from, to time.Time) int {
	n := 0
	counts := d.answered[service]
	for bucket := bucketOf(from) + 1; bucket < bucketOf(to); bucket++ {
		n += counts[bucket]
	}
	return n
}

// isKnown reports whether a known crash has a send with a part.
func (d *Detector) isKnown(key servicePart) bool {
	return slices.ContainsFunc(d.crashes, func(c *crash) bool { return c.service == key.service && c.has(key.part) })
}

// addBroken adds a send to the crash of its upstream's process.
func (d *Detector) addBroken(now time.Time, b *wire.BrokenSend) {
	at := now.Add(-time.Duration(b.AgoMs) * time.Millisecond)
	if now.Sub(at) > evidenceWindow {
		return
	}
	c := d.crashOf(process{b.Upstream, b.Incarnation}, b.Service, at)
	if len(c.sends) >= maxSends || slices.ContainsFunc(c.sends, func(s send) bool { return s.id == b.Send }) {
		return
	}
	c.sends = append(c.sends, send{id: b.Send, workspace: b.Workspace, parts: reportedParts(b.Parts), begun: b.Begun, trial: b.Trial})
	if at.Before(c.at) {
		c.at = at
	}
	d.changed = true
	if len(b.Parts) > 0 && isExact(b.Parts[0]) {
		d.triedChanged = d.triedChanged || len(d.exactCrashes(servicePart{b.Service, b.Parts[0]})) >= trialCrashes
	}
}

// crashOf returns the crash of a process. It adds one if none is known.
func (d *Detector) crashOf(p process, service string, at time.Time) *crash {
	if i := slices.IndexFunc(d.crashes, func(c *crash) bool { return c.process == p }); i >= 0 {
		return d.crashes[i]
	}
	c := &crash{process: p, service: service, at: at}
	d.crashes = append(d.crashes, c)
	if len(d.crashes) > maxCrashes {
		d.crashes = d.crashes[1:]
	}
	return c
}

// forget drops what is no evidence any more: old crashes, processes that go on announcing themselves, and those that were
// leaving.
func (d *Detector) forget(now time.Time) {
	before := len(d.crashes)
	d.crashes = slices.DeleteFunc(d.crashes, func(c *crash) bool {
		return now.Sub(c.at) > evidenceWindow || d.upstreams.IsLeaving(c.upstream, c.incarnation) ||
			d.upstreams.RenewedAt(c.upstream, c.incarnation).After(c.at.Add(survivalTime))
	})
	if len(d.crashes) != before {
		d.changed = true
		d.forgetParts()
	}
	oldest := bucketOf(now.Add(-evidenceWindow))
	for service, counts := range d.answered {
		maps.DeleteFunc(counts, func(bucket int64, _ int) bool { return bucket < oldest || !d.hasCrashes(service) })
	}
}

// forgetParts drops what is known of parts that no known crash has.
func (d *Detector) forgetParts() {
	isUnknown := func(key servicePart, _ time.Time) bool { return !d.isKnown(key) }
	maps.DeleteFunc(d.servedAt, isUnknown)
	maps.DeleteFunc(d.askedAt, isUnknown)
}

// TakeChanged reports whether the evidence has changed since the last call.
func (d *Detector) TakeChanged(now time.Time) bool {
	d.forget(now)
	changed := d.changed
	d.changed = false
	return changed
}

// TakeTriedChanged reports whether the requests that are sent as trials only may have changed since the last call.
func (d *Detector) TakeTriedChanged() bool {
	changed := d.triedChanged
	d.triedChanged = false
	return changed
}

// Suspects returns the parts that instances are to report if a request with one is answered whole, the most suspect first.
// Each service with crashes is listed with anyPart. Requests that are sent as trials only come first.
func (d *Detector) Suspects(now time.Time) []wire.SuspectPart {
	counts := make(map[servicePart]int)
	for _, c := range d.crashes {
		counts[servicePart{c.service, anyPart}]++
		seen := make(map[string]bool)
		for _, s := range c.sends {
			for _, p := range s.parts {
				key := servicePart{c.service, p}
				if !seen[p] && !isExact(p) && c.at.After(d.servedAt[key]) {
					counts[key]++
				}
				seen[p] = true
			}
		}
	}
	suspects := make([]wire.SuspectPart, 0, len(counts))
	for key, n := range counts {
		suspects = append(suspects, wire.SuspectPart{Service: key.service, Part: key.part, Crashes: n})
	}
	sortSuspects(suspects)
	suspects = append(d.tried(), suspects[:min(len(suspects), maxSuspects)]...)
	for _, s := range suspects {
		if key := (servicePart{s.Service, s.Part}); d.askedAt[key].IsZero() {
			d.askedAt[key] = now
		}
	}
	return suspects
}

// has reports whether a send of the crash has a part.
func (c *crash) has(part string) bool {
	return slices.ContainsFunc(c.sends, func(s send) bool { return slices.Contains(s.parts, part) })
}
