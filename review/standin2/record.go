package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, a line each.
type record struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// at returns a time in seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

func (r *record) list(times []time.Time) string {
	list := make([]string, 0, len(times))
	for _, t := range times {
		list = append(list, fmt.Sprintf("%.3f", r.at(t)))
	}
	return strings.Join(list, ", ")
}
