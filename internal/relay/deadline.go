package relay

import (
	"sync"
	"time"
)

// deadline is that of the reads or the writes of a connection. It can be moved while one waits.
type deadline struct {
	mu          sync.Mutex
	at          time.Time // zero: none
	timer       *time.Timer
	passed      chan struct{} // closed once it has passed
	isPassed    bool
	interrupt   func() // ends a running operation; nil: operations wait on passed
	running     bool   // between begin and end
	interrupted bool   // by the running operation
}

func newDeadline(interrupt func()) *deadline {
	return &deadline{passed: make(chan struct{}), interrupt: interrupt}
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if d.isPassed {
		d.isPassed = false
		d.passed = make(chan struct{})
	}
	d.at = at
	if at.IsZero() {
		return
	}
	wait := time.Until(at)
	if wait <= 0 {
		d.pass()
		return
	}
	d.timer = time.AfterFunc(wait, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		// Stop does not hold back a timer that has fired.
		if d.at.Equal(at) && !d.isPassed {
			d.pass()
		}
	})
}

// pass requires that d.mu is held.
func (d *deadline) pass() {
	d.isPassed = true
	close(d.passed)
	if d.running && !d.interrupted {
		d.interrupted = true
		d.interrupt()
	}
}

// wait returns a channel that is closed once the deadline has passed.
func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

// begin starts an operation that the deadline interrupts. It returns false if it has passed already.
func (d *deadline) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isPassed {
		return false
	}
	d.running = true
	return true
}

// end ends an operation and reports whether it was interrupted.
func (d *deadline) end() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running = false
	return d.interrupted
}

// stop releases the timer.
func (d *deadline) stop() { d.set(time.Time{}) }
