package nutmegconf

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Section names one part of the configuration, "kind/bucket". The items of a kind
// are distributed over its buckets by the hash of their names.
type Section string

type sectionKind string

// Kinds of sections.
const (
	sectionOwners     sectionKind = "owners"
	sectionWorkspaces sectionKind = "workspaces"
	sectionRoutes     sectionKind = "routes"
	sectionModels     sectionKind = "models"
	sectionUpstreams  sectionKind = "upstreams"
	sectionOperators  sectionKind = "operators"
)

// bucketCounts is the number of sections of each kind. It is part of the storage
// format: a different number requires new kind names.
var bucketCounts = map[sectionKind]int{
	sectionOwners:     1,
	sectionWorkspaces: 64,
	sectionRoutes:     8,
	sectionModels:     1,
	sectionUpstreams:  64,
	sectionOperators:  8,
}

func bucketOf(name string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(n))
}

func sectionName(kind sectionKind, bucket int) Section {
	return Section(fmt.Sprintf("%s/%02d", kind, bucket))
}

// split returns the kind and the bucket of a section.
func (s Section) split() (sectionKind, int, error) {
	kind, text, _ := strings.Cut(string(s), "/")
	bucket, err := strconv.Atoi(text)
	if err != nil || bucket < 0 || bucket >= bucketCounts[sectionKind(kind)] {
		return "", 0, fmt.Errorf("section %q is unknown; upgrade this instance", s)
	}
	return sectionKind(kind), bucket, nil
}

// sections returns the JSON of every section that is not empty.
func (c *Config) sections() (map[Section]json.RawMessage, error) {
	out := make(map[Section]json.RawMessage)
	err := firstError(
		addSections(out, sectionOwners, c.Owners),
		addSections(out, sectionWorkspaces, c.Workspaces),
		addSections(out, sectionRoutes, c.Routes),
		addSections(out, sectionModels, c.Models),
		addSections(out, sectionUpstreams, c.Upstreams),
		addSections(out, sectionOperators, c.Operators),
	)
	return out, err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func addSections[K ~string, V any](out map[Section]json.RawMessage, kind sectionKind, m map[K]V) error {
	parts := make(map[int]map[K]V)
	for name, v := range m {
		n := bucketOf(string(name), bucketCounts[kind])
		if parts[n] == nil {
			parts[n] = make(map[K]V)
		}
		parts[n][name] = v
	}
	for n, part := range parts {
		raw, err := json.Marshal(part)
		if err != nil {
			return err
		}
		out[sectionName(kind, n)] = raw
	}
	return nil
}

// setSection replaces the items of one section. Empty items clear the section.
func (c *Config) setSection(s Section, items json.RawMessage) error {
	kind, n, err := s.split()
	if err != nil {
		return err
	}
	switch kind {
	case sectionOwners:
		return replaceEntries(c.Owners, kind, n, items)
	case sectionWorkspaces:
		return replaceEntries(c.Workspaces, kind, n, items)
	case sectionRoutes:
		return replaceEntries(c.Routes, kind, n, items)
	case sectionModels:
		return replaceEntries(c.Models, kind, n, items)
	case sectionUpstreams:
		return replaceEntries(c.Upstreams, kind, n, items)
	case sectionOperators:
		return replaceEntries(c.Operators, kind, n, items)
	}
	return nil
}

func replaceEntries[K ~string, V any](m map[K]V, kind sectionKind, n int, items json.RawMessage) error {
	for _, name := range slices.Collect(maps.Keys(m)) {
		if bucketOf(string(name), bucketCounts[kind]) == n {
			delete(m, name)
		}
	}
	if len(items) == 0 {
		return nil
	}
	return json.Unmarshal(items, &m)
}
