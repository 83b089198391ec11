package nutmegledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// fullLine returns a line with fields of typical length.
func fullLine(n int) Line {
	return Line{
		Request: nutmegid.NewRequestID(), Workspace: nutmegid.Workspace(fmt.Sprintf("workspace-%04d", n%2600)),
		Owner: "kaca_amanah", Upstream: nutmegid.Upstream(fmt.Sprintf("drafter-%05d", n%12_000)),
		Model: "drafter", Tokens: nutmegid.Tokens(n % 4000), Exact: true, EndedAt: time.Now(),
	}
}

var sizes = []int{1_000, 10_000, 100_000}

// BenchmarkFold measures reading and folding a ledger of segments or of pages.
func BenchmarkFold(b *testing.B) {
	for _, lines := range sizes {
		for _, compacted := range []bool{false, true} {
			b.Run(fmt.Sprintf("lines=%d/pages=%t", lines, compacted), func(b *testing.B) {
				m := newMemoryStore()
				for first := 0; first < lines; first += 500 {
					var segment []Line
					for n := range 500 {
						segment = append(segment, fullLine(first+n))
					}
					m.put(b, uint64(first+1), segment)
				}
				if compacted {
					if _, err := Compact(context.Background(), nutmegstore.NewWriter(m, "c"), m, 1); err != nil {
						b.Fatal(err)
					}
				}
				bytes := 0
				for _, object := range m.objects {
					bytes += len(object.Value)
				}
				for b.Loop() {
					if _, err := Fold(context.Background(), m); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(bytes)/float64(lines), "bytes/line")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(lines), "ns/line")
			})
		}
	}
}

// BenchmarkCopies measures encoding, decoding and storing batches of replicated
// lines, as in a transfer between instances.
func BenchmarkCopies(b *testing.B) {
	for _, size := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("lines=%d", size), func(b *testing.B) {
			replicas := NewReplicaStore(time.Now)
			batch := Batch{Writer: "w", First: 1}
			for n := range size {
				batch.Lines = append(batch.Lines, fullLine(n))
			}
			bytes := 0
			for b.Loop() {
				raw, err := EncodeBatch(batch)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(raw)
				received, err := DecodeBatch(raw)
				if err != nil {
					b.Fatal(err)
				}
				replicas.Add(received)
				batch.Confirmed = batch.First + uint64(size) - 1
				batch.First += uint64(size)
			}
			b.ReportMetric(float64(bytes)/float64(size), "bytes/line")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/line")
		})
	}
}
