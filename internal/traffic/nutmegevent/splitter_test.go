package nutmegevent

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

const stream = "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: comment\n\nid: 3\ndata: three\n\n"

func TestSplitterReturnsSameEventsForAnyChunkSize(t *testing.T) {
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		got := ""
		for at := 0; at < len(stream); at += size {
			got += string(s.Add([]byte(stream[at:min(at+size, len(stream))])))
		}
		if diff := cmp.Diff(stream, got); diff != "" {
			t.Fatalf("output for chunks of %d bytes (-want +got):\n%s", size, diff)
		}
		if s.Events != 3 || s.LastID != "3" || len(s.Pending()) != 0 {
			t.Fatalf("chunks of %d bytes: %d events, last ID %q, %d bytes pending; want 3, \"3\", 0", size, s.Events, s.LastID, len(s.Pending()))
		}
	}
}

func TestSplitterBuffersIncompleteEvent(t *testing.T) {
	var s Splitter
	complete := string(s.Add([]byte("id: 1\ndata: one\n\nid: 2\ndata: tw")))
	if diff := cmp.Diff("id: 1\ndata: one\n\n", complete); diff != "" {
		t.Errorf("complete events (-want +got):\n%s", diff)
	}
	if s.Events != 1 || s.LastID != "1" {
		t.Errorf("%d events, last ID %q; want 1, \"1\"", s.Events, s.LastID)
	}
	s.Reset()
	complete = string(s.Add([]byte("id: 2\ndata: two\n\n")))
	if diff := cmp.Diff("id: 2\ndata: two\n\n", complete); diff != "" {
		t.Errorf("events of the resumed stream (-want +got):\n%s", diff)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte(stream), 7)
	f.Add([]byte("\n\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		if size < 1 {
			size = 1
		}
		var whole, chunks Splitter
		want := string(whole.Add(text))
		got := ""
		for at := 0; at < len(text); at += size {
			got += string(chunks.Add(text[at:min(at+size, len(text))]))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("output for chunks of %d bytes (-whole +chunks):\n%s", size, diff)
		}
		if whole.Events != chunks.Events || whole.LastID != chunks.LastID {
			t.Errorf("chunks of %d bytes: %d events, last ID %q; want %d, %q as for the whole input", size, chunks.Events, chunks.LastID, whole.Events, whole.LastID)
		}
	})
}
