package control

import (
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
)

// checkChange returns what is wrong with the configuration that a change would lead to.
func checkChange(config state.Config, c wire.ChangeSet) []string {
	next := config.With(c.Set, c.Remove, config.Revision+1)
	var problems []string
	for workspace, contract := range next.Contracts.All() {
		for _, p := range contract.Pipelines {
			if !next.Pipelines.Has(p) {
				problems = append(problems, "contract "+workspace+": unknown pipeline "+p)
			}
		}
	}
	return problems
}
