package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// costBenchmarkFleet starts one instance and as many engines as the streams fill
// to half of their capacity.
func costBenchmarkFleet(b *testing.B, streams int, tokenTime time.Duration) *Fleet {
	b.Helper()
	f, err := NewFleet(FleetConfig{
		Instances: 1, Engines: (streams + 31) / 32, TokenTime: tokenTime,
		Settings: "[budget]\nmin_lease_tokens = 1_000_000_000",
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := f.Close(); err != nil {
			b.Errorf("fleet did not stop: %v", err)
		}
	})
	owners := []OwnerSpec{{Name: "kaca", Tokens: 1e12}}
	if err := f.Setup(b.Context(), owners, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 5e11}}); err != nil {
		b.Fatal(err)
	}
	return f
}

func costRequestBody(b *testing.B, f *Fleet, tokens int) []byte {
	b.Helper()
	body, err := json.Marshal(map[string]any{
		"model": f.cfg.Model, "messages": messages("one sheet, cut for a surau"), "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		b.Fatal(err)
	}
	return body
}

// countingReader counts the events of a stream and records the time to the first.
type countingReader struct {
	events *atomic.Int64
	began  time.Time
	first  time.Duration
}

func (c *countingReader) Write(p []byte) (int, error) {
	n := bytes.Count(p, []byte("data: "))
	if n > 0 && c.first == 0 {
		c.first = time.Since(c.began)
	}
	c.events.Add(int64(n))
	return len(p), nil
}

var errChatRefused = errors.New("request was refused")

// streamChat sends one chat to a URL and returns the time to its first token.
func streamChat(ctx context.Context, client *http.Client, url string, body []byte, events *atomic.Int64) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey("rack"))
	reader := &countingReader{events: events, began: time.Now()}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, errChatRefused
	}
	_, err = io.Copy(reader, resp.Body)
	return reader.first, err
}

// streamUntilAnswered repeats a request until it is not refused. The first
// requests may arrive before the instance's leases have grown.
func streamUntilAnswered(ctx context.Context, client *http.Client, url string, body []byte, events *atomic.Int64) error {
	for ctx.Err() == nil {
		_, err := streamChat(ctx, client, url, body, events)
		if !errors.Is(err, errChatRefused) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// cpuTime returns the processor time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTokenPath streams answers through one instance and, in the same run,
// directly from the engines. The difference in cpu-ns/event is the cost of the
// instance.
func BenchmarkTokenPath(b *testing.B) {
	for _, streams := range []int{100, 300, 1000} {
		f := costBenchmarkFleet(b, streams, 5*time.Millisecond)
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
		b.Run(fmt.Sprintf("direct/streams=%d", streams), func(b *testing.B) {
			streamAll(b, f, client, streams, func(n int) string { return engineURL(f, n) })
		})
		b.Run(fmt.Sprintf("routed/streams=%d", streams), func(b *testing.B) {
			streamAll(b, f, client, streams, func(int) string { return "http://" + f.Nodes[0].Addresses().Callers })
		})
	}
}

func engineURL(f *Fleet, n int) string {
	return f.Upstreams[nutmegid.Upstream(fmt.Sprintf("engine-%d", n%len(f.Engines)+1))].URL
}

// costAnswerTokens is the length of an answer: 760 requests make 211,000 tokens.
const costAnswerTokens = 278

func streamAll(b *testing.B, f *Fleet, client *http.Client, streams int, url func(n int) string) {
	b.Helper()
	body := costRequestBody(b, f, costAnswerTokens)
	var events atomic.Int64
	began := cpuTime(b)
	b.ResetTimer()
	for range b.N {
		var all sync.WaitGroup
		for n := range streams {
			all.Go(func() {
				if err := streamUntilAnswered(b.Context(), client, url(n), body, &events); err != nil {
					b.Errorf("stream: %v", err)
				}
			})
		}
		all.Wait()
	}
	b.StopTimer()
	b.ReportMetric(float64(cpuTime(b)-began)/float64(events.Load()), "cpu-ns/event")
	b.ReportMetric(float64(events.Load())/b.Elapsed().Seconds(), "events/s")
}

// BenchmarkAddedFirstToken alternates between requests to an engine and through
// the instance, and compares their times to the first token while the instance
// carries 500 streams.
func BenchmarkAddedFirstToken(b *testing.B) {
	const background = 500
	f := costBenchmarkFleet(b, background+64, 31*time.Millisecond)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: background}}
	routed := "http://" + f.Nodes[0].Addresses().Callers
	ctx := b.Context()
	var ending atomic.Bool
	var events atomic.Int64
	var all sync.WaitGroup
	long := costRequestBody(b, f, 300)
	for range background {
		all.Go(func() {
			for !ending.Load() {
				_ = streamUntilAnswered(ctx, client, routed, long, &events)
			}
		})
	}
	for events.Load() < 4*background {
		time.Sleep(10 * time.Millisecond)
	}
	short := costRequestBody(b, f, 1)
	var times [2][]time.Duration
	for n := 0; b.Loop(); n++ {
		for way, url := range []string{engineURL(f, n), routed} {
			first, err := streamChat(ctx, client, url, short, &events)
			if err != nil {
				b.Fatal(err)
			}
			times[way] = append(times[way], first)
		}
	}
	ending.Store(true) // lets the streams finish, because stopping the fleet does not wait for unread answers
	all.Wait()
	for way, name := range []string{"direct", "routed"} {
		slices.Sort(times[way])
		b.ReportMetric(float64(times[way][len(times[way])/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(times[way][len(times[way])*99/100].Microseconds()), name+"-p99-us")
	}
}
