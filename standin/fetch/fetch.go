// Package fetch gets and posts JSON over HTTP, with a limit for the size of answers.
package fetch

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrStatus is returned for an answer whose status isn't 200.
var ErrStatus = errors.New("unexpected status")

// maxProblemText is the maximum number of bytes of an error answer that are copied into an error.
const maxProblemText = 1024

// JSON sends a GET request and decodes at most maxBytes of the answer into target. It sends the credential unless that
// is empty. It returns ErrStatus for a status other than 200.
func JSON(ctx context.Context, client *http.Client, url, credential string, maxBytes int64, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	if credential != "" {
		req.Header.Set("Authorization", "Bearer "+credential)
	}
	return send(client, req, maxBytes, target)
}

// Post posts body as JSON and decodes at most maxBytes of the answer into target. It returns ErrStatus for a status
// other than 200.
func Post(ctx context.Context, client *http.Client, url string, body any, maxBytes int64, target any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	req.Header.Set("Content-Type", "application/json")
	return send(client, req, maxBytes, target)
}

// send sends a request and decodes the answer. The error for a status other than 200 has the start of the answer's
// body.
func send(client *http.Client, req *http.Request, maxBytes int64, target any) error {
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemText))
		return errors.Wrapf(ErrStatus, "%s %s: %s %s", req.Method, req.URL, resp.Status, text)
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxBytes)).Decode(target), "decode answer of %s", req.URL)
}
