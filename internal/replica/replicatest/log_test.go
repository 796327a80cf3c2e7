package replicatest

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowMachine is a state machine that applies an entry only when apply is closed.
type slowMachine struct {
	applying chan struct{}
	apply    chan struct{}
}

func (m *slowMachine) Apply(uint64, []byte) []byte {
	close(m.applying)
	<-m.apply
	return nil
}

func (m *slowMachine) Snapshot() ([]byte, error)    { return nil, nil }
func (m *slowMachine) Restore(uint64, []byte) error { return nil }

func TestStatus_WhileEntryIsApplied(t *testing.T) {
	is := is.New(t)
	m := &slowMachine{applying: make(chan struct{}), apply: make(chan struct{})}
	l := New(m)
	var wg sync.WaitGroup
	wg.Go(func() { _, _, _ = l.Propose(t.Context(), nil) })
	<-m.applying
	answered := make(chan uint64, 1)
	go func() { answered <- l.Status().Applied }()
	select {
	case applied := <-answered:
		is.Equal(applied, uint64(0)) // the entry has not been applied yet
	case <-time.After(5 * time.Second):
		t.Error("Status waits for the state machine")
	}
	close(m.apply)
	wg.Wait()
	is.Equal(l.Status().Applied, uint64(1))
}
