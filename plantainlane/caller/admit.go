package caller

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/control"
	"plantainlane/plantainlane/credential"
	"plantainlane/plantainlane/exchange"
	"plantainlane/plantainlane/pipeline"
	"plantainlane/plantainlane/problem"
	"plantainlane/wire"
)

// idempotencyKeyHeader is the header of the idempotency key.
const idempotencyKeyHeader = "Idempotency-Key"

// drainingRetryAfter is the time after which the caller of a draining instance may retry, at another one.
const drainingRetryAfter = 150 * time.Millisecond

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 128

// refuse returns the problem of a request that is refused. Its work did not run.
func refuse(status int, kind, detail string, opts ...problem.Option) *wire.Problem {
	p := problem.New(status, kind, detail, opts...)
	return &p
}

// authenticate returns the contract of a workspace if the request carries one of the workspace's keys, else a problem.
func authenticate(r *http.Request, view *control.View, workspace string) (*wire.Contract, *wire.Problem) {
	contract, ok := view.Config.Contracts.Get(workspace)
	if !ok {
		return nil, refuse(http.StatusNotFound, "unknown-workspace", fmt.Sprintf("workspace %q does not exist", workspace))
	}
	secret, ok := credential.Bearer(r)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "no-key", "Authorization header with a key of the workspace is missing")
	}
	hash := credential.Hash(secret)
	// All keys are compared, so that the time doesn't depend on which one matches.
	known := false
	for _, k := range contract.Keys {
		known = credential.Matches(hash, k.Sha256) || known
	}
	if !known {
		return nil, refuse(http.StatusUnauthorized, "unknown-key",
			fmt.Sprintf("key in the Authorization header is not a key of workspace %q", workspace))
	}
	return contract, nil
}

// admit converts an HTTP request to a pipeline request and reports whether the caller asks for a stream. For a request
// that is refused, admit returns a problem. name is the name of the pipeline, and memory is for the body.
func (s *Server) admit(r *http.Request, w http.ResponseWriter, workspace, name string, memory *exchange.Reservation) (*pipeline.Request, bool, *wire.Problem) {
	started := time.Now()
	view := s.Views.View()
	contract, refusal := authenticate(r, view, workspace)
	if refusal != nil {
		return nil, false, refusal
	}
	declared, ok := view.Config.Pipelines.Get(name)
	if !ok {
		return nil, false, refuse(http.StatusNotFound, "unknown-pipeline", fmt.Sprintf("pipeline %q does not exist", name))
	}
	if !slices.Contains(contract.Pipelines, name) {
		return nil, false, refuse(http.StatusForbidden, "pipeline-not-in-contract",
			fmt.Sprintf("contract of workspace %q does not allow pipeline %q", workspace, name))
	}
	if refusal := checkLease(view, contract, declared, started); refusal != nil {
		return nil, false, refusal
	}
	body, refusal := s.readBody(w, r, contract, memory)
	if refusal != nil {
		return nil, false, refusal
	}
	req := &pipeline.Request{Contract: contract, Pipeline: declared, Started: started}
	stream, refusal := fillRequest(req, body)
	if refusal != nil {
		return nil, false, refusal
	}
	if s.MayTake != nil && !s.MayTake(req.Deadline) {
		return nil, false, refuse(http.StatusServiceUnavailable, "draining", "instance is draining; send the request to another instance",
			problem.WithRetryAfter(drainingRetryAfter))
	}
	if refusal := fillKey(req, r.Header.Get(idempotencyKeyHeader), body); refusal != nil {
		return nil, false, refusal
	}
	req.ID = s.IDs.Next()
	return req, stream, nil
}

// checkLease refuses new work while this instance doesn't hold its lease, since the configuration may be out of date.
// Idempotent pipelines are still served if the contract sets serveIdempotentWhenCutOff.
func checkLease(view *control.View, contract *wire.Contract, declared *wire.Pipeline, now time.Time) *wire.Problem {
	if view.LeaseHeld(now) || (contract.ServeIdempotentWhenCutOff && pipeline.Idempotent(declared)) {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, "no-lease",
		"instance holds no configuration lease; send the request to another instance",
		problem.WithRetryAfter(time.Second))
}

