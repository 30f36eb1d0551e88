package declaration

import (
	"fmt"
	"strconv"
)

// Kinds of declarations, the values of wire.DeclarationName.Kind.
const (
	KindContract       = "contract"
	KindModel          = "model"
	KindPipeline       = "pipeline"
	KindUpstreamPolicy = "upstreamPolicy"
)

// listNames holds the JSON name of the list in wire.Declarations for each kind.
var listNames = map[string]string{
	KindContract:       "contracts",
	KindModel:          "models",
	KindPipeline:       "pipelines",
	KindUpstreamPolicy: "upstreamPolicies",
}

// Problem is one problem in a set of declarations.
type Problem struct {
	// Kind is the kind of the declaration.
	Kind string
	// Name is the name of the declaration; empty if it states none.
	Name string
	// Index is the position of the declaration in the list of its kind, from 0.
	Index int
	// Field is the path of the invalid value in the declaration, such as "rate.burst"; empty for the whole declaration.
	Field string
	// Expected describes the valid values.
	Expected string
	// Found describes the actual value; empty if the description would add nothing.
	Found string
}

// Path returns the path of the invalid value in the set, such as "contracts[0].rate.burst".
func (p Problem) Path() string {
	path := fmt.Sprintf("%s[%d]", listNames[p.Kind], p.Index)
	if p.Field == "" {
		return path
	}
	return path + "." + p.Field
}

// String formats the problem on one line. It identifies the declaration by its kind and name instead of its position.
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
