package grant

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// attemptState is the life of one attempt inside the core.
type attemptState int

const (
	stateNew attemptState = iota
	stateWaiting
	stateRunning
	stateOrphan // reported by its entry, on an upstream that is not known yet
	stateEnded
)

// attempt is one ask, from its arrival to the return of its slot.
type attempt struct {
	ask      Ask
	state    attemptState
	sequence uint64 // order of arrival
	at       Time   // arrival
	virtual  Time   // virtual deadline: order within a caller's queue
	pool     *pool
	usage    *usage
	expected int // tokens
	long     bool
	upstream *upstream
	began    Time // when the slot was granted
	probe    bool // the grant tests an upstream that is avoided
	due      Time // key in the heap that holds the attempt
	index    int  // place in that heap

	incarnation uint64 // of the upstream, for an orphan
	orphanOf    string // upstream of an orphan
}

// classIndex maps a class to its rank, the most urgent first.
func classIndex(c wire.Class) int {
	switch c {
	case wire.Class_CLASS_INTERACTIVE:
		return 0
	case wire.Class_CLASS_BATCH:
		return 2
	default:
		return 1
	}
}

const classCount = 3

// timerHeap orders attempts by due time, then by arrival.
type timerHeap struct{ items []*attempt }

func (h *timerHeap) Len() int { return len(h.items) }

func (h *timerHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

func (h *timerHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index = i
	h.items[j].index = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	a := x.(*attempt)
	a.index = len(h.items)
	h.items = append(h.items, a)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(h.items) - 1
	a := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	a.index = -1
	return a
}

func (h *timerHeap) add(a *attempt, due Time) {
	a.due = due
	heap.Push(h, a)
}

func (h *timerHeap) remove(a *attempt) {
	if a.index >= 0 && a.index < len(h.items) && h.items[a.index] == a {
		heap.Remove(h, a.index)
	}
}

func (h *timerHeap) first() (Time, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].due, true
}

// popDue returns the earliest attempt that is due by now, or nil.
func (h *timerHeap) popDue(now Time) *attempt {
	if len(h.items) == 0 || h.items[0].due > now {
		return nil
	}
	return heap.Pop(h).(*attempt)
}

// waitingInOrder returns the waiting attempts in order of arrival.
func (c *Core) waitingInOrder() []*attempt {
	list := slices.Clone(c.deadlines.items)
	sortBySequence(list)
	return list
}

func sortBySequence(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int { return cmp.Compare(a.sequence, b.sequence) })
}

// lifeEnd is the time after which a running attempt of a lost entry can't run any more:
// the entry itself cuts it at its deadline or at the longest life.
func (c *Core) lifeEnd(a *attempt) Time {
	end := a.began + c.set.LongestLife
	if a.ask.Deadline > 0 {
		end = min(end, a.ask.Deadline)
	}
	return max(end, a.began+c.set.UseBy) + lifeMargin
}

// lifeMargin covers the time between an entry's cut and the upstream's seeing it.
const lifeMargin = time.Second
