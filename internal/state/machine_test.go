package state

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// TestMain fixes rapid's seed, so that all runs draw the same cases. A seed given on the
// command line takes precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true") // a failure prints its seed
	// A case needs many steps to get through load, unload and another load.
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

const (
	second = int64(1_000)
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour
)

// harness applies commands to a machine at consecutive indexes and checks the invariants
// after each.
type harness struct {
	m     *Machine
	index uint64
	now   int64
	err   error // first violated invariant
}

func newHarness(disabled disabledChecks) *harness {
	h := &harness{m: New(Options{}), now: 1_000 * day}
	h.m.disabled = disabled
	return h
}

func (h *harness) applyChecked(cmd *wire.Command) *wire.Result {
	h.index++
	cmd.AtUnixMs = h.now
	res := h.m.Apply(h.index, cmd)
	for _, check := range []func() error{h.m.Check, h.m.CheckAll} {
		if err := check(); err != nil && h.err == nil {
			h.err = err
		}
	}
	return res
}

func (h *harness) applyFile(version uint64, body string) *wire.Result {
	data := []byte(fmt.Sprintf("name = \"test\"\nversion = %d\n%s", version, body))
	return h.applyChecked(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: data, Version: version, Digest: spec.Digest(data), Who: "operator",
	}}})
}

func (h *harness) grantLease(cell, holder string) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: SchedulerLeasePrefix + cell, Holder: holder}}})
}

func (h *harness) endLease(cell string, fence uint64) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: SchedulerLeasePrefix + cell, Fence: fence}}})
}

func (h *harness) putUpstream(cell string, fence uint64, id string, inc, memory uint64) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: SchedulerLeasePrefix + cell, Fence: fence,
		Upstream: &wire.UpstreamRecord{Id: id, Incarnation: inc, Cell: cell, Zone: "tay-a", Address: "127.0.0.1:1", MemoryMib: memory},
	}}})
}

func (h *harness) dropUpstream(cell string, fence uint64, id string, inc uint64) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Id: id, Incarnation: inc,
	}}})
}

func (h *harness) commitOrders(cell string, fence uint64, orders ...*wire.Order) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Orders: orders,
	}}})
}

func (h *harness) settleOrder(cell string, fence uint64, id string, state wire.OrderState) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Settlements: []*wire.Settlement{{OrderId: id, State: state}},
	}}})
}

func (h *harness) beginKey(key, digest, attempt string) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller: "bakery", Key: key, Digest: digestOf(digest), Attempt: attempt, Entry: "entry-1", DeadlineMs: 30_000,
	}}})
}

func (h *harness) finishKey(key, attempt string, status wire.LedgerStatus, body string) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller: "bakery", Key: key, Attempt: attempt, Status: status,
		Answer: &wire.StoredAnswer{Status: 200, Body: []byte(body)},
	}}})
}

func (h *harness) reportDeath(digest, upstream string, inc uint64) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{
		BodyDigest: digestOf(digest), Upstream: upstream, Incarnation: inc,
	}}})
}

func digestOf(s string) string { return spec.Digest([]byte(s)) }

func load(id, upstream string, inc uint64, model string) *wire.Order {
	return &wire.Order{Id: id, Kind: wire.OrderKind_ORDER_LOAD, Upstream: upstream, Incarnation: inc, Model: model, Version: "1"}
}

func unload(id, upstream string, inc uint64, model string) *wire.Order {
	return &wire.Order{Id: id, Kind: wire.OrderKind_ORDER_UNLOAD, Upstream: upstream, Incarnation: inc, Model: model}
}

func loadAdapter(id, upstream string, inc uint64, model, adapter string) *wire.Order {
	o := load(id, upstream, inc, model)
	o.Kind = wire.OrderKind_ORDER_LOAD_ADAPTER
	o.Adapter = adapter
	return o
}

const threeModels = `
[[models]]
name = "fortune"
version = "1"
replicas = 2
memory_mib = 6
[[models]]
name = "verse"
version = "1"
replicas = 1
memory_mib = 5
zones = ["tay-b"]
[[models]]
name = "toast"
version = "1"
replicas = 1
memory_mib = 5
[[adapters]]
name = "house"
model = "fortune"
version = "1"
memory_mib = 1
`

