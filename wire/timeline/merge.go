package timeline

import (
	"cmp"
	"slices"

	"plantainlane/wire"
)

// Merge returns the events of all lists, sorted by time, then by instance and incarnation. An event that is in several
// lists is returned once.
func Merge(lists ...[]wire.Event) []wire.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, CompareEvents)
	return slices.CompactFunc(all, func(a, b wire.Event) bool {
		return CompareEvents(a, b) == 0 && a.Kind == b.Kind && keyOf(a) == keyOf(b)
	})
}

// CompareEvents returns -1 if a comes before b on a merged time line, 0 if they have the same position and 1 if a comes
// after b.
func CompareEvents(a, b wire.Event) int {
	return cmp.Or(
		Compare(a.Time, b.Time),
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// eventKey holds the optional fields of an event, by value, so that events can be compared.
type eventKey struct {
	attempt, detail, request, upstream, workspace string
	revision                                      int
}

func keyOf(e wire.Event) eventKey {
	return eventKey{
		attempt:   Value(e.Attempt),
		detail:    Value(e.Detail),
		request:   Value(e.Request),
		upstream:  Value(e.Upstream),
		workspace: Value(e.Workspace),
		revision:  Value(e.Revision),
	}
}

// Value returns the value of an optional field, or the zero value if the field is nil.
func Value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// Matches reports whether e matches the query. It ignores the query's limit.
func Matches(query wire.TimelineQuery, e wire.Event) bool {
	return (query.Request == "" || query.Request == Value(e.Request)) &&
		(query.Workspace == "" || query.Workspace == Value(e.Workspace)) &&
		(query.Upstream == "" || query.Upstream == Value(e.Upstream)) &&
		(query.Instance == "" || query.Instance == e.Instance) &&
		(query.Revision == 0 || query.Revision == Value(e.Revision)) &&
		e.Time.WallMs >= query.SinceMs
}

// Select returns the events that match the query, in their given order. If there are more than the query's limit, it
// returns the last ones. A limit of 0 or less means no limit.
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
