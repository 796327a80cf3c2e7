package entry

import (
	"context"
	"sync"

	"gentiankeel/internal/wire"
)

// fakeLedger is an in-memory ledger.
type fakeLedger struct {
	mu       sync.Mutex
	rows     map[string]*ledgerRow
	fault    func(*wire.Command) error // its error replaces the result of an executed command
	begins   int
	finishes []*wire.LedgerFinish
}

type ledgerRow struct {
	digest, attempt string
	status          wire.LedgerStatus
	answer          *wire.StoredAnswer
}

func newFakeLedger() *fakeLedger { return &fakeLedger{rows: map[string]*ledgerRow{}} }

func (f *fakeLedger) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	res := &wire.Result{Code: wire.ResultCode_RESULT_OK}
	switch op := cmd.GetOp().(type) {
	case *wire.Command_LedgerBegin:
		f.begin(op.LedgerBegin, res)
	case *wire.Command_LedgerFinish:
		f.finish(op.LedgerFinish, res)
	}
	if f.fault != nil {
		if err := f.fault(cmd); err != nil {
			return nil, err
		}
	}
	return res, nil
}

func (f *fakeLedger) begin(b *wire.LedgerBegin, res *wire.Result) {
	f.begins++
	key := b.GetCaller() + "/" + b.GetKey()
	row := f.rows[key]
	if row != nil && row.status == wire.LedgerStatus_LEDGER_NOT_RUN {
		row = nil
	}
	if row == nil {
		f.rows[key] = &ledgerRow{b.GetDigest(), b.GetAttempt(), wire.LedgerStatus_LEDGER_IN_PROGRESS, nil}
		res.Ledger, res.Attempt = wire.LedgerStatus_LEDGER_NEW, b.GetAttempt()
		return
	}
	res.Ledger, res.Answer, res.Attempt = row.status, row.answer, row.attempt
	if row.digest != b.GetDigest() {
		res.Ledger, res.Answer = wire.LedgerStatus_LEDGER_KEY_REUSED, nil
	}
}

func (f *fakeLedger) finish(b *wire.LedgerFinish, res *wire.Result) {
	row := f.rows[b.GetCaller()+"/"+b.GetKey()]
	if row == nil || row.attempt != b.GetAttempt() {
		res.Code = wire.ResultCode_RESULT_INVALID
		return
	}
	if row.status == wire.LedgerStatus_LEDGER_IN_PROGRESS {
		row.status, row.answer = b.GetStatus(), b.GetAnswer()
		f.finishes = append(f.finishes, b)
	}
	res.Ledger = row.status
}

func (f *fakeLedger) status(key string) wire.LedgerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	row := f.rows["anonymous/"+key]
	if row == nil {
		return wire.LedgerStatus_LEDGER_UNSPECIFIED
	}
	return row.status
}
