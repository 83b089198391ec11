package nutmegtrace

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// KnownFailures maps traces to the measures that fail because of known faults.
// Each entry of the file begins with a line
//
//	trace NAME: MEASURE MEASURE
//
// and other lines are ignored.
type KnownFailures map[string][]string

// ReadKnownFailures reads the list. A file that does not exist counts as empty.
func ReadKnownFailures(file string) (KnownFailures, error) {
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return KnownFailures{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("list of known failures: %w", err)
	}
	known := make(KnownFailures)
	for line := range strings.Lines(string(raw)) {
		entry, ok := strings.CutPrefix(strings.TrimSpace(line), "trace ")
		name, measures, found := strings.Cut(entry, ":")
		if ok && found {
			known[name] = append(known[name], strings.Fields(measures)...)
		}
	}
	return known, nil
}

// Split separates the known failures of a report from the others.
func (k KnownFailures) Split(r Report) (known, others []Failure) {
	for _, f := range r.Failures {
		if slices.Contains(k[r.Trace], f.Measure) {
			known = append(known, f)
		} else {
			others = append(others, f)
		}
	}
	return known, others
}
