package nutmegentry

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

var (
	errBodyMemory = errors.New("too many bytes of requests are in progress")
	errBodySize   = errors.New("the body is longer than its stated size")
)

// bodyMemory limits the memory of the buffered bodies of requests in progress.
type bodyMemory struct {
	limit int64 // bytes
	used  atomic.Int64
}

// take takes n bytes and reports whether there were as many.
func (m *bodyMemory) take(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) {
	m.used.Add(-n)
}

// readBody buffers a request's body so that it can be sent again on a retry. The
// returned function releases its share of the body memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, call *nutmegcall.Call) (func(), *nutmegcall.Refusal) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	limit := call.Limits.BodyBytes
	controller := http.NewResponseController(w)
	if limit > 0 && r.ContentLength > limit {
		leaveBody(controller)
		return nil, tooLarge()
	}
	_ = controller.SetReadDeadline(call.Deadline)
	memory := e.memoryOf(r.Context())
	if !memory.read(0) { // from now on, a connection that stands still may be given up
		leaveBody(controller)
		return nil, bodyRefusal(errBodyMemory)
	}
	reader := &accountedReader{from: r.Body, memory: memory}
	if limit > 0 {
		reader.from = http.MaxBytesReader(w, r.Body, limit)
	}
	body, taken, err := e.bodies.read(reader, r.ContentLength)
	release := func() { e.bodies.release(taken) }
	if err != nil {
		release()
		leaveBody(controller)
		return nil, bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	memory.begin()
	call.Body = body
	return release, nil
}

// leaveBody keeps net/http from waiting for the rest of a body that nobody reads.
func leaveBody(controller *http.ResponseController) {
	_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// read reads a body of the given size, or of unknown size if size is negative. It
// returns the number of bytes that it has taken of the memory, also on an error. It
// takes memory only for bytes that have arrived; the buffer may be twice as large.
func (m *bodyMemory) read(from io.Reader, size int64) (body []byte, taken int64, err error) {
	metered := &meteredReader{from: from, memory: m}
	switch {
	case size < 0:
		body, err = io.ReadAll(metered)
	case m.used.Load()+size > m.limit:
		err = errBodyMemory
	default:
		body, err = readSized(metered, size)
	}
	return body, metered.taken, err
}

// readSized reads a body of the given size.
func readSized(from io.Reader, size int64) ([]byte, error) {
	body := make([]byte, 0, min(size, firstBodyBytes))
	for int64(len(body)) < size {
		if len(body) == cap(body) {
			body = slices.Grow(body, int(min(size-int64(len(body)), bodyGrowth*int64(len(body)))))
		}
		part := body[len(body):min(int64(cap(body)), size)]
		n, err := from.Read(part)
		body = body[:len(body)+n]
		if err != nil && int64(len(body)) < size {
			return nil, err
		}
	}
	// The server only notices the end of the body on a read past its size.
	var more [1]byte
	if n, err := from.Read(more[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Join(errBodySize, err)
	}
	return body, nil
}

// accountedReader takes memory of a caller's connection for the bytes that it reads.
type accountedReader struct {
	from   io.Reader
	memory callMemory
}

// Read implements io.Reader.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && !r.memory.read(int64(n)) {
		return 0, errBodyMemory
	}
	return n, err
}

// meteredReader takes body memory for the bytes that it reads.
type meteredReader struct {
	from   io.Reader
	memory *bodyMemory
	taken  int64
}

// Read implements io.Reader.
func (r *meteredReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && !r.memory.take(int64(n)) {
		return 0, errBodyMemory
	}
	r.taken += int64(n)
	return n, err
}

func bodyRefusal(err error) *nutmegcall.Refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, errBodyMemory):
		return &nutmegcall.Refusal{Reason: nutmegcall.ReasonOutOfMemory, RetryAfter: refusalRetryAfter, Detail: err.Error()}
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonCallerLeft, Detail: "the body did not arrive: " + err.Error()}
}

func tooLarge() *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonTooLarge, Detail: "the body is over the limit"}
}
