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

// TestLayers checks the imports of every library in AllowedImports. Tests of a
// library may also import the stand-ins in nutmegstand.
func TestLayers(t *testing.T) {
	var violations []string
	for name, allowed := range AllowedImports {
		permitted := map[string]bool{name: true}
		for _, a := range allowed {
			permitted[a] = true
		}
		for file, imported := range imports(t, filepath.Join(root, name)) {
			for _, i := range imported {
				isTest := strings.HasSuffix(file, "_test.go")
				if !permitted[i] && (!isTest || i != "nutmegstand") {
					violations = append(violations, file+" imports "+i)
				}
			}
		}
	}
	if diff := cmp.Diff([]string(nil), violations); diff != "" {
		t.Errorf("imports that AllowedImports does not permit (-want +got):\n%s", diff)
	}
}

// imports returns, for each file below dir, the project's libraries that it
// imports.
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
		t.Fatalf("cannot read the sources below %s: %v", dir, err)
	}
	if len(found) == 0 && filepath.Base(dir) != "nutmegid" && filepath.Base(dir) != "nutmegstand" {
		t.Fatalf("no imports found below %s", dir)
	}
	return found
}

// wireNames matches names of the users' platform protocol, which may occur only
// in the adapter.
var wireNames = regexp.MustCompile(`X-Nutmegwind-|Server-Limit|Server-Leaving|Kv-From|Kv-Fetch|kv-events|hold-take|pathPrefix"|prepaid"|specification"|deletionPending`)

// TestWireNamesStayInTheAdapter checks that names of the platform's protocol
// occur in no source outside the adapter.
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
		if name := wireNames.Find(text); name != nil && !isOwnName(path, string(name)) {
			leaks = append(leaks, path+" contains "+string(name))
		}
		return nil
	})
	if err != nil {
		t.Fatalf("cannot read the sources: %v", err)
	}
	if diff := cmp.Diff([]string(nil), leaks); diff != "" {
		t.Errorf("wire names outside the adapter (-want +got):\n%s", diff)
	}
}

// isOwnName reports whether a name also belongs to one of the project's own
// formats: prepaid is a field in its traces, budgets and command line.
func isOwnName(path, name string) bool {
	return name == `prepaid"` && !strings.Contains(path, "/internal/")
}
