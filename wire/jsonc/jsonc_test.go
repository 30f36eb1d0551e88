package jsonc

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

type limit struct {
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
}

type target struct {
	Name   string           `json:"name"`
	On     bool             `json:"on"`
	Limits []limit          `json:"limits"`
	ByZone map[string]limit `json:"byZone"`
	Extra  *limit           `json:"extra,omitempty"`
	Raw    json.RawMessage  `json:"raw"`
}

// An operator must be able to find each mistake in a file by its error. Each case checks the complete text.
func TestRead(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
		kind error
	}{
		"unknown field":  {"{\n\"nam\": 1}", `f:2: nam: expected one of byZone, extra, limits, name, on, raw, found unknown field "nam"`, ErrInvalid},
		"case matters":   {`{"Name":"x"}`, `f:1: Name: expected one of byZone, extra, limits, name, on, raw, found unknown field "Name"`, ErrInvalid},
		"wrong type":     {"{\"limits\": [\n{\"burst\": \"x\"}]}", "f:2: limits[0].burst: expected an integer, found a string", ErrInvalid},
		"fraction":       {`{"limits": [{"burst": 1.5}]}`, "f:1: limits[0].burst: expected an integer, found 1.5", ErrInvalid},
		"too large":      {`{"limits": [{"rate": 1e999}]}`, "f:1: limits[0].rate: expected a number, found 1e999", ErrInvalid},
		"null":           {`{"name": null}`, "f:1: name: expected a string, found null", ErrInvalid},
		"object as text": {`{"name": {}}`, "f:1: name: expected a string, found an object", ErrInvalid},
		"repeated":       {"{\"name\": \"a\",\n\"name\": \"b\"}", `f:2: name: expected each field once, found a second "name"`, ErrInvalid},
		"several":        {"{\"on\": 1,\n\"name\": 2}", "f:1: on: expected true or false, found 1\nf:2: name: expected a string, found 2", ErrInvalid},
		"malformed":      {"{\n\"name\": }", `f:2: expected JSON with comments, found invalid character '}' at start of value`, ErrMalformed},
		"empty":          {"", "f:1: expected JSON with comments, found parsing value: unexpected EOF", ErrMalformed},
		"nested":         {"\n" + strings.Repeat("[", 1000), "f:2: expected values nested at most 64 deep", ErrMalformed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := Read("f", []byte(tt.text), &target{})
			is.True(errors.Is(err, tt.kind))
			is.Equal(err.Error(), tt.want)
			var all *Error
			is.True(errors.As(err, &all))
		})
	}
}

// Values that the text leaves out must keep their defaults, both in the target and in new elements. Comments and
// strings with brackets, and trailing commas, must not confuse the parser.
func TestReadKeepsDefaults(t *testing.T) {
	is := is.New(t)
	got := target{Name: "kept", On: true}
	text := "// a \"comment [\n{ /* [ */ \"limits\": [{\"burst\": 2}, {\"rate\": 1},], \"extra\": {}, \"raw\": {\"a\": [1, /* c */ 2]},\n}"
	is.NoErr(Read("f", []byte(text), &got, Default(limit{Rate: 5, Burst: 9})))
	is.Equal(got.Name, "kept")
	is.True(got.On)
	is.Equal(got.Limits, []limit{{5, 2}, {1, 9}})
	is.Equal(*got.Extra, limit{5, 9})
	var raw struct{ A []int }
	is.NoErr(json.Unmarshal(got.Raw, &raw))
	is.Equal(raw.A, []int{1, 2})
}

// encoding/json writes null for nil slices, maps and pointers. Reading such text must not fail or change the target.
func TestNullKeepsValue(t *testing.T) {
	is := is.New(t)
	got := target{Limits: []limit{{1, 1}}}
	is.NoErr(Read("f", []byte(`{"limits": null, "byZone": null, "extra": null}`), &got))
	is.Equal(got, target{Limits: []limit{{1, 1}}})
}

// A problem can concern a value that the text leaves out. It must then be located at the enclosing value.
func TestLineOfEnclosingValue(t *testing.T) {
	is := is.New(t)
	doc, err := Parse("f", []byte("\n{\n\"limits\": [\n{\"rate\": 1}]}"))
	is.NoErr(err)
	is.NoErr(doc.Decode(&target{}))
	is.Equal(doc.Line("limits[0].burst"), 4)
	is.Equal(doc.Line("byZone"), 2)
	is.Equal(doc.Problem("limits", "one", "").String(), "f:3: limits: expected one")
}

// Any input must be decoded or rejected with ErrMalformed or ErrInvalid.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"name": "x", "limits": [{"rate": 1}], // c
"byZone": {"a": {}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		err := Read("f", text, &target{})
		if err != nil && !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrInvalid) {
			t.Fatal(err)
		}
	})
}
