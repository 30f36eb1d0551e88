package instance

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
)

// encodingGzip is the wire.Site encoding of compressed documents.
const encodingGzip = "gzip"

// maxDocumentBytes is the largest size of a document that is read, so that a damaged one doesn't take the memory of the
// instance. It is that of the largest change.
const maxDocumentBytes = 64 << 20

// errBadDocument reports a site whose document can't be read.
var errBadDocument = errors.New("instance: malformed document of a site")

// compressed returns a site with a compressed document, or the same site if that isn't smaller. The document is sent to
// each instance and kept in the control log: with thousands of routes, the leader's link would otherwise be taken for
// longer than its followers wait for a heartbeat.
func compressed(s wire.Site) wire.Site {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(s.Document)
	if closeErr := w.Close(); err != nil || closeErr != nil || b.Len() >= len(s.Document) {
		return s
	}
	encoding := encodingGzip
	return wire.Site{Version: s.Version, Document: b.Bytes(), Encoding: &encoding}
}

// documents keeps the text of the document that was read last, so that concurrent reads of one share a copy of it. It is safe for concurrent
// use.
type documents struct {
	mu   sync.Mutex
	last wire.Site
	text []byte
}

// documentOf returns the text of a site's document, which must not be changed. It returns errBadDocument if the document can't be read.
func (d *documents) documentOf(s *wire.Site) ([]byte, error) {
	if s.Encoding == nil {
		return s.Document, nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.text != nil && s.Version == d.last.Version && bytes.Equal(s.Document, d.last.Document) {
		return d.text, nil
	}
	text, err := documentOf(s)
	if err != nil {
		return nil, err
	}
	d.last, d.text = *s, text
	return text, nil
}

// documentOf returns the document of a site as the operator wrote it. It returns errBadDocument if the document can't be
// read.
func documentOf(s *wire.Site) ([]byte, error) {
	if s.Encoding == nil {
		return s.Document, nil
	}
	if *s.Encoding != encodingGzip {
		return nil, errors.Wrapf(errBadDocument, "version %d: unknown encoding %q", s.Version, *s.Encoding)
	}
	r, err := gzip.NewReader(bytes.NewReader(s.Document))
	if err != nil {
		return nil, errors.Wrapf(errBadDocument, "version %d: %v", s.Version, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrapf(errBadDocument, "version %d: %v", s.Version, err)
	case len(text) > maxDocumentBytes:
		return nil, errors.Wrapf(errBadDocument, "version %d: more than %d bytes", s.Version, maxDocumentBytes)
	}
	return text, nil
}
