package nutmegroute

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const textEvent = `{"id":"s","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"content":"one "},"finish_reason":null}]}`

func TestParseChunk(t *testing.T) {
	for _, c := range []struct {
		data string
		want engineChunk
		fail bool
	}{
		{textEvent, engineChunk{Texts: 1}, false},
		{`{"choices":[{"delta":{"role":"assistant"}}]}`, engineChunk{}, false},
		{`{"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"},"finish_reason":"stop"}]}`, engineChunk{Texts: 2, Ended: true}, false},
		{`{"choices":[{"delta":{},"finish_reason":"abort"}]}`, engineChunk{Ended: true, Aborted: true}, false},
		{`{"choices":[],"usage":{"prompt_tokens":3,"total_tokens":8}}`, engineChunk{Counted: true, Total: 8}, false},
		{`{"choices":[{"delta":{"content":"a"}}],"usage":null}`, engineChunk{Texts: 1}, false},
		{`{"usage":{"prompt_tokens":3}}`, engineChunk{}, true},
		{`{"usage":{"total_tokens":"8"}}`, engineChunk{}, true},
		{`{"usage":{"total_tokens":-1}}`, engineChunk{}, true},
		{`{"choices":"none"}`, engineChunk{}, true},
		{`{"choices":[`, engineChunk{}, true},
		{`[]`, engineChunk{}, true},
		{``, engineChunk{}, true},
	} {
		got, err := parseChunk(c.data)
		if diff := cmp.Diff(c.fail, err != nil); diff != "" {
			t.Errorf("%s: error (-want +got):\n%s", c.data, diff)
		}
		if diff := cmp.Diff(c.want, got); diff != "" && !c.fail {
			t.Errorf("%s (-want +got):\n%s", c.data, diff)
		}
	}
}

func BenchmarkParseChunk(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := parseChunk(textEvent); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeChunk decodes the same event with encoding/json, for comparison.
func BenchmarkDecodeChunk(b *testing.B) {
	data := []byte(textEvent)
	b.ReportAllocs()
	for b.Loop() {
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
				FinishReason string `json:"finish_reason"`
			} `json:"choices"`
			Usage *struct {
				TotalTokens int64 `json:"total_tokens"`
			} `json:"usage"`
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEventID(b *testing.B) {
	ref := StreamRef{Request: "6a1f7a0e-5a52-4c8e-a7a9-2f4f6e1f3c10", Workspace: "rack", Owner: "kaca", Model: "drafter", Upstream: "engine-1", Stream: "0b7c", ReservedTokens: 900}
	w, err := NewSigner([]byte("key")).Writer(ref)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	var buf []byte
	for n := 0; b.Loop(); n++ {
		buf = w.AppendID(buf[:0], Offset(n))
	}
}
