// Package respbuf bounds what a process keeps in memory of upstreams' responses, each one
// and all of them together. An upstream may send bytes without end.
package respbuf

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned for a response beyond its own bound.
var ErrTooLarge = errors.New("the response is too large")

// ErrNoMemory is returned for the largest response in memory when all of them together are
// beyond their bound.
var ErrNoMemory = errors.New("the responses in memory are too large together")

const (
	// MaxHeadBytes bounds the heads of a response and of informational ones before it.
	MaxHeadBytes = 64 << 10
	// MaxHeldBytes bounds the whole bodies that an entry has in memory.
	MaxHeldBytes = 32 << 20
)

const (
	// minBuffer is the size in bytes of a body's first buffer, which doubles as it fills.
	minBuffer = 4 << 10
	// freeBytes is the size up to which a buffer does not count against the common bound, so
	// that ordinary responses never give way.
	freeBytes = 64 << 10
)

// Pool bounds the memory of all responses that are held whole. It is safe for concurrent
// use.
type Pool struct {
	maxBytes int

	mu      sync.Mutex
	held    int
	buffers map[*Buffer]struct{}
}

// NewPool returns a pool for at most maxBytes bytes.
func NewPool(maxBytes int) *Pool {
	return &Pool{maxBytes: maxBytes, buffers: map[*Buffer]struct{}{}}
}

// Buffer holds a whole body. It must be released when the body is no longer used.
type Buffer struct {
	Bytes []byte

	pool     *Pool
	cancel   func()
	counted  int
	complete bool
	evicted  bool
}

// Read reads a body of at most limit bytes to its end. length is its announced length, below
// 0 if there is none. When all bodies together are too large, cancel of the largest one that is
// being read is called, which must end its reads, and its Read returns ErrNoMemory. After an
// error there is nothing to release.
func (p *Pool) Read(body io.Reader, length, limit int64, cancel func()) (*Buffer, error) {
	if length > limit {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes are announced, %d are allowed", length, limit)
	}
	b := &Buffer{pool: p, cancel: cancel, Bytes: make([]byte, 0, minBuffer)}
	for {
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		switch {
		case int64(len(b.Bytes)) > limit:
			err = errors.Wrapf(ErrTooLarge, "%d bytes are allowed", limit)
		case errors.Is(err, io.EOF):
			if b.setComplete() {
				return b, nil
			}
			err = ErrNoMemory
		case err == nil && len(b.Bytes) == cap(b.Bytes):
			err = b.grow()
		}
		if err != nil {
			if b.Release() {
				err = ErrNoMemory
			}
			return nil, err
		}
	}
}

// grow doubles the buffer.
func (b *Buffer) grow() error {
	size := 2 * cap(b.Bytes)
	if size > freeBytes && !b.pool.reserve(b, size) {
		return ErrNoMemory
	}
	next := make([]byte, len(b.Bytes), size)
	copy(next, b.Bytes)
	b.Bytes = next
	return nil
}

// reserve counts a buffer with its new size and evicts the largest ones while all together
// are too large. It reports whether the buffer was spared.
func (p *Pool) reserve(b *Buffer, size int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.evicted {
		return false
	}
	p.held += size - b.counted
	b.counted = size
	p.buffers[b] = struct{}{}
	for p.held > p.maxBytes {
		p.evict(p.largest())
	}
	return !b.evicted
}

// largest returns the largest buffer whose body is being read. Closing another one would free
// nothing.
func (p *Pool) largest() *Buffer {
	var out *Buffer
	for b := range p.buffers {
		if !b.complete && (out == nil || b.counted > out.counted) {
			out = b
		}
	}
	return out
}

// evict stops counting a buffer and ends its Read.
func (p *Pool) evict(b *Buffer) {
	b.evicted = true
	p.remove(b)
	b.cancel()
}

func (p *Pool) remove(b *Buffer) {
	delete(p.buffers, b)
	p.held -= b.counted
	b.counted = 0
}

// setComplete marks the body as read to its end, unless it was evicted before.
func (b *Buffer) setComplete() bool {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.complete = !b.evicted
	return b.complete
}

// Release gives the buffer's memory back, and reports whether it was evicted before.
func (b *Buffer) Release() (evicted bool) {
	if b == nil {
		return false
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if !b.evicted {
		b.pool.remove(b)
	}
	return b.evicted
}

const (
	// bytesPerToken bounds the size of a streamed token, with the log probabilities of
	// alternatives and the framing of its event.
	bytesPerToken = 4 << 10
	// streamOverhead is the size allowed beside the tokens, for comments and the end mark.
	streamOverhead = 64 << 10
	// unknownStreamBytes bounds a stream whose length in tokens is not known.
	unknownStreamBytes = 4 << 20
)

// StreamLimit returns the bound in bytes of a stream of at most maxTokens tokens; 0: unknown.
func StreamLimit(maxTokens int) int64 {
	if maxTokens <= 0 {
		return unknownStreamBytes
	}
	return int64(maxTokens)*bytesPerToken + streamOverhead
}

// Limit returns a reader of r that fails with ErrTooLarge after n bytes.
func Limit(r io.Reader, n int64) io.Reader { return &LimitedReader{r, n} }

// LimitedReader reads from R and fails with ErrTooLarge once Left bytes were read. Left may be
// set anew between reads.
type LimitedReader struct {
	R    io.Reader
	Left int64
}

// Read implements io.Reader.
func (l *LimitedReader) Read(p []byte) (int, error) {
	if l.Left <= 0 {
		return 0, ErrTooLarge
	}
	n, err := l.R.Read(p[:min(int64(len(p)), l.Left)])
	l.Left -= int64(n)
	return n, err
}
