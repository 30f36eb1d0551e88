// Package lane draws a time line as SVG or HTML: one lane (column) for each instance, one row for each event, and a
// connecting line where a request moves from one instance to another.
package lane

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"plantainlane/wire"
	"plantainlane/wire/timeline"
)

// Sizes in pixels, except labelLength, which is the maximum number of characters of an event's label, and clockLayout,
// which is the format of an event's time.
const (
	laneWidth   = 260
	rowHeight   = 22
	timeWidth   = 130
	headHeight  = 40
	dotRadius   = 4
	labelOffset = 10
	labelLength = 40
	clockLayout = "15:04:05.000"
)

// style is the style sheet of a drawing.
const style = `text{font:11px monospace;fill:#222}.head{font-weight:bold;font-size:13px}.time{fill:#777}` +
	`.lane{stroke:#ccc}.row{stroke:#f2f2f2}.next{stroke:#7a9cc6;fill:none}.dot{fill:#2b5f9e}.bad{fill:#b3261e}`

// WriteSVG draws events as SVG, in the order given, which must be causal.
func WriteSVG(w io.Writer, events []wire.Event) error {
	var b strings.Builder
	lanes := laneNames(events)
	width, height := timeWidth+laneWidth*max(1, len(lanes)), headHeight+rowHeight*(len(events)+1)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" viewBox="0 0 %d %d">`, width, height, width, height)
	fmt.Fprintf(&b, "<style>%s</style>\n", style)
	for i, name := range lanes {
		x := laneX(i)
		fmt.Fprintf(&b, `<text class="head" x="%d" y="20">%s</text><line class="lane" x1="%d" y1="28" x2="%d" y2="%d"/>`+"\n",
			x-dotRadius, html.EscapeString(name), x, x, height)
	}
	writeLinks(&b, events, lanes)
	for i, e := range events {
		writeEvent(&b, i, slices.Index(lanes, e.Instance), e)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write SVG")
}

// WriteHTML draws events as a self-contained HTML page, in the order given, which must be causal.
func WriteHTML(w io.Writer, title string, events []wire.Event) error {
	_, err := fmt.Fprintf(w, "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>%s</title></head>\n<body><h1>%s</h1>\n",
		html.EscapeString(title), html.EscapeString(title))
	if err != nil {
		return errors.Wrap(err, "write page")
	}
	if err := WriteSVG(w, events); err != nil {
		return err
	}
	_, err = io.WriteString(w, "</body></html>\n")
	return errors.Wrap(err, "write page")
}

// laneNames returns the sorted IDs of the instances that have events.
func laneNames(events []wire.Event) []string {
	var lanes []string
	for _, e := range events {
		lanes = append(lanes, e.Instance)
	}
	slices.Sort(lanes)
	return slices.Compact(lanes)
}

// laneX returns the x coordinate of a lane's line.
func laneX(lane int) int { return timeWidth + laneWidth*lane + labelOffset }

// rowY returns the y coordinate of the middle of a row.
func rowY(row int) int { return headHeight + rowHeight*(row+1) - rowHeight/2 }

// writeEvent draws an event's time, dot and label. An event whose kind contains "refuse" or "fail", in any case, has
// a dot of the class "bad". The tooltip shows the whole event.
func writeEvent(b *strings.Builder, row, lane int, e wire.Event) {
	x, y, label := laneX(lane), rowY(row), timeline.Label(e)
	class := "dot"
	if strings.Contains(strings.ToLower(e.Kind), "refuse") || strings.Contains(strings.ToLower(e.Kind), "fail") {
		class += " bad"
	}
	shortened := []rune(label)
	if len(shortened) > labelLength {
		shortened = append(shortened[:labelLength-1], '…')
	}
	clock := time.UnixMilli(int64(e.Time.WallMs)).UTC().Format(clockLayout)
	fmt.Fprintf(b, `<text class="time" x="4" y="%d">%s</text>`, y+dotRadius, clock)
	fmt.Fprintf(b, `<g><title>%s</title><circle class="%s" cx="%d" cy="%d" r="%d"/><text x="%d" y="%d">%s</text></g>`+"\n",
		html.EscapeString(timeline.Line(e)), class, x, y, dotRadius, x+labelOffset, y+dotRadius, html.EscapeString(string(shortened)))
}

// writeLinks draws a line between consecutive events of a request that are in different lanes.
func writeLinks(b *strings.Builder, events []wire.Event, lanes []string) {
	last := make(map[string]int)
	for i, e := range events {
		if e.Request == nil {
			continue
		}
		if j, ok := last[*e.Request]; ok && events[j].Instance != e.Instance {
			from, to := slices.Index(lanes, events[j].Instance), slices.Index(lanes, e.Instance)
			fmt.Fprintf(b, `<line class="next" x1="%d" y1="%d" x2="%d" y2="%d"/>`+"\n", laneX(from), rowY(j), laneX(to), rowY(i))
		}
		last[*e.Request] = i
	}
}
