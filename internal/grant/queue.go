package grant

import (
	"cmp"
	"slices"
)

// queue holds the waiting asks of one pool by class. Within a class the caller with the
// fewest attempts running comes first, among equals the one that was served least, and
// within a caller the earliest virtual deadline.
type queue struct {
	fifo    bool
	delays  [classCount]Time
	classes [classCount]classQueue
	size    int
}

func newQueue(s Settings) queue {
	return queue{
		fifo:   s.Queue == QueueFIFO,
		delays: [classCount]Time{0, s.NormalDelay, s.BatchDelay},
	}
}

// classQueue holds the waiting asks of one class.
type classQueue struct {
	callers  []*callerQueue // in order of first arrival
	byName   map[string]*callerQueue
	arrivals []*attempt // in order of arrival; ended ones are dropped lazily
	virtual  float64    // served share of the caller that was served last
	size     int
}

// callerQueue holds the waiting asks of one caller.
type callerQueue struct {
	name    string
	running int        // attempts of the class that run
	share   float64    // tokens served so far, on the class's virtual clock
	items   []*attempt // by virtual deadline, then arrival
}

func (q *queue) classOf(a *attempt) int {
	if q.fifo {
		return 0
	}
	return classIndex(a.ask.Class)
}

func (q *queue) callerOf(a *attempt) string {
	if q.fifo {
		return ""
	}
	return a.ask.Caller
}

func compareVirtual(a, b *attempt) int {
	if n := cmp.Compare(a.virtual, b.virtual); n != 0 {
		return n
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (q *queue) add(a *attempt, patience Time) {
	a.virtual = a.at
	if !q.fifo {
		a.virtual = min(a.ask.Deadline, a.at+patience)
	}
	cq := &q.classes[q.classOf(a)]
	caller := cq.caller(q.callerOf(a))
	i, _ := slices.BinarySearchFunc(caller.items, a, compareVirtual)
	caller.items = slices.Insert(caller.items, i, a)
	cq.arrivals = append(cq.arrivals, a)
	cq.size++
	q.size++
}

// caller returns the caller's queue. A caller that was away starts at the class's
// virtual clock: it can't save up a share by staying away.
func (cq *classQueue) caller(name string) *callerQueue {
	if cq.byName == nil {
		cq.byName = map[string]*callerQueue{}
	}
	c, ok := cq.byName[name]
	if !ok {
		c = &callerQueue{name: name}
		cq.byName[name] = c
		cq.callers = append(cq.callers, c)
	}
	if len(c.items) == 0 {
		c.share = max(c.share, cq.virtual)
	}
	return c
}

// remove takes an attempt out; served charges its cost to the caller's share.
func (q *queue) remove(a *attempt, served bool) {
	cq := &q.classes[q.classOf(a)]
	caller := cq.byName[q.callerOf(a)]
	i, found := slices.BinarySearchFunc(caller.items, a, compareVirtual)
	if !found {
		return
	}
	caller.items = slices.Delete(caller.items, i, i+1)
	cq.size--
	q.size--
	if served {
		cq.virtual = max(cq.virtual, caller.share)
		caller.share += float64(max(1, a.expected))
	}
	cq.forgetIdle()
}

// forgetIdle drops callers that wait for nothing and have no share to remember.
func (cq *classQueue) forgetIdle() {
	if len(cq.callers) <= 2*cq.size+idleCallers {
		return
	}
	cq.callers = slices.DeleteFunc(cq.callers, func(c *callerQueue) bool {
		idle := len(c.items) == 0 && c.running == 0
		if idle {
			delete(cq.byName, c.name)
		}
		return idle
	})
}

// idleCallers is the number of callers without waiting asks that a class remembers.
const idleCallers = 64

// oldest returns the arrival of the longest waiting ask of a class that is not empty.
func (cq *classQueue) oldest() Time {
	for len(cq.arrivals) > 0 && cq.arrivals[0].state != stateWaiting {
		cq.arrivals[0] = nil
		cq.arrivals = cq.arrivals[1:]
	}
	if len(cq.arrivals) > 2*cq.size+idleCallers {
		cq.arrivals = slices.DeleteFunc(cq.arrivals, func(a *attempt) bool { return a.state != stateWaiting })
	}
	if len(cq.arrivals) == 0 {
		return 0
	}
	return cq.arrivals[0].at
}

// next returns the first attempt of the class that may run, or nil.
func (cq *classQueue) next(may func(*attempt) bool) *attempt {
	var best *attempt
	var from *callerQueue
	for _, c := range cq.callers {
		if len(c.items) == 0 || (from != nil && !c.before(from)) {
			continue
		}
		for _, a := range c.items {
			if may(a) {
				best, from = a, c
				break
			}
		}
	}
	return best
}

// before tells whether a caller is served before another one.
func (c *callerQueue) before(o *callerQueue) bool {
	if c.running != o.running {
		return c.running < o.running
	}
	return c.share < o.share
}

// runs counts an attempt of the caller that begins (1) or ends (-1).
func (q *queue) runs(a *attempt, n int) {
	cq := &q.classes[q.classOf(a)]
	cq.caller(q.callerOf(a)).running += n
	cq.forgetIdle()
}

// ahead estimates the asks of its class that are served before a newcomer: callers are
// served in turn, so a caller with few asks passes the backlog of another.
func (q *queue) ahead(newcomer *attempt) int {
	cq := &q.classes[q.classOf(newcomer)]
	own := len(cq.caller(q.callerOf(newcomer)).items)
	turns := 0
	for _, c := range cq.callers {
		turns += min(len(c.items), own+1)
	}
	return turns
}

// victim returns the waiting attempt that gives way when the queue is full and an ask
// of the given class comes: the last of the heaviest caller in the lowest class that is
// not more urgent. It returns nil when the newcomer itself would be the victim.
func (q *queue) victim(newcomer *attempt) *attempt {
	own := q.classOf(newcomer)
	for class := classCount - 1; class >= own; class-- {
		cq := &q.classes[class]
		heaviest := cq.heaviest()
		if heaviest == nil {
			continue
		}
		if class == own {
			mine := len(cq.caller(q.callerOf(newcomer)).items)
			if len(heaviest.items) <= mine+1 {
				return nil
			}
		}
		return heaviest.items[len(heaviest.items)-1]
	}
	return nil
}

// worst returns the waiting attempt that matters least, or nil.
func (q *queue) worst() *attempt {
	for class := classCount - 1; class >= 0; class-- {
		if h := q.classes[class].heaviest(); h != nil {
			return h.items[len(h.items)-1]
		}
	}
	return nil
}

func (cq *classQueue) heaviest() *callerQueue {
	var most *callerQueue
	for _, c := range cq.callers {
		if len(c.items) > 0 && (most == nil || len(c.items) > len(most.items)) {
			most = c
		}
	}
	return most
}
