package nutmegtrace

import (
	"os"
	"slices"
	"strings"
)

// KnownRed lists the measures of traces that fail for faults that are not
// mended yet. Each entry of the file begins with a line
//
//	trace NAME: MEASURE MEASURE
//
// and other lines are for people.
type KnownRed map[string][]string

// ReadKnownRed reads the list; a file that does not exist is an empty one.
func ReadKnownRed(file string) (KnownRed, error) {
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return KnownRed{}, nil
	}
	known := make(KnownRed)
	for line := range strings.Lines(string(raw)) {
		entry, ok := strings.CutPrefix(strings.TrimSpace(line), "trace ")
		name, measures, found := strings.Cut(entry, ":")
		if ok && found {
			known[name] = append(known[name], strings.Fields(measures)...)
		}
	}
	return known, err
}

// Split parts a report's failures into those that are known and the others.
func (k KnownRed) Split(r Report) (known, others []Failure) {
	for _, f := range r.Failures {
		if slices.Contains(k[r.Trace], f.Measure) {
			known = append(known, f)
		} else {
			others = append(others, f)
		}
	}
	return known, others
}
