// Package jmtrace finds the lines about one request or flow in the logs of many processes.
package jmtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLine bounds a line of a log in bytes.
	maxLine = 1 << 20
	// margin extends the time from the first to the last line about a request's
	// flows, at both ends. A line about no flow, such as of a restart or of a lost
	// platform, is included if it was written within the extended time.
	margin = 3 * time.Second
)

// Line is one line of a log. Fields holds its other fields, except for the level.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Flow     string            `json:",omitempty"`
	Request  string            `json:",omitempty"`
	Fields   map[string]string `json:",omitempty"`
}

// Trace holds the lines of the logs about a request, or about a flow if Request is empty.
type Trace struct {
	Request string `json:",omitempty"`
	// Flows are the flows that carried the request, in the order of their first line.
	Flows []string
	// Lines are the lines about the flows, and the lines about no flow that the
	// processes on the flows' path wrote at about the same time, ordered by time.
	Lines []Line
	// LeftOut counts the lines that these processes left out of their logs at about
	// that time.
	LeftOut int
	// Unreadable counts the lines whose LeftOut is not a number.
	Unreadable int
}

// Read reads a log with one JSON object a line. It ignores text before the object,
// and counts the lines that it can't parse as unreadable.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, err := parse(scanner.Bytes())
		if err != nil {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, eris.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (l Line, err error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return l, eris.New("no JSON object")
	}
	var fields map[string]any
	if err = json.Unmarshal(text[start:], &fields); err != nil {
		return l, err
	}
	l.Fields = make(map[string]string)
	for name, value := range fields {
		switch name {
		case "time":
			if l.Time, err = time.Parse(time.RFC3339Nano, fmt.Sprint(value)); err != nil {
				return l, err
			}
		case "msg":
			l.Message = fmt.Sprint(value)
		case "Instance":
			l.Instance = fmt.Sprint(value)
		case "Flow":
			l.Flow = fmt.Sprint(value)
		case "Request":
			l.Request = fmt.Sprint(value)
		case "level":
		default:
			l.Fields[name] = fmt.Sprint(value)
		}
	}
	return l, nil
}

// Find returns the lines about a request. It fails if no line names the request.
func Find(lines []Line, request string) (t *Trace, err error) {
	t = &Trace{Request: request}
	for _, l := range lines {
		if l.Request == request && !slices.Contains(t.Flows, l.Flow) {
			t.Flows = append(t.Flows, l.Flow)
		}
	}
	if len(t.Flows) == 0 {
		return nil, eris.Errorf("no line names request %s: it never reached a process, or its lines were left out", request)
	}
	t.add(lines)
	return t, nil
}

// FindFlow returns the lines about a flow, which is given by its key or by its caller's
// address and port, as a flow that is refused at its opening never carries a request. It
// fails if no line names the flow.
func FindFlow(lines []Line, flow string) (t *Trace, err error) {
	t = &Trace{}
	for _, l := range lines {
		caller, _, _ := strings.Cut(l.Flow, ">")
		if l.Flow != "" && (l.Flow == flow || caller == flow) && !slices.Contains(t.Flows, l.Flow) {
			t.Flows = append(t.Flows, l.Flow)
		}
	}
	if len(t.Flows) == 0 {
		return nil, eris.Errorf("no line names flow %s: it never reached a process, or its lines were left out", flow)
	}
	t.add(lines)
	return t, nil
}

// add adds the lines about the trace's flows, and those of their processes about no flow.
func (t *Trace) add(lines []Line) {
	span := t.span(lines)
	for _, l := range lines {
		isNear := span.covers(&l)
		switch {
		case slices.Contains(t.Flows, l.Flow):
			t.Lines = append(t.Lines, l)
		case isNear && l.Flow == "" && l.Fields["LeftOut"] != "":
			var n int
			if _, err := fmt.Sscan(l.Fields["LeftOut"], &n); err != nil {
				t.Unreadable++
			}
			t.LeftOut += n
		case isNear && l.Flow == "":
			t.Lines = append(t.Lines, l)
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// span is the set of processes that a request's flows passed through, and the
// time from the first line about these flows to the last.
type span struct {
	instances   map[string]bool
	first, last time.Time
}

// span returns the span of the trace's flows in the lines.
func (t *Trace) span(lines []Line) (covered span) {
	covered.instances = make(map[string]bool)
	for _, l := range lines {
		if !slices.Contains(t.Flows, l.Flow) {
			continue
		}
		covered.instances[l.Instance] = true
		if covered.first.IsZero() || l.Time.Before(covered.first) {
			covered.first = l.Time
		}
		if l.Time.After(covered.last) {
			covered.last = l.Time
		}
	}
	return covered
}

// covers reports whether a line was written by one of the processes and, within
// the margin, in that time.
func (s *span) covers(l *Line) bool {
	return s.instances[l.Instance] && !l.Time.Before(s.first.Add(-margin)) && !l.Time.After(s.last.Add(margin))
}

// Print writes the trace as text for people.
func (t *Trace) Print(w io.Writer) (err error) {
	var b strings.Builder
	if t.Request != "" {
		fmt.Fprintf(&b, "request %s on ", t.Request)
	} else {
		b.WriteString("flow ")
	}
	b.WriteString(strings.Join(t.Flows, ", ") + "\n")
	for i := range t.Lines {
		l := &t.Lines[i]
		fmt.Fprintf(&b, "%s  %-16s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
		if t.Request != "" && l.Request == t.Request {
			b.WriteString("  [this request]")
		}
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(&b, "  %s=%s", name, l.Fields[name])
		}
		b.WriteByte('\n')
	}
	if t.LeftOut > 0 {
		fmt.Fprintf(&b, "%d more lines were left out by these processes at that time\n", t.LeftOut)
	}
	_, err = io.WriteString(w, b.String())
	return err
}
