package scheduler

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/upstream"
)

// Guards against a scheduler that runs out of memory as the upstreams of its cell answer without end.
func TestReadState_ManyWithoutEnd(t *testing.T) {
	is := is.New(t)
	const upstreams = 126               // of a cell at the target
	const maxHeapGrowth = 256 << 20 / 2 // half of the smallest VM
	stop := make(chan struct{})
	var reading, failed atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `"`)
		block := bytes.Repeat([]byte("x"), 64<<10)
		for sent := 0; err == nil && sent < maxResponseBytes/2; sent += len(block) {
			_, err = w.Write(block)
		}
		reading.Add(1)
		<-stop
	}))
	defer srv.Close()
	s := &Server{responses: respbuf.NewPool(maxHeldBytes)}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var reads sync.WaitGroup
	for range upstreams {
		reads.Go(func() {
			client := newSingleConnClient()
			defer client.CloseIdleConnections()
			var state upstream.State
			if s.doJSON(ctx, client, http.MethodGet, strings.TrimPrefix(srv.URL, "http://")+upstream.PathState, nil, &state) != nil {
				failed.Add(1)
			}
		})
	}
	for end := time.Now().Add(30 * time.Second); reading.Load() < upstreams && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	t.Logf("%d MiB in use, %d before", during.HeapInuse>>20, before.HeapInuse>>20)
	close(stop)
	reads.Wait()
	is.Equal(failed.Load(), int64(upstreams))
	is.True(during.HeapInuse < before.HeapInuse+maxHeapGrowth)
}
