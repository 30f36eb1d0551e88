package control

import (
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// checkChange returns the problems of the configuration that results from a change. If the change removes declarations,
// all references are checked, since any declaration may refer to a removed one. Otherwise the references of contracts
// that the change leaves as they are need no check.
func checkChange(config state.Config, c wire.ChangeSet) []string {
	problems := declaration.CheckValues(c.Set)
	next := config.With(c.Set, c.Remove, config.Revision+1)
	if len(c.Remove) > 0 {
		problems = append(problems, declaration.CheckReferences(next.Declarations())...)
		return problemTexts(problems)
	}
	checked := next.Shared()
	checked.Contracts = c.Set.Contracts
	problems = append(problems, declaration.CheckReferences(checked)...)
	return problemTexts(problems)
}

func problemTexts(problems []declaration.Problem) []string {
	out := make([]string, 0, len(problems))
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}
