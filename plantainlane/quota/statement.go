// Package quota keeps the requests of all instances to an upstream within the rate that the upstream names.
//
// An upstream may name in its answers how many requests a second it takes from all instances together. An instance that
// knows such a limit asks the leader for a permit before each request to the upstream. The leader issues permits at the
// named rate; a permit that is not used expires. So the sum over all instances keeps the limit, whichever of them have
// heard it, and also while the leader changes or instances are cut off: without a leader there are no permits.
package quota

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// Statement is what one answer of an upstream says about its limit.
type Statement struct {
	// Limited is set if the answer names a limit.
	Limited bool
	// PerSecond is the limit in requests a second, from all instances together. Finite and at least 0; 0 unless Limited.
	PerSecond float64
	// SentAt is when the request was sent, the earliest one that the answer can be to, and HeardAt when the answer was received. The
	// upstream made the statement between the two.
	SentAt, HeardAt time.Time
}

// maxDelivery is the longest time that a message between two instances is assumed to take. A connection on which
// messages are delayed for longer is closed.
const maxDelivery = 2 * time.Second

// rate returns the number of requests a second that the upstream takes, infinity if it names no limit.
func (s Statement) rate() float64 {
	if s.Limited {
		return s.PerSecond
	}
	return math.Inf(1)
}

// replaces reports whether s is to be believed instead of an earlier known statement. If either may be the later one,
// the lower limit counts.
func (s Statement) replaces(known Statement) bool {
	switch {
	case !s.SentAt.Before(known.HeardAt):
		return true
	case !known.SentAt.Before(s.HeardAt):
		return false
	case s.rate() == known.rate():
		return s.HeardAt.After(known.HeardAt)
	}
	return s.rate() < known.rate()
}

// toWire returns the statement about the upstream at an address as a message that is sent now.
func (s Statement) toWire(now time.Time, address string) wire.UpstreamLimit {
	return wire.UpstreamLimit{
		Address: address, Limited: s.Limited, PerSecond: s.PerSecond,
		SentAgoMs: int(now.Sub(s.SentAt) / time.Millisecond), HeardAgoMs: int(now.Sub(s.HeardAt) / time.Millisecond),
	}
}

// fromWire returns the statement in a message that is received now. The message may have taken up to maxDelivery: the
// end of a limit is assumed to be that much older, so that it doesn't hide a limit that was named again meanwhile.
func fromWire(now time.Time, w wire.UpstreamLimit) Statement {
	s := Statement{
		Limited: w.Limited, PerSecond: w.PerSecond,
		SentAt:  now.Add(-time.Duration(w.SentAgoMs) * time.Millisecond),
		HeardAt: now.Add(-time.Duration(w.HeardAgoMs) * time.Millisecond),
	}
	if !s.Limited {
		s.SentAt = s.SentAt.Add(-maxDelivery)
	}
	return s
}

// ReadLimit parses the limit in the text of a header. It returns false if the text is empty, and ErrBadLimit if it is
// malformed.
func ReadLimit(text string) (perSecond float64, limited bool, err error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, false, nil
	}
	perSecond, err = strconv.ParseFloat(text, 64)
	if err != nil || !IsValid(perSecond) {
		return 0, false, errors.Wrapf(ErrBadLimit, "%q", text)
	}
	return perSecond, true, nil
}

// IsValid reports whether perSecond can be a limit.
func IsValid(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 0) && !math.IsNaN(perSecond)
}
