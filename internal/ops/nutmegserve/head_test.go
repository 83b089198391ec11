package nutmegserve

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestHeadMeterCountsTheHeadOnly(t *testing.T) {
	tests := []struct {
		name, text   string
		bytes, lines int
		ended        bool
	}{
		{"nothing", "", 0, 0, false},
		{"part of a line", "GET / HT", 8, 0, false},
		{"head", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27, 3, true},
		{"line feeds only", "GET / HTTP/1.1\nHost: h\n\n", 24, 3, true},
		{"body behind it", "GET / HTTP/1.1\r\n\r\na\n\n\nb", 18, 2, true},
		{"empty lines before it", "\r\n\n\r\nGET / HTTP/1.1\r\n\r\n", 23, 5, true},
		{"carriage returns in a line", "GET /\r\r\n\r\r\n", 11, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m headMeter
			m.add([]byte(tt.text))
			if m.bytes != tt.bytes || m.lines != tt.lines || m.ended != tt.ended {
				t.Errorf("%d bytes, %d lines, ended %v; want %d, %d, %v", m.bytes, m.lines, m.ended, tt.bytes, tt.lines, tt.ended)
			}
		})
	}
}

// FuzzHeadMeter checks that the count does not depend on how a head is cut into parts,
// and that it ends where net/http's does.
func FuzzHeadMeter(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\nbody\n\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nA: b\r\n c\r\n\r\n\r\n\r\n", "a\r\r\n\r\r\n\r\n", "\n\n\n", "",
	} {
		f.Add(text, 1)
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		var whole, cut headMeter
		whole.add([]byte(text))
		size = max(size, 1)
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			cut.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		if diff := cmp.Diff(whole, cut, cmp.AllowUnexported(headMeter{})); diff != "" {
			t.Errorf("counted in parts of %d (-whole +parts):\n%s", size, diff)
		}
		if whole.bytes > len(text) || whole.lines != strings.Count(text[:whole.bytes], "\n") {
			t.Errorf("%d bytes and %d lines of %q", whole.bytes, whole.lines, text)
		}
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		if _, err := http.ReadRequest(reader); err == nil {
			if read := len(text) - source.Len() - reader.Buffered(); !whole.ended || whole.bytes != read {
				t.Errorf("head of %d bytes, ended %v; net/http read %d of %q", whole.bytes, whole.ended, read, text)
			}
		}
	})
}
