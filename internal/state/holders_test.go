package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gentiankeel/internal/wire"
)

func addresses(holders []*wire.Holder) (out []string) {
	for _, h := range holders {
		out = append(out, h.Address)
	}
	return out
}

func TestRecordHolder_InTurn(t *testing.T) {
	is := is.New(t)
	h := newHarness(disabledChecks{})
	record := func(address string, token uint64, only bool) wire.ResultCode {
		return h.applyChecked(&wire.Command{Op: &wire.Command_RecordHolder{RecordHolder: &wire.RecordHolder{
			Holder: &wire.Holder{Address: address, Token: token}, Only: only}}}).Code
	}
	is.Equal(record("a", 1, false), wire.ResultCode_RESULT_OK)
	is.Equal(record("b", 2, false), wire.ResultCode_RESULT_OK)
	is.Equal(record("b", 2, false), wire.ResultCode_RESULT_OK)
	is.Equal(addresses(h.m.Holders()), []string{"a", "b"})
	is.Equal(record("c", 2, false), wire.ResultCode_RESULT_INVALID) // another holder with the same token
	is.Equal(record("a", 1, false), wire.ResultCode_RESULT_INVALID) // repeated late
	is.Equal(record("a", 3, false), wire.ResultCode_RESULT_OK)
	is.Equal(addresses(h.m.Holders()), []string{"b", "a"})
	is.Equal(record("a", 3, true), wire.ResultCode_RESULT_OK)
	is.Equal(addresses(h.m.Holders()), []string{"a"})
	for i := range 2 * maxHolders {
		is.Equal(record(fmt.Sprint(i), uint64(4+i), false), wire.ResultCode_RESULT_OK)
	}
	is.Equal(len(h.m.Holders()), maxHolders)
	is.Equal(h.m.Holders()[maxHolders-1].Address, fmt.Sprint(2*maxHolders-1))
	is.Equal(record("", 100, false), wire.ResultCode_RESULT_INVALID)
	is.Equal(record("a", 0, false), wire.ResultCode_RESULT_INVALID)
}

// Guards against a replica that restarts from a snapshot and no longer knows who sent orders.
func TestRecordHolder_Snapshot(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	m.Apply(1, &wire.Command{Op: &wire.Command_RecordHolder{RecordHolder: &wire.RecordHolder{Holder: &wire.Holder{Address: "a", Token: 7}}}})
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := New(Options{})
	is.NoErr(restored.Restore(1, data))
	is.Equal(addresses(restored.Holders()), []string{"a"})
	is.Equal(restored.Holders()[0].Token, uint64(7))
}
