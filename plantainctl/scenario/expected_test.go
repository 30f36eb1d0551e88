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

// expected returns what the last stage of a pipeline answers to an input, by the rule of the stand-ins.
func (w *world) expected(pipeline, input string) (chain.Output, error) {
	source, err := declaration.Read(filepath.Join(w.examples, "declarations", "pipelines.json"))
	if err != nil {
		return chain.Output{}, err
	}
	for _, p := range source.Set.Pipelines {
		if p.Name == pipeline {
			return follow(p, json.RawMessage(input))
		}
	}
	return chain.Output{}, errors.Newf("no pipeline %s", pipeline)
}

func follow(p wire.Pipeline, body json.RawMessage) (chain.Output, error) {
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

// isOwn reports whether an answer's output is the expected one, plain or collected from a stream.
func isOwn(output json.RawMessage, want chain.Output) bool {
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

// isOwnStream reports whether events hold the expected tokens and one end.
func isOwnStream(events string, want chain.Output) bool {
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
