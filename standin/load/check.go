package load

import (
	"encoding/json"
	"reflect"

	"plantainlane/standin/chain"
)

// joinedStream is the output of a stage that streams tokens, as an answer that isn't streamed carries it.
type joinedStream struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// isExpectedOutput reports whether an output is the complete output of the last stage for this request's input, and
// not truncated or the output of another request.
func isExpectedOutput(req *Request, output json.RawMessage) bool {
	if req.streams() {
		var joined joinedStream
		if json.Unmarshal(output, &joined) != nil {
			return false
		}
		return isExpectedTokenCount(req, joined.Tokens) && joined.Text == chain.Text(req.Want.Digest, joined.Tokens)
	}
	var got chain.Output
	if json.Unmarshal(output, &got) != nil {
		return false
	}
	return reflect.DeepEqual(got, req.Want)
}

// isExpectedTokenCount reports whether the complete stream of the request has this number of tokens. Without the flow's
// MeanTokens the length is unknown and any number above 0 is accepted.
func isExpectedTokenCount(req *Request, tokens int) bool {
	if req.Flow.MeanTokens == 0 {
		return tokens > 0
	}
	return tokens == chain.TokenCount(req.Want.Digest, req.Flow.MeanTokens, req.Flow.MaxTokens)
}