// expect sets err, unless it is set, if the condition does not hold. Scenarios return an
// error instead of failing the test, so that they can also run with a check disabled.
func expect(err *error, ok bool, format string, args ...any) {
	if !ok && *err == nil {
		*err = errors.Errorf(format, args...)
	}
}

// scenario is a test case that returns the first failure.
type scenario struct {
	name     string
	run      func(disabledChecks) error
	disabled disabledChecks // the check that the scenario covers
}

var scenarios = []scenario{
	{"ConcurrentOperatorsSameVersion", concurrentOperators, disabledChecks{fileVersion: true}},
	{"StaleLeaseHolder", staleLeaseHolder, disabledChecks{fence: true}},
	{"MemoryOvercommit", memoryOvercommit, disabledChecks{memory: true}},
	{"ReplicasAcrossCells", replicasAcrossCells, disabledChecks{replicas: true}},
	{"KeyBegunRepeatedly", keyBegunRepeatedly, disabledChecks{ledger: true}},
	{"OldIncarnation", oldIncarnation, disabledChecks{incarnation: true}},
	{"RepeatedDeathReport", repeatedDeathReport, disabledChecks{deathDedup: true}},
	{"FileHistoryLinearizable", filesLinearizable, disabledChecks{fileVersion: true}},
	{"LeasesLinearizable", leasesLinearizable, disabledChecks{fence: true}},
	{"LedgerLinearizable", ledgerLinearizable, disabledChecks{ledger: true}},
}

func TestScenario(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(disabledChecks{}); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// A scenario that passes with its check disabled would not detect the loss of the check.
func TestScenario_FailsWithCheckDisabled(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := s.run(s.disabled)
			if err == nil {
				t.Fatalf("the scenario passes with disabled checks %+v", s.disabled)
			}
			t.Log(err)
		})
	}
}

