package nutmegtrace

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func benchmarkFleet(b *testing.B, cfg FleetConfig) *Fleet {
	b.Helper()
	cfg.CommitInterval = nutmegbudget.DefaultCommitInterval
	f, err := NewFleet(cfg)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	owners := []OwnerSpec{{Name: "kaca", Tokens: 1 << 40}}
	if err := f.Setup(b.Context(), owners, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 1 << 40}}); err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkIdleFleet measures what an instance costs without requests. An
// iteration takes one second. Processor time and memory include the platform
// stand-in, which runs in the same process.
func BenchmarkIdleFleet(b *testing.B) {
	for _, instances := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			before := heapBytes()
			f := benchmarkFleet(b, FleetConfig{Instances: instances, Engines: 1})
			time.Sleep(2 * time.Second)
			record, used := f.Platform.Record(), processorTime(b)
			began := time.Now()
			for b.Loop() {
				time.Sleep(time.Second)
			}
			perSecond := 1 / time.Since(began).Seconds() / float64(instances)
			after := f.Platform.Record()
			b.ReportMetric(float64(processorTime(b)-used)/1e6*perSecond, "cpu-ms/s/instance")
			b.ReportMetric(float64(after.Reads+after.Watches-record.Reads-record.Watches)*perSecond, "reads/s/instance")
			b.ReportMetric(float64(after.Writes-record.Writes)*perSecond, "writes/s/instance")
			b.ReportMetric((heapBytes()-before)/float64(instances)/1e6, "MB/instance")
		})
	}
}

// BenchmarkEntryPath measures one streamed chat through an instance and directly
// at the engine, for several lengths of answers. The difference is the cost of the
// instance, because caller and engine run in the same process both times.
func BenchmarkEntryPath(b *testing.B) {
	for _, tokens := range []nutmegid.Tokens{1, 16, 64, 256} {
		for _, way := range []string{"instance", "engine"} {
			b.Run(fmt.Sprintf("tokens=%d/%s", tokens, way), func(b *testing.B) {
				f := benchmarkFleet(b, FleetConfig{Instances: 1, Engines: 2, TokenTime: 200 * time.Microsecond})
				chat := Chat{Workspace: "rack", Prompt: strings.Repeat("x", 300), MaxTokens: tokens}
				used := processorTime(b)
				callInParallel(b, func(ctx context.Context) error {
					if way == "instance" {
						_, err := f.Chat(ctx, 0, chat)
						return err
					}
					return f.chatDirect(ctx, chat)
				})
				b.ReportMetric(float64(processorTime(b)-used)/1e3/float64(b.N), "cpu-us/request")
			})
		}
	}
}

const benchmarkCallers = 32

// callInParallel makes b.N calls from benchmarkCallers concurrent callers.
func callInParallel(b *testing.B, call func(ctx context.Context) error) {
	b.Helper()
	var wait sync.WaitGroup
	calls := make(chan struct{})
	for range benchmarkCallers {
		wait.Go(func() {
			for range calls {
				if err := call(b.Context()); err != nil {
					b.Error(err)
				}
			}
		})
	}
	b.ResetTimer()
	for range b.N {
		calls <- struct{}{}
	}
	close(calls)
	wait.Wait()
}

// chatDirect sends a chat to the first engine, bypassing the instances.
func (f *Fleet) chatDirect(ctx context.Context, c Chat) error {
	body := fmt.Sprintf(`{"model":%q,"messages":%s,"max_tokens":%d,"stream":true}`, f.Model, messages(c.Prompt), c.MaxTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Upstreams["engine-1"].URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var result Result
	return readStream(resp.Body, &result)
}
