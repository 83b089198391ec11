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

// Problem is one problem in a settings or trace file.
type Problem struct {
	File   string
	Line   int // 0 if the setting is missing
	Key    string
	Detail string
}

// String returns "file:line: key: detail".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Detail)
}

// SettingsError holds all problems of a settings file.
type SettingsError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads and validates a settings file. All problems are reported at
// once in a *SettingsError.
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
		return nil, fmt.Errorf("settings file %q cannot be read; name an existing file: %w", file, err)
	}
	return text, nil
}

// ParseSettings decodes and validates the text of a settings file.
func ParseSettings(file string, text []byte) (Settings, error) {
	return decodeAndCheck(file, text, DefaultSettings, func(c *checker, s Settings) { c.checkSettings(s) })
}

// decodeAndCheck decodes settings on top of their defaults and validates them.
func decodeAndCheck[T any](file string, text []byte, defaults func() T, check func(*checker, T)) (T, error) {
	d := decoder[T]{file: file, text: text, defaults: defaults}
	settings := d.decode()
	if !d.malformed {
		c := checker{file: file, lines: keyLines(text), problems: d.problems, undecoded: make(map[int]bool)}
		for _, p := range d.problems {
			c.undecoded[p.Line] = true
		}
		check(&c, settings)
		d.problems = c.problems
	}
	if len(d.problems) == 0 {
		return settings, nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return settings, &SettingsError{Problems: d.problems}
}

// decoder decodes a settings file and collects its problems.
type decoder[T any] struct {
	defaults  func() T
	file      string
	text      []byte
	problems  []Problem
	malformed bool // the file is not valid TOML
}

// decode decodes all values. If a value has the wrong type, its line is blanked and
// the rest is decoded again, so that every such line is reported.
func (d *decoder[T]) decode() T {
	text := d.text
	for {
		settings := d.defaults()
		err := newDecoder(text).Decode(&settings)
		var strictErr *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case err == nil:
			return settings
		case errors.As(err, &strictErr):
			d.reportUnknownKeys(strictErr)
			return settings
		case errors.As(err, &decodeErr) && len(decodeErr.Key()) > 0:
			line, _ := decodeErr.Position()
			d.report(line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
			text = blankLine(text, line)
		default:
			d.reportMalformed(err)
			return settings
		}
	}
}

func newDecoder(text []byte) *toml.Decoder {
	return toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
}

func (d *decoder[T]) report(line int, key, detail string) {
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: key, Detail: strings.TrimPrefix(detail, "toml: ")})
}

func (d *decoder[T]) reportUnknownKeys(strictErr *toml.StrictMissingError) {
	for _, e := range strictErr.Errors {
		line, _ := e.Position()
		d.report(line, strings.Join(e.Key(), "."), "the key is unknown; see docs/operate/settings.md")
	}
}

func (d *decoder[T]) reportMalformed(err error) {
	d.malformed = true
	var decodeErr *toml.DecodeError
	line := 0
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	d.report(line, "toml", err.Error())
}

// blankLine returns text with one line blanked; lines are numbered from 1.
func blankLine(text []byte, line int) []byte {
	lines := bytes.Split(text, []byte("\n"))
	if line < 1 || line > len(lines) {
		return nil
	}
	lines[line-1] = nil
	return bytes.Join(lines, []byte("\n"))
}

// keyLines returns the line number of each dotted key in a TOML text.
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

// dottedKey returns the dotted key of an expression and its line number.
func dottedKey(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		parts = append(parts, string(it.Node().Data))
		line = p.Shape(it.Node().Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
