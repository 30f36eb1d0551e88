package exchange

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrJoinedAnswers reports an answer in whose head another one begins.
var ErrJoinedAnswers = errors.New("exchange: another answer begins in the head of an answer")

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d\d\d`)

// IsJoined reports whether another answer begins in the head of an answer: its upstream has broken off the first one there, which may be
// one to an earlier request. What is read as one answer then has the status of one, and the other headers and the body of the other.
func IsJoined(res *http.Response) bool {
	if hasStatusLine(res.Status) {
		return true
	}
	for _, values := range res.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether an answer begins in a text.
func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}
