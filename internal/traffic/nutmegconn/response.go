package nutmegconn

import (
	"errors"
	"io"
	"net/http"
)

// Response is the response to a Request. The caller must close it.
type Response struct {
	*http.Response
	pool   *Pool
	conn   *conn
	stop   func() bool // stops closing the connection when the request's context ends
	atEOF  bool        // the body was read to EOF
	closed bool        // Close was called
}

func newResponse(p *Pool, c *conn, resp *http.Response, stop func() bool) *Response {
	r := &Response{Response: resp, pool: p, conn: c, stop: stop}
	c.idleTimeout = responseIdleTimeout(resp, p.cfg.IdleTimeout)
	r.Body = &body{body: resp.Body, response: r}
	return r
}

// Reused reports whether the connection had served an earlier request.
func (r *Response) Reused() bool {
	return r.conn.uses > 0
}

// EndsWithConnection reports whether the end of the connection is the only sign of
// the end of the body.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Close returns the connection to the pool if the response permits its reuse, the
// body was read to EOF and no further bytes were received. Otherwise it closes
// the connection.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	stopped := r.stop()
	if !stopped || !r.atEOF || !r.permitsReuse() {
		_ = r.conn.Close()
		return
	}
	r.conn.uses++
	r.pool.put(r.conn)
}

// permitsReuse reports whether the connection may carry another request after the
// body was read to EOF.
func (r *Response) permitsReuse() bool {
	return !r.EndsWithConnection() && !r.Response.Close && !r.conn.spoiled && r.conn.reader.Buffered() == 0
}

// body records when the body of a response has been read to EOF.
type body struct {
	body     io.ReadCloser
	response *Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.atEOF = true
	}
	return n, err
}

// Close implements io.Closer. The connection is closed by Response.Close.
func (b *body) Close() error {
	return nil
}
