package nutmegfeed

import (
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// feedAt returns a feed that has seen the changes up to a version.
func feedAt(version nutmegid.Version) *Feed {
	f := New(Config{Kind: testKind})
	f.log.add(version-1, nutmegstore.Changes{StoreVersion: version}, time.Now())
	return f
}

// A feeder that has not seen that the store was restored has the highest numbers, but
// nothing new (CONFIG: instances behind it missed what was written after the restore).
func TestFeederOfAnOlderEraConfirmsNothing(t *testing.T) {
	feeder := feedAt(nutmegid.NewVersion(1, 900))
	reply, err := feeder.ChangesSince(t.Context(), nutmegpeer.ChangesRequest{Kind: testKind, Since: nutmegid.NewVersion(2, 100)})
	if err != nil || !reply.Unconfirmed {
		t.Errorf("reply is %+v, %v, want an unconfirmed one", reply, err)
	}
}

// An instance that has not seen a restore cannot go on from its own version.
func TestFeederOfANewEraAsksOthersToListAgain(t *testing.T) {
	feeder := feedAt(nutmegid.NewVersion(2, 950))
	reply, err := feeder.ChangesSince(t.Context(), nutmegpeer.ChangesRequest{Kind: testKind, Since: nutmegid.NewVersion(1, 900)})
	if err != nil || !reply.Compacted {
		t.Errorf("reply is %+v, %v, want one that lacks changes", reply, err)
	}
}
