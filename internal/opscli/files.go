package opscli

import (
	"context"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

type applyCmd struct {
	File string `arg:"" type:"existingfile" help:"Applied file (TOML)."`
	Who  string `help:"Name written into the history; default: the user's."`
}

func (c *applyCmd) Run(e *env) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	parsed, err := spec.Parse(data)
	if err != nil {
		return errors.Wrap(err, c.File)
	}
	req := &wire.ApplyRequest{File: data, Version: parsed.Version, Digest: spec.Digest(data), Who: c.who()}
	var rec *wire.FileRecord
	err = e.call(func(ctx context.Context, cl wire.OperatorClient) error {
		rec, err = cl.Apply(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if err := e.print(rec, func() { e.printRecord(rec) }); err != nil {
		return err
	}
	if rec.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED || rec.Outcome == wire.ApplyOutcome_APPLY_SAME {
		return nil
	}
	return refusedError{"the file was refused: " + rec.Detail}
}

func (c *applyCmd) who() string {
	if c.Who != "" {
		return c.Who
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (e *env) printRecord(r *wire.FileRecord) {
	at := time.UnixMilli(r.AtUnixMs).UTC().Format(time.RFC3339)
	e.printf("%-10s version %d  digest %.12s  index %d  by %s at %s  %s\n",
		outcomeText(r.Outcome), r.Version, r.Digest, r.Index, r.Who, at, r.Detail)
}

func outcomeText(o wire.ApplyOutcome) string {
	switch o {
	case wire.ApplyOutcome_APPLY_ACCEPTED:
		return "accepted"
	case wire.ApplyOutcome_APPLY_SAME:
		return "same"
	case wire.ApplyOutcome_APPLY_REFUSED_CONFLICT:
		return "conflict"
	case wire.ApplyOutcome_APPLY_REFUSED_OLDER:
		return "older"
	case wire.ApplyOutcome_APPLY_REFUSED_GAP:
		return "gap"
	case wire.ApplyOutcome_APPLY_REFUSED_INVALID:
		return "invalid"
	default:
		return "-"
	}
}

type historyCmd struct {
	Limit  uint32 `default:"20" help:"Most records."`
	Before uint64 `help:"Only records below this index."`
}

func (c *historyCmd) Run(e *env) error {
	var resp *wire.HistoryResponse
	err := e.call(func(ctx context.Context, cl wire.OperatorClient) (err error) {
		resp, err = cl.History(ctx, &wire.HistoryRequest{BeforeIndex: c.Before, Limit: c.Limit})
		return err
	})
	if err != nil {
		return err
	}
	return e.print(resp, func() {
		for _, r := range resp.Records {
			e.printRecord(r)
		}
	})
}
