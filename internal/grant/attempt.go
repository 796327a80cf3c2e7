package grant

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

// attemptState is the lifecycle state of an attempt.
type attemptState int

const (
	stateNew attemptState = iota
	stateWaiting
	stateRunning
	stateOrphan // reported by its entry, but its upstream is not known yet
	stateEnded
)

// attempt is one attempt of a request, from its arrival to the release of its slot.
type attempt struct {
	req             SlotRequest
	state           attemptState
	sequence        uint64 // order of arrival
	arrived         Time
	virtualDeadline Time // order within a caller's queue
	pool            *pool
	demand          *demandStats
	expected        int // tokens
	long            bool
	upstream        *upstream
	started         Time // when the slot was granted
	probe           bool // probes an avoided upstream
	due             Time // key in the timer heap that holds the attempt
	heapIndex       int  // position in that heap; -1: in no heap

	incarnation    uint64 // upstream's incarnation, of a reported attempt
	orphanUpstream string // upstream id of an orphan
}

// classIndex maps a class to its rank; the most urgent class has rank 0.
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
	h.items[i].heapIndex = i
	h.items[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	a := x.(*attempt)
	a.heapIndex = len(h.items)
	h.items = append(h.items, a)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(h.items) - 1
	a := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	a.heapIndex = -1
	return a
}

func (h *timerHeap) add(a *attempt, due Time) {
	a.due = due
	heap.Push(h, a)
}

func (h *timerHeap) remove(a *attempt) {
	if a.heapIndex >= 0 && a.heapIndex < len(h.items) && h.items[a.heapIndex] == a {
		heap.Remove(h, a.heapIndex)
	}
}

func (h *timerHeap) earliest() (Time, bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].due, true
}

// popDue removes and returns the earliest attempt that is due at now, or nil.
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

// latestEnd returns the time after which a running attempt of a lost entry can't be
// running any more: the entry itself cuts it off at its deadline or after MaxAttemptTime.
func (c *Core) latestEnd(a *attempt) Time {
	end := a.started + c.settings.MaxAttemptTime
	if a.req.Deadline > 0 {
		end = min(end, a.req.Deadline)
	}
	return max(end, a.started+c.settings.UseBy) + endMargin
}

// endMargin covers the time between an entry's cutting an attempt off and the upstream's
// noticing it.
const endMargin = time.Second
