package main

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// schema holds the definitions of a JSON Schema, with the keywords that the page shows.
type schema struct {
	Defs map[string]definition `json:"$defs"`
}

// definition is the schema of an object type.
type definition struct {
	Description string              `json:"description"`
	Required    []string            `json:"required"`
	Properties  map[string]property `json:"properties"`
	// order holds the names of the properties in the order of the schema.
	order []string
}

// property is the schema of one field of an object type.
type property struct {
	Type        string    `json:"type"`
	Ref         string    `json:"$ref"`
	Items       *property `json:"items"`
	Description string    `json:"description"`
}

// UnmarshalJSON decodes a definition and records the order of its properties.
func (d *definition) UnmarshalJSON(text []byte) error {
	type plain definition
	if err := json.Unmarshal(text, (*plain)(d)); err != nil {
		return errors.Wrap(err, "definition")
	}
	var members struct {
		Properties json.RawMessage `json:"properties"`
	}
	if err := json.Unmarshal(text, &members); err != nil {
		return errors.Wrap(err, "properties")
	}
	for name := range d.Properties {
		d.order = append(d.order, name)
	}
	raw := string(members.Properties)
	slices.SortFunc(d.order, func(a, b string) int { return position(raw, a) - position(raw, b) })
	return nil
}

// position returns the offset in raw of the first member with the given name whose value is an object, or -1. It
// requires the format `"name": {`.
func position(raw, name string) int { return strings.Index(raw, `"`+name+`": {`) }

// references returns the names of the types that the fields refer to, in the order of the fields.
func (d definition) references() []string {
	var list []string
	for _, name := range d.order {
		if r := d.Properties[name].reference(); r != "" {
			list = append(list, r)
		}
	}
	return list
}

// reference returns the name of the type that the field or its list items refer to, or an empty string.
func (p property) reference() string {
	if p.Items != nil {
		return p.Items.reference()
	}
	return strings.TrimPrefix(p.Ref, "#/$defs/")
}

// typeName returns the field's type in the form that the page shows, with a link to a defined type.
func (p property) typeName() string {
	switch {
	case p.Items != nil:
		return "list of " + p.Items.typeName()
	case p.Ref != "":
		return "[" + p.reference() + "](#" + strings.ToLower(p.reference()) + ")"
	case p.Type == "":
		return "any JSON"
	}
	return p.Type
}
