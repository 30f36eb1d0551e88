package timeline

import (
	"cmp"
	"slices"

	"plantainlane/wire"
)

// Merge returns the events of all lists in one order: by clock reading, then instance and incarnation.
// An event that several lists hold is returned once.
func Merge(lists ...[]wire.Event) []wire.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, CompareEvents)
	return slices.CompactFunc(all, func(a, b wire.Event) bool {
		return CompareEvents(a, b) == 0 && a.Kind == b.Kind && key(a) == key(b)
	})
}

// CompareEvents returns -1, 0 or 1 as a comes before, with or after b on a merged time line.
func CompareEvents(a, b wire.Event) int {
	return cmp.Or(
		Compare(a.Time, b.Time),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

type eventKey struct {
	attempt, detail, request, upstream, workspace string
	revision                                      int
}

func key(e wire.Event) eventKey {
	return eventKey{
		attempt:   Value(e.Attempt),
		detail:    Value(e.Detail),
		request:   Value(e.Request),
		upstream:  Value(e.Upstream),
		workspace: Value(e.Workspace),
		revision:  Value(e.Revision),
	}
}

// Value returns what an optional field holds, or the zero value.
func Value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// Matches reports whether query asks for e. The query's limit is left to the caller.
func Matches(query wire.TimelineQuery, e wire.Event) bool {
	return (query.Request == "" || query.Request == Value(e.Request)) &&
		(query.Workspace == "" || query.Workspace == Value(e.Workspace)) &&
		(query.Upstream == "" || query.Upstream == Value(e.Upstream)) &&
		(query.Instance == "" || query.Instance == e.Instance) &&
		(query.Revision == 0 || query.Revision == Value(e.Revision)) &&
		e.Time.WallMs >= query.SinceMs
}

// Select returns the events that query asks for, in their order, the newest ones if there are more
// than its limit. A limit of 0 or less is none.
func Select(query wire.TimelineQuery, events []wire.Event) []wire.Event {
	var list []wire.Event
	for _, e := range events {
		if Matches(query, e) {
			list = append(list, e)
		}
	}
	if query.Limit > 0 && len(list) > query.Limit {
		list = list[len(list)-query.Limit:]
	}
	return list
}
