package layers

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
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

// wireNames are names of the users' platform that only its adapter may know.
var wireNames = regexp.MustCompile(`X-Nutmegwind-|Kv-From|Kv-Fetch|kv-events|hold-take|pathPrefix"|prepaid"|specification"|deletionPending`)

// TestWireNamesStayInTheAdapter checks that no other source knows a name of the
// platform's protocol.
func TestWireNamesStayInTheAdapter(t *testing.T) {
	var leaks []string
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == "platform" {
			return filepath.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "layers_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if name := wireNames.Find(text); name != nil && !ownField(path, string(name)) {
			leaks = append(leaks, path+" knows "+string(name))
		}
		return nil
	})
	if err != nil {
		t.Fatalf("sources could not be read: %v", err)
	}
	if diff := cmp.Diff([]string(nil), leaks); diff != "" {
		t.Errorf("wire names outside the adapter (-want +got):\n%s", diff)
	}
}

// ownField says whether a name is one of the project's own formats, too: an
// amount is prepaid in its traces, budgets and command line.
func ownField(path, name string) bool {
	return name == `prepaid"` && !strings.Contains(path, "/internal/")
}
