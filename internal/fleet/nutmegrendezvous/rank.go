// Package nutmegrendezvous ranks candidates for a key by rendezvous hashing: all
// instances compute the same order without coordination, and adding or removing a
// candidate moves few keys.
//
// # Usage
//
//	homes := nutmegrendezvous.Rank("shard-0003", instances, func(i Instance) string { return string(i.Name) }, 3)
package nutmegrendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ranked is an item with its weight for the key.
type ranked[T any] struct {
	item   T
	name   string
	weight uint64
}

// Rank returns up to limit items in descending order of their weight for a key.
// Names must be unique.
func Rank[T any](key string, items []T, name func(T) string, limit int) []T {
	best := make([]ranked[T], 0, min(limit, len(items))+1)
	for _, item := range items {
		r := rankedFor(key, item, name)
		pos, _ := slices.BinarySearchFunc(best, r, compareWeight[T])
		if pos >= limit {
			continue
		}
		best = slices.Insert(best, pos, r)
		best = best[:min(len(best), limit)]
	}
	list := make([]T, len(best))
	for i, r := range best {
		list[i] = r.item
	}
	return list
}

// Position returns the position of an item in the order of Rank, or the number of
// items if it is not among them.
func Position[T any](key string, items []T, name func(T) string, of T) int {
	own := rankedFor(key, of, name)
	before, found := 0, false
	for _, item := range items {
		r := rankedFor(key, item, name)
		if compareWeight(r, own) < 0 {
			before++
		}
		found = found || r.name == own.name
	}
	if !found {
		return len(items)
	}
	return before
}

func rankedFor[T any](key string, item T, name func(T) string) ranked[T] {
	r := ranked[T]{item: item, name: name(item)}
	r.weight = xxhash.Sum64String(key + "/" + r.name)
	return r
}

// compareWeight orders items by descending weight and then by name.
func compareWeight[T any](a, b ranked[T]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
}
