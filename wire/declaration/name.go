// Package declaration reads, checks and compares the declarations of operators: contracts, pipelines, upstream policies
// and models.
package declaration

import "encoding/hex"

// NameRule describes the names that IsName accepts.
const NameRule = "1 to 64 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"

// HashRule describes the hashes that IsHash accepts.
const HashRule = "64 lower-case hexadecimal digits (SHA-256)"

const (
	maxNameLength = 64
	hashLength    = 64
)

// IsName reports whether s is a valid name of an instance, zone, region, workspace, pipeline, stage, service, upstream,
// model, adapter or key.
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

// IsHash reports whether s is a SHA-256 hash in lower-case hexadecimal digits.
func IsHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(s) == hashLength && hex.EncodeToString(b) == s
}
