package respbuf

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// endlessReader yields bytes until it is stopped.
type endlessReader struct {
	stop chan struct{}
	once sync.Once
}

func newEndlessReader() *endlessReader { return &endlessReader{stop: make(chan struct{})} }

func (r *endlessReader) cancel() { r.once.Do(func() { close(r.stop) }) }

func (r *endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.stop:
		return 0, errors.New("stopped")
	default:
		return len(p), nil
	}
}

func TestRead_Complete(t *testing.T) {
	is := is.New(t)
	p := NewPool(1 << 20)
	want := bytes.Repeat([]byte("0123456789"), 50_000)
	b, err := p.Read(bytes.NewReader(want), int64(len(want)), 1<<20, nil)
	is.NoErr(err)
	is.True(bytes.Equal(b.Bytes, want))
	is.True(p.held >= len(want))
	is.True(!b.Release())
	is.Equal(p.held, 0)
	is.Equal(len(p.buffers), 0)
}

func TestRead_BeyondItsLimit(t *testing.T) {
	is := is.New(t)
	p := NewPool(1 << 20)
	_, err := p.Read(strings.NewReader(""), 11, 10, nil)
	is.True(errors.Is(err, ErrTooLarge))
	_, err = p.Read(newEndlessReader(), -1, 100_000, nil)
	is.True(errors.Is(err, ErrTooLarge))
	is.Equal(p.held, 0)
}

// The largest body gives way, so that smaller ones are read to their end.
func TestRead_EndlessBesideOthers(t *testing.T) {
	is := is.New(t)
	p := NewPool(1 << 20)
	small := bytes.Repeat([]byte("x"), 200_000)
	held, err := p.Read(bytes.NewReader(small), -1, 1<<20, nil)
	is.NoErr(err)
	var readers sync.WaitGroup
	for range 8 {
		readers.Go(func() {
			endless := newEndlessReader()
			if _, err := p.Read(endless, -1, 1<<30, endless.cancel); !errors.Is(err, ErrNoMemory) {
				t.Error(err)
			}
		})
	}
	readers.Wait()
	b, err := p.Read(bytes.NewReader(small), -1, 1<<20, nil)
	is.NoErr(err)
	b.Release()
	is.True(!held.Release())
	is.Equal(p.held, 0)
	is.Equal(len(p.buffers), 0)
}

func TestLimit_Exceeded(t *testing.T) {
	is := is.New(t)
	b, err := io.ReadAll(Limit(strings.NewReader("0123456789"), 10))
	is.Equal(string(b), "0123456789")
	is.True(errors.Is(err, ErrTooLarge)) // the end was not seen
	_, err = io.ReadAll(Limit(strings.NewReader("0123456789"), 11))
	is.NoErr(err)
}

// pausingReader yields size bytes and then blocks until it is stopped.
type pausingReader struct {
	endlessReader
	size int
}

func (r *pausingReader) Read(p []byte) (int, error) {
	if r.size > 0 {
		n := min(len(p), r.size)
		r.size -= n
		return n, nil
	}
	<-r.stop
	return 0, errors.New("stopped")
}

// A body that was read to its end stays in memory whatever is closed, so that only those
// still being read give way.
func TestRead_LargestBodyIsComplete(t *testing.T) {
	is := is.New(t)
	p := NewPool(1 << 20)
	held, err := p.Read(bytes.NewReader(make([]byte, 300_000)), -1, 1<<20, func() { t.Error("a complete body gave way") })
	is.NoErr(err) // counts as 512 KiB
	var readers sync.WaitGroup
	errs := make(chan error, 2)
	for range 2 { // 256 KiB each
		r := &pausingReader{endlessReader: endlessReader{stop: make(chan struct{})}, size: 200_000}
		readers.Go(func() {
			_, err := p.Read(r, -1, 1<<20, r.cancel)
			errs <- err
		})
	}
	for full := false; !full; {
		p.mu.Lock()
		full = p.held == 1<<20
		p.mu.Unlock()
	}
	endless := newEndlessReader()
	_, err = p.Read(endless, -1, 1<<20, endless.cancel)
	is.True(errors.Is(err, ErrNoMemory))
	is.True(!held.Release())
	is.Equal(p.held%(256<<10), 0)
	p.mu.Lock()
	for b := range p.buffers {
		p.evict(b)
	}
	p.mu.Unlock()
	readers.Wait()
	is.True(errors.Is(<-errs, ErrNoMemory))
	is.True(errors.Is(<-errs, ErrNoMemory))
}
