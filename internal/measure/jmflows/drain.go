package jmflows

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// DrainStep is the time between two values of Result.Unanswered.
const DrainStep = 100 * time.Millisecond

// countUnanswered counts a request from when it was sent until it ends now, at most until
// its caller gives up.
func (r *Result) countUnanswered(w *World, q *request) {
	sent := q.sentAt.Sub(w.startedAt)
	ended := min(w.now.Sub(w.startedAt), sent+time.Duration(q.class.Deadline))
	for at := (sent + DrainStep - 1) / DrainStep; at*DrainStep < ended; at++ {
		for len(r.Unanswered) <= int(at) {
			r.Unanswered = append(r.Unanswered, 0)
		}
		r.Unanswered[at]++
	}
}

// PlotDrain writes an SVG plot of the requests that callers have sent and that are not
// answered: one panel for each scenario, one line for each policy.
func PlotDrain(w io.Writer, results []*Result) error { return plotPanels(w, results, plotDrainPanel) }

// drainColours are the colours of the policies of a panel, in the order of the results.
var drainColours = []string{productColour, otherColour, "#36c", "#888"}

func plotDrainPanel(b *strings.Builder, name string, results []*Result, top int) {
	bottom := top + plotHeight - plotMargin/2
	most, length := 1, 1
	for _, r := range results {
		if len(r.Unanswered) > 0 {
			most, length = max(most, slices.Max(r.Unanswered)), max(length, len(r.Unanswered))
		}
	}
	fmt.Fprintf(b, `<text x="%d" y="%d">%s: requests without an answer, at most %d, in %s</text>`+"\n",
		plotMargin, top+14, name, most, time.Duration(length)*DrainStep)
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="#999"/>`+"\n", plotMargin, top+plotMargin/2, bottom, plotWidth)
	for i, r := range results {
		colour := drainColours[i%len(drainColours)]
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="`, colour)
		for at, n := range r.Unanswered {
			x := float64(plotMargin) + float64(at*(plotWidth-plotMargin))/float64(length)
			fmt.Fprintf(b, "%.1f,%.1f ", x, float64(bottom)-float64(n)/float64(most)*float64(plotHeight-plotMargin))
		}
		b.WriteString("\"/>\n")
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotWidth-110, top+14+14*i, colour, r.Policy)
	}
}
