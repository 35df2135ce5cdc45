package jmflows

import (
	"fmt"
	"io"
	"strings"
)

// Sizes of a plot in SVG user units.
const (
	plotWidth  = 720
	plotHeight = 160
	plotMargin = 40
)

// Colours of the policies.
const (
	productColour = "#1a6"
	otherColour   = "#c52"
)

// Plot writes an SVG plot of the share of the worth that was earned in each window:
// one panel for each scenario, one line for each policy.
func Plot(w io.Writer, results []*Result) error { return plotPanels(w, results, plotPanel) }

// plotPanels writes an SVG plot with a panel for each scenario, which draw writes at an
// offset from the top.
func plotPanels(w io.Writer, results []*Result, draw func(b *strings.Builder, name string, results []*Result, top int)) (err error) {
	var names []string
	panels := make(map[string][]*Result)
	for _, r := range results {
		if panels[r.Scenario] == nil {
			names = append(names, r.Scenario)
		}
		panels[r.Scenario] = append(panels[r.Scenario], r)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		plotWidth, len(names)*plotHeight)
	for i, name := range names {
		draw(&b, name, panels[name], i*plotHeight)
	}
	b.WriteString("</svg>\n")
	_, err = io.WriteString(w, b.String())
	return err
}

func plotPanel(b *strings.Builder, name string, results []*Result, top int) {
	bottom := top + plotHeight - plotMargin/2
	fmt.Fprintf(b, `<text x="%d" y="%d">%s: worth of the requests sent in each %s</text>`+"\n", plotMargin, top+14, name, windowLength)
	fmt.Fprintf(b, `<path d="M%d %dV%dH%d" fill="none" stroke="#999"/>`+"\n", plotMargin, top+plotMargin/2, bottom, plotWidth)
	for i, r := range results {
		colour := otherColour
		if r.Policy == Product.Name {
			colour = productColour
		}
		fmt.Fprintf(b, `<polyline fill="none" stroke="%s" points="`, colour)
		for at, window := range r.Windows {
			if window.Owed == 0 {
				continue
			}
			x := plotMargin + at*(plotWidth-plotMargin)/len(r.Windows)
			y := float64(bottom) - window.Earned/window.Owed*float64(plotHeight-plotMargin)
			fmt.Fprintf(b, "%d,%.1f ", x, y)
		}
		b.WriteString("\"/>\n")
		fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s %.3f</text>`+"\n", plotWidth-110, top+14+14*i, colour, r.Policy, r.Worth)
	}
}
