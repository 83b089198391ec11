package nutmegroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// fleet is the instances among which upstreams are divided.
type fleet struct {
	names  []nutmegid.Instance // in order
	hashes []uint64
}

func newFleet(instances []nutmegid.Instance) fleet {
	f := fleet{names: slices.Compact(slices.Sorted(slices.Values(instances)))}
	for _, name := range f.names {
		f.hashes = append(f.hashes, xxhash.Sum64String(string(name)))
	}
	return f
}

// subset returns the candidates that instance self uses, and the number of
// instances that share each of them. Each candidate is
// used by the instances that rank highest for it in rendezvous hashing, so
// every candidate is covered, and a change of one instance or upstream moves
// only its own share.
func (f fleet) subset(self nutmegid.Instance, candidates []*Candidate, size int) ([]*Candidate, int) {
	n := len(f.names)
	at, ok := slices.BinarySearch(f.names, self)
	if !ok || len(candidates) <= size {
		return candidates, max(n, 1)
	}
	owners := max((n*size+len(candidates)-1)/len(candidates), minOwners)
	if owners >= n {
		return candidates, n
	}
	var mine []*Candidate
	for _, c := range candidates {
		if f.ranks(at, c.Upstream, owners) {
			mine = append(mine, c)
		}
	}
	return mine, owners
}

// ranks says whether the instance at self is among the first owners of u.
func (f fleet) ranks(self int, u nutmegid.Upstream, owners int) bool {
	hash := xxhash.Sum64String(string(u)) * rankMix
	own := rank(f.hashes[self], hash)
	better := 0
	for i, other := range f.hashes {
		r := rank(other, hash)
		if r > own || (r == own && i < self) {
			better++
		}
		if better >= owners {
			return false
		}
	}
	return true
}

// rank mixes two hashes so that equal bits of them leave no pattern.
func rank(instance, upstream uint64) uint64 {
	h := instance ^ upstream
	h ^= h >> 32
	h *= rankMix
	return h ^ h>>29
}
