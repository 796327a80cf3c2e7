package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{start: time.Now(), file: f}, err
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
