package quota

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"plantainlane/plantainlane/table"
)

// Peer is one process of an upstream.
type Peer struct {
	// Address is the upstream's host and port.
	Address string
	// ID and Incarnation identify the process; empty and 0 for a request to whatever process has the address.
	ID          string
	Incarnation int
}

// isSame reports whether other can be the same process.
func (p Peer) isSame(other Peer) bool {
	return p.ID == "" || other.ID == "" || p.ID == other.ID && p.Incarnation == other.Incarnation
}

// Notice is what the head of one answer says about its upstream.
type Notice struct {
	// Limited is set if the answer names a limit, PerSecond, in requests a second from all instances together.
	Limited   bool
	PerSecond float64
	// Leaving is set if the upstream is leaving: its process takes no more work, for good.
	Leaving bool
	// Pause is how long the upstream wants no request from this instance; 0 for no pause.
	Pause time.Duration
	// Warmup is how long the upstream is still cold; 0 if it doesn't say so.
	Warmup time.Duration
}

// Errors of malformed notices.
var (
	// ErrBadLimit reports an answer whose limit can't be read.
	ErrBadLimit = errors.New("quota: malformed limit")
	// ErrBadPause reports an answer whose pause can't be read.
	ErrBadPause = errors.New("quota: malformed pause")
	// ErrBadWarmup reports an answer whose warm-up can't be read.
	ErrBadWarmup = errors.New("quota: malformed warm-up")
)

const (
	// maxPause is the longest pause that is kept. A longer one counts as this.
	maxPause = 24 * time.Hour
	// spreadFraction and maxPauseSpread bound by how much an instance extends a pause at random, as a fraction of the pause
	// and absolutely, so that not all instances come back together.
	spreadFraction = 0.25
	maxPauseSpread = 2 * time.Second
)

// ReadPause returns the pause that an answer asks for: the value of Retry-After in an answer with status 503. It is a
// number of seconds, possibly with a fraction, or an HTTP date (RFC 9110, 10.2.3), which is compared with the answer's
// own date if it has one. A date in the past means no pause. ReadPause returns ErrBadPause for any other text.
func ReadPause(now time.Time, status int, h http.Header) (time.Duration, error) {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return 0, nil
	}
	if strings.Trim(text, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, errors.Wrapf(ErrBadPause, "%q", text)
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, errors.Wrapf(ErrBadPause, "%q", text)
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	return min(max(until.Sub(now), 0), maxPause), nil
}

// standing is what a peer has said about itself for longer than one answer.
type standing struct {
	peer    Peer
	leaving bool
	// restsUntil is when its pause ends for this instance.
	restsUntil time.Time
	// heardAt is when the newest notice was received.
	heardAt time.Time
}

// standings holds the standing of each address whose peer has said something. The zero value is empty.
type standings struct {
	byAddress table.Table[standing]
}

// refuse returns a *Refusal if no request may be sent to a peer now.
func (s *standings) refuse(now time.Time, p Peer) error {
	known, ok := s.byAddress.Get(p.Address)
	switch {
	case !ok || !known.peer.isSame(p):
		return nil
	case known.leaving:
		return &Refusal{Leaving: true}
	case now.Before(known.restsUntil):
		return &Refusal{Until: known.restsUntil, Paused: true}
	}
	return nil
}

// with returns the standings after a notice. A pause that ends earlier than a known one changes nothing, and a peer that
// is leaving stays so.
func (s *standings) with(now time.Time, p Peer, n Notice) *standings {
	known, ok := s.byAddress.Get(p.Address)
	if ok && known.peer.ID == p.ID && known.peer.Incarnation > p.Incarnation {
		return s
	}
	if !ok || !known.peer.isSame(p) {
		known = standing{peer: p}
	}
	if n.Leaving && !known.leaving {
		known.leaving = true
		klog.InfoS("upstream says that it is leaving", "upstream", p.ID, "address", p.Address)
	}
	if end := now.Add(n.Pause); n.Pause > 0 && end.After(known.restsUntil) {
		known.restsUntil = end.Add(spread(n.Pause))
		klog.InfoS("upstream asks for a pause", "upstream", p.ID, "address", p.Address, "ms", n.Pause.Milliseconds(),
			"restsMs", known.restsUntil.Sub(now).Milliseconds())
	}
	known.heardAt = now
	return &standings{s.byAddress.With(p.Address, known)}
}

// isReplaced reports whether the standing of an address is that of an earlier process than p.
func (s *standings) isReplaced(p Peer) bool {
	known, ok := s.byAddress.Get(p.Address)
	return ok && !known.peer.isSame(p)
}

// replaced returns the standings after a new process was first seen at its address.
func (s *standings) replaced(now time.Time, p Peer) *standings {
	return &standings{s.byAddress.With(p.Address, standing{peer: p, heardAt: now})}
}

// spread returns a random time by which a pause is extended.
func spread(pause time.Duration) time.Duration {
	return rand.N(min(time.Duration(spreadFraction*float64(pause)), maxPauseSpread) + 1)
}

// without returns the standings that are in force or were heard less than forgetAfter ago.
func (s *standings) without(now time.Time) *standings {
	kept := s.byAddress
	for address, known := range s.byAddress.All() {
		if now.Sub(known.heardAt) > forgetAfter && now.After(known.restsUntil) {
			kept = kept.Without(address)
		}
	}
	return &standings{kept}
}
