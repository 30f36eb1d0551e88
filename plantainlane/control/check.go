package control

import (
	"plantainlane/plantainlane/state"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// checkChange returns what is wrong with the configuration that a change would lead to. It looks at the
// changed declarations and what they refer to; only a change that removes something looks at all.
func checkChange(config state.Config, c wire.ChangeSet) []string {
	problems := declaration.CheckValues(c.Set)
	next := config.With(c.Set, c.Remove, config.Revision+1)
	if len(c.Remove) > 0 {
		problems = append(problems, declaration.CheckReferences(next.Declarations())...)
		return describe(problems)
	}
	around := next.Shared()
	around.Contracts = c.Set.Contracts
	problems = append(problems, declaration.CheckReferences(around)...)
	return describe(problems)
}

func describe(problems []declaration.Problem) []string {
	out := make([]string, 0, len(problems))
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}
