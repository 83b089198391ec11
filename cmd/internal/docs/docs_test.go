// Package docs checks that the operators' documentation lists every setting,
// metric, refusal, event and outcome that the programs use.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

const root = "../../.."

// quoted matches names between backquotes in a table.
var quoted = regexp.MustCompile("`([^`]+)`")

// documentedNames returns the quoted names in a page of docs/operate.
func documentedNames(t *testing.T, page string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "docs/operate", page))
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, match := range quoted.FindAllStringSubmatch(string(text), -1) {
		names[match[1]] = true
	}
	return names
}

// checkPage reports the names that a page of docs/operate does not list. It
// fails if names is empty, since the search for them no longer works then.
func checkPage(t *testing.T, page string, names []string) {
	t.Helper()
	if len(names) == 0 {
		t.Fatalf("found no names that %s must list; update the search in this test", page)
	}
	listed := documentedNames(t, page)
	var missing []string
	for _, name := range names {
		if !listed[name] && !slices.Contains(missing, name) {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	if len(missing) > 0 {
		t.Errorf("docs/operate/%s does not mention:\n%s", page, strings.Join(missing, "\n"))
	}
}

func TestEverySettingIsDocumented(t *testing.T) {
	checkPage(t, "settings.md", settingKeys(reflect.TypeFor[nutmegconf.Settings](), ""))
}

func TestEveryEntrySettingIsDocumented(t *testing.T) {
	checkPage(t, "settings.md", settingKeys(reflect.TypeFor[nutmegconf.EntrySettings](), ""))
}

func TestEveryOutcomeIsDocumented(t *testing.T) {
	checkPage(t, "../OPERATIONS.md", constants(t, "Reason"))
}

// settingKeys returns the TOML keys of a settings struct, nested ones with their
// full path.
func settingKeys(of reflect.Type, prefix string) []string {
	var keys []string
	for i := range of.NumField() {
		f := of.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, settingKeys(f.Type, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}

func TestEveryMetricIsDocumented(t *testing.T) {
	checkPage(t, "metrics.md", literals(t, func(call *ast.CallExpr) (ast.Expr, bool) {
		switch name := calleeName(call); {
		case name == "count" && len(call.Args) == 1,
			strings.HasPrefix(name, "GetOrRegister") && len(call.Args) == 2:
			return call.Args[0], true
		}
		return nil, false
	}))
}

func TestEveryRefusalIsDocumented(t *testing.T) {
	kinds := literals(t, func(call *ast.CallExpr) (ast.Expr, bool) {
		if calleeName(call) == "refusal" && len(call.Args) == 3 {
			return call.Args[1], true
		}
		return nil, false
	})
	checkPage(t, "errors.md", append(kinds, constants(t, "ErrorKind")...))
}

func TestEveryEventIsDocumented(t *testing.T) {
	checkPage(t, "events.md", constants(t, "Kind"))
}

// calleeName returns the unqualified name of the called function.
func calleeName(call *ast.CallExpr) string {
	switch fun := call.Fun.(type) {
	case *ast.Ident:
		return fun.Name
	case *ast.SelectorExpr:
		return fun.Sel.Name
	}
	return ""
}

// literals returns the string literals among the arguments that pick selects
// from calls.
func literals(t *testing.T, pick func(*ast.CallExpr) (ast.Expr, bool)) []string {
	t.Helper()
	var found []string
	inspect(t, func(n ast.Node) {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return
		}
		if arg, ok := pick(call); ok {
			found = appendLiteral(found, arg)
		}
	})
	return found
}

// constants returns the values of the string constants declared with a type.
func constants(t *testing.T, typeName string) []string {
	t.Helper()
	var found []string
	inspect(t, func(n ast.Node) {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != typeName {
			return
		}
		for _, value := range spec.Values {
			found = appendLiteral(found, value)
		}
	})
	return found
}

func appendLiteral(found []string, e ast.Expr) []string {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return found
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return found
	}
	return append(found, value)
}

// inspect visits every syntax node of the project's sources, excluding tests.
func inspect(t *testing.T, visit func(ast.Node)) {
	t.Helper()
	var files []string
	for _, pattern := range []string{"nutmeg*/*.go", "internal/*/*/*.go"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, found...)
	}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			visit(n)
			return true
		})
	}
}
