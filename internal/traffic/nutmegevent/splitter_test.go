package nutmegevent

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const stream = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: 3\ndata: three\n\n"

func TestSplitterGivesWholeEventsHoweverTheBytesCome(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		got := ""
		for at := 0; at < len(stream); at += size {
			got += string(s.Add([]byte(stream[at:min(at+size, len(stream))])))
		}
		if diff := cmp.Diff(stream, got); diff != "" {
			t.Fatalf("bytes in parts of %d (-want +got):\n%s", size, diff)
		}
		if s.Events != 3 || s.LastID != "3" || len(s.Held()) != 0 {
			t.Fatalf("in parts of %d: %d events, last id %q, %d bytes held; want 3, \"3\", 0", size, s.Events, s.LastID, len(s.Held()))
		}
	}
}

func TestSplitterHoldsABrokenEvent(t *testing.T) {
	var s Splitter
	whole := string(s.Add([]byte("id: 1\ndata: one\n\nid: 2\ndata: tw")))
	if diff := cmp.Diff("id: 1\ndata: one\n\n", whole); diff != "" {
		t.Errorf("whole events (-want +got):\n%s", diff)
	}
	if s.Events != 1 || s.LastID != "1" {
		t.Errorf("%d events, last id %q; want 1, \"1\"", s.Events, s.LastID)
	}
	s.Reset()
	whole = string(s.Add([]byte("id: 2\ndata: two\n\n")))
	if diff := cmp.Diff("id: 2\ndata: two\n\n", whole); diff != "" {
		t.Errorf("events of the stream that goes on (-want +got):\n%s", diff)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream), 7)
	f.Add([]byte("\n\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		if size < 1 {
			size = 1
		}
		var whole, parts Splitter
		want := string(whole.Add(text))
		got := ""
		for at := 0; at < len(text); at += size {
			got += string(parts.Add(text[at:min(at+size, len(text))]))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("in parts of %d (-whole +parts):\n%s", size, diff)
		}
		if whole.Events != parts.Events || whole.LastID != parts.LastID {
			t.Errorf("in parts of %d: %d events to %q, whole: %d to %q", size, parts.Events, parts.LastID, whole.Events, whole.LastID)
		}
	})
}
