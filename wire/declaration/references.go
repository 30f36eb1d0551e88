package declaration

import (
	"fmt"
	"strconv"

	"plantainlane/wire"
)

// CheckReferences returns the problems between the declarations of a whole configuration: repeated
// names, a key in two contracts, and references to declarations that it lacks.
func CheckReferences(set wire.Declarations) []Problem {
	c := &checker{}
	models := make(map[string]bool, len(set.Models))
	for i, d := range set.Models {
		c.at(KindModel, d.Name, i)
		c.once("name", d.Name, models)
	}
	pipelines, usesModel := make(map[string]bool, len(set.Pipelines)), make(map[string]bool)
	for i, d := range set.Pipelines {
		c.at(KindPipeline, d.Name, i)
		c.once("name", d.Name, pipelines)
		for _, s := range d.Stages {
			usesModel[d.Name] = usesModel[d.Name] || s.UsesModel
		}
	}
	services := make(map[string]bool, len(set.UpstreamPolicies))
	for i, d := range set.UpstreamPolicies {
		c.at(KindUpstreamPolicy, d.Service, i)
		c.once("service", d.Service, services)
	}
	workspaces, owners := make(map[string]bool, len(set.Contracts)), make(map[string]string)
	for i, d := range set.Contracts {
		c.at(KindContract, d.Workspace, i)
		c.once("workspace", d.Workspace, workspaces)
		c.owners(d, owners)
		c.uses(d, pipelines, usesModel, models)
	}
	return c.problems
}

func (c *checker) once(field, name string, seen map[string]bool) {
	if seen[name] {
		c.fail(field, "each "+c.kind+" once", "a second "+strconv.Quote(name))
	}
	seen[name] = true
}

func (c *checker) owners(d wire.Contract, owners map[string]string) {
	for i, k := range d.Keys {
		owner, taken := owners[k.Sha256]
		if taken && owner != d.Workspace {
			c.fail(fmt.Sprintf("keys[%d].sha256", i), "a key of one workspace", "a key of "+strconv.Quote(owner))
		}
		owners[k.Sha256] = d.Workspace
	}
}

func (c *checker) uses(d wire.Contract, pipelines, usesModel, models map[string]bool) {
	for i, p := range d.Pipelines {
		path := fmt.Sprintf("pipelines[%d]", i)
		if !pipelines[p] {
			c.fail(path, "a declared pipeline", strconv.Quote(p))
		}
		if usesModel[p] && len(d.Models) == 0 {
			c.fail("models", "at least one model, since pipeline "+strconv.Quote(p)+" uses one", "none")
		}
	}
	for i, m := range d.Models {
		if !models[m] {
			c.fail(fmt.Sprintf("models[%d]", i), "a declared model", strconv.Quote(m))
		}
	}
}
