package nutmegroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// fleet holds the instances among which upstreams are divided.
type fleet struct {
	names  []nutmegid.Instance // sorted
	hashes []uint64
}

func newFleet(instances []nutmegid.Instance) fleet {
	f := fleet{names: slices.Compact(slices.Sorted(slices.Values(instances)))}
	for _, name := range f.names {
		f.hashes = append(f.hashes, xxhash.Sum64String(string(name)))
	}
	return f
}

// subset returns the candidates that instance self uses, and the number of instances that
// share each of them. Rendezvous hashing assigns each candidate to the instances that rank
// highest for it, so every candidate is used, and adding or removing one instance or upstream
// moves only its own share.
func (f fleet) subset(self nutmegid.Instance, candidates []*Candidate, size int) ([]*Candidate, int) {
	n := len(f.names)
	at, ok := slices.BinarySearch(f.names, self)
	if !ok || len(candidates) <= size {
		return candidates, max(n, 1)
	}
	sharedBy := max((n*size+len(candidates)-1)/len(candidates), minInstancesPerUpstream)
	if sharedBy >= n {
		return candidates, n
	}
	var own []*Candidate
	for _, c := range candidates {
		if f.isAssigned(at, c.Upstream, sharedBy) {
			own = append(own, c)
		}
	}
	return own, sharedBy
}

// isAssigned reports whether the instance at index self is among the top sharedBy instances
// for u.
func (f fleet) isAssigned(self int, u nutmegid.Upstream, sharedBy int) bool {
	hash := xxhash.Sum64String(string(u)) * hashMultiplier
	own := rendezvousScore(f.hashes[self], hash)
	higher := 0
	for i, other := range f.hashes {
		r := rendezvousScore(other, hash)
		if r > own || (r == own && i < self) {
			higher++
		}
		if higher >= sharedBy {
			return false
		}
	}
	return true
}

// rendezvousScore mixes two hashes so that equal bits in them leave no pattern in the score.
func rendezvousScore(instance, upstream uint64) uint64 {
	h := instance ^ upstream
	h ^= h >> 32
	h *= hashMultiplier
	return h ^ h>>29
}
