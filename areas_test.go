package jasminemoor_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAreas checks the imports between the areas, which are the folders directly
// below internal: an area may import only itself and the areas before it in the
// order.
func TestAreas(t *testing.T) {
	order := []string{"wire", "settings", "fleet", "load", "request", "flow", "operate", "measure", "standin"}
	place := make(map[string]int, len(order))
	for i, area := range order {
		place[area] = i
	}
	areaOf := func(path string) string {
		area, _, _ := strings.Cut(path, "/")
		return area
	}
	err := filepath.WalkDir("internal", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		own := areaOf(strings.TrimPrefix(filepath.ToSlash(path), "internal/"))
		require.Contains(t, place, own)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		require.NoError(t, err)
		for _, i := range file.Imports {
			imported, found := strings.CutPrefix(strings.Trim(i.Path.Value, `"`), "github.com/jasminemoor/jasminemoor/internal/")
			if found {
				require.LessOrEqual(t, place[areaOf(imported)], place[own], "%s must not import %s", path, imported)
			}
		}
		return nil
	})
	require.NoError(t, err)
}
