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
	// ClaimWon means that the requesting attempt holds the claim and may run.
	ClaimWon = "won"
	// ClaimRunning means that another attempt holds the claim and its execution has not ended.
	ClaimRunning = "running"
	// ClaimRan means that the execution ended and its answer is stored.
	ClaimRan = "ran"
	// ClaimUnknown means that the execution may or may not have run and will never be run again.
	ClaimUnknown = "unknown"
	// ClaimNotRun means that the execution certainly did not run; the claim is deleted.
	ClaimNotRun = "notRun"
	// ClaimMismatch means that the key was already used for a request with another digest.
	ClaimMismatch = "mismatch"
	// ClaimExpired means that the key was used, or created, so long ago that its answer is no longer stored.
	ClaimExpired = "expired"
	// ClaimAbsent means that there is no claim of the resolving attempt for the key.
	ClaimAbsent = "absent"
)

const (
	// keyHashRetentionMs is how long the hash of a key is kept after its claim expired, in milliseconds.
	keyHashRetentionMs = int(400 * 24 * time.Hour / time.Millisecond)
	// uuidVersionTimeOrdered is the version of UUIDs that contain their creation time.
	uuidVersionTimeOrdered = 7
)

// Claim is the row of one idempotency key. It gives one attempt the right to execute the request with that key.
type Claim struct {
	// Claim is the command that created the row.
	Claim wire.Claim `cbor:"claim"`
	// State is ClaimRunning, ClaimRan or ClaimUnknown.
	State string `cbor:"state"`
	// Result is the stored answer of a claim in state ClaimRan.
	Result []byte `cbor:"result"`
	// EndedMs is when the claim ended, in milliseconds since 1970; 0 while it runs. For a claim that abandonClaims
	// ended it is the time of the claim command.
	EndedMs int `cbor:"endedMs"`
}

// ClaimKey returns the key of a claim's row: the workspace, a NUL byte and the idempotency key.
func ClaimKey(workspace, key string) string {
	return workspace + "\x00" + key
}

// hashClaimKey returns the hash under which Expired stores the key of a claim.
func hashClaimKey(claimKey string) string {
	return strconv.FormatUint(xxhash.Sum64String(claimKey), 36)
}

// applyClaim gives the claim of a key to the requesting attempt if the key is unused, or returns the state of the
// existing claim. An attempt that resends its running claim wins again. A key that has expired can't be claimed, nor
// can an attempt in Released claim a key.
func (s *State) applyClaim(c wire.Claim) wire.ClaimState {
	id := ClaimKey(c.Workspace, c.Key)
	old, ok := s.Claims.Get(id)
	if !ok {
		if s.Expired.Has(hashClaimKey(id)) || isCreatedBefore(c.Key, s.ForgottenMs) {
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

// applyResolution ends a claim on behalf of the attempt that holds it; other attempts get ClaimAbsent. The attempt may
// still resolve a claim that is marked unknown, since only the attempt knows whether the execution ran. An attempt that
// resolves as not run a claim that it doesn't hold is recorded in Released, because its claim may be committed later.
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

// putClaim stores a claim and indexes it by its request ID.
func (s *State) putClaim(id string, c Claim) {
	s.Claims = s.Claims.With(id, c)
	s.requests = s.requests.With(c.Claim.RequestID, id)
}

// dropClaim deletes a claim and its entry in the index by request ID.
func (s *State) dropClaim(id string) {
	c, _ := s.Claims.Get(id)
	s.Claims = s.Claims.Without(id)
	s.requests = s.requests.Without(c.Claim.RequestID)
}

// abandonClaims marks the running claims of a lost instance incarnation as unknown: nothing shows whether their
// executions ran.
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

// expireClaims deletes the claims that ended before the time beforeMs, in milliseconds since 1970. The hash of each key
// is kept, so that its request isn't run again. A key that contains an earlier creation time than the latest beforeMs
// needs no hash: applyClaim rejects it by that time. Releases before beforeMs are deleted too, and so are hashes of
// claims that expired keyHashRetentionMs ago.
func (s *State) expireClaims(beforeMs int) {
	s.ForgottenMs = max(s.ForgottenMs, beforeMs)
	for id, c := range s.Claims.All() {
		if c.State == ClaimRunning || c.EndedMs >= beforeMs {
			continue
		}
		s.dropClaim(id)
		if !isCreatedBefore(c.Claim.Key, s.ForgottenMs) {
			s.Expired = s.Expired.With(hashClaimKey(id), c.EndedMs)
		}
	}
	for attempt, atMs := range s.Released.All() {
		if atMs < beforeMs {
			s.Released = s.Released.Without(attempt)
		}
	}
	for hash, endedMs := range s.Expired.All() {
		if endedMs < beforeMs-keyHashRetentionMs {
			s.Expired = s.Expired.Without(hash)
		}
	}
}

// isCreatedBefore reports whether a key is a UUID of version 7 that was created before a time, in milliseconds since
// 1970.
func isCreatedBefore(key string, beforeMs int) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersionTimeOrdered {
		return false
	}
	seconds, nanos := id.Time().UnixTime()
	created := time.Unix(seconds, nanos)
	return created.UnixMilli() < int64(beforeMs)
}

// ClaimOf returns the claim that a request of a workspace holds, and false if there is none in that workspace.
func (s *State) ClaimOf(workspace, requestID string) (Claim, bool) {
	id, ok := s.requests.Get(requestID)
	if !ok {
		return Claim{}, false
	}
	c, ok := s.Claims.Get(id)
	return c, ok && c.Claim.Workspace == workspace
}
