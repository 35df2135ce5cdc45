package jmtree

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a document.
type Fault struct {
	// Path is the document's path in the tree, as in Teams/rangla/shop-floor.
	Path string
	// Pointer is the JSON pointer of the wrong value, empty for the whole document.
	Pointer string
	// Line counts from 1. It is 0 where the fault has no place in a text.
	Line  int
	Cause string
}

// Error returns path, line, pointer and cause in one line.
func (f Fault) Error() string {
	place := f.Path
	if f.Line > 0 {
		place += ":" + strconv.Itoa(f.Line)
	}
	if f.Pointer != "" {
		place += " " + f.Pointer
	}
	return place + ": " + f.Cause
}

// document is one parsed text, kept for finding the lines of faults.
type document struct {
	path   string
	text   []byte
	syntax *hujson.Value
	faults []Fault
}

// parseDocument decodes a text, JSON with comments, into target. Unknown and
// doubled fields are faults.
func parseDocument(path, text string, target any) *document {
	d := &document{path: path, text: []byte(text)}
	syntax, err := hujson.Parse(d.text)
	if err != nil {
		d.faults = append(d.faults, Fault{Path: path, Line: lineInError(err), Cause: err.Error()})
		return d
	}
	d.syntax = &syntax
	d.findDoubledFields(&syntax, "")
	if err = decode(&syntax, target); err != nil {
		pointer, cause := locate(&syntax, reflect.TypeOf(target).Elem(), "", err)
		d.add(pointer, "%s", describe(cause))
	}
	return d
}

// add records a fault at a JSON pointer.
func (d *document) add(pointer, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		Path:    d.path,
		Pointer: pointer,
		Line:    d.lineOf(pointer),
		Cause:   fmt.Sprintf(format, args...),
	})
}

func (d *document) lineOf(pointer string) int {
	if d.syntax == nil {
		return 0
	}
	for {
		if v := d.syntax.Find(pointer); v != nil {
			return d.lineAt(v.StartOffset)
		}
		cut := strings.LastIndexByte(pointer, '/')
		if cut < 0 {
			return 1
		}
		pointer = pointer[:cut]
	}
}

func (d *document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

var lineText = regexp.MustCompile(`line (\d+)`)

func lineInError(err error) int {
	match := lineText.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

// findDoubledFields reports fields that an object has twice: the decoder would
// take the last one without a word.
func (d *document) findDoubledFields(v *hujson.Value, pointer string) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool)
		for i := range node.Members {
			m := &node.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			if seen[strings.ToLower(name)] {
				d.add(pointer, "field %q stands twice", name)
			}
			seen[strings.ToLower(name)] = true
			d.findDoubledFields(&m.Value, pointer+"/"+name)
		}
	case *hujson.Array:
		for i := range node.Elements {
			d.findDoubledFields(&node.Elements[i], pointer+"/"+strconv.Itoa(i))
		}
	}
}
