package report

import (
	"fmt"
	"html"
	"io"
	"strings"
)

// Sizes in the plot, in pixels.
const (
	plotWidth   = 900
	panelHeight = 220
	margin      = 60
)

// colours are the line colours of reports, by index.
var colours = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"}

// panel maps the values of one diagram to pixels.
type panel struct {
	top      float64 // in pixels from the top of the plot
	seconds  int     // length of the time axis
	maxValue float64 // value at the top of the panel
}

// x returns the horizontal position of a time of the run.
func (p panel) x(second float64) float64 {
	return margin + second*(plotWidth-2*margin)/float64(max(p.seconds, 1))
}

// y returns the vertical position of a value. Values grow upwards, pixels downwards.
func (p panel) y(v float64) float64 { return p.top + panelHeight - v/p.maxValue*panelHeight }

// WriteSVG draws attainment and goodput by second of arrival, one line for each report. Offered requests and faults
// are those of the first report.
func WriteSVG(w io.Writer, reports []Report) error {
	if len(reports) == 0 {
		return nil
	}
	maxOffered := 1.0
	for _, r := range reports {
		for _, s := range r.Seconds {
			maxOffered = max(maxOffered, float64(s.Offered))
		}
	}
	seconds := len(reports[0].Seconds)
	attainment := panel{margin, seconds, 1}
	goodput := panel{margin*2 + panelHeight, seconds, maxOffered}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, 3*margin+2*panelHeight)
	b.WriteString(`<rect width="100%" height="100%" fill="white"/>` + "\n")
	drawAxes(&b, attainment, "attainment by second of arrival")
	drawAxes(&b, goodput, "offered requests (dashed) and complete answers within the deadline, per second")
	offered := make([]float64, seconds)
	for i, s := range reports[0].Seconds {
		offered[i] = float64(s.Offered)
	}
	drawLine(&b, goodput, offered, "#777", "4 3")
	for i, r := range reports {
		drawReport(&b, r, colours[i%len(colours)], attainment, goodput)
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", margin+i*160, 20, colours[i%len(colours)], html.EscapeString(r.Policy))
	}
	for _, f := range reports[0].Faults {
		drawFault(&b, f, attainment, goodput)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// drawReport draws the attainment and goodput of one report.
func drawReport(b *strings.Builder, r Report, colour string, attainment, goodput panel) {
	ratios, whole := make([]float64, len(r.Seconds)), make([]float64, len(r.Seconds))
	for i, s := range r.Seconds {
		ratios[i] = ratio(float64(s.Whole), float64(s.Offered))
		whole[i] = float64(s.Whole)
	}
	drawLine(b, attainment, ratios, colour, "")
	drawLine(b, goodput, whole, colour, "")
}

// drawAxes draws the title, frame and labels of a panel.
func drawAxes(b *strings.Builder, p panel, title string) {
	fmt.Fprintf(b, `<text x="%d" y="%.0f">%s</text>`+"\n", margin, p.top-8, title)
	fmt.Fprintf(b, `<rect x="%d" y="%.0f" width="%d" height="%d" fill="none" stroke="#999"/>`+"\n",
		margin, p.top, plotWidth-2*margin, panelHeight)
	for i := range 5 {
		v := p.maxValue * float64(i) / 4
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%.4g</text>`+"\n", margin-6, p.y(v)+4, v)
	}
	for s := 0; s <= p.seconds; s += max(p.seconds/10, 1) {
		fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="middle">%d s</text>`+"\n", p.x(float64(s)), p.top+panelHeight+16, s)
	}
}

// drawLine draws values by second as one line; dash is an SVG dash pattern, empty for a solid line.
func drawLine(b *strings.Builder, p panel, values []float64, colour, dash string) {
	points := make([]string, 0, len(values))
	for i, v := range values {
		points = append(points, fmt.Sprintf("%.1f,%.1f", p.x(float64(i)+0.5), p.y(v)))
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="1.5" stroke-dasharray="%s" points="%s"/>`+"\n",
		colour, dash, strings.Join(points, " "))
}

// drawFault draws a vertical line at the time of a fault in each panel, with its text in the first.
func drawFault(b *strings.Builder, f FaultLine, panels ...panel) {
	for _, p := range panels {
		x := p.x(float64(f.AtMs) / 1000)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%.0f" y2="%.0f" stroke="#e67e22" stroke-dasharray="2 2"/>`+"\n",
			x, x, p.top, p.top+panelHeight)
	}
	fmt.Fprintf(b, `<text x="%.1f" y="%.0f" fill="#e67e22" font-size="10">%s</text>`+"\n",
		panels[0].x(float64(f.AtMs)/1000)+3, panels[0].top+12, html.EscapeString(f.What))
}
