package grant

import (
	"cmp"
	"slices"
)

// queue holds the waiting attempts of one pool by class. Within a class, the caller with
// the fewest running attempts is served first, among equals the one that was served least;
// within a caller, the attempt with the earliest virtual deadline.
type queue struct {
	fifo         bool
	ageingDelays [classCount]Time
	classes      [classCount]classQueue
	size         int
}

func newQueue(s Settings) queue {
	return queue{
		fifo:         s.Queue == QueueFIFO,
		ageingDelays: [classCount]Time{0, s.NormalDelay, s.BatchDelay},
	}
}

// classQueue holds the waiting attempts of one class.
type classQueue struct {
	callers     []*callerQueue // in order of first arrival
	byName      map[string]*callerQueue
	arrivals    []*attempt // in order of arrival; ended ones are removed lazily
	virtualTime float64    // highest virtual time at which a caller was served
	size        int
}

// callerQueue holds the waiting attempts of one caller.
type callerQueue struct {
	name        string
	running     int        // running attempts of the class
	virtualTime float64    // expected tokens served, on the class's virtual clock
	items       []*attempt // by virtual deadline, then arrival
}

func (q *queue) classOf(a *attempt) int {
	if q.fifo {
		return 0
	}
	return classIndex(a.req.Class)
}

func (q *queue) callerOf(a *attempt) string {
	if q.fifo {
		return ""
	}
	return a.req.Caller
}

func compareVirtualDeadline(a, b *attempt) int {
	if n := cmp.Compare(a.virtualDeadline, b.virtualDeadline); n != 0 {
		return n
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// add queues an attempt. Its virtual deadline is its deadline, but at most horizon after its
// arrival; with FIFO order it is the arrival.
func (q *queue) add(a *attempt, horizon Time) {
	a.virtualDeadline = a.arrived
	if !q.fifo {
		a.virtualDeadline = min(a.req.Deadline, a.arrived+horizon)
	}
	cq := &q.classes[q.classOf(a)]
	caller := cq.caller(q.callerOf(a))
	i, _ := slices.BinarySearchFunc(caller.items, a, compareVirtualDeadline)
	caller.items = slices.Insert(caller.items, i, a)
	cq.arrivals = append(cq.arrivals, a)
	cq.size++
	q.size++
}

// caller returns the caller's queue. A caller that was idle starts at the class's virtual
// time, so that it can't accumulate a share while it is idle.
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
		c.virtualTime = max(c.virtualTime, cq.virtualTime)
	}
	return c
}

// remove removes an attempt. served charges its cost to the caller's share.
func (q *queue) remove(a *attempt, served bool) {
	cq := &q.classes[q.classOf(a)]
	caller := cq.byName[q.callerOf(a)]
	i, found := slices.BinarySearchFunc(caller.items, a, compareVirtualDeadline)
	if !found {
		return
	}
	caller.items = slices.Delete(caller.items, i, i+1)
	cq.size--
	q.size--
	if served {
		cq.virtualTime = max(cq.virtualTime, caller.virtualTime)
		caller.virtualTime += float64(max(1, a.expected))
	}
	cq.dropIdleCallers()
}

// dropIdleCallers removes callers without waiting and running attempts when there are too
// many.
func (cq *classQueue) dropIdleCallers() {
	if len(cq.callers) <= 2*cq.size+cleanupSlack {
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

// cleanupSlack is the number of callers, and likewise of attempts in arrivals, that a class
// may hold beyond twice its waiting attempts before the idle or ended ones are removed.
const cleanupSlack = 64

// oldestArrival returns the arrival of the longest waiting attempt, or 0 when the class is
// empty.
func (cq *classQueue) oldestArrival() Time {
	for len(cq.arrivals) > 0 && cq.arrivals[0].state != stateWaiting {
		cq.arrivals[0] = nil
		cq.arrivals = cq.arrivals[1:]
	}
	if len(cq.arrivals) > 2*cq.size+cleanupSlack {
		cq.arrivals = slices.DeleteFunc(cq.arrivals, func(a *attempt) bool { return a.state != stateWaiting })
	}
	if len(cq.arrivals) == 0 {
		return 0
	}
	return cq.arrivals[0].arrived
}

// next returns the first eligible attempt of the class, or nil.
func (cq *classQueue) next(eligible func(*attempt) bool) *attempt {
	var best *attempt
	var from *callerQueue
	for _, c := range cq.callers {
		if len(c.items) == 0 || (from != nil && !c.before(from)) {
			continue
		}
		for _, a := range c.items {
			if eligible(a) {
				best, from = a, c
				break
			}
		}
	}
	return best
}

// before reports whether the caller is served before another one.
func (c *callerQueue) before(o *callerQueue) bool {
	if c.running != o.running {
		return c.running < o.running
	}
	return c.virtualTime < o.virtualTime
}

// addRunning counts an attempt of the caller that starts (1) or ends (-1).
func (q *queue) addRunning(a *attempt, n int) {
	cq := &q.classes[q.classOf(a)]
	cq.caller(q.callerOf(a)).running += n
	cq.dropIdleCallers()
}

// countAhead estimates the attempts of its class that are served before an incoming one.
// Callers are served in turn, so a caller with few attempts passes the backlog of another.
func (q *queue) countAhead(incoming *attempt) int {
	cq := &q.classes[q.classOf(incoming)]
	own := len(cq.caller(q.callerOf(incoming)).items)
	turns := 0
	for _, c := range cq.callers {
		turns += min(len(c.items), own+1)
	}
	return turns
}

// victim returns the waiting attempt to shed for an incoming one when the queue is full:
// the last one of the caller with the most waiting attempts, in the least urgent class
// that is not more urgent than the incoming one. It returns nil when the incoming attempt
// itself should be shed.
func (q *queue) victim(incoming *attempt) *attempt {
	own := q.classOf(incoming)
	for class := classCount - 1; class >= own; class-- {
		cq := &q.classes[class]
		longest := cq.longestCaller()
		if longest == nil {
			continue
		}
		if class == own {
			ownWaiting := len(cq.caller(q.callerOf(incoming)).items)
			if len(longest.items) <= ownWaiting+1 {
				return nil
			}
		}
		return longest.items[len(longest.items)-1]
	}
	return nil
}

// leastImportant returns the waiting attempt to shed first, or nil.
func (q *queue) leastImportant() *attempt {
	for class := classCount - 1; class >= 0; class-- {
		if longest := q.classes[class].longestCaller(); longest != nil {
			return longest.items[len(longest.items)-1]
		}
	}
	return nil
}

func (cq *classQueue) longestCaller() *callerQueue {
	var longest *callerQueue
	for _, c := range cq.callers {
		if len(c.items) > 0 && (longest == nil || len(c.items) > len(longest.items)) {
			longest = c
		}
	}
	return longest
}
