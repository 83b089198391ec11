// Package nutmegrendezvous ranks candidates under a key by rendezvous hashing:
// all instances agree on the order without a message, and a candidate more or
// less moves few keys.
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

// ranked is an item with its weight under the key.
type ranked[T any] struct {
	item   T
	name   string
	weight uint64
}

// Rank returns the items that weigh most under a key, the heaviest first, and
// at most so many. Names tell the items apart.
func Rank[T any](key string, items []T, name func(T) string, most int) []T {
	best := make([]ranked[T], 0, min(most, len(items))+1)
	for _, item := range items {
		r := ranked[T]{item: item, name: name(item)}
		r.weight = xxhash.Sum64String(key + "/" + r.name)
		at, _ := slices.BinarySearchFunc(best, r, heavier[T])
		if at >= most {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(len(best), most)]
	}
	list := make([]T, len(best))
	for i, r := range best {
		list[i] = r.item
	}
	return list
}

// heavier orders items by weight, the heaviest first, and equal ones by name.
func heavier[T any](a, b ranked[T]) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
}
