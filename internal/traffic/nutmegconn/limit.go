package nutmegconn

import (
	"errors"
	"io"
	"math"
)

// unlimited is a limit that is never reached.
const unlimited = math.MaxInt64

// errHeadTooLarge means that an upstream sends more bytes than the head of a
// response may have.
var errHeadTooLarge = errors.New("the head of the response is too large")

// limitReader fails once a number of bytes has been read from a connection.
type limitReader struct {
	from io.Reader
	left int64 // bytes that may still be read
}

// Read implements io.Reader.
func (r *limitReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.from.Read(p)
	if r.left != unlimited {
		r.left -= int64(n)
	}
	return n, err
}
