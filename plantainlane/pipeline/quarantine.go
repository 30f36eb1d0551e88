package pipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/quarantine"
	"plantainlane/plantainlane/upstream"
)

// quarantined is the error of a stage whose input is in quarantine. It matches ErrQuarantined.
type quarantined struct {
	entry      string
	retryAfter time.Duration
}

// Error returns a text with the ID of the entry.
func (q *quarantined) Error() string { return ErrQuarantined.Error() + ": " + q.entry }

// Is reports whether target is ErrQuarantined.
func (q *quarantined) Is(target error) bool { return target == ErrQuarantined }

// contentOf returns what the quarantine knows a stage of a request by: the hash of its input, since nothing is known of the
// input's parts.
func (x *execution) contentOf(service string, input json.RawMessage) quarantine.Request {
	sum := sha256.Sum256(input)
	return quarantine.Request{
		ID: x.ID, Service: service, Workspace: x.Contract.Workspace, Parts: []string{hex.EncodeToString(sum[:])},
	}
}

// checkQuarantine returns an error that is ErrQuarantined if the input of a stage is in quarantine.
func (x *execution) checkQuarantine(s *stageRun) error {
	now := time.Now()
	if e := x.Guard.Refusal(now, s.content); e != nil {
		return &quarantined{entry: e.ID, retryAfter: quarantine.RetryAfter(e, now)}
	}
	return nil
}

// reportToGuard reports to the guard that a stage was answered, or that the connection of an attempt broke.
func (x *execution) reportToGuard(ctx context.Context, s *stageRun, a *attempt) {
	switch {
	case a.err == nil:
		x.Guard.Served(time.Now(), s.content)
	case ctx.Err() == nil && !errors.Is(a.err, upstream.ErrNotRun) && exchange.IsBroken(a.err):
		p := quarantine.Process{Upstream: a.target.ID, Incarnation: a.target.Incarnation, Address: a.target.Address}
		x.Guard.Broke(p, s.content, quarantine.Send{ID: a.call.Attempt, Begun: a.tokens > 0})
	}
}
