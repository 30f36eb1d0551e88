package jsonc

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Option configures the decoding of a document.
type Option func(*decoder)

// Default returns an Option that initializes each value of type T to v if decoding creates it as an element of a slice
// or map or as the target of a pointer. Members that the text leaves out then keep the values of v.
func Default[T any](v T) Option {
	return func(d *decoder) { d.defaults[reflect.TypeFor[T]()] = reflect.ValueOf(v) }
}

// decoder holds the state of one call of Decode.
type decoder struct {
	doc      *Document
	defaults map[reflect.Type]reflect.Value
	problems []Problem
}

var (
	rawMessage      = reflect.TypeFor[json.RawMessage]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes the document into the value that into points to. It continues after a problem, so that it reports all
// problems that it can find. A returned error is an *Error that is ErrInvalid.
func (d *Document) Decode(into any, opts ...Option) error {
	dec := &decoder{doc: d, defaults: make(map[reflect.Type]reflect.Value)}
	for _, o := range opts {
		o(dec)
	}
	dec.decodeValue(d.root, reflect.ValueOf(into).Elem(), "")
	return NewError(dec.problems)
}

func (d *decoder) addProblem(path, expected, found string) {
	d.problems = append(d.problems, d.doc.Problem(path, expected, found))
}

// newValue returns a new value of type t, initialized to the default for t if there is one.
func (d *decoder) newValue(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	if def, ok := d.defaults[t]; ok {
		v.Set(def)
	}
	return v
}

// decodeValue decodes in into out and records its line. path is the field path of the value.
func (d *decoder) decodeValue(in hujson.Value, out reflect.Value, path string) {
	d.doc.lines[path] = d.doc.lineAt(in.StartOffset)
	switch {
	case out.Type() == rawMessage:
		in = in.Clone()
		in.Standardize()
		out.SetBytes(slices.Clone(in.Pack()))
		return
	case out.CanAddr() && out.Addr().Type().Implements(textUnmarshaler):
		d.decodeText(in, out, path)
		return
	}
	if isNull(in) && slices.Contains(nullable, out.Kind()) {
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		v := d.newValue(out.Type().Elem())
		d.decodeValue(in, v, path)
		out.Set(reflect.New(v.Type()))
		out.Elem().Set(v)
	case reflect.Struct:
		d.decodeObject(in, out, path)
	case reflect.Slice:
		d.decodeArray(in, out, path)
	case reflect.Map:
		d.decodeMap(in, out, path)
	default:
		d.decodeScalar(in, out, path)
	}
}

// nullable lists the kinds of values that a null in the text leaves unchanged, since JSON encoders write null for
// absent values of these kinds.
var nullable = []reflect.Kind{reflect.Map, reflect.Pointer, reflect.Slice}

func isNull(in hujson.Value) bool {
	l, ok := in.Value.(hujson.Literal)
	return ok && l.Kind() == 'n'
}

// decodeText decodes a string into a value that implements encoding.TextUnmarshaler. The text of an error of
// UnmarshalText is reported as the expected value.
func (d *decoder) decodeText(in hujson.Value, out reflect.Value, path string) {
	l, ok := in.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.addProblem(path, "a string", describeKind(in))
		return
	}
	if err := out.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(l.String())); err != nil {
		d.addProblem(path, err.Error(), strconv.Quote(l.String()))
	}
}

// decodeObject decodes an object into a struct.
func (d *decoder) decodeObject(in hujson.Value, out reflect.Value, path string) {
	o, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "an object", describeKind(in))
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		sub := joinPath(path, name)
		i, known := fields[name]
		switch {
		case !known:
			d.doc.lines[sub] = d.doc.lineAt(m.Name.StartOffset)
			d.addProblem(sub, "one of "+strings.Join(fieldNames(out.Type()), ", "), "unknown field "+strconv.Quote(name))
		case seen[name]:
			d.doc.lines[sub] = d.doc.lineAt(m.Name.StartOffset)
			d.addProblem(sub, "each field once", "a second "+strconv.Quote(name))
		default:
			d.decodeValue(m.Value, out.Field(i), sub)
		}
		seen[name] = true
	}
}

// decodeArray decodes an array into a slice.
func (d *decoder) decodeArray(in hujson.Value, out reflect.Value, path string) {
	a, ok := in.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "an array", describeKind(in))
		return
	}
	list := reflect.MakeSlice(out.Type(), 0, len(a.Elements))
	for i, e := range a.Elements {
		v := d.newValue(out.Type().Elem())
		d.decodeValue(e, v, fmt.Sprintf("%s[%d]", path, i))
		list = reflect.Append(list, v)
	}
	out.Set(list)
}

// decodeMap decodes an object into a map.
func (d *decoder) decodeMap(in hujson.Value, out reflect.Value, path string) {
	o, ok := in.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "an object", describeKind(in))
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(o.Members))
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name).Convert(out.Type().Key())
		if m.MapIndex(key).IsValid() {
			d.addProblem(joinPath(path, name), "each field once", "a second "+strconv.Quote(name))
			continue
		}
		v := d.newValue(out.Type().Elem())
		d.decodeValue(member.Value, v, joinPath(path, name))
		m.SetMapIndex(key, v)
	}
	out.Set(m)
}

// decodeScalar decodes a string, boolean or number.
func (d *decoder) decodeScalar(in hujson.Value, out reflect.Value, path string) {
	l, literal := in.Value.(hujson.Literal)
	if !literal {
		// An object or array fits none of the kinds below, and neither does null.
		l = hujson.Literal("null")
	}
	var expected string
	var ok bool
	switch out.Kind() {
	case reflect.String:
		expected, ok = "a string", l.Kind() == '"'
		if ok {
			out.SetString(l.String())
		}
	case reflect.Bool:
		expected, ok = "true or false", l.Kind() == 't' || l.Kind() == 'f'
		if ok {
			out.SetBool(l.Bool())
		}
	case reflect.Int, reflect.Int64, reflect.Int32:
		n, err := strconv.ParseInt(string(l), 10, out.Type().Bits())
		expected, ok = "an integer", err == nil
		if ok {
			out.SetInt(n)
		}
	case reflect.Float64:
		n, err := strconv.ParseFloat(string(l), 64)
		expected, ok = "a number", err == nil && l.Kind() == '0'
		if ok {
			out.SetFloat(n)
		}
	default:
		expected = "nothing: type " + out.Type().String() + " can't be read"
	}
	if !ok {
		d.addProblem(path, expected, describeKind(in))
	}
}

// describeKind describes the kind of a value for an error. It shows the value only of numbers, booleans and null, since
// a string may be secret.
func describeKind(v hujson.Value) string {
	switch t := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		if t.Kind() == '"' {
			return "a string"
		}
		return string(t)
	}
	return "nothing"
}

// fieldsOf returns the index of each field of the struct type t by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() && jsonName(f) != "-" {
			fields[jsonName(f)] = i
		}
	}
	return fields
}

// fieldNames returns the JSON names of the fields of the struct type t, sorted.
func fieldNames(t reflect.Type) []string {
	var list []string
	for name := range fieldsOf(t) {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// jsonName returns the name of a field in JSON.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

// joinPath returns the path of the member name of the value at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
