package speed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/chain"
	"plantainlane/standin/fake"
	"plantainlane/wire"
)

const maxAnswer = 1 << 20

// Way is one way to reach an upstream.
type Way interface {
	// Name returns the name of the way.
	Name() string
	// Request returns a request for an input, for a stream or not.
	Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error)
	// Output returns the output that an answer carries.
	Output(body []byte) (json.RawMessage, error)
}

// Direct calls upstreams in turn.
type Direct struct {
	// Whole and Stream are the addresses for whole answers and for streams.
	Whole, Stream []string
	// Path is the path for whole answers.
	Path string

	calls atomic.Uint64
}

// Name returns the name of the way.
func (d *Direct) Name() string { return "direct" }

// Request returns a call to the next upstream.
func (d *Direct) Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error) {
	n := d.calls.Add(1)
	addresses, path := d.Whole, d.Path
	if stream {
		addresses, path = d.Stream, chain.PathGenerate
	}
	r, err := post(ctx, "http://"+addresses[n%uint64(len(addresses))]+path, input)
	if err != nil {
		return nil, err
	}
	r.Header.Set(fake.HeaderAttempt, fmt.Sprintf("direct-%d", n))
	r.Header.Set(fake.HeaderWorkspace, "direct")
	return r, nil
}

// Output returns the body.
func (d *Direct) Output(body []byte) (json.RawMessage, error) { return body, nil }

// Through sends requests on pipelines to one instance.
type Through struct {
	Entry     string
	Workspace string
	Key       string
	// Whole and Stream are the pipelines for whole answers and for streams.
	Whole, Stream string
}

// Name returns the name of the way.
func (t *Through) Name() string { return "through" }

// deadlineMs is the deadline of requests on pipelines.
const deadlineMs = 10_000

// Request returns a request on a pipeline.
func (t *Through) Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error) {
	deadline := deadlineMs
	body := wire.PipelineRequest{Input: input, DeadlineMs: &deadline}
	pipeline := t.Whole
	if stream {
		body.Stream, pipeline = &stream, t.Stream
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	r, err := post(ctx, "http://"+t.Entry+"/v1/workspaces/"+t.Workspace+"/pipelines/"+pipeline+"/requests", b)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+t.Key)
	return r, nil
}

// Output returns the output of a pipeline's answer.
func (t *Through) Output(body []byte) (json.RawMessage, error) {
	var a wire.PipelineAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	if a.Output == nil {
		return nil, errors.New("answer without output")
	}
	return *a.Output, nil
}

func post(ctx context.Context, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// NewClient returns a client that keeps as many connections to an address as there are calls.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// call sends one request and checks that the answer is whole.
func call(ctx context.Context, client *http.Client, w Way, input json.RawMessage, want string) error {
	r, err := w.Request(ctx, input, false)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, w.Name())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, w.Name())
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %s: %s", w.Name(), resp.Status, body)
	}
	out, err := w.Output(body)
	if err != nil {
		return err
	}
	var got chain.Output
	if json.Unmarshal(out, &got) != nil || got.Digest != want {
		return errors.Newf("%s gave another answer", w.Name())
	}
	return nil
}
