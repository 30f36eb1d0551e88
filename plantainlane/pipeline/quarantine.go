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
	"plantainlane/wire"
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
// input's parts, and what only repeats of the stage have in common with it.
func (x *execution) contentOf(stage *wire.Stage, input json.RawMessage) quarantine.Request {
	sum := sha256.Sum256(input)
	return quarantine.Request{
		ID: x.ID, Service: stage.Service, Workspace: x.Contract.Workspace, Parts: []string{hex.EncodeToString(sum[:])},
		Exact: &quarantine.Exact{Head: []string{x.Pipeline.Name, stage.Name, x.Contract.Workspace}, Body: input},
	}
}

// obtainTrial waits until a stage may be attempted, and sets its trial if it needs one. It returns an error that is ErrQuarantined if
// the stage's input is in quarantine, or may not be sent in time.
func (x *execution) obtainTrial(ctx context.Context, s *stageRun) error {
	if err := x.checkQuarantine(s); err != nil || !x.Guard.NeedsTrial(s.content) {
		return err
	}
	var err error
	s.trial, err = x.Guard.Try(ctx, s.content, s.deadline)
	var held *quarantine.Held
	if errors.As(err, &held) {
		return &quarantined{entry: held.Error(), retryAfter: held.RetryAfter}
	}
	return x.checkQuarantine(s)
}

// endTrial ends the trial of an attempt. An unused one is returned. It reports whether the attempt was a trial that may have run.
func (x *execution) endTrial(s *stageRun, err error) bool {
	trial := s.trial
	s.trial = quarantine.Trial{}
	if errors.Is(err, upstream.ErrNotRun) || errors.Is(err, ErrNoUpstream) {
		x.Guard.Return(s.content, trial)
		return false
	}
	return trial.Number != 0
}

// checkQuarantine returns an error that is ErrQuarantined if the input of a stage is in quarantine.
func (x *execution) checkQuarantine(s *stageRun) error {
	now := time.Now()
	if e := x.Guard.Refusal(now, s.content); e != nil {
		return &quarantined{entry: e.ID, retryAfter: quarantine.RetryAfter(e, now)}
	}
	return nil
}

// isAnswer reports whether the error of an attempt is a whole answer of the upstream that it has failed.
func isAnswer(err error) bool {
	var status *upstream.StatusError
	return errors.As(err, &status)
}

// reportToGuard reports to the guard that a stage was answered, or that the connection of an attempt broke.
func (x *execution) reportToGuard(ctx context.Context, s *stageRun, a *attempt) {
	switch {
	case a.err == nil:
		x.Guard.Served(time.Now(), s.content)
	case isAnswer(a.err):
		x.Guard.Survived(time.Now(), s.content)
	case ctx.Err() == nil && !errors.Is(a.err, upstream.ErrNotRun) && exchange.IsBroken(a.err):
		p := quarantine.Process{Upstream: a.target.ID, Incarnation: a.target.Incarnation, Address: a.target.Address}
		x.Guard.Broke(p, s.content, quarantine.Send{ID: a.call.Attempt, Begun: a.tokens > 0, Trial: s.trial.Number})
	}
}
