package coordinator

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/fleet"
	"gentiankeel/internal/wire"
)

// logLines counts lines of a log.
type logLines struct{ strings.Builder }

func (l *logLines) count(text string) int { return strings.Count(l.String(), text) }

func relayAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7100", i/256, i%256) }

// attachRelays attaches the entries e0 to e(n-1), each of which relays, and applies that.
func attachRelays(n int) *relayLists {
	r := newRelayLists()
	for i := range n {
		r.attach(fmt.Sprint("e", i), relayAddress(i), true)
	}
	r.refresh()
	return r
}

// told returns what each entry was told.
func told(r *relayLists) map[string][]string {
	out := map[string][]string{}
	for entry, e := range r.entries {
		out[entry] = addresses(e.list)
	}
	return out
}

// checkLists fails the test unless each list equals the one chosen from all relays.
func checkLists(t *testing.T, r *relayLists) {
	t.Helper()
	is := is.New(t)
	for entry, e := range r.entries {
		others := len(r.relaying)
		if r.relaying[e.address] > 0 {
			others--
		}
		is.Equal(len(e.list), min(others, maxRelays))
		is.Equal(e.list, r.choose(entry, e))
		for _, l := range e.list {
			is.True(l.address != e.address) // never itself
			is.True(r.relaying[l.address] > 0)
		}
	}
}

func TestRelays_Attach(t *testing.T) {
	is := is.New(t)
	r := newRelayLists()
	is.Equal(len(r.attach("e0", relayAddress(0), true)), 0) // never itself
	is.Equal(r.attach("e1", relayAddress(1), true), []string{relayAddress(0)})
	is.Equal(r.refresh(), map[string][]string{"e0": {relayAddress(1)}}) // e1 knows already
	is.Equal(len(r.attach("e2", "", true)), 2)                          // it does not relay
	is.Equal(len(r.refresh()), 0)
	for i := 3; i < 20; i++ {
		r.attach(fmt.Sprint("e", i), relayAddress(i), true)
		r.refresh()
		checkLists(t, r)
	}
	is.Equal(len(r.attach("e0", relayAddress(0), true)), maxRelays) // again
	is.Equal(len(r.refresh()), 0)
}

func TestRelays_PathLostAndFoundAgain(t *testing.T) {
	is := is.New(t)
	r := attachRelays(20)
	before := told(r)
	is.True(r.setPath("e7", false))
	is.True(!r.setPath("e7", false))
	is.Equal(r.withoutPath, 1)
	for entry, list := range r.refresh() {
		is.True(slices.Contains(before[entry], relayAddress(7)))
		is.True(!slices.Contains(list, relayAddress(7)))
	}
	checkLists(t, r)
	is.Equal(told(r)["e7"], before["e7"]) // it needs them now
	is.True(r.setPath("e7", true))
	r.refresh()
	is.Equal(told(r), before)
	is.Equal(r.withoutPath, 0)
}

func TestRelays_DetachedOrSilent(t *testing.T) {
	is := is.New(t)
	for name, remove := range map[string]func(*relayLists){
		"detached": func(r *relayLists) { r.detach("e7") },
		"silent":   func(r *relayLists) { r.setSilent("e7", true) },
	} {
		t.Log(name)
		r := attachRelays(20)
		before := told(r)
		remove(r)
		updates := r.refresh()
		for entry, list := range before {
			_, updated := updates[entry]
			is.Equal(updated, entry != "e7" && slices.Contains(list, relayAddress(7)))
		}
		checkLists(t, r)
		r.detach("e7")
		is.Equal(r.attach("e7", relayAddress(7), true), before["e7"])
		r.refresh()
		is.Equal(told(r), before)
	}
}

func TestRelays_NobodyHasAPath(t *testing.T) {
	is := is.New(t)
	r := attachRelays(10)
	for i := range 10 {
		r.setPath(fmt.Sprint("e", i), false)
	}
	updates := r.refresh()
	is.Equal(len(updates), 10)
	for _, list := range updates {
		is.Equal(len(list), 0)
	}
	is.Equal(r.withoutPath, 10)
	is.Equal(len(r.attach("e10", relayAddress(10), false)), 0)
	r.setPath("e3", true)
	is.Equal(len(r.refresh()), 10) // all but itself
	is.Equal(told(r)["e10"], []string{relayAddress(3)})
}

