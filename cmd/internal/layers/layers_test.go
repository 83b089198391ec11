package layers

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	root   = "../../.."
	prefix = "github.com/nutmegwind/nutmegwind/"
)

// TestLayers checks the imports of every library that has a stated layer. Tests
// of a library may use the stand-ins.
func TestLayers(t *testing.T) {
	var sideways []string
	for name, allowed := range Allowed {
		permitted := map[string]bool{name: true}
		for _, a := range allowed {
			permitted[a] = true
		}
		for file, imported := range imports(t, filepath.Join(root, name)) {
			for _, i := range imported {
				isTest := strings.HasSuffix(file, "_test.go")
				if !permitted[i] && (!isTest || i != "nutmegstand") {
					sideways = append(sideways, file+" imports "+i)
				}
			}
		}
	}
	if diff := cmp.Diff([]string(nil), sideways); diff != "" {
		t.Errorf("imports against the layers (-want +got):\n%s", diff)
	}
}

// imports returns the project's libraries that each file below dir imports.
func imports(t *testing.T, dir string) map[string][]string {
	t.Helper()
	found := make(map[string][]string)
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			if library, ok := strings.CutPrefix(name, prefix); ok {
				library, _, _ = strings.Cut(library, "/")
				found[path] = append(found[path], library)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatalf("libraries could not be read: %v", err)
	}
	if len(found) == 0 && filepath.Base(dir) != "nutmegid" && filepath.Base(dir) != "nutmegstand" {
		t.Fatalf("no imports found below %s", dir)
	}
	return found
}