// readBody reads the body, up to the smaller of the contract's and the instance's maximum size.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, contract *wire.Contract, memory *exchange.Reservation) ([]byte, *wire.Problem) {
	limit := int64(min(contract.MaxBodyBytes, s.MaxBodyBytes))
	body, err := memory.ReadAll(http.MaxBytesReader(w, r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, exchange.ErrNoMemory):
		return nil, refuse(http.StatusServiceUnavailable, "no-memory", "too many large bodies at the same time; send the request again",
			problem.WithRetryAfter(time.Second))
	case asError(err, &tooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("body is larger than %d bytes", limit))
	}
	return nil, refuse(http.StatusBadRequest, "malformed-body", "body could not be read completely")
}

// fillRequest decodes the body, checks its members against the contract and sets the request's fields. It reports
// whether the caller asks for a stream.
func fillRequest(req *pipeline.Request, body []byte) (bool, *wire.Problem) {
	var in wire.PipelineRequest
	if err := decodeStrictly(body, &in); err != nil {
		return false, refuse(http.StatusBadRequest, "malformed-body", err.Error())
	}
	if len(in.Input) == 0 {
		return false, refuse(http.StatusBadRequest, "malformed-body", "member input is missing", problem.WithField("input"))
	}
	deadline := req.Contract.DefaultDeadlineMs
	if in.DeadlineMs != nil {
		deadline = *in.DeadlineMs
	}
	if deadline <= 0 || deadline > req.Contract.MaxDeadlineMs {
		return false, refuse(http.StatusBadRequest, "bad-deadline",
			fmt.Sprintf("deadline is %d ms, expected 1 to %d ms", deadline, req.Contract.MaxDeadlineMs),
			problem.WithField("deadlineMs"))
	}
	req.Deadline = req.Started.Add(time.Duration(deadline) * time.Millisecond)
	req.Input = in.Input
	if in.MaxTokens != nil {
		if *in.MaxTokens <= 0 {
			return false, refuse(http.StatusBadRequest, "bad-token-bound",
				fmt.Sprintf("maxTokens is %d, expected at least 1", *in.MaxTokens), problem.WithField("maxTokens"))
		}
		req.MaxTokens = *in.MaxTokens
	}
	if refusal := fillModel(req, in.Model); refusal != nil {
		return false, refusal
	}
	return in.Stream != nil && *in.Stream, nil
}

// fillModel sets the model that the caller names, or the first model of the contract if the caller names none.
func fillModel(req *pipeline.Request, model *string) *wire.Problem {
	switch {
	case model != nil && !slices.Contains(req.Contract.Models, *model):
		return refuse(http.StatusForbidden, "model-not-in-contract",
			fmt.Sprintf("contract of workspace %q does not allow model %q", req.Contract.Workspace, *model),
			problem.WithField("model"))
	case model != nil:
		req.Model = *model
	case len(req.Contract.Models) > 0:
		req.Model = req.Contract.Models[0]
	}
	return nil
}

// fillKey sets the idempotency key, and the digest of the pipeline's name and the body, if the pipeline is not
// idempotent. The digest detects a key that is reused for another request.
func fillKey(req *pipeline.Request, key string, body []byte) *wire.Problem {
	if pipeline.Idempotent(req.Pipeline) {
		return nil
	}
	if key == "" || len(key) > maxKeyBytes || strings.ContainsFunc(key, isForbiddenInKey) {
		return refuse(http.StatusBadRequest, "no-idempotency-key",
			"pipeline is not idempotent and needs an Idempotency-Key of 1 to 128 printable ASCII characters without spaces")
	}
	sum := sha256.Sum256(append([]byte(req.Pipeline.Name+"\x00"), body...))
	req.Key, req.Digest = key, hex.EncodeToString(sum[:])
	return nil
}

// isForbiddenInKey reports whether a character is not allowed in an idempotency key. Only the printable characters of
// ASCII without the space are.
func isForbiddenInKey(r rune) bool {
	return r <= ' ' || r > '~'
}

// decodeStrictly decodes a JSON value and refuses unknown members and text after the value.
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
