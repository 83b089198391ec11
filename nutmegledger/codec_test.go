package nutmegledger

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBatchEncodingRoundTrip(t *testing.T) {
	l := fullLine(7)
	l.EndedAt = time.UnixMicro(1_765_000_000_123_456).UTC()
	want := Batch{Writer: "w", First: 3, Lines: []Line{l, line(1)}, Confirmed: 2}
	raw, err := EncodeBatch(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeBatch(raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b time.Time) bool { return a.Round(time.Microsecond).Equal(b.Round(time.Microsecond)) })); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
}

// FuzzDecodeBatch decodes arbitrary bytes: the batch must be rejected, or the
// number of replicated lines must not exceed the number of lines in it.
func FuzzDecodeBatch(f *testing.F) {
	raw, err := EncodeBatch(Batch{Writer: "w", First: 1, Lines: []Line{line(1)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := DecodeBatch(raw)
		if err != nil {
			return
		}
		replicas := NewReplicaStore(time.Now)
		replicas.Add(b)
		if replicas.Len() > len(b.Lines) {
			t.Errorf("store holds %d lines of a batch of %d", replicas.Len(), len(b.Lines))
		}
	})
}
