package lane

import (
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"plantainlane/wire"
)

// TestWriteHTML counts what is drawn and guards against text of events that isn't escaped, which would inject HTML or
// make the SVG malformed.
func TestWriteHTML(t *testing.T) {
	is := is.New(t)
	request, detail := "r1", `<script>"&`
	events := []wire.Event{
		{Time: wire.HLC{WallMs: 1}, Instance: "b", Kind: "requestArrived", Request: &request},
		{Time: wire.HLC{WallMs: 2}, Instance: "a", Kind: "claimRefused", Request: &request, Detail: &detail},
		{Time: wire.HLC{WallMs: 3}, Instance: "b", Kind: "answered", Request: &request},
	}
	var b strings.Builder
	is.NoErr(WriteHTML(&b, "time line", events))
	page := b.String()
	is.Equal(strings.Count(page, `class="head"`), 2) // lanes
	is.Equal(strings.Count(page, "<circle"), 3)
	is.Equal(strings.Count(page, `class="next"`), 2)
	is.Equal(strings.Count(page, `class="dot bad"`), 1)
	is.True(!strings.Contains(page, "<script>"))

	b.Reset()
	is.NoErr(WriteSVG(&b, events))
	d := xml.NewDecoder(strings.NewReader(b.String()))
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err) // well-formed
	}
	is.NoErr(WriteSVG(io.Discard, nil))
}
