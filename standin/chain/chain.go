package chain

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Paths of stages. The output of the first three has a field of its own; the stage at any other path, PathGenerate
// included, has a plain Result. Where a fake or an engine streams, it sends tokens in place of the Result.
const (
	PathEncode   = "/encode"
	PathRetrieve = "/retrieve"
	PathRerank   = "/rerank"
	PathGenerate = "/generate"
)

const (
	digestBytes    = 16
	vectorLength   = 8
	documentsCount = 4
)

// ErrNotJSON is returned for an input that isn't a JSON value.
var ErrNotJSON = errors.New("input is not JSON")

// Output is the output of a fake stage. Digest depends on the path and the whole input. The path determines which one
// of the other fields is set.
type Output struct {
	Digest    string   `json:"digest"`
	Vector    []int    `json:"vector,omitempty"`
	Documents []string `json:"documents,omitempty"`
	Ranked    []string `json:"ranked,omitempty"`
	Result    string   `json:"result,omitempty"`
}

// InputDigest returns the digest of a JSON value, ignoring insignificant white space. It returns ErrNotJSON for an
// input that isn't a JSON value.
func InputDigest(input json.RawMessage) (string, error) {
	var compact bytes.Buffer
	if err := json.Compact(&compact, input); err != nil {
		return "", errors.Mark(err, ErrNotJSON)
	}
	sum := sha256.Sum256(compact.Bytes())
	return hex.EncodeToString(sum[:digestBytes]), nil
}

// Derive returns the output of the stage at a path for the input with the given digest.
func Derive(path, inputDigest string) Output {
	sum := sha256.Sum256([]byte(path + " " + inputDigest))
	out := Output{Digest: hex.EncodeToString(sum[:digestBytes])}
	switch path {
	case PathEncode:
		for _, b := range sum[:vectorLength] {
			out.Vector = append(out.Vector, int(b))
		}
	case PathRetrieve:
		out.Documents = documents(sum)
	case PathRerank:
		out.Ranked = documents(sum)
	default:
		out.Result = "done " + out.Digest[:8]
	}
	return out
}

// documents returns the names of the documents that a hash selects.
func documents(sum [sha256.Size]byte) []string {
	docs := make([]string, 0, documentsCount)
	for i := range documentsCount {
		docs = append(docs, fmt.Sprintf("document-%d", binary.BigEndian.Uint16(sum[2*i:])))
	}
	return docs
}

// Token returns the text of the token at an offset in the stream of the output with the given digest, which has at
// least 4 characters.
func Token(digest string, offset int) string {
	start := (offset * 4) % (len(digest) - 3)
	return fmt.Sprintf("w%d-%s ", offset, digest[start:start+4])
}

// Text returns the joined text of the first count tokens of the stream of the output with the given digest.
func Text(digest string, count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(Token(digest, i))
	}
	return b.String()
}

// TokenCount returns the number of tokens of the stream of an output. The digest determines a number from 1/2 to 3/2 of
// mean, at least 1. A limit above 0 is the maximum.
func TokenCount(digest string, mean, limit int) int {
	sum := sha256.Sum256([]byte("tokens " + digest))
	count := mean/2 + int(binary.BigEndian.Uint32(sum[:])%uint32(max(mean, 1)))
	count = max(count, 1)
	if limit > 0 {
		count = min(count, limit)
	}
	return count
}
