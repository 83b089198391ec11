package nutmegconn

import (
	"errors"
	"io"
	"net/http"
)

// Response is the answer to one request. It must be closed.
type Response struct {
	*http.Response
	pool  *Pool
	conn  *conn
	stop  func() bool // ends the watch on the request's context
	ended bool        // the body was read to its end
	done  bool
}

func newResponse(p *Pool, c *conn, resp *http.Response, stop func() bool) *Response {
	r := &Response{Response: resp, pool: p, conn: c, stop: stop}
	c.idleLimit = idleLimitOf(resp, p.cfg.IdleLimit)
	r.Body = &body{from: resp.Body, response: r}
	return r
}

// Close keeps the connection for other requests if the answer has ended whole
// and nothing follows it, and closes it otherwise.
func (r *Response) Close() {
	if r.done {
		return
	}
	r.done = true
	inTime := r.stop()
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0
	if !inTime || !r.ended || !framed || r.Response.Close || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn)
}

// body notes the end of an answer's body.
type body struct {
	from     io.ReadCloser
	response *Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.ended = true
	}
	return n, err
}

// Close implements io.Closer. The connection is closed by Response.Close.
func (b *body) Close() error {
	return nil
}
