package nutmegfollow

import (
	"context"
	"slices"
	"time"
	"unicode"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const maxDomainBytes = 128 // of the name of a failure domain

// EvacuationFollowerConfig configures an EvacuationFollower.
type EvacuationFollowerConfig struct {
	Store  Store
	Source nutmegstore.ChangeSource // of changes; the store when nil
	Kind   string                   // an object of it evacuates the failure domain that it is named after
	Wait   time.Duration            // of one poll for a change
	View   *nutmegview.View
	// OnChange, if not nil, is called after each change that the view has applied.
	// Relayed means that another instance has read it from the store.
	OnChange func(c nutmegview.EvacuationChange, relayed bool)
	// OnUnusable, if not nil, is called for an object whose name cannot be that of a
	// failure domain.
	OnUnusable func(o nutmegstore.Object)
	// OnListed, if not nil, is called after each list of all objects.
	OnListed func()
}

// EvacuationFollower keeps the evacuations in the view up to date.
type EvacuationFollower struct {
	cfg   EvacuationFollowerConfig
	table *evacuationTable
	done  chan struct{}
}

// NewEvacuationFollower returns a follower. Call Start to run it.
func NewEvacuationFollower(cfg EvacuationFollowerConfig) *EvacuationFollower {
	if cfg.OnChange == nil {
		cfg.OnChange = func(nutmegview.EvacuationChange, bool) {}
	}
	if cfg.OnUnusable == nil {
		cfg.OnUnusable = func(nutmegstore.Object) {}
	}
	if cfg.OnListed == nil {
		cfg.OnListed = func() {}
	}
	return &EvacuationFollower{cfg: cfg, table: newEvacuationTable(cfg.OnUnusable), done: make(chan struct{})}
}

// Start follows the evacuations until ctx ends.
func (f *EvacuationFollower) Start(ctx context.Context) {
	go f.run(ctx)
}

// Wait blocks until the follower has stopped.
func (f *EvacuationFollower) Wait() {
	<-f.done
}

func (f *EvacuationFollower) run(ctx context.Context) {
	defer close(f.done)
	request := nutmegstore.FollowRequest{Kind: f.cfg.Kind, Source: f.cfg.Source, Wait: f.cfg.Wait, Lists: true}
	f.cfg.Store.FollowBatches(ctx, request, f.apply)
}

func (f *EvacuationFollower) apply(b nutmegstore.Batch) {
	for _, c := range f.table.changes(b, f.cfg.View.Evacuations()) {
		if f.cfg.View.ApplyEvacuation(c) {
			f.cfg.OnChange(c, b.Relayed)
		}
	}
	if b.Listed {
		f.cfg.OnListed()
	}
}

// evacuationTable turns batches of objects into changes of evacuations.
type evacuationTable struct {
	onUnusable func(nutmegstore.Object)
	present    map[nutmegid.FailureDomain]nutmegid.Version // objects in the store, by their latest version
}

func newEvacuationTable(onUnusable func(nutmegstore.Object)) *evacuationTable {
	return &evacuationTable{onUnusable: onUnusable, present: make(map[nutmegid.FailureDomain]nutmegid.Version)}
}

// changes returns the changes that a batch brings. Of an object that was deleted and
// created again, only the latest state counts. known are the changes that the view
// holds: a list that lacks an evacuated domain ends its evacuation, wherever the
// instance has learned of it.
func (t *evacuationTable) changes(b nutmegstore.Batch, known []nutmegview.EvacuationChange) []nutmegview.EvacuationChange {
	latest := make(map[nutmegid.FailureDomain]nutmegview.EvacuationChange)
	var order []nutmegid.FailureDomain
	for _, o := range b.Objects {
		if !isDomainName(o.Key.Name) {
			t.onUnusable(o)
			continue
		}
		c, news := t.apply(o, b.StoreVersion, known)
		if !news {
			continue
		}
		if _, again := latest[c.FailureDomain]; !again {
			order = append(order, c.FailureDomain)
		}
		latest[c.FailureDomain] = c
	}
	changes := make([]nutmegview.EvacuationChange, 0, len(order))
	for _, domain := range order {
		changes = append(changes, latest[domain])
	}
	if b.Listed {
		changes = append(changes, t.missing(b.StoreVersion, known)...)
	}
	return changes
}

// apply records an object and returns its change, if it is news. A deletion may carry
// the version of the deleted object; the store's version is later than that, and earlier
// than that of an object created afterwards. It differs between instances, so that such
// a deletion is no news if another instance has told it.
func (t *evacuationTable) apply(o nutmegstore.Object, storeVersion nutmegid.Version, known []nutmegview.EvacuationChange) (nutmegview.EvacuationChange, bool) {
	domain := nutmegid.FailureDomain(o.Key.Name)
	if !o.Deleted {
		t.present[domain] = o.Version
		return nutmegview.EvacuationChange{FailureDomain: domain, Evacuated: true, Version: o.Version}, true
	}
	created := t.present[domain]
	delete(t.present, domain)
	if o.Version > created {
		return nutmegview.EvacuationChange{FailureDomain: domain, Version: o.Version}, true
	}
	told := slices.ContainsFunc(known, func(c nutmegview.EvacuationChange) bool {
		return c.FailureDomain == domain && !c.Evacuated && c.Version > created
	})
	return nutmegview.EvacuationChange{FailureDomain: domain, Version: max(o.Version, storeVersion)}, !told
}

// missing returns the ends of the evacuations in known that a complete list no longer
// holds.
func (t *evacuationTable) missing(storeVersion nutmegid.Version, known []nutmegview.EvacuationChange) []nutmegview.EvacuationChange {
	var ended []nutmegview.EvacuationChange
	for _, c := range known {
		if _, listed := t.present[c.FailureDomain]; c.Evacuated && !listed && c.Version < storeVersion {
			ended = append(ended, nutmegview.EvacuationChange{FailureDomain: c.FailureDomain, Version: storeVersion})
		}
	}
	return ended
}

// isDomainName reports whether a name can be that of a failure domain.
func isDomainName(name string) bool {
	if name == "" || len(name) > maxDomainBytes {
		return false
	}
	for _, r := range name {
		if r == unicode.ReplacementChar || !unicode.IsGraphic(r) {
			return false
		}
	}
	return true
}
