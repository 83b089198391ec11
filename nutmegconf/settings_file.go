package nutmegconf

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one mistake in a settings file.
type Fault struct {
	File   string
	Line   int // 0 where the setting is missing
	Key    string
	Detail string
}

// String returns "file:line: key: detail".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Detail)
}

// SettingsError lists all faults of a settings file.
type SettingsError struct {
	Faults []Fault
}

// Error lists the faults, a line each.
func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads and checks a settings file as a whole. All faults are
// reported at once as a *SettingsError.
func LoadSettings(file string) (Settings, error) {
	text, err := readSettings(file)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(file, text)
}

func readSettings(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings file %q is unreadable; name an existing file: %w", file, err)
	}
	return text, nil
}

// ParseSettings checks the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	return parse(file, text, DefaultSettings, func(c *checker, s Settings) { c.check(s) })
}

// parse decodes settings over their defaults and checks them.
func parse[T any](file string, text []byte, defaults func() T, check func(*checker, T)) (T, error) {
	r := reader[T]{file: file, text: text, defaults: defaults}
	settings := r.decode()
	if !r.malformed {
		c := checker{file: file, lines: keyLines(text), faults: r.faults}
		check(&c, settings)
		r.faults = c.faults
	}
	if len(r.faults) == 0 {
		return settings, nil
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return settings, &SettingsError{Faults: r.faults}
}

// reader decodes a settings file and gathers its faults.
type reader[T any] struct {
	defaults  func() T
	file      string
	text      []byte
	faults    []Fault
	malformed bool // the file is no TOML
}

// decode reads all values. A line whose value has the wrong type is left out
// and the rest decoded again, so that every such line is reported.
func (r *reader[T]) decode() T {
	text := r.text
	for {
		settings := r.defaults()
		err := newDecoder(text).Decode(&settings)
		var strict *toml.StrictMissingError
		var decode *toml.DecodeError
		switch {
		case err == nil:
			return settings
		case errors.As(err, &strict):
			r.addUnknown(strict)
			return settings
		case errors.As(err, &decode) && len(decode.Key()) > 0:
			line, _ := decode.Position()
			r.add(line, strings.Join(decode.Key(), "."), decode.Error())
			text = blankLine(text, line)
		default:
			r.addMalformed(err)
			return settings
		}
	}
}

func newDecoder(text []byte) *toml.Decoder {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
}

func (r *reader[T]) add(line int, key, detail string) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Key: key, Detail: strings.TrimPrefix(detail, "toml: ")})
}

func (r *reader[T]) addUnknown(strict *toml.StrictMissingError) {
	for _, e := range strict.Errors {
		line, _ := e.Position()
		r.add(line, strings.Join(e.Key(), "."), "the key is unknown; see docs/operate/settings.md")
	}
}

func (r *reader[T]) addMalformed(err error) {
	r.malformed = true
	var decode *toml.DecodeError
	line := 0
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	r.add(line, "toml", err.Error())
}

// blankLine returns text with one line emptied; line counts from 1.
func blankLine(text []byte, line int) []byte {
	lines := bytes.Split(text, []byte("\n"))
	if line < 1 || line > len(lines) {
		return nil
	}
	lines[line-1] = nil
	return bytes.Join(lines, []byte("\n"))
}

// keyLines returns the line of each dotted key of a TOML text.
func keyLines(text []byte) map[string]int {
	lines := make(map[string]int)
	var p unstable.Parser
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = key + "."
		case unstable.KeyValue:
			lines[table+key] = line
		}
	}
	return lines
}

func dottedKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
