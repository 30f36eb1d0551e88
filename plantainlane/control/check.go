package control

import (
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// checkChange returns the problems of the configuration that results from a change. A change that only adds or
// replaces declarations needs a check of these and of what they refer to. A change that removes declarations needs a
// check of all references, since any declaration may refer to a removed one.
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
