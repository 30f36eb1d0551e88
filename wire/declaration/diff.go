package declaration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"plantainlane/wire"
)

// Actions of a Change.
const (
	ActionAdd    = "add"
	ActionChange = "change"
	ActionRemove = "remove"
)

// Change is the difference between two sets in one declaration.
type Change struct {
	// Kind is the kind of the declaration, such as KindContract. Name is its name.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is ActionAdd, ActionChange or ActionRemove.
	Action string `json:"action"`
	// Fields lists the values that differ. It is empty unless Action is ActionChange.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one value that differs between two versions of a declaration.
type FieldChange struct {
	// Field is the path of the value in the declaration, such as "rate.burst".
	Field string `json:"field"`
	// Old and New are the values in JSON; empty if the list of that version has no such element.
	Old string `json:"old"`
	New string `json:"new"`
}

// Diff returns the changes that turn before into after, sorted by kind and name. Each set must not contain two
// declarations of one kind with the same name. Sites are not compared.
func Diff(before, after wire.Declarations) []Change {
	var changes []Change
	changes = append(changes, diffKind(KindContract, before.Contracts, after.Contracts, contractName)...)
	changes = append(changes, diffKind(KindModel, before.Models, after.Models, modelName)...)
	changes = append(changes, diffKind(KindPipeline, before.Pipelines, after.Pipelines, pipelineName)...)
	return append(changes, diffKind(KindUpstreamPolicy, before.UpstreamPolicies, after.UpstreamPolicies, policyName)...)
}

// Apply returns base with the declarations in remove left out and those in set added or replaced. A declaration that is
// in both set and remove is not removed. The lists of the result are sorted by name. The result has no site. base is
// not modified.
func Apply(base, set wire.Declarations, remove []wire.DeclarationName) wire.Declarations {
	return wire.Declarations{
		Contracts:        applyKind(KindContract, base.Contracts, set.Contracts, remove, contractName),
		Models:           applyKind(KindModel, base.Models, set.Models, remove, modelName),
		Pipelines:        applyKind(KindPipeline, base.Pipelines, set.Pipelines, remove, pipelineName),
		UpstreamPolicies: applyKind(KindUpstreamPolicy, base.UpstreamPolicies, set.UpstreamPolicies, remove, policyName),
	}
}

func contractName(d wire.Contract) string     { return d.Workspace }
func modelName(d wire.Model) string           { return d.Name }
func pipelineName(d wire.Pipeline) string     { return d.Name }
func policyName(d wire.UpstreamPolicy) string { return d.Service }

// indexByName returns the declarations of a list by their name.
func indexByName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, d := range list {
		m[name(d)] = d
	}
	return m
}

// applyKind does the work of Apply for the declarations of one kind.
func applyKind[T any](kind string, base, set []T, remove []wire.DeclarationName, name func(T) string) []T {
	m := indexByName(base, name)
	for _, r := range remove {
		if r.Kind == kind {
			delete(m, r.Name)
		}
	}
	for _, d := range set {
		m[name(d)] = d
	}
	list := make([]T, 0, len(m))
	for _, d := range m {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

// diffKind does the work of Diff for the declarations of one kind.
func diffKind[T any](kind string, before, after []T, name func(T) string) []Change {
	var changes []Change
	oldByName, newByName := indexByName(before, name), indexByName(after, name)
	for n, d := range newByName {
		old, known := oldByName[n]
		if !known {
			changes = append(changes, Change{Kind: kind, Name: n, Action: ActionAdd})
			continue
		}
		if fields := diffValues("", reflect.ValueOf(old), reflect.ValueOf(d)); len(fields) > 0 {
			changes = append(changes, Change{kind, n, ActionChange, fields})
		}
	}
	for n := range oldByName {
		if _, kept := newByName[n]; !kept {
			changes = append(changes, Change{Kind: kind, Name: n, Action: ActionRemove})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// diffValues returns the differences between two values of the same type. path is the field path of the values. Structs
// and slices are compared field by field and element by element.
func diffValues(path string, before, after reflect.Value) []FieldChange {
	var list []FieldChange
	switch before.Kind() {
	case reflect.Struct:
		for i := range before.NumField() {
			name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
			sub := strings.TrimPrefix(path+"."+name, ".")
			list = append(list, diffValues(sub, before.Field(i), after.Field(i))...)
		}
	case reflect.Slice:
		for i := range max(before.Len(), after.Len()) {
			sub := fmt.Sprintf("%s[%d]", path, i)
			switch {
			case i >= before.Len():
				list = append(list, FieldChange{Field: sub, New: marshalText(after.Index(i))})
			case i >= after.Len():
				list = append(list, FieldChange{Field: sub, Old: marshalText(before.Index(i))})
			default:
				list = append(list, diffValues(sub, before.Index(i), after.Index(i))...)
			}
		}
	default:
		if o, n := marshalText(before), marshalText(after); o != n {
			list = append(list, FieldChange{path, o, n})
		}
	}
	return list
}

// marshalText returns the value in JSON, or the text of the error if it can't be encoded.
func marshalText(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(b)
}
