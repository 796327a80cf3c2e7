package detour

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

func TestPlan_NoRelaysKnown(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	for i := range 5 {
		addr := fmt.Sprint("u", i)
		is.Equal(tab.Plan(0, addr), Plan{Direct: true})
		tab.DirectDone(400*ms, addr, Failed)
	}
	is.True(tab.WithoutPath())
	is.Equal(tab.Plan(500*ms, "u0"), Plan{Direct: true}) // there is no other way
}

func TestPlan_DirectFirst(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r1", "r2"})
	is.Equal(tab.Plan(0, "u"), Plan{Direct: true, Relays: []string{"r1", "r2"}})
	tab.DirectDone(2*ms, "u", Open)
	is.Equal(tab.Plan(3*ms, "u"), Plan{Direct: true, Relays: []string{"r1", "r2"}})
}

func TestPlan_OneAddressWithoutPath(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	tab.RelayDone(70*ms, "r", "u1", Open)
	tab.DirectDone(400*ms, "u1", Failed)
	is.True(!tab.WithoutPath()) // the others may have one
	is.Equal(tab.Plan(450*ms, "u1"), Plan{Direct: true, Relays: []string{"r"}, RelaysAtOnce: true})
	is.Equal(tab.Plan(460*ms, "u1"), Plan{Relays: []string{"r"}, RelaysAtOnce: true}) // one probe at a time
	is.True(!tab.Plan(460*ms, "u2").RelaysAtOnce)
	is.True(!tab.Plan(1500*ms, "u1").RelaysAtOnce) // tried again
}

func TestWithoutPath_FoundAndLeft(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	for _, addr := range []string{"u1", "u2"} {
		tab.DirectDone(400*ms, addr, Failed)
		tab.RelayDone(410*ms, "r", addr, Open)
	}
	is.True(tab.WithoutPath())
	is.Equal(tab.Plan(420*ms, "u3"), Plan{Direct: true, Relays: []string{"r"}, RelaysAtOnce: true})
	is.Equal(tab.Plan(430*ms, "u4"), Plan{Relays: []string{"r"}, RelaysAtOnce: true})
	tab.DirectDone(440*ms, "u3", Open)
	is.True(!tab.WithoutPath())
	is.Equal(tab.Plan(450*ms, "u1"), Plan{Direct: true, Relays: []string{"r"}})
}

// A cut may refuse new connections instead of dropping them.
func TestWithoutPath_DirectRefused(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	for _, addr := range []string{"u1", "u2"} {
		tab.DirectDone(ms, addr, Refused)
		tab.RelayDone(3*ms, "r", addr, Open)
	}
	is.True(tab.WithoutPath())
	is.True(tab.Plan(5*ms, "u1").RelaysAtOnce)
}

func TestPlan_UpstreamHasEnded(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	for _, addr := range []string{"u1", "u2", "u3", "u4"} {
		tab.DirectDone(ms, addr, Refused)
		tab.RelayDone(3*ms, "r", addr, Refused)
	}
	is.True(!tab.WithoutPath())
	is.Equal(tab.Plan(10*ms, "u1"), Plan{Direct: true}) // relays need not confirm it each time
	is.Equal(tab.Plan(1100*ms, "u1"), Plan{Direct: true, Relays: []string{"r"}})
}

// Upstreams that fail now and then, long apart, are no evidence against the entry.
func TestWithoutPath_OldEvidence(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	for i := range 20 {
		now := Time(i) * 5 * time.Second
		addr := fmt.Sprint("u", i)
		tab.DirectDone(now, addr, Failed)
		tab.RelayDone(now+ms, "r", addr, Open)
		is.True(!tab.WithoutPath())
	}
}

func TestRelays_FailedOneLast(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r1", "r2", "r3"})
	tab.RelayDone(0, "r1", "u", RelayDown)
	is.Equal(tab.Plan(10*ms, "u").Relays, []string{"r2", "r3", "r1"})
	is.Equal(tab.Plan(1010*ms, "u").Relays, []string{"r1", "r2", "r3"})
	tab.RelayDone(1020*ms, "r2", "u", Failed)
	tab.SetRelays([]string{"r2", "r4"})
	is.Equal(tab.Plan(1030*ms, "u").Relays, []string{"r4", "r2"})
}

func TestTable_AddressesBounded(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	for i := range 3 * maxAddresses {
		tab.DirectDone(Time(i)*time.Second, fmt.Sprint("u", i), Refused)
	}
	is.True(len(tab.addresses) <= maxAddresses)
	is.True(tab.addresses[fmt.Sprint("u", 3*maxAddresses-1)] != nil)
}

// An entry that is cut off from one service only has a path, whatever fails there.
func TestWithoutPath_OneServiceCutOff(t *testing.T) {
	is := is.New(t)
	tab := NewTable()
	tab.SetRelays([]string{"r"})
	for i := range 50 {
		now := Time(i) * 200 * ms
		tab.DirectDone(now, "reached", Open)
		for _, addr := range []string{"u1", "u2", "u3"} {
			tab.DirectDone(now+50*ms, addr, Failed)
			tab.RelayDone(now+60*ms, "r", addr, Open)
		}
		is.True(!tab.WithoutPath())
	}
	is.True(tab.Plan(10*time.Second, "u1").RelaysAtOnce)
	is.True(!tab.Plan(10*time.Second, "reached").RelaysAtOnce)
}
