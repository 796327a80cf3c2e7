package entry

import (
	"fmt"
	"strings"
	"testing"
)

func TestExplain_ResumedStream(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", oneTokenThenCut), newFakeUpstream(t, "u2", completeStream(3))
	h := newHarness(t, newFakeScheduler(u1, u2))
	res := h.stream("X-Caller", "bakery")
	text := strings.Join(h.entry.Explain(res.header.Get(headerRequest)), "\n")
	for _, want := range []string{
		"caller bakery", "file version 3, index 11", "upstream u1 incarnation 1 under fencing number 7: OUTCOME_CUT, 1 tokens",
		"upstream u2", "OUTCOME_OK, 2 tokens", "answered whole",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
}

func TestExplain_LedgerCallAndRefusal(t *testing.T) {
	u := newFakeUpstream(t, "p1", respondCreated)
	h := newHarness(t, newFakeScheduler(u))
	completed := h.entry.Explain(h.callPrint("k1", "{}").header.Get(headerRequest))
	h.is.True(strings.Contains(strings.Join(completed, "\n"), "upstream p1"))
	refused := h.entry.Explain(h.post(printPath, "{}").problem(t).RequestID)
	h.is.Equal(refused[len(refused)-1], `answered idempotency_key_missing (ran: no): service "print" is not idempotent: set Idempotency-Key`)
	h.is.Equal(h.entry.Explain("nobody"), nil)
}

func TestRecordLog_Full(t *testing.T) {
	records := newRecordLog(3)
	for i := range 10 {
		records.add(&requestRecord{id: fmt.Sprint(i)})
	}
	if len(records.byID) != 3 || records.get("6") != nil || records.get("9") == nil {
		t.Fatalf("kept %d records", len(records.byID))
	}
}
