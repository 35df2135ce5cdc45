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

// ReadDir reads a settings tree from the files Fleet/<name>.json and
// Teams/<team>/<service>.json below a directory. The extension may also be
// .jsonc. Each subtree gets the given revision.
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

// readFile adds the document in a file to its subtree in byPath. It skips files
// with other extensions.
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
	subtreePath, name := path.Split(strings.TrimSuffix(relative, extension))
	subtreePath = strings.TrimSuffix(subtreePath, "/")
	if !IsSubtreePath(subtreePath) {
		return eris.Errorf("%s is neither below Fleet nor below Teams/<team>", relative)
	}
	text, err := os.ReadFile(file) //nolint:gosec // the operator chooses the directory
	if err != nil {
		return err
	}
	s, found := byPath[subtreePath]
	if !found {
		s = jasminemoor.Subtree{Path: subtreePath, Revision: revision, Values: make(map[string]string)}
		byPath[subtreePath] = s
	}
	s.Values[name] = string(text)
	return nil
}

// Check parses all subtrees of a tree and returns their faults. If the fleet's
// subtree has none, it also returns the conflicts between teams and the expired
// certificates.
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
