package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"
	"strings"
)

const (
	// exactPrefix begins the part that stands for a request as a whole. No part that a caller states begins with it.
	exactPrefix = "request:"
	// outlineBytes and exactBytes are the lengths of the hashes in such a part.
	outlineBytes = 8
	exactBytes   = 16
)

// Exact is what a request has in common only with its own repeats. Its ID is a part like those of a prompt.
type Exact struct {
	// Head is what is known of a request before its body is read, for instance its method, path and caller.
	Head []string
	// Content is the rest that tells the request from others, but for Body.
	Content []string
	Body    []byte
	// id is the ID once it was computed; empty before.
	id string
}

// ID returns the part that stands for the request: equal for equal requests. It reads the whole body when it is first called.
// It is to be called by one goroutine at a time.
func (e *Exact) ID() string {
	if e.id == "" {
		sum := sha256.New()
		writeTexts(sum, e.Content)
		sum.Write(e.Body)
		e.id = e.outline() + "-" + hex.EncodeToString(sum.Sum(nil)[:exactBytes])
	}
	return e.id
}

// outline returns the start of the ID, which depends on the head only.
func (e *Exact) outline() string {
	sum := sha256.New()
	writeTexts(sum, e.Head)
	return exactPrefix + hex.EncodeToString(sum.Sum(nil)[:outlineBytes])
}

// writeTexts writes texts to a hash so that different lists of texts differ.
func writeTexts(h hash.Hash, texts []string) {
	for _, text := range texts {
		h.Write([]byte(strconv.Quote(text)))
	}
}

// isExact reports whether a part stands for a request as a whole.
func isExact(part string) bool { return strings.HasPrefix(part, exactPrefix) }

// outlineOf returns the outline of the requests that a part stands for, see isExact.
func outlineOf(part string) string {
	outline, _, _ := strings.Cut(part, "-")
	return outline
}
