package state

import (
	"plantainlane/plantainlane/table"
	"plantainlane/wire"
	"plantainlane/wire/declaration"
)

// Config holds the declarations in force at a revision. It is immutable.
type Config struct {
	// Revision counts accepted change sets. It never decreases.
	Revision int
	// Contracts by workspace.
	Contracts table.Table[*wire.Contract]
	// Pipelines by name.
	Pipelines table.Table[*wire.Pipeline]
	// Policies by service.
	Policies table.Table[*wire.UpstreamPolicy]
	// Models by name.
	Models table.Table[*wire.Model]
	// Site is the site in force; nil while there is none. Its version never decreases.
	Site *wire.Site
	// Evacuations holds the state of each availability zone for which there was an order, by zone. The version of a zone's
	// state never decreases.
	Evacuations table.Table[wire.Evacuation]
}

// With returns the configuration after a change set, at the given revision: remove is applied before set, and a site is
// replaced only by one of a higher version.
func (c Config) With(set wire.Declarations, remove []wire.DeclarationName, revision int) Config {
	c.Revision = revision
	for _, n := range remove {
		c = c.without(n)
	}
	for i := range set.Contracts {
		c.Contracts = c.Contracts.With(set.Contracts[i].Workspace, &set.Contracts[i])
	}
	for i := range set.Pipelines {
		c.Pipelines = c.Pipelines.With(set.Pipelines[i].Name, &set.Pipelines[i])
	}
	for i := range set.UpstreamPolicies {
		c.Policies = c.Policies.With(set.UpstreamPolicies[i].Service, &set.UpstreamPolicies[i])
	}
	for i := range set.Models {
		c.Models = c.Models.With(set.Models[i].Name, &set.Models[i])
	}
	if set.Site != nil && (c.Site == nil || set.Site.Version > c.Site.Version) {
		c.Site = set.Site
	}
	return c
}

// without returns the configuration with one declaration removed.
func (c Config) without(n wire.DeclarationName) Config {
	switch n.Kind {
	case declaration.KindContract:
		c.Contracts = c.Contracts.Without(n.Name)
	case declaration.KindPipeline:
		c.Pipelines = c.Pipelines.Without(n.Name)
	case declaration.KindUpstreamPolicy:
		c.Policies = c.Policies.Without(n.Name)
	case declaration.KindModel:
		c.Models = c.Models.Without(n.Name)
	}
	return c
}

// Declarations returns all declarations.
func (c Config) Declarations() wire.Declarations {
	out := c.Shared()
	out.Contracts = values(c.Contracts)
	out.Site = c.Site
	return out
}

// Shared returns the declarations that contracts refer to and that belong to no workspace: pipelines, upstream
// policies and models.
func (c Config) Shared() wire.Declarations {
	return wire.Declarations{
		Contracts:        []wire.Contract{},
		Pipelines:        values(c.Pipelines),
		UpstreamPolicies: values(c.Policies),
		Models:           values(c.Models),
	}
}

// values returns the values of a table, as a slice that is never nil.
func values[V any](t table.Table[*V]) []V {
	out := make([]V, 0, t.Len())
	for _, v := range t.All() {
		out = append(out, *v)
	}
	return out
}
