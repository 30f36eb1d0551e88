package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/credential"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// keyHeader names the idempotency key.
const keyHeader = "Idempotency-Key"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 128

func refuse(status int, kind, detail string, opts ...problem.Option) *wire.Problem {
	p := problem.New(status, kind, detail, opts...)
	return &p
}

// authenticate returns the contract of a workspace if the request carries one of its keys.
func authenticate(r *http.Request, view *control.View, workspace string) (*wire.Contract, *wire.Problem) {
	contract, ok := view.Config.Contracts.Get(workspace)
	if !ok {
		return nil, refuse(http.StatusNotFound, "unknown-workspace", "workspace is not known")
	}
	secret, ok := credential.Bearer(r)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "no-key", "a key of the workspace is required")
	}
	hash := credential.Hash(secret)
	known := false
	for _, k := range contract.Keys {
		known = credential.Matches(hash, k.Sha256) || known
	}
	if !known {
		return nil, refuse(http.StatusUnauthorized, "unknown-key", "key is not one of the workspace's")
	}
	return contract, nil
}

// admit turns an HTTP request into a pipeline request, or says why it is refused.
func (s *Server) admit(r *http.Request, w http.ResponseWriter, workspace, name string) (*pipeline.Request, bool, *wire.Problem) {
	started := time.Now()
	view := s.Views.View()
	contract, refusal := authenticate(r, view, workspace)
	if refusal != nil {
		return nil, false, refusal
	}
	plan, ok := view.Config.Pipelines.Get(name)
	if !ok {
		return nil, false, refuse(http.StatusNotFound, "unknown-pipeline", "pipeline is not known")
	}
	if !slices.Contains(contract.Pipelines, name) {
		return nil, false, refuse(http.StatusForbidden, "pipeline-not-in-contract", "contract does not allow the pipeline")
	}
	if refusal := checkLease(view, contract, plan, started); refusal != nil {
		return nil, false, refusal
	}
	body, refusal := s.readBody(w, r, contract)
	if refusal != nil {
		return nil, false, refusal
	}
	req := &pipeline.Request{Contract: contract, Pipeline: plan, Started: started}
	stream, refusal := fill(req, body)
	if refusal != nil {
		return nil, false, refusal
	}
	if refusal := fillKey(req, r.Header.Get(keyHeader), body); refusal != nil {
		return nil, false, refusal
	}
	req.ID = s.IDs.Next()
	return req, stream, nil
}

// checkLease refuses new work on an instance whose configuration may be out of date. A contract may let
// its idempotent work go on.
func checkLease(view *control.View, contract *wire.Contract, plan *wire.Pipeline, now time.Time) *wire.Problem {
	if view.LeaseHeld(now) || (contract.ServeIdempotentWhenCutOff && pipeline.Idempotent(plan)) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "no-lease", "instance holds no configuration lease; use another entry",
		problem.WithRetryAfter(time.Second))
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, contract *wire.Contract) ([]byte, *wire.Problem) {
	limit := min(contract.MaxBodyBytes, s.MaxBodyBytes)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case asError(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "body-too-large", "body is over the contract's bound")
	}
	return nil, refuse(http.StatusBadRequest, "malformed-body", "body could not be read")
}

// fill takes the body's members into the request and tells whether a stream is asked for.
func fill(req *pipeline.Request, body []byte) (bool, *wire.Problem) {
	var in wire.PipelineRequest
	if err := decodeStrictly(body, &in); err != nil {
		return false, refuse(http.StatusBadRequest, "malformed-body", err.Error())
	}
	if len(in.Input) == 0 {
		return false, refuse(http.StatusBadRequest, "malformed-body", "input is missing", problem.WithField("input"))
	}
	deadline := req.Contract.DefaultDeadlineMs
	if in.DeadlineMs != nil {
		deadline = *in.DeadlineMs
	}
	if deadline <= 0 || deadline > req.Contract.MaxDeadlineMs {
		return false, refuse(http.StatusBadRequest, "bad-deadline", "deadline is not within the contract's bound",
			problem.WithField("deadlineMs"))
	}
	req.Deadline = req.Started.Add(time.Duration(deadline) * time.Millisecond)
	req.Input = in.Input
	if in.MaxTokens != nil {
		if *in.MaxTokens <= 0 {
			return false, refuse(http.StatusBadRequest, "bad-token-bound", "token bound is not positive", problem.WithField("maxTokens"))
		}
		req.MaxTokens = *in.MaxTokens
	}
	if refusal := fillModel(req, in.Model); refusal != nil {
		return false, refusal
	}
	return in.Stream != nil && *in.Stream, nil
}

// fillModel takes the model the caller names, or the contract's only one.
func fillModel(req *pipeline.Request, model *string) *wire.Problem {
	switch {
	case model != nil && !slices.Contains(req.Contract.Models, *model):
		return refuse(http.StatusForbidden, "model-not-in-contract", "contract does not allow the model", problem.WithField("model"))
	case model != nil:
		req.Model = *model
	case len(req.Contract.Models) > 0:
		req.Model = req.Contract.Models[0]
	}
	return nil
}

// fillKey takes the idempotency key and the digest of what it stands for.
func fillKey(req *pipeline.Request, key string, body []byte) *wire.Problem {
	if pipeline.Idempotent(req.Pipeline) {
		return nil
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, isUnprintable) {
		return refuse(http.StatusBadRequest, "no-idempotency-key",
			"pipeline is not idempotent and needs an Idempotency-Key of 1 to 128 printable characters")
	}
	sum := sha256.Sum256(append([]byte(req.Pipeline.Name+"\x00"), body...))
	req.Key, req.Digest = key, hex.EncodeToString(sum[:])
	return nil
}

func isUnprintable(r rune) bool {
	return r <= ' ' || r > '~'
}

func decodeStrictly(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errTrailing
	}
	return nil
}
