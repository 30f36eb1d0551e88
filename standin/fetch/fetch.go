// Package fetch reads and posts JSON of bounded size over HTTP.
package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrStatus marks an answer whose status is not 200.
var ErrStatus = errors.New("unexpected status")

const maxProblemText = 1024

// JSON decodes the answer of a GET into a value. It reads at most bound bytes and presents a credential
// unless that is empty. It returns ErrStatus for a status other than 200.
func JSON(ctx context.Context, client *http.Client, url, credential string, bound int64, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	return do(client, req, bound, into)
}

// Post posts a value as JSON and decodes the answer like JSON does.
func Post(ctx context.Context, client *http.Client, url string, body any, bound int64, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	return do(client, req, bound, into)
}

func do(client *http.Client, req *http.Request, bound int64, into any) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemText))
		return errors.Wrapf(ErrStatus, "%s %s: %s %s", req.Method, req.URL, resp.Status, text)
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, bound)).Decode(into), "decode answer of %s", req.URL)
}
