package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrTooLarge reports a body over its bound.
var ErrTooLarge = errors.New("exchange: body too large")

// ReadBody reads the whole body of an answer. It returns an error for one that is cut off, and ErrTooLarge for
// one of more than most bytes.
func ReadBody(res *http.Response, most int64) ([]byte, error) {
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, most+1))
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	if int64(len(body)) > most {
		return nil, ErrTooLarge
	}
	return body, nil
}
