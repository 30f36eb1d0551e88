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

// maxAnswerBytes bounds the part of an answer's body that is read.
const maxAnswerBytes = 1 << 20

// Way is how calls reach upstreams: directly, or through an instance.
type Way interface {
	// Name returns the name of the way in figures.
	Name() string
	// Request returns a request with an input, for a streamed answer if stream is set.
	Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error)
	// Output returns the output of the stage in the body of an answer that is not streamed.
	Output(body []byte) (json.RawMessage, error)
}

// Direct is the way that calls upstreams directly, in turn.
type Direct struct {
	// NonStreaming are the addresses of the upstreams whose answers are not streamed, Streaming those of the others.
	NonStreaming, Streaming []string
	// Path is the path of calls whose answer is not streamed.
	Path string

	calls atomic.Uint64 // calls so far; selects the next upstream and makes attempt IDs unique
}

// Name returns the name of the way.
func (d *Direct) Name() string { return "direct" }

// Request returns a call to the next upstream.
func (d *Direct) Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error) {
	n := d.calls.Add(1)
	addresses, path := d.NonStreaming, d.Path
	if stream {
		addresses, path = d.Streaming, chain.PathGenerate
	}
	r, err := post(ctx, "http://"+addresses[n%uint64(len(addresses))]+path, input)
	if err != nil {
		return nil, err
	}
	r.Header.Set(fake.HeaderAttempt, fmt.Sprintf("direct-%d", n))
	r.Header.Set(fake.HeaderWorkspace, "direct")
	return r, nil
}

// Output returns the body, which is the output itself.
func (d *Direct) Output(body []byte) (json.RawMessage, error) { return body, nil }

// Through is the way that sends requests to pipelines of one instance.
type Through struct {
	// Entry is the address of the caller listener of the instance.
	Entry     string
	Workspace string
	// Key is the credential of the workspace.
	Key string
	// NonStreaming and Streaming are the pipeline whose answer is not streamed and the one that streams.
	NonStreaming, Streaming string
}

// Name returns the name of the way.
func (t *Through) Name() string { return "through" }

// deadlineMs is the deadline of requests to pipelines, in milliseconds.
const deadlineMs = 10_000

// Request returns a request to the pipeline Whole or Stream.
func (t *Through) Request(ctx context.Context, input json.RawMessage, stream bool) (*http.Request, error) {
	deadline := deadlineMs
	body := wire.PipelineRequest{Input: input, DeadlineMs: &deadline}
	pipeline := t.NonStreaming
	if stream {
		body.Stream, pipeline = &stream, t.Streaming
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

// Output returns the output in a pipeline's answer. It returns an error for an answer without one.
func (t *Through) Output(body []byte) (json.RawMessage, error) {
	var a wire.PipelineAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	if a.Output == nil {
		return nil, errors.Newf("answer with status %q has no output", a.Status)
	}
	return *a.Output, nil
}

// post returns a POST request with a JSON body.
func post(ctx context.Context, url string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// NewClient returns a client that keeps up to 4096 idle connections to each address, so that calls reuse connections
// also at a high number of calls in flight.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4096, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// call sends one request for an answer that is not streamed, and checks the answer. It returns an error for a status
// other than 200 and for an output whose digest is not want.
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
		return errors.Newf("%s: answer has digest %q, expected %q", w.Name(), got.Digest, want)
	}
	return nil
}
