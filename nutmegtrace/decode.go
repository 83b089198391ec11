package nutmegtrace

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// FileError lists all problems in a trace file.
type FileError struct {
	Problems []nutmegconf.Problem
}

// Error returns the problems, one per line.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// ReadFile reads and validates a trace file.
func ReadFile(file string) (Trace, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, fmt.Errorf("cannot read the trace; name an existing file: %w", err)
	}
	return Parse(file, data)
}

// Parse decodes and validates a trace. Its errors are of type *FileError.
func Parse(file string, data []byte) (Trace, error) {
	var t Trace
	c := checker{file: file, lines: keyLines(data)}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil && !c.addUnknownKeys(err) {
		c.addDecodeProblem(err)
		return t, &FileError{Problems: c.problems}
	}
	for n := range t.Steps {
		t.Steps[n].line = c.lines[fmt.Sprintf("step.%d", n)]
	}
	t.applyDeployment()
	c.check(t)
	if len(c.problems) > 0 {
		return t, &FileError{Problems: c.problems}
	}
	return t, nil
}

// keyLines maps each key and each element of an array of tables, for example
// "step.2" and "step.2.do", to its line.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int)
	prefix := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		key, line := keyAndLine(&p, e)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s.%d", key, counts[key])
			counts[key]++
			lines[prefix] = line
		case unstable.Table:
			prefix = key
			lines[prefix] = line
		case unstable.KeyValue:
			lines[joinKey(prefix, key)] = line
		}
	}
	return lines
}

func keyAndLine(p *unstable.Parser, e *unstable.Node) (string, int) {
	if e.Kind != unstable.ArrayTable && e.Kind != unstable.Table && e.Kind != unstable.KeyValue {
		return "", 0
	}
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if line == 0 {
			line = p.Shape(p.Range(node.Data)).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// checker collects the problems in a trace.
type checker struct {
	file     string
	lines    map[string]int
	problems []nutmegconf.Problem
}

// addProblem adds a problem at the line of a key, or of its table if the key is
// missing.
func (c *checker) addProblem(key, format string, args ...any) {
	line, ok := c.lines[key]
	for table := key; !ok; {
		dot := strings.LastIndex(table, ".")
		if dot < 0 {
			break
		}
		table = table[:dot]
		line, ok = c.lines[table]
	}
	c.problems = append(c.problems, nutmegconf.Problem{File: c.file, Line: line, Key: key, Detail: fmt.Sprintf(format, args...)})
}

// addUnknownKeys adds a problem for each unknown key. It reports whether err is
// about unknown keys only.
func (c *checker) addUnknownKeys(err error) bool {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return false
	}
	for _, unknown := range strict.Errors {
		line, _ := unknown.Position()
		c.problems = append(c.problems, nutmegconf.Problem{
			File: c.file, Line: line, Key: strings.Join(unknown.Key(), "."), Detail: "the key is unknown; see docs/TRACES.md",
		})
	}
	return true
}

func (c *checker) addDecodeProblem(err error) {
	problem := nutmegconf.Problem{File: c.file, Detail: err.Error()}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		problem.Line, _ = decode.Position()
		problem.Key = strings.Join(decode.Key(), ".")
	}
	c.problems = append(c.problems, problem)
}

// decodeIntents decodes the tables of an intend step.
func (s Step) decodeIntents() ([]nutmegconf.Intent, error) {
	raw, err := json.Marshal(s.Intents)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var intents []nutmegconf.Intent
	err = decoder.Decode(&intents)
	return intents, err
}
