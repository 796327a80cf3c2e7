package coordinator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxRelays bounds the relays that an entry is told of.
const maxRelays = 4

// relayLists chooses the relays that each entry is told of, by rendezvous hashing of the entry and the
// address of the relay: the loss of a relay changes only the lists that it was in, and one that restarts at
// its address returns to them. Changes are gathered until refresh, since an outage takes the paths of many
// entries within a moment.
//
// A relay that is added costs one hash for each entry; one that is removed costs, for each list that it was
// in, one for each relay. An entry is on average in maxRelays lists.
type relayLists struct {
	entries     map[string]*relayEntry // attached entries
	relaying    map[string]int         // entries that can relay, by address; none is 0
	changed     map[string]bool        // addresses that entered or left relaying since refresh
	withoutPath int                    // attached entries without a path
	hashes      int                    // hashes computed
	buf         []byte                 // of rank
}

// relayEntry is an attached entry.
type relayEntry struct {
	address string // at which it relays; empty: it does not
	hasPath bool
	silent  bool
	list    []rankedRelay // as the entry was told, the best first
}

func (e *relayEntry) canRelay() bool { return e.address != "" && e.hasPath && !e.silent }

type rankedRelay struct {
	address string
	rank    uint64
}

func compareRelays(a, b rankedRelay) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.address, b.address))
}

func newRelayLists() *relayLists {
	return &relayLists{entries: map[string]*relayEntry{}, relaying: map[string]int{}, changed: map[string]bool{}}
}

// attach adds an entry, in place of an older stream of the same entry, and returns its relays.
func (r *relayLists) attach(entry, address string, hasPath bool) []string {
	r.detach(entry)
	e := &relayEntry{address: address, hasPath: hasPath}
	r.entries[entry] = e
	r.count(e, 1)
	e.list = r.choose(entry, e)
	return addresses(e.list)
}

func (r *relayLists) detach(entry string) {
	if e := r.entries[entry]; e != nil {
		r.count(e, -1)
		delete(r.entries, entry)
	}
}

// lacksPath reports whether an attached entry has no path.
func (r *relayLists) lacksPath(entry string) bool {
	e := r.entries[entry]
	return e != nil && !e.hasPath
}

// setPath records whether an entry has a path, and reports whether that differs from before.
func (r *relayLists) setPath(entry string, hasPath bool) bool {
	return r.update(entry, func(e *relayEntry) *bool { return &e.hasPath }, hasPath)
}

// setSilent records whether an entry is silent, and reports whether that differs from before.
func (r *relayLists) setSilent(entry string, silent bool) bool {
	return r.update(entry, func(e *relayEntry) *bool { return &e.silent }, silent)
}

func (r *relayLists) update(entry string, field func(*relayEntry) *bool, value bool) bool {
	e := r.entries[entry]
	if e == nil || *field(e) == value {
		return false
	}
	r.count(e, -1)
	*field(e) = value
	r.count(e, 1)
	return true
}

// count adds an entry to the counters, or with sign -1 removes it.
func (r *relayLists) count(e *relayEntry, sign int) {
	if !e.hasPath {
		r.withoutPath += sign
	}
	if !e.canRelay() {
		return
	}
	before := r.relaying[e.address]
	after := before + sign
	if after == 0 {
		delete(r.relaying, e.address)
	} else {
		r.relaying[e.address] = after
	}
	if before == 0 || after == 0 {
		r.changed[e.address] = true
	}
}

// refresh applies the changes since the last call, and returns the lists that differ from what their
// entries were told, by entry.
func (r *relayLists) refresh() map[string][]string {
	if len(r.changed) == 0 {
		return nil
	}
	var added []string
	for address := range r.changed {
		if r.relaying[address] > 0 {
			added = append(added, address)
		}
	}
	clear(r.changed)
	out := map[string][]string{}
	for entry, e := range r.entries {
		list := r.adjust(entry, e, added)
		if !slices.Equal(list, e.list) {
			e.list, out[entry] = list, addresses(list)
		}
	}
	return out
}

// adjust returns an entry's list after some relays were added and others removed.
func (r *relayLists) adjust(entry string, e *relayEntry, added []string) []rankedRelay {
	if slices.ContainsFunc(e.list, func(l rankedRelay) bool { return r.relaying[l.address] == 0 }) {
		return r.choose(entry, e)
	}
	list := slices.Clone(e.list)
	for _, address := range added {
		if !slices.ContainsFunc(list, func(l rankedRelay) bool { return l.address == address }) {
			list = r.insert(list, entry, e, address)
		}
	}
	return list
}

// choose returns an entry's list from all relays.
func (r *relayLists) choose(entry string, e *relayEntry) []rankedRelay {
	var list []rankedRelay
	for address := range r.relaying {
		list = r.insert(list, entry, e, address)
	}
	return list
}

// insert adds a relay to a list unless it is the entry itself or ranks below a full list.
func (r *relayLists) insert(list []rankedRelay, entry string, e *relayEntry, address string) []rankedRelay {
	if address == e.address {
		return list
	}
	l := rankedRelay{address, r.rank(entry, address)}
	i, _ := slices.BinarySearchFunc(list, l, compareRelays)
	if i >= maxRelays {
		return list
	}
	list = slices.Insert(list, i, l)
	return list[:min(len(list), maxRelays)]
}

func (r *relayLists) rank(entry, address string) uint64 {
	r.hashes++
	r.buf = append(append(append(r.buf[:0], entry...), 0), address...)
	return xxhash.Sum64(r.buf)
}

func addresses(list []rankedRelay) []string {
	var out []string
	for _, l := range list {
		out = append(out, l.address)
	}
	return out
}
