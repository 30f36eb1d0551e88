package load

import (
	"encoding/json"
	"reflect"

	"plantainlane/standin/chain"
)

// generated is the output of a stage that streams, joined by the system.
type generated struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// isOwn reports whether an output is the whole output of the request's own last stage.
func isOwn(req *Request, output json.RawMessage) bool {
	if req.streams() {
		var g generated
		if json.Unmarshal(output, &g) != nil {
			return false
		}
		return isCount(req, g.Tokens) && g.Text == chain.Text(req.Want.Digest, g.Tokens)
	}
	var got chain.Output
	if json.Unmarshal(output, &got) != nil {
		return false
	}
	return reflect.DeepEqual(got, req.Want)
}

// isCount reports whether a whole stream of the request has so many tokens.
func isCount(req *Request, tokens int) bool {
	if req.Flow.MeanTokens == 0 {
		return tokens > 0
	}
	return tokens == chain.TokenCount(req.Want.Digest, req.Flow.MeanTokens, req.Flow.MaxTokens)
}
