// Package declaration reads, checks and compares the declarations that operators keep under version
// control: contracts, pipelines, upstream policies and models.
package declaration

import "encoding/hex"

// NameRule says in words what IsName takes.
const NameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

// HashRule says in words what IsHash takes.
const HashRule = "64 lower-case hexadecimal digits (SHA-256)"

const (
	maxNameLength = 64
	hashLength    = 64
)

// IsName reports whether s may name an instance, zone, region, workspace, pipeline, stage, service,
// upstream, model or key.
func IsName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

// IsHash reports whether s has the form of a SHA-256 in lower-case hexadecimal digits.
func IsHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(s) == hashLength && hex.EncodeToString(b) == s
}
