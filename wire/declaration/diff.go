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

// Change is the difference of one declaration between two sets.
type Change struct {
	// Kind and Name identify the declaration.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Action is ActionAdd, ActionChange or ActionRemove.
	Action string `json:"action"`
	// Fields holds what differs, for ActionChange alone.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a value that differs.
type FieldChange struct {
	// Field is the path in the declaration.
	Field string `json:"field"`
	// Old and New are JSON; empty where the value is absent.
	Old string `json:"old"`
	New string `json:"new"`
}

// Diff returns what turns before into after, ordered by kind and name. Names must stand once in each
// set.
func Diff(before, after wire.Declarations) []Change {
	var changes []Change
	changes = append(changes, diff(KindContract, before.Contracts, after.Contracts, contractName)...)
	changes = append(changes, diff(KindModel, before.Models, after.Models, modelName)...)
	changes = append(changes, diff(KindPipeline, before.Pipelines, after.Pipelines, pipelineName)...)
	return append(changes, diff(KindUpstreamPolicy, before.UpstreamPolicies, after.UpstreamPolicies, policyName)...)
}

// Apply returns base with the declarations of set added or replaced and those of remove left out,
// ordered by name. base is not changed.
func Apply(base, set wire.Declarations, remove []wire.DeclarationName) wire.Declarations {
	return wire.Declarations{
		Contracts:        apply(KindContract, base.Contracts, set.Contracts, remove, contractName),
		Models:           apply(KindModel, base.Models, set.Models, remove, modelName),
		Pipelines:        apply(KindPipeline, base.Pipelines, set.Pipelines, remove, pipelineName),
		UpstreamPolicies: apply(KindUpstreamPolicy, base.UpstreamPolicies, set.UpstreamPolicies, remove, policyName),
	}
}

func contractName(d wire.Contract) string     { return d.Workspace }
func modelName(d wire.Model) string           { return d.Name }
func pipelineName(d wire.Pipeline) string     { return d.Name }
func policyName(d wire.UpstreamPolicy) string { return d.Service }

func index[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, d := range list {
		m[name(d)] = d
	}
	return m
}

func apply[T any](kind string, base, set []T, remove []wire.DeclarationName, name func(T) string) []T {
	m := index(base, name)
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

func diff[T any](kind string, before, after []T, name func(T) string) []Change {
	var changes []Change
	olds, news := index(before, name), index(after, name)
	for n, d := range news {
		old, known := olds[n]
		if !known {
			changes = append(changes, Change{Kind: kind, Name: n, Action: ActionAdd})
			continue
		}
		if fields := compare("", reflect.ValueOf(old), reflect.ValueOf(d)); len(fields) > 0 {
			changes = append(changes, Change{kind, n, ActionChange, fields})
		}
	}
	for n := range olds {
		if _, kept := news[n]; !kept {
			changes = append(changes, Change{Kind: kind, Name: n, Action: ActionRemove})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// compare returns the values that differ between two of one type, by JSON field path.
func compare(path string, before, after reflect.Value) []FieldChange {
	var list []FieldChange
	switch before.Kind() {
	case reflect.Struct:
		for i := range before.NumField() {
			name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
			sub := strings.TrimPrefix(path+"."+name, ".")
			list = append(list, compare(sub, before.Field(i), after.Field(i))...)
		}
	case reflect.Slice:
		for i := range max(before.Len(), after.Len()) {
			sub := fmt.Sprintf("%s[%d]", path, i)
			switch {
			case i >= before.Len():
				list = append(list, FieldChange{Field: sub, New: text(after.Index(i))})
			case i >= after.Len():
				list = append(list, FieldChange{Field: sub, Old: text(before.Index(i))})
			default:
				list = append(list, compare(sub, before.Index(i), after.Index(i))...)
			}
		}
	default:
		if o, n := text(before), text(after); o != n {
			list = append(list, FieldChange{path, o, n})
		}
	}
	return list
}

func text(v reflect.Value) string {
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(b)
}