// A process that starts anew may attach before the stream of the old one ends.
func TestRelays_TwoEntriesOfOneAddress(t *testing.T) {
	is := is.New(t)
	r := attachRelays(3)
	is.Equal(len(r.attach("e0-restarted", relayAddress(0), true)), 2) // not itself
	is.Equal(len(r.refresh()), 0)
	r.detach("e0")
	is.Equal(len(r.refresh()), 0)
	checkLists(t, r)
	r.detach("e0-restarted")
	is.Equal(len(r.refresh()), 2)
}

func TestRelays_OneOfManyLeaves(t *testing.T) {
	is := is.New(t)
	const entries = 100
	r := attachRelays(entries)
	for i := range entries {
		entry, before := fmt.Sprint("e", i), told(r)
		inLists := 0
		for _, list := range before {
			if slices.Contains(list, relayAddress(i)) {
				inLists++
			}
		}
		r.hashes = 0
		r.detach(entry)
		updates := r.refresh()
		is.Equal(len(updates), inLists)
		is.True(r.hashes <= inLists*entries)
		for other, list := range updates {
			kept := slices.DeleteFunc(slices.Clone(before[other]), func(a string) bool { return a == relayAddress(i) })
			is.Equal(list[:len(kept)], kept) // the next one follows the others
		}
		r.hashes = 0
		r.attach(entry, relayAddress(i), true)
		is.Equal(len(r.refresh()), inLists)
		is.True(r.hashes <= 2*entries)
	}
}

func TestRelays_EvenSpread(t *testing.T) {
	is := is.New(t)
	const relays, entries = 30, 300
	r := newRelayLists()
	for i := range relays {
		r.attach(fmt.Sprint("relay", i), relayAddress(i), true)
	}
	for i := range entries - relays {
		r.attach(fmt.Sprint("e", i), "", true)
	}
	r.refresh()
	lists := map[string]int{}
	for _, list := range told(r) {
		for _, address := range list {
			lists[address]++
		}
	}
	const mean = entries * maxRelays / relays
	for i := range relays {
		n := lists[relayAddress(i)]
		is.True(n*100 >= 60*mean && n*100 <= 200*mean)
	}
}

// The load of a relay that is lost must not move to a single other one.
func TestRelays_LoadOfALostRelaySpreads(t *testing.T) {
	is := is.New(t)
	r := attachRelays(300)
	lost := map[string]bool{}
	for i := range 150 {
		r.setPath(fmt.Sprint("e", i), false)
		lost[relayAddress(i)] = true
	}
	r.refresh()
	checkLists(t, r)
	first := map[string]int{}
	for i := range 150 {
		list := told(r)[fmt.Sprint("e", i)]
		is.True(!slices.ContainsFunc(list, func(a string) bool { return lost[a] }))
		first[list[0]]++
	}
	is.True(len(first) >= 75) // 150 entries on 150 relays
}

func TestRelays_ManyChangesInAMoment(t *testing.T) {
	is := is.New(t)
	const entries = 300
	r := attachRelays(entries)
	before := told(r)
	r.hashes = 0
	for i := range entries / 2 {
		r.setPath(fmt.Sprint("e", i), false)
	}
	is.Equal(r.hashes, 0)
	updates := r.refresh()
	is.True(r.hashes <= entries*entries/2) // each list once, from the relays that are left
	is.True(len(updates) <= entries)
	checkLists(t, r)
	r.hashes = 0
	is.Equal(len(r.refresh()), 0)
	is.Equal(r.hashes, 0)

	for i := range entries / 2 {
		r.setPath(fmt.Sprint("e", i), true)
	}
	r.refresh()
	is.Equal(told(r), before)

	// A path that comes back before anybody was told is no news.
	for i := range entries / 2 {
		r.setPath(fmt.Sprint("e", i), false)
		r.setPath(fmt.Sprint("e", i), true)
	}
	is.Equal(len(r.refresh()), 0)
	is.Equal(told(r), before)
}

