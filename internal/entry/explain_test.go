package entry

import (
	"fmt"
	"strings"
	"testing"
)

func TestExplain_TellsAttemptsFileVersionAndVerdict(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", oneTokenThenCut), newFakeUpstream(t, "u2", wholeStream(3))
	b := newBench(t, newFakeSlots(u1, u2))
	g := b.stream("X-Caller", "bakery")
	text := strings.Join(b.entry.Explain(g.header.Get(headerRequest)), "\n")
	for _, want := range []string{
		"caller bakery", "file version 3, index 11", "upstream u1 incarnation 1 under fencing number 7: OUTCOME_CUT, 1 tokens",
		"upstream u2", "OUTCOME_OK, 2 tokens", "answered whole",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

func TestExplain_TellsBookingsAndRefusals(t *testing.T) {
	u := newFakeUpstream(t, "p1", accept)
	b := newBench(t, newFakeSlots(u))
	booked := b.entry.Explain(b.book("k1", "{}").header.Get(headerRequest))
	b.is.True(strings.Contains(strings.Join(booked, "\n"), "upstream p1"))
	refused := b.entry.Explain(b.post(printPath, "{}").problem(t).RequestID)
	b.is.Equal(refused[len(refused)-1], `answered idempotency_key_missing (ran: no): service "print" is not idempotent: set Idempotency-Key`)
	b.is.Equal(b.entry.Explain("nobody"), nil)
}

func TestTrails_KeepTheNewestOnly(t *testing.T) {
	s := newTrails(3)
	for i := range 10 {
		s.add(&trail{id: fmt.Sprint(i)})
	}
	if len(s.byID) != 3 || s.get("6") != nil || s.get("9") == nil {
		t.Fatalf("kept %d", len(s.byID))
	}
}
