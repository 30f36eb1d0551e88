package engine

import (
	"time"

	"plantainlane/plantainlane/route"
)

// Hints returns the engines that hold a prefix of a prompt, as hints to route.Balancer. The share of a hint is the
// fraction of the prompt's blocks that are in the prefix.
func (x *Index) Hints(now time.Time, blocks []uint64) []route.Hint {
	matches := x.Match(now, blocks)
	hints := make([]route.Hint, len(matches))
	for i, m := range matches {
		hints[i] = route.Hint{Upstream: m.Engine, Share: float64(m.Blocks) / float64(len(blocks))}
	}
	return hints
}
