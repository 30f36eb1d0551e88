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

// Option changes how a document is decoded.
type Option func(*decoder)

// Default makes every new value of type T that an array, map or pointer in the text holds start as v.
func Default[T any](v T) Option {
	return func(d *decoder) { d.defaults[reflect.TypeFor[T]()] = reflect.ValueOf(v) }
}

type decoder struct {
	doc      *Document
	defaults map[reflect.Type]reflect.Value
	problems []Problem
}

var (
	rawMessage      = reflect.TypeFor[json.RawMessage]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode stores the document in into, a pointer. It goes on after a problem, so that one read finds as
// many as it can. It returns an *Error that is ErrInvalid.
func (d *Document) Decode(into any, opts ...Option) error {
	dec := &decoder{doc: d, defaults: make(map[reflect.Type]reflect.Value)}
	for _, o := range opts {
		o(dec)
	}
	dec.value(d.root, reflect.ValueOf(into).Elem(), "")
	return NewError(dec.problems)
}

func (d *decoder) fail(path, expected, found string) {
	d.problems = append(d.problems, d.doc.Problem(path, expected, found))
}

func (d *decoder) fresh(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	if def, ok := d.defaults[t]; ok {
		v.Set(def)
	}
	return v
}

func (d *decoder) value(in hujson.Value, out reflect.Value, path string) {
	d.doc.lines[path] = d.doc.lineAt(in.StartOffset)
	switch {
	case out.Type() == rawMessage:
		in = in.Clone()
		in.Standardize()
		out.SetBytes(slices.Clone(in.Pack()))
		return
	case out.CanAddr() && out.Addr().Type().Implements(textUnmarshaler):
		d.text(in, out, path)
		return
	}
	if isNull(in) && slices.Contains(nullable, out.Kind()) {
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		v := d.fresh(out.Type().Elem())
		d.value(in, v, path)
		out.Set(reflect.New(v.Type()))
		out.Elem().Set(v)
	case reflect.Struct:
		d.object(in, out, path)
	case reflect.Slice:
		d.array(in, out, path)
	case reflect.Map:
		d.members(in, out, path)
	default:
		d.scalar(in, out, path)
	}
}

// nullable are the kinds of values that null leaves as they are, since writers of JSON use it for none.
var nullable = []reflect.Kind{reflect.Map, reflect.Pointer, reflect.Slice}

func isNull(in hujson.Value) bool {
	l, ok := in.Value.(hujson.Literal)
	return ok && l.Kind() == 'n'
}

func (d *decoder) text(in hujson.Value, out reflect.Value, path string) {
	l, ok := in.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.fail(path, "a string", describe(in))
		return
	}
	if err := out.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(l.String())); err != nil {
		d.fail(path, err.Error(), strconv.Quote(l.String()))
	}
}

func (d *decoder) object(in hujson.Value, out reflect.Value, path string) {
	o, ok := in.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "an object", describe(in))
		return
	}
	fields := fieldsOf(out.Type())
	seen := make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		sub := join(path, name)
		i, known := fields[name]
		switch {
		case !known:
			d.doc.lines[sub] = d.doc.lineAt(m.Name.StartOffset)
			d.fail(sub, "one of "+strings.Join(names(out.Type()), ", "), "unknown field "+strconv.Quote(name))
		case seen[name]:
			d.doc.lines[sub] = d.doc.lineAt(m.Name.StartOffset)
			d.fail(sub, "each field once", "a second "+strconv.Quote(name))
		default:
			d.value(m.Value, out.Field(i), sub)
		}
		seen[name] = true
	}
}

func (d *decoder) array(in hujson.Value, out reflect.Value, path string) {
	a, ok := in.Value.(*hujson.Array)
	if !ok {
		d.fail(path, "an array", describe(in))
		return
	}
	list := reflect.MakeSlice(out.Type(), 0, len(a.Elements))
	for i, e := range a.Elements {
		v := d.fresh(out.Type().Elem())
		d.value(e, v, fmt.Sprintf("%s[%d]", path, i))
		list = reflect.Append(list, v)
	}
	out.Set(list)
}

func (d *decoder) members(in hujson.Value, out reflect.Value, path string) {
	o, ok := in.Value.(*hujson.Object)
	if !ok {
		d.fail(path, "an object", describe(in))
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(o.Members))
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		key := reflect.ValueOf(name).Convert(out.Type().Key())
		if m.MapIndex(key).IsValid() {
			d.fail(join(path, name), "each field once", "a second "+strconv.Quote(name))
			continue
		}
		v := d.fresh(out.Type().Elem())
		d.value(member.Value, v, join(path, name))
		m.SetMapIndex(key, v)
	}
	out.Set(m)
}

func (d *decoder) scalar(in hujson.Value, out reflect.Value, path string) {
	l, literal := in.Value.(hujson.Literal)
	if !literal {
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
		d.fail(path, expected, describe(in))
	}
}

// describe names the kind of a value and never its content, which may be a secret.
func describe(v hujson.Value) string {
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

// fieldsOf returns the index of each field by its JSON name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() && jsonName(f) != "-" {
			fields[jsonName(f)] = i
		}
	}
	return fields
}

func names(t reflect.Type) []string {
	var list []string
	for name := range fieldsOf(t) {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
