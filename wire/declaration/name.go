// Package declaration reads, checks and compares the declarations that operators keep under version
// control: contracts, pipelines, upstream policies and models.
package declaration

import "regexp"

// NameRule says in words what IsName takes.
const NameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

// HashRule says in words what IsHash takes.
const HashRule = "64 lower-case hexadecimal digits (SHA-256)"

var (
	name = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
	hash = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// IsName reports whether s may name an instance, zone, region, workspace, pipeline, stage, service,
// upstream, model or key.
func IsName(s string) bool { return name.MatchString(s) }

// IsHash reports whether s has the form of a SHA-256 in lower-case hexadecimal digits.
func IsHash(s string) bool { return hash.MatchString(s) }
