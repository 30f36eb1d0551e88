package declaration

import (
	"fmt"
	"strconv"

	"plantainlane/wire"
)

// CheckReferences returns the problems between the declarations of a complete configuration: repeated names, keys that
// are in more than one contract, and references to declarations that don't exist.
func CheckReferences(set wire.Declarations) []Problem {
	c := &checker{}
	models := make(map[string]bool, len(set.Models))
	for i, d := range set.Models {
		c.setDeclaration(KindModel, d.Name, i)
		c.checkUnique("name", d.Name, models)
	}
	pipelines, usesModel := make(map[string]bool, len(set.Pipelines)), make(map[string]bool)
	for i, d := range set.Pipelines {
		c.setDeclaration(KindPipeline, d.Name, i)
		c.checkUnique("name", d.Name, pipelines)
		for _, s := range d.Stages {
			usesModel[d.Name] = usesModel[d.Name] || s.UsesModel
		}
	}
	services := make(map[string]bool, len(set.UpstreamPolicies))
	for i, d := range set.UpstreamPolicies {
		c.setDeclaration(KindUpstreamPolicy, d.Service, i)
		c.checkUnique("service", d.Service, services)
	}
	workspaces, owners := make(map[string]bool, len(set.Contracts)), make(map[string]string)
	for i, d := range set.Contracts {
		c.setDeclaration(KindContract, d.Workspace, i)
		c.checkUnique("workspace", d.Workspace, workspaces)
		c.checkKeyOwners(d, owners)
		c.checkContractReferences(d, pipelines, usesModel, models)
	}
	return c.problems
}

// checkUnique checks that no previous declaration of the current kind has the same name, and adds the name to seen.
func (c *checker) checkUnique(field, name string, seen map[string]bool) {
	if seen[name] {
		c.addProblem(field, "each "+c.kind+" once", "a second "+strconv.Quote(name))
	}
	seen[name] = true
}

// checkKeyOwners checks that no other contract has one of the contract's keys. owners maps the hash of each key to its
// workspace; the contract's keys are added to it.
func (c *checker) checkKeyOwners(d wire.Contract, owners map[string]string) {
	for i, k := range d.Keys {
		owner, taken := owners[k.Sha256]
		if taken && owner != d.Workspace {
			c.addProblem(fmt.Sprintf("keys[%d].sha256", i), "a key of one workspace", "a key of "+strconv.Quote(owner))
		}
		owners[k.Sha256] = d.Workspace
	}
}

// checkContractReferences checks that the pipelines and models of a contract are declared, and that the contract has a
// model if one of its pipelines uses one.
func (c *checker) checkContractReferences(d wire.Contract, pipelines, usesModel, models map[string]bool) {
	for i, p := range d.Pipelines {
		path := fmt.Sprintf("pipelines[%d]", i)
		if !pipelines[p] {
			c.addProblem(path, "a declared pipeline", strconv.Quote(p))
		}
		if usesModel[p] && len(d.Models) == 0 {
			c.addProblem("models", "at least one model, since pipeline "+strconv.Quote(p)+" uses one", "none")
		}
	}
	for i, m := range d.Models {
		if !models[m] {
			c.addProblem(fmt.Sprintf("models[%d]", i), "a declared model", strconv.Quote(m))
		}
	}
}
