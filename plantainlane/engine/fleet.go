package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/plantainlane/route"
	"plantainlane/wire"
	"plantainlane/wire/prefix"
)

const (
	// callTimeout bounds a call beside generation.
	callTimeout = time.Second
	// maxAnswerBytes bounds its answer.
	maxAnswerBytes = 8 << 20
)

// Fleet is what a traffic goroutine uses of engines beside generation: what their prefix caches hold, and the end
// and the move of streams.
type Fleet struct {
	// Index of prefix caches.
	Index  *Index
	client *http.Client
}

// NewFleet returns a fleet with an empty index.
func NewFleet(now time.Time, client *http.Client) *Fleet {
	return &Fleet{Index: NewIndex(now), client: client}
}

// Client returns the client that carries the calls.
func (f *Fleet) Client() *http.Client { return f.client }

// Hints names engines that hold the beginning of a stage's input, for a model given as name@version.
func (f *Fleet) Hints(model string, input []byte) []route.Hint {
	if f.Index.Empty() {
		return nil
	}
	return f.Index.Hints(time.Now(), prefix.Blocks(model, prefix.Prompt(input)))
}

// Sent notes that an engine was sent a stage's input.
func (f *Fleet) Sent(id, model string, input []byte) {
	f.Index.Sent(time.Now(), id, prefix.Blocks(model, prefix.Prompt(input)))
}

// Cancel ends an attempt on an engine. It returns an error if the engine could not be told in time; the engine
// then frees the attempt by itself once the connection is gone.
func (f *Fleet) Cancel(ctx context.Context, address, attempt string) error {
	return f.call(ctx, http.MethodDelete, address, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
}

// Export stops an attempt and has its KV cache kept for another engine.
func (f *Fleet) Export(ctx context.Context, address, attempt string) (*wire.KVHandle, error) {
	var h wire.KVHandle
	err := f.call(ctx, http.MethodPost, address, "/v1/kv/exports", wire.KVExportRequest{Attempt: attempt}, &h)
	return &h, err
}

// Resync reads the blocks of an engine whose view is uncertain.
func (f *Fleet) Resync(ctx context.Context, id, address string) error {
	var m wire.CacheBlocks
	if err := f.call(ctx, http.MethodGet, address, "/v1/cache/blocks", nil, &m); err != nil {
		return err
	}
	if m.Upstream != id {
		return errors.Newf("engine: %s answered for %s", m.Upstream, id)
	}
	f.Index.Resync(&m)
	return nil
}

func (f *Fleet) call(ctx context.Context, method, address, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var b []byte
	if body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("engine: %s answered %d", path, res.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(answer), "read answer")
}
