// Package credential checks the bearer credentials of callers, upstreams and operators against stored
// hashes, in a time that doesn't depend on how far they match.
package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// Scheme is what comes before a credential in the Authorization header.
const Scheme = "Bearer "

// Bearer returns the credential of a request; ok is false, and the credential empty, if there is none.
func Bearer(r *http.Request) (secret string, ok bool) {
	secret, ok = strings.CutPrefix(r.Header.Get("Authorization"), Scheme)
	if !ok || secret == "" {
		return "", false
	}
	return secret, true
}

// Hash returns the form in which a credential is stored: lower-case hexadecimal SHA-256.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Matches tells whether a credential's hash equals a stored one.
func Matches(hash, stored string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(stored)) == 1
}
