package httpserver

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

const (
	maxPiece   = 16 << 10 // bytes written to the library at once
	maxPending = 32 << 10 // bytes that the library may hold back
)

// response keeps chunked writes away from the library's path for large ones, which
// frees its buffer and goes on using it: the bytes of another response can then be
// lost or mixed in.
type response struct {
	res     *nbhttp.Response
	conn    *conn
	pending int
	begun   bool
	sized   bool // the answer has a length and is not chunked
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) { r.res.WriteHeader(status) }

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	if !r.begun {
		r.begun = true
		r.sized = r.Header().Get("Content-Length") != ""
	}
	if r.sized {
		return r.res.Write(p)
	}
	written := 0
	for written < len(p) {
		piece := p[written:min(written+maxPiece, len(p))]
		n, err := r.res.Write(piece)
		if err != nil {
			return written, err
		}
		written += n
		r.pending += n
		if r.pending >= maxPending {
			r.Flush()
		}
	}
	return written, nil
}

// Flush implements http.Flusher.
func (r *response) Flush() {
	r.pending = 0
	r.res.Flush()
}

// Aborter is implemented by the response writers of this package.
type Aborter interface {
	// Abort closes the connection in the middle of the answer, so that the caller can't
	// take it for whole.
	Abort()
	// CloseAfter closes the connection after this answer; it must be called before the
	// answer's head is written.
	CloseAfter()
}

// Abort implements Aborter.
func (r *response) Abort() { r.conn.closeNow() }

// CloseAfter implements Aborter.
func (r *response) CloseAfter() {
	r.conn.mu.Lock()
	r.conn.ending = true
	r.conn.mu.Unlock()
	r.Header().Set("Connection", "close")
}
