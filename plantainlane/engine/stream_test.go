package engine

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestProgressAddsEachTokenOnce(t *testing.T) {
	is := is.New(t)
	var p Progress
	for _, step := range []struct {
		offset int
		isNew  bool
		isGap  bool
	}{
		{0, true, false}, {1, true, false}, {0, false, false}, {1, false, false}, {3, false, true}, {2, true, false},
	} {
		isNew, err := p.Add(step.offset, string(rune('a'+step.offset)))
		is.Equal(isNew, step.isNew)
		is.Equal(errors.Is(err, ErrGap), step.isGap)
	}
	is.Equal(p.Text(), "abc")
	is.NoErr(p.CheckEnd(3))
	is.True(errors.Is(p.CheckEnd(4), ErrGap)) // the last token is missing
	is.True(errors.Is(p.CheckEnd(2), ErrGap))
	c := p.Clone()
	_, err := c.Add(3, "d")
	is.NoErr(err)
	is.Equal(p.Text(), "abc")
}

func TestChooseRecovery(t *testing.T) {
	for _, c := range []struct {
		interruption Interruption
		want         Recovery
	}{
		{Interruption{Reachable: true}, Resume},
		{Interruption{Reachable: true, Resumed: MaxResumes - 1}, Resume},
		{Interruption{Reachable: true, Resumed: MaxResumes}, Import},
		{Interruption{Reachable: true, Leaving: true}, Import},
		{Interruption{Leaving: true}, Regenerate},
	} {
		if got := ChooseRecovery(c.interruption); got != c.want {
			t.Errorf("ChooseRecovery(%+v) = %v, want %v", c.interruption, got, c.want)
		}
	}
}
