package main

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/matryer/is"
)

// docs/types.md is committed. It must be regenerated whenever the schema changes.
func TestPageIsCurrent(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../schema/wire.json")
	is.NoErr(err)
	var s schema
	is.NoErr(json.Unmarshal(text, &s))
	want, err := render(s)
	is.NoErr(err)
	got, err := os.ReadFile("../../docs/types.md")
	is.NoErr(err)
	is.True(string(got) == want) // if it fails, run go generate in wire
}

// Package json decodes objects into maps without order. The page must list fields in the order of the schema.
func TestFieldsKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	var d definition
	is.NoErr(json.Unmarshal([]byte(`{"required": ["b"], "properties": {"b": {"type": "string"}, "a": {"type": "array", "items": {"$ref": "#/$defs/X"}}}}`), &d))
	is.Equal(d.order, []string{"b", "a"})
	is.Equal(d.references(), []string{"X"})
	is.Equal(d.Properties["a"].typeName(), "list of [X](#x)")
}