// relayTerm is a term whose loop doesn't run.
func relayTerm(t *testing.T, log *slog.Logger) *term {
	t.Helper()
	m, err := newMetrics(prometheus.NewRegistry())
	is.New(t).NoErr(err)
	return newTerm(&Server{o: Options{FleetSettings: fleet.DefaultSettings()}, log: log, m: m}, 1)
}

// attachTo attaches an entry to a term whose loop doesn't run and returns its stream.
func attachTo(term *term, report *wire.EntryReport) *entryStream {
	es := &entryStream{entry: report.Entry, updates: make(chan *wire.FleetUpdate, streamQueueSize), cancel: func() {}}
	es.recordReport()
	term.handle(entryAttached{es, report})
	return es
}

// relayUpdates returns the queued updates that carry relays.
func relayUpdates(es *entryStream) []*wire.FleetUpdate {
	var out []*wire.FleetUpdate
	for {
		select {
		case up := <-es.updates:
			if up.HasRelays {
				out = append(out, up)
			}
		default:
			return out
		}
	}
}

func TestTerm_RelaysOfEntries(t *testing.T) {
	is := is.New(t)
	var log logLines
	term := relayTerm(t, slog.New(slog.NewTextHandler(&log, nil)))
	e1 := attachTo(term, &wire.EntryReport{Entry: "e1", Relay: "a1"})
	ups := relayUpdates(e1)
	is.Equal(len(ups), 1)
	is.True(ups[0].Snapshot)
	is.Equal(len(ups[0].Relays), 0)
	e2 := attachTo(term, &wire.EntryReport{Entry: "e2", Relay: "a2", Path: wire.PathState_PATH_NONE})
	is.Equal(relayUpdates(e2)[0].Relays, []string{"a1"})
	is.Equal(testutil.ToFloat64(term.server.m.withoutPath), 1.0)
	is.Equal(log.count("Entry lost its path to upstreams."), 1)
	term.sendRelays()
	is.Equal(len(relayUpdates(e1)), 0) // e2 can't relay

	report := func(path wire.PathState) { term.handle(entryReported{e2, &wire.EntryReport{Path: path}}) }
	report(wire.PathState_PATH_DIRECT)
	is.Equal(len(relayUpdates(e1)), 0) // not before the tick
	term.sendRelays()
	ups = relayUpdates(e1)
	is.Equal(len(ups), 1)
	is.True(!ups[0].Snapshot)
	is.Equal(ups[0].Relays, []string{"a2"})
	is.Equal(len(relayUpdates(e2)), 0)
	is.Equal(testutil.ToFloat64(term.server.m.withoutPath), 0.0)
	is.Equal(log.count("Entry has a path to upstreams again."), 1)

	report(wire.PathState_PATH_UNCHANGED)
	report(wire.PathState_PATH_DIRECT)
	term.sendRelays()
	is.Equal(len(relayUpdates(e1)), 0)
	is.Equal(log.count("path to upstreams"), 2)

	report(wire.PathState_PATH_NONE)
	term.handle(entryDetached{e2})
	term.sendRelays()
	ups = relayUpdates(e1)
	is.Equal(len(ups), 1)
	is.Equal(len(ups[0].Relays), 0)
	is.Equal(testutil.ToFloat64(term.server.m.withoutPath), 0.0)
}

// A path report without demand must not cost a plan and loads for every entry.
func TestTerm_ReportOfAPathAlone(t *testing.T) {
	is := is.New(t)
	term := relayTerm(t, slog.New(slog.DiscardHandler))
	es := attachTo(term, &wire.EntryReport{Entry: "e1", Relay: "a1"})
	term.handle(entryReported{es, &wire.EntryReport{Path: wire.PathState_PATH_NONE, Demand: demandFor("m1", "")}})
	is.True(term.relays.lacksPath("e1"))
	is.Equal(len(term.feed.subs["e1"].models), 0) // changed is not set
	term.handle(entryReported{es, &wire.EntryReport{Path: wire.PathState_PATH_DIRECT, Demand: demandFor("m1", ""), Changed: true}})
	is.True(!term.relays.lacksPath("e1"))
	is.Equal(len(term.feed.subs["e1"].models), 1)
}

