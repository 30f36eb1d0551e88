package main

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// schema is the part of a JSON Schema that the page shows.
type schema struct {
	Defs map[string]definition `json:"$defs"`
}

type definition struct {
	Description string              `json:"description"`
	Required    []string            `json:"required"`
	Properties  map[string]property `json:"properties"`
	// order holds the names of the properties as they stand in the schema.
	order []string
}

type property struct {
	Type        string    `json:"type"`
	Ref         string    `json:"$ref"`
	Items       *property `json:"items"`
	Description string    `json:"description"`
}

// UnmarshalJSON also keeps the order of the properties.
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

// position returns where a property's name stands first as a member.
func position(raw, name string) int { return strings.Index(raw, `"`+name+`": {`) }

// references returns the types that a definition's fields refer to.
func (d definition) references() []string {
	var list []string
	for _, name := range d.order {
		if r := d.Properties[name].reference(); r != "" {
			list = append(list, r)
		}
	}
	return list
}

func (p property) reference() string {
	if p.Items != nil {
		return p.Items.reference()
	}
	return strings.TrimPrefix(p.Ref, "#/$defs/")
}

// typeName returns the field's type as the page shows it.
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