// concurrentOperators submits different files of several operators, with resends, under
// the same version. One file must be accepted, and the version must stay with it.
func concurrentOperators(disabled disabledChecks) (err error) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := newHarness(disabled)
	for version := uint64(1); version <= 30; version++ {
		accepted := map[string]int{}
		for range 12 {
			who := fmt.Sprintf("# operator %d", rng.IntN(4))
			res := h.applyFile(version, who).File
			switch res.Outcome {
			case wire.ApplyOutcome_APPLY_ACCEPTED:
				accepted[res.Digest]++
			case wire.ApplyOutcome_APPLY_SAME:
				expect(&err, accepted[res.Digest] == 1 && res.Index < h.index, "version %d: answered as the same before it was accepted", version)
			case wire.ApplyOutcome_APPLY_REFUSED_CONFLICT:
				expect(&err, accepted[res.Digest] == 0 && accepted[res.AcceptedDigest] == 1, "version %d: wrong digests in the refusal", version)
				expect(&err, strings.Contains(res.Detail, res.Digest) && strings.Contains(res.Detail, res.AcceptedDigest), "the detail does not name both digests")
			default:
				expect(&err, false, "outcome %s", res.Outcome)
			}
		}
		expect(&err, len(accepted) == 1, "version %d: %d files accepted", version, len(accepted))
		expect(&err, h.m.Spec().Version == version, "version %d is not in force", version)
	}
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func staleLeaseHolder(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	h.applyFile(1, threeModels)
	old := h.grantLease("tay", "n1").Lease.Fence
	held := h.grantLease("tay", "n2")
	expect(&err, held.Code == wire.ResultCode_RESULT_HELD && held.Lease.Holder == "n1", "a held lease was granted to a second holder")
	expect(&err, h.grantLease("tay", "n1").Lease.Fence == old, "the holder's resend got another fence number")
	h.endLease("tay", old)
	fence := h.grantLease("tay", "n2").Lease.Fence
	expect(&err, fence > old, "fence %d after %d", fence, old)
	expect(&err, h.putUpstream("tay", fence, "u1", 1, 10).Code == wire.ResultCode_RESULT_OK, "the current holder was refused")
	for name, res := range map[string]*wire.Result{
		"end": h.endLease("tay", old), "put": h.putUpstream("tay", old, "u2", 1, 10),
		"drop": h.dropUpstream("tay", old, "u1", 1), "commit": h.commitOrders("tay", old, load("o1", "u1", 1, "fortune")),
		"settle": h.settleOrder("tay", old, "o1", wire.OrderState_ORDER_LOADED),
	} {
		expect(&err, res.Code == wire.ResultCode_RESULT_FENCED, "%s under an old fence number: %v", name, res.Code)
	}
	expect(&err, len(h.m.Placements("").Placements) == 0, "a stale order was committed")
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func memoryOvercommit(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	h.applyFile(1, threeModels)
	f := h.grantLease("tay", "n1").Lease.Fence
	h.putUpstream("tay", f, "u1", 1, 10)
	res := h.commitOrders("tay", f, load("o1", "u1", 1, "fortune"), load("o2", "u1", 1, "toast"))
	expect(&err, res.Orders[0].Accepted && !res.Orders[1].Accepted, "loads of 6 and 5 MiB into 10 MiB: %v", res.Orders)
	// The memory stays committed until the unload is settled.
	h.settleOrder("tay", f, "o1", wire.OrderState_ORDER_LOADED)
	h.commitOrders("tay", f, unload("o3", "u1", 1, "fortune"))
	expect(&err, !h.commitOrders("tay", f, load("o4", "u1", 1, "toast")).Orders[0].Accepted, "memory was freed before the unload was settled")
	h.settleOrder("tay", f, "o3", wire.OrderState_ORDER_GONE)
	expect(&err, h.commitOrders("tay", f, load("o5", "u1", 1, "toast")).Orders[0].Accepted, "memory was not freed after the unload was settled")
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func replicasAcrossCells(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	h.applyFile(1, threeModels)
	fences := map[string]uint64{}
	for _, cell := range []string{"a", "b", "c"} {
		fences[cell] = h.grantLease(cell, "n-"+cell).Lease.Fence
		h.putUpstream(cell, fences[cell], "u-"+cell, 1, 100)
	}
	commit := func(cell, id string) bool {
		return h.commitOrders(cell, fences[cell], load(id, "u-"+cell, 1, "fortune")).Orders[0].Accepted
	}
	expect(&err, commit("a", "o1") && commit("b", "o2"), "one of the two allowed replicas was refused")
	expect(&err, !commit("c", "o3"), "a third replica was committed")
	// A file that allows fewer replicas is accepted. Both existing ones stay, and none is
	// added until their number is below the new limit.
	one := strings.Replace(threeModels, "replicas = 2", "replicas = 1", 1)
	expect(&err, h.applyFile(2, one).File.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED, "the file with fewer replicas was refused")
	h.settleOrder("a", fences["a"], "o1", wire.OrderState_ORDER_FAILED)
	expect(&err, !commit("c", "o4"), "a replica was added at the new limit")
	h.settleOrder("b", fences["b"], "o2", wire.OrderState_ORDER_FAILED)
	expect(&err, commit("c", "o5"), "a replica below the new limit was refused")
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func keyBegunRepeatedly(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	h.applyFile(1, "[limits]\nledger_window = \"1h\"\n")
	expectStatus := func(res *wire.Result, status wire.LedgerStatus, situation string) {
		expect(&err, res.Ledger == status, "%s: %s", situation, res.Ledger)
	}
	expectStatus(h.beginKey("k", "body", "a1"), wire.LedgerStatus_LEDGER_NEW, "first")
	again := h.beginKey("k", "body", "a1")
	expectStatus(again, wire.LedgerStatus_LEDGER_IN_PROGRESS, "resend")
	expect(&err, again.Attempt == "a1", "the answer does not name the holding attempt")
	expectStatus(h.beginKey("k", "other", "a2"), wire.LedgerStatus_LEDGER_KEY_REUSED, "another body")
	expectStatus(h.finishKey("k", "a2", wire.LedgerStatus_LEDGER_DONE, "x"), wire.LedgerStatus_LEDGER_UNSPECIFIED, "finish by an attempt that does not hold the key")
	h.now += 40 * second
	expectStatus(h.beginKey("k", "body", "a3"), wire.LedgerStatus_LEDGER_UNKNOWN, "past its deadline")
	expectStatus(h.finishKey("k", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, ""), wire.LedgerStatus_LEDGER_UNKNOWN, "finish as not run after unknown")
	expectStatus(h.finishKey("k", "a1", wire.LedgerStatus_LEDGER_DONE, "booked"), wire.LedgerStatus_LEDGER_DONE, "late answer")
	stored := h.beginKey("k", "body", "a4")
	expectStatus(stored, wire.LedgerStatus_LEDGER_DONE, "stored answer")
	expect(&err, string(stored.Answer.GetBody()) == "booked", "a resend did not get the stored answer")
	h.now += hour
	expectStatus(h.beginKey("k", "body", "a5"), wire.LedgerStatus_LEDGER_KEY_EXPIRED, "past its window")
	h.now += 6 * day
	expectStatus(h.beginKey("k", "body", "a6"), wire.LedgerStatus_LEDGER_KEY_EXPIRED, "forgotten, hash kept")
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func oldIncarnation(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	h.applyFile(1, threeModels)
	f := h.grantLease("tay", "n1").Lease.Fence
	h.putUpstream("tay", f, "u1", 2, 10)
	h.commitOrders("tay", f, load("o1", "u1", 2, "fortune"))
	expect(&err, h.putUpstream("tay", f, "u1", 1, 10).Code == wire.ResultCode_RESULT_INVALID, "an older incarnation was registered")
	expect(&err, len(h.m.Placements("tay").Placements) == 1, "an older incarnation ended the newer's placement")
	h.putUpstream("tay", f, "u1", 3, 10)
	expect(&err, len(h.m.Placements("tay").Placements) == 0, "a new incarnation kept the old one's placement")
	expect(&err, !h.commitOrders("tay", f, load("o2", "u1", 2, "fortune")).Orders[0].Accepted, "an order for an ended incarnation was accepted")
	h.dropUpstream("tay", f, "u1", 3)
	expect(&err, h.putUpstream("tay", f, "u1", 3, 10).Code == wire.ResultCode_RESULT_INVALID, "an ended incarnation was registered again")
	expect(&err, h.err == nil, "%v", h.err)
	return err
}

func repeatedDeathReport(disabled disabledChecks) (err error) {
	h := newHarness(disabled)
	for range 3 {
		expect(&err, h.reportDeath("body", "u1", 1).Deaths == 1, "a repeated report was counted as another death")
	}
	expect(&err, !h.m.Suspects()[0].Quarantined, "quarantined after one death")
	expect(&err, h.reportDeath("body", "u2", 7).Deaths == 2 && h.m.Suspects()[0].Quarantined, "not quarantined after two deaths")
	h.now += 25 * hour
	h.reportDeath("other", "u1", 1)
	expect(&err, len(h.m.Suspects()) == 1, "the quarantine did not expire")
	return err
}

func TestApplyFile_OlderGapAndInvalid(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	first := h.applyFile(4, "# first").File
	is.Equal(first.Outcome, wire.ApplyOutcome_APPLY_ACCEPTED) // the first file may have any version
	is.Equal(h.applyFile(6, "").File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_GAP)
	is.Equal(h.applyFile(5, "unknown = 1").File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_INVALID)
	is.Equal(h.applyFile(5, "").File.Outcome, wire.ApplyOutcome_APPLY_ACCEPTED)
	older := h.applyFile(4, "# other").File
	is.Equal(older.Outcome, wire.ApplyOutcome_APPLY_REFUSED_OLDER)
	is.Equal(older.AcceptedDigest, first.Digest)
	same := h.applyFile(4, "# first").File
	is.Equal(same.Outcome, wire.ApplyOutcome_APPLY_SAME)
	is.Equal(same.Index, first.Index) // a resend gets the original record
	is.Equal(h.m.Spec().Version, uint64(5))
	res := h.applyChecked(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: []byte("x"), Version: 6, Digest: digestOf("y")}}})
	is.Equal(res.File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_INVALID)
	is.Equal(len(h.m.History(0, 0)), 6)
	is.Equal(len(h.m.History(first.Index+1, 0)), 1)
}

func TestOrders_AdaptersAndUnloads(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.applyFile(1, threeModels)
	f := h.grantLease("tay", "n1").Lease.Fence
	h.putUpstream("tay", f, "u1", 1, 20)
	commit := func(o *wire.Order) bool { return h.commitOrders("tay", f, o).Orders[0].Accepted }
	settle := func(id string, s wire.OrderState) bool { return h.settleOrder("tay", f, id, s).Orders[0].Accepted }
	is.True(!commit(load("z", "u1", 1, "verse")))                    // only zone tay-b is allowed
	is.True(!commit(loadAdapter("a0", "u1", 1, "fortune", "house"))) // the model is not loaded
	is.True(commit(load("o1", "u1", 1, "fortune")))
	is.True(commit(load("o1", "u1", 1, "fortune"))) // a resend is accepted, but decided once
	is.Equal(len(h.m.Placements("tay").OpenOrders), 1)
	is.True(!commit(load("o2", "u1", 1, "fortune")))   // a load of the model is open
	is.True(!commit(unload("o3", "u1", 1, "fortune"))) // the load is not settled
	is.True(settle("o1", wire.OrderState_ORDER_LOADED))
	is.True(commit(loadAdapter("a1", "u1", 1, "fortune", "house")))
	is.True(!commit(unload("o4", "u1", 1, "fortune"))) // an adapter's order is open
	is.True(settle("a1", wire.OrderState_ORDER_LOADED))
	is.True(commit(unload("o5", "u1", 1, "fortune")))
	is.True(!settle("o5", wire.OrderState_ORDER_LOADED)) // an unload can't end as loaded
	is.True(settle("o5", wire.OrderState_ORDER_FAILED))  // the model stays loaded
	is.True(commit(unload("o6", "u1", 1, "fortune")))
	is.Equal(h.m.Placements("tay").Placements[1].Unloading, true) // an adapter is unloaded with its model
	is.True(settle("o6", wire.OrderState_ORDER_GONE))
	is.Equal(len(h.m.Placements("tay").Placements), 0)
	is.True(!settle("o6", wire.OrderState_ORDER_GONE)) // an order is settled once
	is.NoErr(h.err)
	text := strings.Join(h.m.Explain("fortune"), "\n")
	for _, part := range []string{"file version 1", "fence 1", "left u1", "an order is open on its adapter house"} {
		is.True(strings.Contains(text, part))
	}
}

func TestOrders_VersionChangeCountsOldAndNew(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	one := strings.Replace(threeModels, "replicas = 2", "replicas = 1", 1)
	h.applyFile(1, one)
	f := h.grantLease("tay", "n1").Lease.Fence
	h.putUpstream("tay", f, "u1", 1, 20)
	h.putUpstream("tay", f, "u2", 1, 20)
	h.commitOrders("tay", f, load("o1", "u1", 1, "fortune"))
	h.settleOrder("tay", f, "o1", wire.OrderState_ORDER_LOADED)
	h.applyFile(2, strings.Replace(one, `version = "1"`, `version = "2"`, 1))
	next := load("o2", "u2", 1, "fortune")
	is.True(!h.commitOrders("tay", f, next).Orders[0].Accepted) // the file has version 2
	next.Version = "2"
	is.True(!h.commitOrders("tay", f, next).Orders[0].Accepted) // version 1 counts as the only allowed replica
	h.commitOrders("tay", f, unload("o3", "u1", 1, "fortune"))
	is.True(!h.commitOrders("tay", f, next).Orders[0].Accepted) // the unload is not settled
	h.settleOrder("tay", f, "o3", wire.OrderState_ORDER_GONE)
	is.True(h.commitOrders("tay", f, next).Orders[0].Accepted)
	is.NoErr(h.err)
}

func TestLedger_NotRunFullAndExpiredKeys(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.m.opts.LedgerKeys, h.m.opts.ForgottenKeys = 2, 2
	is.Equal(h.beginKey("k1", "b", "a1").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(h.finishKey("k1", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, "").Ledger, wire.LedgerStatus_LEDGER_NOT_RUN)
	is.Equal(h.beginKey("k1", "b", "a2").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(h.finishKey("k1", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, "").Code, wire.ResultCode_RESULT_INVALID) // a delayed copy of the first finish
	is.Equal(h.beginKey("k2", "b", "a3").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(h.beginKey("k3", "b", "a4").Ledger, wire.LedgerStatus_LEDGER_FULL)
	h.applyChecked(&wire.Command{Op: &wire.Command_LedgerAbandon{LedgerAbandon: &wire.LedgerAbandon{Entry: "entry-1"}}})
	is.Equal(h.beginKey("k2", "b", "a5").Ledger, wire.LedgerStatus_LEDGER_UNKNOWN)
	h.now += day
	is.Equal(h.beginKey("k3", "b", "a6").Ledger, wire.LedgerStatus_LEDGER_NEW) // k1 and k2 are forgotten
	h.now += day
	is.Equal(h.beginKey("k3", "b", "a7").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED) // the table of forgotten keys is full, so k3 stays live
	is.Equal(h.beginKey("k1", "b", "a8").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED)
	// After its hash has expired, only a key that carries its creation time is still refused.
	old := fmt.Sprintf("%08x-%04x-7000-8000-000000000000", h.now>>16, h.now&0xffff)
	is.Equal(h.beginKey(old, "b", "a9").Ledger, wire.LedgerStatus_LEDGER_NEW)
	h.now += 30 * day
	is.Equal(h.beginKey("k1", "b", "a10").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(h.beginKey(old, "b", "a11").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED)
}

func (h *harness) reportAnswer(digest string, deaths ...string) *wire.Result {
	return h.applyChecked(&wire.Command{Op: &wire.Command_ReportAnswer{ReportAnswer: &wire.ReportAnswer{
		BodyDigest: digestOf(digest), Upstreams: deaths}}})
}

func TestSuspects_Answered(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	h.reportDeath("body", "u1", 1)
	before := h.m.Index()
	h.reportAnswer("body", "u1@1")
	is.Equal(len(h.m.Suspects()), 0)
	is.Equal(h.m.DeltaSince(before).DropSuspects, []string{digestOf("body")})
	h.reportDeath("body", "u2", 1)
	is.True(!h.m.Suspects()[0].Quarantined) // the first one no longer counts
	h.reportAnswer("body", "u1@1")          // a late report, from before the second death
	is.Equal(h.m.Suspects()[0].Upstreams, []string{"u2@1"})
	h.reportDeath("body", "u3", 1)
	h.reportAnswer("body", "u2@1", "u3@1")
	is.True(h.m.Suspects()[0].Quarantined) // only an operator or time ends it
	is.Equal(h.applyChecked(&wire.Command{Op: &wire.Command_ReportAnswer{}}).Code, wire.ResultCode_RESULT_INVALID)
}

func TestSuspects_ClearedOncePerListing(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	reportTwoDeaths := func() {
		h.reportDeath("body", "u1", h.index+1)
		h.reportDeath("body", "u2", h.index+1)
	}
	clearing := fmt.Sprintf("[quarantine]\nclear = [%q]\n", digestOf("body"))
	reportTwoDeaths()
	is.True(h.m.Suspects()[0].Quarantined)
	h.applyFile(1, clearing)
	is.Equal(len(h.m.Suspects()), 0)
	reportTwoDeaths()
	h.applyFile(2, clearing)
	is.Equal(len(h.m.Suspects()), 1) // suspect anew after it was cleared
}

func TestApply_MalformedAndRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	is.Equal(h.m.Apply(1, nil).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(h.m.Apply(1, &wire.Command{}).Index, uint64(1)) // applied before: the state stays unchanged
	h.index = 1
	nested := &wire.Command{Op: &wire.Command_Batch{Batch: &wire.Batch{Commands: []*wire.Command{
		nil, {Op: &wire.Command_Batch{}}, {Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: "x", Holder: "y"}}},
	}}}}
	res := h.applyChecked(nested)
	is.Equal(len(res.Batch), 3)
	is.Equal(res.Batch[1].Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(res.Batch[2].Lease.Fence, uint64(1))
}

// Reads share messages with the machine; with -race this test detects a message that is
// modified after it was published.
func TestReads_ConcurrentWithApply(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	done := make(chan error)
	go func() {
		var err error
		for range 200 {
			for _, p := range h.m.Placements("").Placements {
				_ = p.Order.String()
			}
			_ = h.m.Explain("fortune")
			_ = h.m.History(0, 0)
			_ = h.m.DeltaSince(1).String()
			if _, e := h.m.Snapshot(); e != nil {
				err = e
			}
		}
		done <- err
	}()
	f := h.grantLease("tay", "n1").Lease.Fence
	for i := range uint64(40) {
		h.applyFile(i+1, threeModels)
		h.putUpstream("tay", f, "u1", i+1, 20)
		h.commitOrders("tay", f, load(fmt.Sprint("o", i), "u1", i+1, "fortune"))
		h.settleOrder("tay", f, fmt.Sprint("o", i), wire.OrderState_ORDER_LOADED)
		h.beginKey(fmt.Sprint("k", i), "b", "a")
		h.finishKey(fmt.Sprint("k", i), "a", wire.LedgerStatus_LEDGER_DONE, "x")
		h.reportDeath("b", "u1", i+1)
	}
	is.NoErr(<-done)
	is.NoErr(h.err)
}

func FuzzApply(f *testing.F) {
	h := newHarness(disabledChecks{})
	h.applyFile(1, threeModels)
	fence := h.grantLease("tay", "n1").Lease.Fence
	h.putUpstream("tay", fence, "u1", 1, 20)
	base, err := h.m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	seed := func(ops ...*wire.Command) {
		data, _ := proto.Marshal(&wire.Batch{Commands: ops})
		f.Add(data)
	}
	seed(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: "scheduler/tay", Fence: 1,
		Orders: []*wire.Order{load("o1", "u1", 1, "fortune"), {}, {Id: "x", Model: "y"}}}}},
		&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{Lease: "scheduler/tay", Fence: 1,
			Settlements: []*wire.Settlement{{OrderId: "o1", State: 2}, {}}}}})
	seed(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{Lease: "scheduler/tay", Fence: 1}}},
		&wire.Command{Op: &wire.Command_DropUpstream{}}, &wire.Command{Op: &wire.Command_LedgerFinish{}}, &wire.Command{Op: &wire.Command_ReportDeath{}},
		&wire.Command{AtUnixMs: 1 << 62, Op: &wire.Command_LedgerBegin{}}, &wire.Command{Op: &wire.Command_ApplyFile{}})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &wire.Batch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		m := New(Options{})
		if err := m.Restore(3, base); err != nil {
			t.Fatal(err)
		}
		for i, cmd := range batch.Commands {
			if m.Apply(uint64(4+i), cmd) == nil {
				t.Fatal("no result")
			}
			if err := m.Check(); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an upstream that leaves being taken back by a late announcement.
func TestPutUpstream_LeavingNeverTakenBack(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	f := h.grantLease("tay", "n1").Lease.Fence
	put := func(leaving bool) {
		rec := &wire.UpstreamRecord{Id: "u1", Incarnation: 1, Cell: "tay", Zone: "z", Address: "x", MemoryMib: 10, Leaving: leaving}
		is.Equal(h.applyChecked(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
			Lease: SchedulerLeasePrefix + "tay", Fence: f, Upstream: rec}}}).Code, wire.ResultCode_RESULT_OK)
	}
	put(true)
	put(false)
	is.True(h.m.Placements("tay").Upstreams[0].Leaving)
}