func TestTerm_SilentEntryDoesNotRelay(t *testing.T) {
	is := is.New(t)
	term := relayTerm(t, slog.New(slog.DiscardHandler))
	e1 := attachTo(term, &wire.EntryReport{Entry: "e1", Relay: "a1"})
	e2 := attachTo(term, &wire.EntryReport{Entry: "e2", Relay: "a2"})
	term.sendRelays()
	relayUpdates(e1)
	check := func(setUp func()) []*wire.FleetUpdate {
		e1.recordReport()
		term.silenceChecked, term.listensSince = time.Now(), time.Time{}
		setUp()
		term.checkSilence()
		term.sendRelays()
		return relayUpdates(e1)
	}
	e2.lastHeard.Store(time.Now().Add(-time.Hour).UnixNano())
	is.Equal(len(check(func() {})), 0) // without quotas, entries need not report
	config, err := decode([]byte("version 1 quota"))
	is.NoErr(err)
	term.step(fleet.RoutingChanged{Config: config})
	ups := check(func() {})
	is.Equal(len(ups), 1)
	is.Equal(len(ups[0].Relays), 0)
	is.Equal(len(check(func() {})), 0)
	ups = check(e2.recordReport)
	is.Equal(len(ups), 1)
	is.Equal(ups[0].Relays, []string{"a2"})

	// The quotas end while it is silent.
	e2.lastHeard.Store(time.Now().Add(-time.Hour).UnixNano())
	is.Equal(len(check(func() {})), 1)
	config, err = decode([]byte("version 2"))
	is.NoErr(err)
	term.step(fleet.RoutingChanged{Config: config})
	ups = check(func() {})
	is.Equal(len(ups), 1)
	is.Equal(ups[0].Relays, []string{"a2"})
}

// Guards against all idle entries being taken for silent, and charged, when the first quota comes into force:
// they report regularly only from then on.
func TestCheckSilence_FirstQuota(t *testing.T) {
	is := is.New(t)
	term := relayTerm(t, slog.New(slog.DiscardHandler))
	es := attachTo(term, &wire.EntryReport{Entry: "e1", Relay: "a1"})
	es.lastHeard.Store(time.Now().Add(-time.Hour).UnixNano())
	term.silenceChecked = time.Now()
	term.checkSilence()
	config, err := decode([]byte("version 1 quota"))
	is.NoErr(err)
	term.step(fleet.RoutingChanged{Config: config})
	term.silenceChecked = time.Now()
	term.checkSilence()
	is.True(!es.silent)
	is.Equal(len(term.relays.relaying), 1)
}

// A report that carries only a path has no changes of demand.
func TestAttach_RelaysOverTheWire(t *testing.T) {
	is := is.New(t)
	nodes := startGroup(t)
	awaitRelays := func(s ctlclient.AttachStream, wanted []string) bool {
		for range 200 {
			up, err := s.Recv()
			if err != nil {
				return false // another node may take over at any time on a busy machine
			}
			if up.HasRelays && slices.Equal(up.Relays, wanted) {
				return true
			}
		}
		return false
	}
	eventually(t, "entries are told of relays", func() bool {
		s1, first1 := attachActing(t, nodes, &wire.EntryReport{Entry: "e1", Relay: "a1"})
		s2, first2 := attachActing(t, nodes, &wire.EntryReport{Entry: "e2", Relay: "a2"})
		is.True(first1.HasRelays && first2.HasRelays)
		if !slices.Equal(first2.Relays, []string{"a1"}) { // they are attached to different nodes
			return false
		}
		if !slices.Equal(first1.Relays, []string{"a2"}) && !awaitRelays(s1, []string{"a2"}) {
			return false
		}
		return s2.Send(&wire.EntryReport{Path: wire.PathState_PATH_NONE}) == nil && awaitRelays(s1, nil) &&
			s2.Send(&wire.EntryReport{Path: wire.PathState_PATH_DIRECT}) == nil && awaitRelays(s1, []string{"a2"})
	})
}
