package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"plantainlane/wire"
)

const (
	// DefaultPeriod is how long an entry refuses requests unless an operator states another time.
	DefaultPeriod = 24 * time.Hour
	// maxRetryAfter is the longest time after which callers are told to come back.
	maxRetryAfter = time.Hour
	// MaxParts is the number of parts of a request's content that are considered.
	MaxParts = 16
	// maxPartBytes is the length above which a part is replaced by its hash, since callers choose the parts.
	maxPartBytes = 64
	// idBytes is the length of the hash in the ID of an entry.
	idBytes = 6
)

// Parts returns the parts of a request's content as they are compared and reported: at most MaxParts, long ones and those that
// look like the ID of an Exact hashed, empty ones left out.
func Parts(content []string) []string {
	parts := make([]string, 0, min(len(content), MaxParts))
	for _, p := range content[:min(len(content), MaxParts)] {
		if p == "" {
			continue
		}
		if len(p) > maxPartBytes || isExact(p) {
			sum := sha256.Sum256([]byte(p))
			p = "sha256:" + hex.EncodeToString(sum[:])[:maxPartBytes-len("sha256:")]
		}
		parts = append(parts, p)
	}
	return parts
}

// reportedParts returns the parts that an instance reports of a request: at most one that stands for it as a whole, the first
// one, and those of its prompt.
func reportedParts(reported []string) []string {
	if len(reported) > 0 && isExact(reported[0]) && len(reported[0]) <= maxPartBytes {
		return append([]string{reported[0]}, Parts(reported[1:])...)
	}
	return Parts(reported)
}

// NewEntry returns an entry with its ID, which refuses requests from now on for a time.
func NewEntry(now time.Time, service, workspace string, parts []string, period time.Duration) wire.QuarantineEntry {
	parts = slices.Compact(slices.Sorted(slices.Values(parts)))
	hash := sha256.New()
	writeTexts(hash, append([]string{service, workspace}, parts...))
	return wire.QuarantineEntry{
		ID: "q-" + hex.EncodeToString(hash.Sum(nil)[:idBytes]), Service: service, Workspace: workspace, Parts: parts, Upstreams: []string{},
		SinceMs: int(now.UnixMilli()), UntilMs: int(now.Add(period).UnixMilli()),
	}
}

// IsActive reports whether an entry refuses requests at the time now.
func IsActive(e *wire.QuarantineEntry, now time.Time) bool { return now.UnixMilli() < int64(e.UntilMs) }

// RetryAfter returns the time after which the caller of a request that an entry refuses may come back.
func RetryAfter(e *wire.QuarantineEntry, now time.Time) time.Duration {
	return min(time.UnixMilli(int64(e.UntilMs)).Sub(now), maxRetryAfter)
}

// Covers reports whether an entry refuses all requests that another one refuses, as far as their contents go.
func Covers(e, other *wire.QuarantineEntry) bool {
	return e.Service == other.Service && (e.Workspace == "" || e.Workspace == other.Workspace) && isSubset(e.Parts, other.Parts)
}

// isSubset reports whether all of some parts are among others.
func isSubset(some, others []string) bool {
	return !slices.ContainsFunc(some, func(p string) bool { return !slices.Contains(others, p) })
}

// Text returns the parts of an entry as one line for logs and operators.
func Text(e *wire.QuarantineEntry) string { return strings.Join(e.Parts, ",") }
