package nutmegstore

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// restoredAPI is an object API that compares only the counters of versions, as the
// platform's store does, and that has been restored to an older object.
type restoredAPI struct {
	object Object
	era    nutmegid.Era
	reads  int
}

func (a *restoredAPI) Get(_ context.Context, key Key) (Object, error) {
	a.reads++
	if a.object.Version == 0 {
		return Object{}, newError(KindNotFound, key, nil)
	}
	return a.object, nil
}

func (a *restoredAPI) Create(_ context.Context, key Key, value []byte) (nutmegid.Version, error) {
	a.object = Object{Key: key, Version: nutmegid.NewVersion(a.era, 1), Value: value}
	return a.object.Version, nil
}

func (a *restoredAPI) Replace(_ context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	if version.Counter() != a.object.Version.Counter() {
		return 0, newError(KindConflict, key, nil)
	}
	a.object = Object{Key: key, Version: nutmegid.NewVersion(a.era, version.Counter()+1), Value: value}
	return a.object.Version, nil
}

// A conditional write that was made for a version from before a restore may meet
// another object under the same number. Its success is no proof of anything: the update
// has to read what the store holds now (BUDGET: tokens were granted from a state that
// the store had lost).
func TestWriteAcrossARestoreIsReadAgain(t *testing.T) {
	api := &restoredAPI{era: 1}
	w := NewWriter(api, "writer")
	add := func(mark string) func(*counter) error {
		return func(c *counter) error {
			c.Marks = append(c.Marks, mark)
			return nil
		}
	}
	if _, err := UpdateLatest(t.Context(), w, testKey, add("before")); err != nil {
		t.Fatal(err)
	}
	api.era, api.reads = 2, 0
	doc, err := UpdateLatest(t.Context(), w, testKey, add("after"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"before", "after"}, doc.Body.Marks); diff != "" {
		t.Errorf("marks (-want +got):\n%s", diff)
	}
	if api.reads == 0 {
		t.Errorf("the update took the success of its write for the state of the store, version %s", doc.Version)
	}
}

// An update that is under way when the store is restored has written to a state that
// is gone: the change is made again, once.
func TestChangeLostInARestoreIsMadeAgain(t *testing.T) {
	api := &restoredAPI{era: 1}
	w := NewWriter(api, "writer")
	if _, err := Update(t.Context(), w, testKey, func(c *counter) error {
		c.Marks = append(c.Marks, "before")
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	older := api.object
	calls := 0
	doc, err := Update(t.Context(), w, testKey, func(c *counter) error {
		if calls++; calls == 1 {
			// The read was of the era before; the write meets the restored object.
			api.object, api.era = Object{Key: testKey, Version: nutmegid.NewVersion(2, 7), Value: older.Value}, 2
		}
		c.Marks = append(c.Marks, "after")
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"before", "after"}, doc.Body.Marks); diff != "" {
		t.Errorf("marks (-want +got):\n%s", diff)
	}
}
