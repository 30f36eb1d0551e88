package instance

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestLargeDocumentHoldsUpHeartbeats guards against a document of a thousand routes that is sent to each of two hundred
// instances in full: over a link of 100 Mbit/s that takes several seconds.
func TestLargeDocumentHoldsUpHeartbeats(t *testing.T) {
	is := is.New(t)
	var routes []string
	for i := range 1014 {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%x","host":"h%d.example","path_prefix":"/p%x/","route_type":"streaming","timeout_ms":15000,"priority":%d,"service":"s%d"}`,
			i*2654435761, i%7, i*40503, i%3, i%5))
	}
	text := `{"version":59,"routes":[` + strings.Join(routes, ",") + `]}`
	s := compressed(wire.Site{Version: 59, Document: []byte(text)})
	const (
		instances     = 210
		linkBytes     = 100e6 / 8
		heartbeatTime = 0.3 // seconds
	)
	is.True(float64(instances*len(s.Document))/linkBytes < heartbeatTime)
	got, err := documentOf(&s)
	is.NoErr(err)
	is.Equal(string(got), text)
}

// TestMalformedDocumentIsRead guards against a damaged document that is taken for a whole one.
func TestMalformedDocumentIsRead(t *testing.T) {
	is := is.New(t)
	whole := compressed(wire.Site{Version: 1, Document: []byte(strings.Repeat("routes ", 100))})
	unknown := "other"
	for _, s := range []wire.Site{
		{Document: whole.Document[:len(whole.Document)-1], Encoding: whole.Encoding},
		{Document: []byte("routes"), Encoding: whole.Encoding},
		{Document: whole.Document, Encoding: &unknown},
	} {
		_, err := documentOf(&s)
		is.True(errors.Is(err, errBadDocument))
	}
	// A short document, and one of an earlier version, stand as they are.
	short := compressed(wire.Site{Version: 1, Document: []byte("x")})
	is.True(short.Encoding == nil)
	got, err := documentOf(&short)
	is.NoErr(err)
	is.Equal(string(got), "x")
}

// TestReadsOfOneDocumentTakeMemory guards against concurrent reads of a configuration that each hold a copy of it, as long as their callers
// don't read the answers.
func TestReadsOfOneDocumentTakeMemory(t *testing.T) {
	is := is.New(t)
	var d documents
	first := compressed(wire.Site{Version: 1, Document: []byte(strings.Repeat("routes ", 100))})
	a, err := d.documentOf(&first)
	is.NoErr(err)
	again := compressed(wire.Site{Version: 1, Document: []byte(strings.Repeat("routes ", 100))})
	b, err := d.documentOf(&again)
	is.NoErr(err)
	is.True(&a[0] == &b[0])
	other := compressed(wire.Site{Version: 2, Document: []byte(strings.Repeat("others ", 100))})
	c, err := d.documentOf(&other)
	is.NoErr(err)
	is.Equal(string(c), strings.Repeat("others ", 100))
}
