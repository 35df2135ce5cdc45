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

// Fault is one error in a document or a subtree.
type Fault struct {
	// Path is the path of the document or subtree, as in Teams/rangla/shop-floor.
	Path string
	// Pointer is the JSON pointer of the wrong value, empty for the whole document
	// or subtree.
	Pointer string
	// Line counts from 1. It is 0 if the fault has no position in a text.
	Line  int
	Cause string
}

// Error returns path, line, pointer and cause in one line.
func (f Fault) Error() string {
	location := f.Path
	if f.Line > 0 {
		location += ":" + strconv.Itoa(f.Line)
	}
	if f.Pointer != "" {
		location += " " + f.Pointer
	}
	return location + ": " + f.Cause
}

// document is a parsed document. Its text and syntax tree give the lines of faults.
type document struct {
	path   string
	text   []byte
	syntax *hujson.Value
	faults []Fault
}

// parseDocument decodes a document's text, JSON with comments, into target.
// Unknown and duplicate fields are faults.
func parseDocument(path, text string, target any) *document {
	d := &document{path: path, text: []byte(text)}
	syntax, err := hujson.Parse(d.text)
	if err != nil {
		d.faults = append(d.faults, Fault{Path: path, Line: lineInError(err), Cause: err.Error()})
		return d
	}
	d.syntax = &syntax
	d.findDuplicateFields(&syntax, "")
	if err = decode(&syntax, target); err != nil {
		pointer, cause := locate(&syntax, reflect.TypeOf(target).Elem(), "", err)
		d.add(pointer, "%s", describe(cause))
	}
	return d
}

// add appends a fault of the value at a JSON pointer.
func (d *document) add(pointer, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		Path:    d.path,
		Pointer: pointer,
		Line:    d.lineOf(pointer),
		Cause:   fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of the value at a JSON pointer. If there is no such
// value, it returns the line of the innermost object or array that would hold it.
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

// lineAt returns the line of a byte offset in the text.
func (d *document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte("\n"))
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// lineInError returns the line that a syntax error names, or else 1.
func lineInError(err error) int {
	match := linePattern.FindStringSubmatch(err.Error())
	if match == nil {
		return 1
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

// findDuplicateFields adds a fault for each field that an object has twice, in any
// letter case, as the decoder would silently use the last one.
func (d *document) findDuplicateFields(v *hujson.Value, pointer string) {
	switch node := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool)
		for i := range node.Members {
			m := &node.Members[i]
			name := m.Name.Value.(hujson.Literal).String()
			if seen[strings.ToLower(name)] {
				d.add(pointer, "field %q is given twice", name)
			}
			seen[strings.ToLower(name)] = true
			d.findDuplicateFields(&m.Value, pointer+"/"+name)
		}
	case *hujson.Array:
		for i := range node.Elements {
			d.findDuplicateFields(&node.Elements[i], pointer+"/"+strconv.Itoa(i))
		}
	}
}
