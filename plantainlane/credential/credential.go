// Package credential checks the bearer credentials of callers, upstreams, operators and other instances against their
// hashes, in constant time.
package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

// Scheme is the prefix of a credential in the Authorization header, with the space that follows the scheme's name.
const Scheme = "Bearer "

// Bearer returns the bearer credential of a request. If there is none, ok is false and secret is empty.
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

// Matches reports whether the hash of a credential equals a stored hash. The time that it takes doesn't depend on the
// number of characters that match.
func Matches(hash, stored string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(stored)) == 1
}
