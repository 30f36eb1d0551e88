package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge reports an answer whose body is longer than allowed.
var ErrTooLarge = errors.New("exchange: body too large")

// ReadBody reads the whole body of an answer and closes it. It returns an error if the body is truncated, and
// ErrTooLarge if it is longer than maxBytes.
func ReadBody(res *http.Response, maxBytes int64) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(body)) > maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "maximum %d bytes", maxBytes)
	}
	return body, nil
}
