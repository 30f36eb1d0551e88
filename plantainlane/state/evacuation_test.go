package state

import (
	"testing"

	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestLateOrderUndoesLaterOne guards against an order that takes effect though a later one was acknowledged, also one that found its
// state in force already, and against a repeated order that isn't confirmed.
func TestLateOrderUndoesLaterOne(t *testing.T) {
	type order struct {
		isActive bool
		base     int
		// isActiveAfter is the state after the order.
		isActiveAfter bool
	}
	for name, orders := range map[string][]order{
		"copy":                        {{true, 0, true}, {false, 1, false}, {true, 0, false}},
		"copy of a repeated order":    {{true, 0, true}, {true, 0, true}, {false, 2, false}, {true, 0, false}, {true, 1, false}},
		"unanswered, then taken back": {{false, 0, false}, {true, 0, false}, {true, 1, true}},
		"unanswered, then ordered":    {{true, 0, true}, {true, 1, true}, {false, 1, true}},
		"confirmed at an old view":    {{true, 0, true}, {true, 0, true}, {false, 1, true}, {false, 2, false}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &State{}
			for _, o := range orders {
				out, err := s.Apply(wire.Command{Evacuate: &wire.EvacuationOrder{Zone: "z", Active: o.isActive, BaseVersion: o.base}})
				is.NoErr(err)
				is.Equal(out.Evacuation.Active, o.isActiveAfter)
				is.Equal(s.Config.IsEvacuated("z"), o.isActiveAfter)
			}
		})
	}
}
