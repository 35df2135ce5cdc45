package jmtree

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jasminemoor/jasminemoor"
)

// ReadDir reads a settings tree from files: Fleet/<name>.json and
// Teams/<team>/<service>.json, with .jsonc allowed as well. Each subtree gets
// the given revision.
func ReadDir(dir string, revision uint64) (subtrees []jasminemoor.Subtree, err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "settings tree %s", dir)
		}
	}()
	byPath := make(map[string]jasminemoor.Subtree)
	err = filepath.WalkDir(dir, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return readFile(dir, file, revision, byPath)
	})
	if err != nil {
		return nil, err
	}
	for _, p := range sortedKeys(byPath) {
		subtrees = append(subtrees, byPath[p])
	}
	return subtrees, nil
}

func readFile(dir, file string, revision uint64, byPath map[string]jasminemoor.Subtree) error {
	relative, err := filepath.Rel(dir, file)
	if err != nil {
		return err
	}
	relative = filepath.ToSlash(relative)
	extension := path.Ext(relative)
	if extension != ".json" && extension != ".jsonc" {
		return nil
	}
	subtree, name := path.Split(strings.TrimSuffix(relative, extension))
	subtree = strings.TrimSuffix(subtree, "/")
	if !IsSubtreePath(subtree) {
		return eris.Errorf("%s is neither below Fleet nor below Teams/<team>", relative)
	}
	text, err := os.ReadFile(file) //nolint:gosec // the operator names the tree
	if err != nil {
		return err
	}
	s, found := byPath[subtree]
	if !found {
		s = jasminemoor.Subtree{Path: subtree, Revision: revision, Values: make(map[string]string)}
		byPath[subtree] = s
	}
	s.Values[name] = string(text)
	return nil
}

// Check parses and checks whole subtrees together, and returns every fault.
func Check(subtrees []jasminemoor.Subtree) (faults []Fault) {
	var t Tree
	hasFleet := false
	for _, s := range subtrees {
		hasFleet = hasFleet || s.Path == FleetPath
		t.Put(s)
	}
	if !hasFleet {
		faults = append(faults, Fault{Path: FleetPath, Cause: "subtree is missing"})
	}
	if c := t.Config(); c != nil {
		return append(faults, c.Faults...)
	}
	for _, e := range t.entries {
		faults = append(faults, e.faults...)
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}
