// Package operator is a client of the interface that instances offer operators.
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
	// DefaultTimeout bounds one call to one instance.
	DefaultTimeout = 20 * time.Second
	maxAnswerBytes = 256 << 20
)

// Client calls the first of several instances that can answer. All its calls may be sent again, so a
// call goes on to the next instance after an answer that was lost.
type Client struct {
	addresses  []string
	credential string
	timeout    time.Duration
	http       *http.Client
}

// Option changes a Client.
type Option func(*Client)

// WithTimeout bounds one call to one instance.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the instances at addresses, each HOST:PORT.
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

// Change sends a change. The outcome is returned with every state that an instance answered.
func (c *Client) Change(ctx context.Context, set wire.ChangeSet) (wire.ChangeOutcome, error) {
	var out wire.ChangeOutcome
	err := c.call(ctx, http.MethodPost, "/v1/changes", set, &out)
	return out, err
}

// Outcome asks for the outcome of a change.
func (c *Client) Outcome(ctx context.Context, changeID string) (wire.ChangeOutcome, error) {
	var out wire.ChangeOutcome
	err := c.call(ctx, http.MethodGet, "/v1/changes/"+url.PathEscape(changeID), nil, &out)
	return out, err
}

// Declarations asks for the configuration.
func (c *Client) Declarations(ctx context.Context) (wire.DeclarationsAnswer, error) {
	var out wire.DeclarationsAnswer
	err := c.call(ctx, http.MethodGet, "/v1/declarations", nil, &out)
	return out, err
}

// Status asks which revision is in force where.
func (c *Client) Status(ctx context.Context) (wire.StatusAnswer, error) {
	var out wire.StatusAnswer
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &out)
	return out, err
}

// Drain tells an instance to drain and stop.
func (c *Client) Drain(ctx context.Context, instance string) error {
	return c.call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(instance)+"/drain", nil, nil)
}

// Cost asks for the cost of one workspace, or of all if workspace is empty.
func (c *Client) Cost(ctx context.Context, workspace string) (wire.CostAnswer, error) {
	var out wire.CostAnswer
	path := "/v1/cost"
	if workspace != "" {
		path += "?workspace=" + url.QueryEscape(workspace)
	}
	err := c.call(ctx, http.MethodGet, path, nil, &out)
	return out, err
}

// Timeline asks for the events of all instances that query selects.
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

// call tries each instance until one answers the call or refuses it for good.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	last := errors.Wrap(ErrUnreachable, "no instance is given")
	for _, a := range c.addresses {
		last = c.try(ctx, a, method, path, body, out)
		if !errors.Is(last, ErrUnreachable) || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (c *Client) try(ctx context.Context, address, method, path string, body []byte, out any) error {
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

// decode reads an outcome from 412 and 422 as well, since those carry one, and a problem from any
// other refusal.
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
