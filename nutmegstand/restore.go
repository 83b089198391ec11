package nutmegstand

import "maps"

// PlatformCopy is the state of a platform at one moment.
type PlatformCopy struct {
	objects   map[string]map[string]item
	deletions map[string][]item
	version   uint64
}

// Copy returns a copy of the platform's objects, for Restore.
func (p *Platform) Copy() PlatformCopy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return copyState(PlatformCopy{objects: p.objects, deletions: p.deletions, version: p.version})
}

func copyState(from PlatformCopy) PlatformCopy {
	c := PlatformCopy{objects: make(map[string]map[string]item, len(from.objects)), version: from.version}
	for kind, objects := range from.objects {
		c.objects[kind] = maps.Clone(objects)
	}
	c.deletions = maps.Clone(from.deletions)
	return c
}

// Restore replaces all objects by those of a copy and begins a new era. What was
// written after the copy is lost, and its versions are given out again.
func (p *Platform) Restore(c PlatformCopy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c = copyState(c)
	p.objects, p.deletions, p.version = c.objects, c.deletions, c.version
	p.era++
	p.notifyWatchers()
}

// Era counts the restores, from 1 on.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era + 1
}

// Version returns the version of the latest change.
func (p *Platform) Version() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version
}
