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
	// callTimeout bounds a call other than generation.
	callTimeout = time.Second
	// maxAnswerBytes bounds the body of the answer to such a call.
	maxAnswerBytes = 8 << 20
)

// Fleet makes the calls to model engines other than generation: it cancels attempts, exports their KV caches, and
// keeps an index of the engines' prefix caches. It is safe for concurrent use.
type Fleet struct {
	// Index records which engines hold which prompt blocks in their prefix caches.
	Index  *Index
	client *http.Client
}

// NewFleet returns a fleet with an empty index, which makes its calls with client.
func NewFleet(now time.Time, client *http.Client) *Fleet {
	return &Fleet{Index: NewIndex(now), client: client}
}

// Client returns the client that was passed to NewFleet.
func (f *Fleet) Client() *http.Client { return f.client }

// Hints returns the engines that hold a prefix of a stage's input in their prefix caches, for a model given as
// NAME@VERSION. It returns nil while the index has no engine.
func (f *Fleet) Hints(model string, input []byte) []route.Hint {
	if f.Index.Empty() {
		return nil
	}
	return f.Index.Hints(time.Now(), prefix.Blocks(model, prefix.Prompt(input)))
}

// Sent records in the index that a stage's input was sent to an engine, which will cache it. model is NAME@VERSION.
func (f *Fleet) Sent(id, model string, input []byte) {
	f.Index.Sent(time.Now(), id, prefix.Blocks(model, prefix.Prompt(input)))
}

// Cancel cancels an attempt on an engine. It returns an error if the engine doesn't confirm the cancellation within
// callTimeout; the engine then frees the attempt once its connection is closed.
func (f *Fleet) Cancel(ctx context.Context, address, attempt string) error {
	return f.call(ctx, http.MethodDelete, address, "/v1/attempts/"+url.PathEscape(attempt), nil, nil)
}

// Export stops an attempt and returns a handle of the attempt's KV cache, which the engine keeps for import by another
// engine.
func (f *Fleet) Export(ctx context.Context, address, attempt string) (*wire.KVHandle, error) {
	var h wire.KVHandle
	err := f.call(ctx, http.MethodPost, address, "/v1/kv/exports", wire.KVExportRequest{Attempt: attempt}, &h)
	return &h, err
}

// Resync reads the list of blocks in an engine's prefix cache and replaces the engine's entries in the index by it.
// It fails if another engine answers at the address.
func (f *Fleet) Resync(ctx context.Context, id, address string) error {
	var m wire.CacheBlocks
	if err := f.call(ctx, http.MethodGet, address, "/v1/cache/blocks", nil, &m); err != nil {
		return err
	}
	if m.Upstream != id {
		return errors.Newf("engine: cache blocks of engine %s returned instead of those of %s", m.Upstream, id)
	}
	f.Index.Resync(&m)
	return nil
}

// call sends a request with body as JSON, without content if body is nil. It decodes the JSON body of the response into
// answer, unless answer is nil. A status of 300 or more is an error.
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
		return errors.Wrap(err, "build engine request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call engine")
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("engine: %s %s%s answered with status %d", method, address, path, res.StatusCode)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(answer), "read engine answer")
}
