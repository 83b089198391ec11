package nutmegstand

import (
	"cmp"
	"maps"
	"slices"
)

// Object is an object of the platform stand-in, as seen by handlers that serve
// its objects through a different API.
type Object struct {
	Name    string
	Version uint64 // version of the last change or of the deletion
	Value   []byte
	Deleted bool
}

// Object returns the object with the given kind and name, if it exists.
func (p *Platform) Object(kind, name string) (Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.objects[kind][name]
	return found.object(), ok
}

// Create stores a new object. If the object exists, Create returns it and
// false.
func (p *Platform) Create(kind, name string, value []byte) (Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, exists := p.objects[kind][name]; exists {
		p.record.Conflicts++
		return current.object(), false
	}
	p.write(kind, name, value)
	return p.objects[kind][name].object(), true
}

// Replace replaces the value of an object that has the given version; version 0
// matches any. If the object does not exist or has another version, Replace
// returns the current object and false.
func (p *Platform) Replace(kind, name string, value []byte, version uint64) (Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, exists := p.objects[kind][name]
	if !exists || (version != 0 && current.Version != version) {
		p.record.Conflicts++
		return current.object(), false
	}
	p.write(kind, name, value)
	return p.objects[kind][name].object(), true
}

// Delete removes an object and reports whether it existed.
func (p *Platform) Delete(kind, name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, exists := p.objects[kind][name]
	if exists {
		p.deleteObject(kind, name)
	}
	return exists
}

// deleteObject removes an object and records the deletion under the next
// version. The caller holds p.mu.
func (p *Platform) deleteObject(kind, name string) {
	p.version++
	deleted := p.objects[kind][name]
	deleted.Version = p.version
	p.deletions[kind] = append(p.deletions[kind], deleted)
	delete(p.objects[kind], name)
	p.notifyWatchers()
}

// Changes returns the objects of a kind that were written or deleted after
// version since, in order of version, together with the current version and a
// channel that is closed at the next change.
func (p *Platform) Changes(kind string, since uint64) ([]Object, uint64, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []Object
	for _, found := range slices.Collect(maps.Values(p.objects[kind])) {
		if found.Version > since {
			changes = append(changes, found.object())
		}
	}
	for _, deleted := range p.deletions[kind] {
		if deleted.Version > since {
			o := deleted.object()
			o.Deleted = true
			changes = append(changes, o)
		}
	}
	slices.SortFunc(changes, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return changes, p.version, p.changed
}

// Faults returns the currently injected faults.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// DrawLostAnswer decides at random, at the rate LostAnswers, whether the answer
// to a write that took effect is lost, and counts it if so.
func (p *Platform) DrawLostAnswer() bool {
	return p.drawLostAnswer()
}

func (i item) object() Object {
	return Object{Name: i.Name, Version: i.Version, Value: i.Value}
}
