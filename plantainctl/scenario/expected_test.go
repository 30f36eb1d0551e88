package scenario

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"

	"plantainlane/standin/chain"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// expectedOutput returns the output of the last stage of a pipeline for an input. The fake upstreams derive their
// outputs from the digest of their inputs, so that an answer to another request can be recognized.
func (cl *cluster) expectedOutput(pipeline, input string) (chain.Output, error) {
	source, err := declaration.Read(filepath.Join(cl.examples, "declarations", "pipelines.json"))
	if err != nil {
		return chain.Output{}, err
	}
	for _, p := range source.Set.Pipelines {
		if p.Name == pipeline {
			return deriveOutput(p, json.RawMessage(input))
		}
	}
	return chain.Output{}, errors.Newf("no pipeline %s", pipeline)
}

// deriveOutput derives the output of each stage in turn, which is the input of the next one, and returns the last.
func deriveOutput(p wire.Pipeline, body json.RawMessage) (chain.Output, error) {
	var out chain.Output
	for _, s := range p.Stages {
		digest, err := chain.InputDigest(body)
		if err != nil {
			return out, err
		}
		out = chain.Derive(s.Path, digest)
		if body, err = json.Marshal(out); err != nil {
			return out, err
		}
	}
	return out, nil
}

// isExpectedOutput reports whether output is the expected one, either plain or as text collected from a stream.
func isExpectedOutput(output json.RawMessage, want chain.Output) bool {
	var collected struct {
		Text   string `json:"text"`
		Tokens int    `json:"tokens"`
	}
	if json.Unmarshal(output, &collected) == nil && collected.Tokens > 0 {
		return collected.Text == chain.Text(want.Digest, collected.Tokens)
	}
	var got chain.Output
	return json.Unmarshal(output, &got) == nil && reflect.DeepEqual(got, want)
}

// isExpectedStream reports whether events consist of the expected tokens without a gap, followed by an end event.
func isExpectedStream(events string, want chain.Output) bool {
	var text strings.Builder
	count, ended := 0, false
	for event := range strings.SplitSeq(strings.TrimSpace(events), "\n\n") {
		name, data, _ := strings.Cut(event, "\n")
		switch name {
		case "event: token":
			var t wire.Token
			if ended || json.Unmarshal([]byte(strings.TrimPrefix(data, "data: ")), &t) != nil || t.Offset != count {
				return false
			}
			text.WriteString(t.Text)
			count++
		case "event: end":
			ended = true
		default:
			return false
		}
	}
	return ended && text.String() == chain.Text(want.Digest, count)
}
