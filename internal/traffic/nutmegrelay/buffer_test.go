package nutmegrelay

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
)

// limitedMemory is a call's memory of a few bytes.
type limitedMemory struct {
	left int64
}

// Take implements nutmegcall.Memory.
func (m *limitedMemory) Take(bytes int64) bool {
	if bytes > m.left {
		return false
	}
	m.left -= bytes
	return true
}

// Release implements nutmegcall.Memory.
func (m *limitedMemory) Release(bytes int64) {
	m.left += bytes
}

// TestBufferedBodiesStayInMemory guards against answers that fill the memory of a small
// instance while their callers do not read.
func TestBufferedBodiesStayInMemory(t *testing.T) {
	tests := []struct {
		name   string
		memory int64
		size   int
		stated bool
		fits   bool
	}{
		{"small", 2 << 10, 800, true, true},
		{"small, of unstated size", 2 << 10, 800, false, true},
		{"empty", 2 << 10, 0, true, true},
		{"over the memory", 20 << 10, 100 << 10, true, false},
		{"over the memory, of unstated size", 20 << 10, 100 << 10, false, false},
		{"of the largest size", 1 << 20, maxBufferedBytes, false, true},
		{"one byte more", 1 << 20, maxBufferedBytes + 1, false, false},
		{"far more, stated", 1 << 20, 4 * maxBufferedBytes, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			memory := &limitedMemory{left: tt.memory}
			text := strings.Repeat("x", tt.size)
			source := strings.NewReader(text)
			resp := &nutmegconn.Response{Response: &http.Response{Body: io.NopCloser(source), ContentLength: -1}}
			if tt.stated {
				resp.ContentLength = int64(tt.size)
			}
			b := &buffer{memory: memory}
			err := b.read(resp)
			if tt.fits && err != nil || !tt.fits && !errors.Is(err, errTooLarge) {
				t.Errorf("error %v", err)
			}
			if string(b.bytes) != text[:tt.size-source.Len()] {
				t.Errorf("%d bytes are held of %d that were read", len(b.bytes), tt.size-source.Len())
			}
			if held := tt.memory - memory.left; int64(cap(b.bytes)) > held {
				t.Errorf("%d bytes are taken for a buffer of %d", held, cap(b.bytes))
			}
			b.release()
			if memory.left != tt.memory {
				t.Errorf("%d bytes are left after the release, want %d", memory.left, tt.memory)
			}
		})
	}
}
