package state

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"plantainlane/wire"
)

// States of a claim, as wire.ClaimState and wire.Resolution carry them.
const (
	// ClaimWon means that the asking attempt holds the claim and may run.
	ClaimWon = "won"
	// ClaimRunning means that another attempt holds the claim and has not ended.
	ClaimRunning = "running"
	// ClaimRan means that the execution ended and its answer is stored.
	ClaimRan = "ran"
	// ClaimUnknown means that the execution may or may not have run and will never be run again.
	ClaimUnknown = "unknown"
	// ClaimNotRun means that the execution certainly did not run; the claim is gone.
	ClaimNotRun = "notRun"
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch = "mismatch"
	// ClaimExpired means that the key was used so long ago that its answer is forgotten.
	ClaimExpired = "expired"
	// ClaimAbsent means that the claim to resolve isn't there.
	ClaimAbsent = "absent"
)

const (
	// keepHashesMs is how long the hash of a key is kept after its answer was dropped, in milliseconds.
	keepHashesMs = int(400 * 24 * time.Hour / time.Millisecond)
	// timeOrdered is the version of UUIDs that carry their time.
	timeOrdered = 7
)

// Claim is the row of one idempotency key.
type Claim struct {
	// Claim is the command that created the row.
	Claim wire.Claim `cbor:"claim"`
	// State is ClaimRunning, ClaimRan or ClaimUnknown.
	State string `cbor:"state"`
	// Result is the stored answer of a claim that ran.
	Result []byte `cbor:"result"`
	// EndedMs is when the claim ended, in milliseconds since 1970; 0 while it runs.
	EndedMs int `cbor:"endedMs"`
}

// ClaimKey returns the key of a claim's row.
func ClaimKey(workspace, key string) string {
	return workspace + "\x00" + key
}

func expiredKey(claimKey string) string {
	return strconv.FormatUint(xxhash.Sum64String(claimKey), 36)
}

func (s *State) applyClaim(c wire.Claim) wire.ClaimState {
	id := ClaimKey(c.Workspace, c.Key)
	old, ok := s.Claims.Get(id)
	if !ok {
		if s.Expired.Has(expiredKey(id)) || isForgotten(c.Key, s.ForgottenMs) {
			return wire.ClaimState{State: ClaimExpired}
		}
		if s.Released.Has(c.Attempt) {
			return wire.ClaimState{State: ClaimNotRun}
		}
		s.putClaim(id, Claim{Claim: c, State: ClaimRunning})
		return wire.ClaimState{State: ClaimWon, Attempt: c.Attempt, RequestID: c.RequestID}
	}
	out := wire.ClaimState{Attempt: old.Claim.Attempt, RequestID: old.Claim.RequestID}
	switch {
	case old.Claim.Digest != c.Digest:
		return wire.ClaimState{State: ClaimMismatch}
	case old.State == ClaimRunning && old.Claim.Attempt == c.Attempt:
		out.State = ClaimWon
	default:
		out.State = old.State
		out.Result = old.Result
	}
	return out
}

// applyResolution ends a claim for its own attempt only. A claim that was given up as unknown may still
// be resolved by its attempt, since the attempt knows more.
func (s *State) applyResolution(r wire.Resolution) wire.ClaimState {
	id := ClaimKey(r.Workspace, r.Key)
	old, ok := s.Claims.Get(id)
	if !ok || old.Claim.Attempt != r.Attempt {
		if r.State == ClaimNotRun {
			s.Released = s.Released.With(r.Attempt, r.AtMs)
		}
		return wire.ClaimState{State: ClaimAbsent}
	}
	if old.State == ClaimRan {
		return wire.ClaimState{State: ClaimRan, Attempt: r.Attempt, RequestID: old.Claim.RequestID, Result: old.Result}
	}
	s.addResolvedCost(old.Claim, r.Cost, r.AtMs)
	if r.State == ClaimNotRun {
		s.dropClaim(id)
		return wire.ClaimState{State: ClaimNotRun, Attempt: r.Attempt}
	}
	old.State = r.State
	old.Result = r.Result
	old.EndedMs = r.AtMs
	s.Claims = s.Claims.With(id, old)
	return wire.ClaimState{State: r.State, Attempt: r.Attempt, RequestID: old.Claim.RequestID, Result: r.Result}
}

func (s *State) putClaim(id string, c Claim) {
	s.Claims = s.Claims.With(id, c)
	s.requests = s.requests.With(c.Claim.RequestID, id)
}

func (s *State) dropClaim(id string) {
	c, _ := s.Claims.Get(id)
	s.Claims = s.Claims.Without(id)
	s.requests = s.requests.Without(c.Claim.RequestID)
}

// abandonClaims marks the running claims of an incarnation that is gone as unknown.
func (s *State) abandonClaims(i wire.InstanceInfo) {
	for id, c := range s.Claims.All() {
		if c.State != ClaimRunning || c.Claim.Instance != i.ID || c.Claim.Incarnation != i.Incarnation {
			continue
		}
		c.State = ClaimUnknown
		c.EndedMs = c.Claim.AtMs
		s.Claims = s.Claims.With(id, c)
	}
}

// expireClaims drops claims that ended before a time. The hash of the key stays, so that the key is never run
// again, unless the key's own time tells that it is too old.
func (s *State) expireClaims(beforeMs int) {
	s.ForgottenMs = max(s.ForgottenMs, beforeMs)
	for id, c := range s.Claims.All() {
		if c.State == ClaimRunning || c.EndedMs >= beforeMs {
			continue
		}
		s.dropClaim(id)
		if !isForgotten(c.Claim.Key, s.ForgottenMs) {
			s.Expired = s.Expired.With(expiredKey(id), c.EndedMs)
		}
	}
	for attempt, atMs := range s.Released.All() {
		if atMs < beforeMs {
			s.Released = s.Released.Without(attempt)
		}
	}
	for key, endedMs := range s.Expired.All() {
		if endedMs < beforeMs-keepHashesMs {
			s.Expired = s.Expired.Without(key)
		}
	}
}

// isForgotten tells whether a key is a UUID of version 7 that was made before a time. The answers of such keys are
// dropped without a trace.
func isForgotten(key string, beforeMs int) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != timeOrdered {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	return made.UnixMilli() < int64(beforeMs)
}

// ClaimOf returns the claim that a request of a workspace holds.
func (s *State) ClaimOf(workspace, requestID string) (Claim, bool) {
	id, ok := s.requests.Get(requestID)
	if !ok {
		return Claim{}, false
	}
	c, ok := s.Claims.Get(id)
	return c, ok && c.Claim.Workspace == workspace
}
