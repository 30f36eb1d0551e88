package declaration

import (
	"fmt"
	"strconv"
)

// Kinds of declarations, as wire.DeclarationName names them.
const (
	KindContract       = "contract"
	KindModel          = "model"
	KindPipeline       = "pipeline"
	KindUpstreamPolicy = "upstreamPolicy"
)

// lists maps a kind to the list that holds its declarations.
var lists = map[string]string{
	KindContract:       "contracts",
	KindModel:          "models",
	KindPipeline:       "pipelines",
	KindUpstreamPolicy: "upstreamPolicies",
}

// Problem is one finding in a set of declarations.
type Problem struct {
	// Kind is the kind of the declaration.
	Kind string
	// Name is the declaration's own name; empty if it has none.
	Name string
	// Index is the declaration's position in the list of its kind.
	Index int
	// Field is the path in the declaration, such as "rate.burst"; empty for the whole declaration.
	Field string
	// Expected says what would have been taken.
	Expected string
	// Found says what stands there; empty where that adds nothing.
	Found string
}

// Path returns the path in the set, such as "contracts[0].rate.burst".
func (p Problem) Path() string {
	path := fmt.Sprintf("%s[%d]", lists[p.Kind], p.Index)
	if p.Field == "" {
		return path
	}
	return path + "." + p.Field
}

// String returns the problem on one line, with the declaration's name in place of its position.
func (p Problem) String() string {
	text := p.Kind + " " + strconv.Quote(p.Name) + ": "
	if p.Field != "" {
		text += p.Field + ": "
	}
	text += "expected " + p.Expected
	if p.Found != "" {
		text += ", found " + p.Found
	}
	return text
}
