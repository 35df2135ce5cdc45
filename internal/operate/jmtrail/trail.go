// Package jmtrail finds the story of one request in the logs of many processes.
package jmtrail

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
	// around is how long before and after the request what befell the processes
	// themselves belongs to its story.
	around = 3 * time.Second
)

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Flow     string            `json:",omitempty"`
	Request  string            `json:",omitempty"`
	Fields   map[string]string `json:",omitempty"`
}

// Story is what the logs say of a request.
type Story struct {
	Request string
	// Flows are those that carried the request, in the order of their first line.
	Flows []string
	// Lines are those of the flows, and those of the processes on their way in
	// the time around.
	Lines []Line
	// LeftOut counts the lines that the processes did not write in that time.
	LeftOut int
	// Unreadable counts the lines that are no JSON.
	Unreadable int
}

// Read reads a log: one JSON object a line, with anything before it.
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
	at := bytes.IndexByte(text, '{')
	if at < 0 {
		return l, eris.New("no JSON object")
	}
	var fields map[string]any
	if err = json.Unmarshal(text[at:], &fields); err != nil {
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

// Find returns the story of a request. It fails if no line names the request.
func Find(lines []Line, request string) (s *Story, err error) {
	s = &Story{Request: request}
	for _, l := range lines {
		if l.Request == request && !slices.Contains(s.Flows, l.Flow) {
			s.Flows = append(s.Flows, l.Flow)
		}
	}
	if len(s.Flows) == 0 {
		return nil, eris.Errorf("no line names request %s: it never reached a process, or its lines were left out", request)
	}
	path := s.path(lines)
	for _, l := range lines {
		isNear := path.isNear(&l)
		switch {
		case slices.Contains(s.Flows, l.Flow):
			s.Lines = append(s.Lines, l)
		case isNear && l.Flow == "" && l.Fields["LeftOut"] != "":
			var n int
			if _, err := fmt.Sscan(l.Fields["LeftOut"], &n); err != nil {
				s.Unreadable++
			}
			s.LeftOut += n
		case isNear && l.Flow == "":
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// path is the processes that a request's flows went through, and when.
type path struct {
	instances   map[string]bool
	first, last time.Time
}

func (s *Story) path(lines []Line) (p path) {
	p.instances = make(map[string]bool)
	for _, l := range lines {
		if !slices.Contains(s.Flows, l.Flow) {
			continue
		}
		p.instances[l.Instance] = true
		if p.first.IsZero() || l.Time.Before(p.first) {
			p.first = l.Time
		}
		if l.Time.After(p.last) {
			p.last = l.Time
		}
	}
	return p
}

func (p *path) isNear(l *Line) bool {
	return p.instances[l.Instance] && !l.Time.Before(p.first.Add(-around)) && !l.Time.After(p.last.Add(around))
}

// Print writes the story for people.
func (s *Story) Print(w io.Writer) (err error) {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on %s\n", s.Request, strings.Join(s.Flows, ", "))
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(&b, "%s  %-16s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
		if l.Request == s.Request {
			b.WriteString("  [this request]")
		}
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			fmt.Fprintf(&b, "  %s=%s", name, l.Fields[name])
		}
		b.WriteByte('\n')
	}
	if s.LeftOut > 0 {
		fmt.Fprintf(&b, "%d more lines were left out by these processes at that time\n", s.LeftOut)
	}
	_, err = io.WriteString(w, b.String())
	return err
}
