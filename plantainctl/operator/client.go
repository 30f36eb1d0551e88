// Package operator holds the HTTP client of the instances' interface for operators.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

const (
	// DefaultTimeout is the default timeout of one call to one instance.
	DefaultTimeout = 20 * time.Second
	// maxAnswerBytes bounds how much of an answer is read; a longer answer is truncated and fails to decode.
	maxAnswerBytes = 256 << 20
)

// Client calls several instances in turn until one can answer. All its calls may be repeated safely, so that a call is
// sent to the next instance also if the answer of the previous one was lost. A Client may be used concurrently.
type Client struct {
	addresses  []string
	credential string
	timeout    time.Duration
	http       *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of one call to one instance.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the instances at addresses, each HOST:PORT, which are called in this order. The credential is
// sent as a bearer token.
func New(addresses []string, credential string, opts ...Option) *Client {
	c := &Client{
		addresses:  slices.Clone(addresses),
		credential: credential,
		timeout:    DefaultTimeout,
		http:       &http.Client{Transport: &http.Transport{}},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Change sends a change and returns its outcome. That a change is in conflict, invalid or still pending is a state of
// the outcome, not an error.
func (c *Client) Change(ctx context.Context, set wire.ChangeSet) (wire.ChangeOutcome, error) {
	var out wire.ChangeOutcome
	err := c.call(ctx, http.MethodPost, "/v1/changes", set, &out)
	return out, err
}

// Outcome returns the outcome of the change with this ID. It returns ErrNotFound if no such change is known.
func (c *Client) Outcome(ctx context.Context, changeID string) (wire.ChangeOutcome, error) {
	var out wire.ChangeOutcome
	err := c.call(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(changeID), nil, &out)
	return out, err
}

// Declarations returns the current configuration and its revision.
func (c *Client) Declarations(ctx context.Context) (wire.DeclarationsAnswer, error) {
	var out wire.DeclarationsAnswer
	err := c.call(ctx, http.MethodGet, "/v1/declarations", nil, &out)
	return out, err
}

// Status returns the state of the control log, all instances and all upstreams.
func (c *Client) Status(ctx context.Context) (wire.StatusAnswer, error) {
	var out wire.StatusAnswer
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Drain starts the drain of an instance; the instance stops when the drain is over. Drain returns ErrNotFound if the
// instance isn't known.
func (c *Client) Drain(ctx context.Context, instance string) error {
	return c.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/drain", nil, nil)
}

// Evacuate orders that the upstreams of an availability zone get no work, or some again if isActive is false, and returns once that
// is committed. It returns ErrNotFound if the zone isn't known.
func (c *Client) Evacuate(ctx context.Context, zone string, isActive bool) (wire.EvacuationAnswer, error) {
	method := http.MethodPost
	if !isActive {
		method = http.MethodDelete
	}
	var out wire.EvacuationAnswer
	err := c.call(ctx, method, "/v1/zones/"+url.PathEscape(zone)+"/evacuation", nil, &out)
	return out, err
}

// Quarantine returns the quarantine as the instance that answers knows it.
func (c *Client) Quarantine(ctx context.Context) (wire.QuarantineUpdate, error) {
	var out wire.QuarantineUpdate
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, &out)
	return out, err
}

// SetQuarantine sets an entry of the quarantine and returns it.
func (c *Client) SetQuarantine(ctx context.Context, r wire.QuarantineRequest) (wire.QuarantineEntry, error) {
	var out wire.QuarantineEntry
	err := c.call(ctx, http.MethodPost, "/v1/quarantine", r, &out)
	return out, err
}

// LiftQuarantine ends an entry of the quarantine and returns it as it was. It returns ErrNotFound if there is none with the
// ID.
func (c *Client) LiftQuarantine(ctx context.Context, id string) (wire.QuarantineEntry, error) {
	var out wire.QuarantineEntry
	err := c.call(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(id), nil, &out)
	return out, err
}

// Cost returns the cost totals of one workspace, or of all if workspace is empty.
func (c *Client) Cost(ctx context.Context, workspace string) (wire.CostAnswer, error) {
	var out wire.CostAnswer
	path := "/v1/cost"
	if workspace != "" {
		path += "?workspace=" + url.QueryEscape(workspace)
	}
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Timeline returns the events of all instances that match query. Empty and zero fields of query match all.
func (c *Client) Timeline(ctx context.Context, query wire.TimelineQuery) (wire.TimelineAnswer, error) {
	values := url.Values{}
	for name, v := range map[string]string{
		"request": query.Request, "workspace": query.Workspace, "upstream": query.Upstream, "instance": query.Instance,
	} {
		if v != "" {
			values.Set(name, v)
		}
	}
	for name, v := range map[string]int{"revision": query.Revision, "sinceMs": query.SinceMs, "limit": query.Limit} {
		if v != 0 {
			values.Set(name, strconv.Itoa(v))
		}
	}
	path := "/v1/timeline"
	if len(values) > 0 {
		path += "?" + values.Encode()
	}
	var out wire.TimelineAnswer
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// call sends the call to each instance in turn until one answers or refuses it. It goes on to the next instance only
// after ErrUnreachable and while ctx is active, and returns the error of the last instance that it tried if no instance
// can answer.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	lastErr := errors.Wrap(ErrUnreachable, "no instance address is given")
	for _, a := range c.addresses {
		lastErr = c.callInstance(ctx, a, method, path, body, out)
		if !errors.Is(lastErr, ErrUnreachable) || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// callInstance sends the call to one instance and decodes its answer into out, which is nil if none is expected.
func (c *Client) callInstance(ctx context.Context, address, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "instance address")
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "call instance"), ErrUnreachable)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "read answer of "+address), ErrUnreachable)
	}
	return decode(address, resp.StatusCode, answer, out)
}

// decode decodes the body of a successful answer into out. An answer with status 412 or 422 is decoded too if out is a
// *wire.ChangeOutcome and the body is an outcome. All other answers are returned as a *ProblemError.
func decode(address string, status int, answer []byte, out any) error {
	outcome, isOutcome := out.(*wire.ChangeOutcome)
	switch {
	case status < 300 && out == nil:
		return nil
	case status < 300:
		return errors.Wrapf(json.Unmarshal(answer, out), "answer of %s", address)
	case isOutcome && (status == http.StatusPreconditionFailed || status == http.StatusUnprocessableEntity):
		if err := json.Unmarshal(answer, outcome); err == nil && outcome.State != "" {
			return nil
		}
	}
	refusal := &ProblemError{Instance: address}
	if err := json.Unmarshal(answer, &refusal.Problem); err != nil {
		refusal.Problem = wire.Problem{Title: http.StatusText(status)}
	}
	refusal.Problem.Status = status
	return refusal
}
